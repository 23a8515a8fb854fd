package duty_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/store"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time                                 { return c.now }
func (c *clock) Sleep(_ context.Context, d time.Duration) error { c.now = c.now.Add(d); return nil }

type authority struct {
	token lease.Token
	clock *clock
}

func (a *authority) Check(_ int, margin time.Duration) (lease.Token, error) {
	if !a.clock.now.Add(margin).Before(a.token.Until) {
		return lease.Token{}, errors.New("no lease")
	}
	return a.token, nil
}
func (a *authority) Groups() []int      { return nil }
func (a *authority) GroupOf(string) int { return 0 }

// Guards against a call of a new holder while one of its predecessor can still arrive, and against one that outlasts the lease.
func TestAHolderActsWithinItsLease(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Unix(1000, 0)}
	a := &authority{lease.Token{Fencing: 2, Since: c.now, Until: c.now.Add(10 * time.Second)}, c}
	o := duty.Options{Lease: a, Margin: 2 * time.Second, HandOverPause: 4 * time.Second, Interval: time.Second, Clock: c}
	for after, want := range map[time.Duration]bool{0: false, 3 * time.Second: false, 4 * time.Second: true, 7 * time.Second: true, 8 * time.Second: false} {
		c.now = a.token.Since.Add(after)
		_, ok := o.Holds()
		is.Equal(ok, want)
	}
}

// oneObject is a store with conditional updates of a single object.
type oneObject struct {
	store.Store
	object store.Object
}

func (s *oneObject) Get(context.Context, string, string) (store.Object, error) {
	if s.object.Version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return s.object, nil
}

func (s *oneObject) Put(_ context.Context, o store.Object) (uint64, error) {
	if o.Version != s.object.Version {
		return 0, store.ErrConflict
	}
	o.Version++
	s.object = o
	return o.Version, nil
}

// Guards against a suspended holder that replaces what its successor has recorded.
func TestAFormerHolderCannotReplaceTheRecord(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &oneObject{}
	former := duty.Record[[]int]{Store: s, Name: "d", Writer: "vm1"}
	next := duty.Record[[]int]{Store: s, Name: "d", Writer: "vm2"}
	_, err := former.Load(ctx, 1)
	is.NoErr(err)
	is.NoErr(former.Save(ctx, 1, []int{1}))
	v, err := next.Load(ctx, 2)
	is.NoErr(err)
	is.Equal(v, []int{1})
	is.NoErr(next.Save(ctx, 2, []int{1, 2}))
	is.True(former.Save(ctx, 1, []int{3}) != nil)
	v, err = next.Load(ctx, 2)
	is.NoErr(err)
	is.Equal(v, []int{1, 2})
	is.True(former.Save(ctx, 1, []int{3}) != nil) // not loaded since the failure
	v, err = former.Load(ctx, 1)
	is.NoErr(err)
	is.Equal(v, []int{1, 2})
}
