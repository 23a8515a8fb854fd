package orders_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// hand is a clock that a test moves.
type hand struct{ now time.Time }

func (h *hand) Now() time.Time { return h.now }
func (h *hand) Sleep(_ context.Context, d time.Duration) error {
	h.now = h.now.Add(max(d, 0))
	return nil
}

// holder holds every lease under one fencing number since a time.
type holder struct {
	clock   *hand
	fencing uint64
	since   time.Time
}

func (h *holder) Check(g int, _ time.Duration) (lease.Token, error) {
	return lease.Token{Group: g, Fencing: h.fencing, Since: h.since, Until: h.clock.now.Add(time.Hour)}, nil
}
func (h *holder) Groups() []int      { return []int{0} }
func (h *holder) GroupOf(string) int { return 0 }

// script is an engine whose answers a test gives.
type script struct {
	clock  *hand
	status topo.EngineStatus
	take   func(o topo.Order) error
	sent   []time.Time
	asked  func()
}

func (s *script) Send(_ context.Context, _ string, o topo.Order) (topo.EngineStatus, error) {
	s.sent = append(s.sent, s.clock.now)
	err := s.take(o)
	return s.status, err
}
func (s *script) Current(context.Context, string) (topo.EngineStatus, error) {
	if s.asked != nil {
		s.asked()
	}
	return s.status, nil
}

func setup(take func(*script, topo.Order) error) (*orders.Service, *script, *holder, *emulator.Store) {
	clock := &hand{time.Unix(1_800_000_000, 0)}
	e := &script{clock: clock, status: topo.EngineStatus{State: topo.EngineIdle, Boot: 1}}
	e.take = func(o topo.Order) error { return take(e, o) }
	h := &holder{clock: clock, fencing: 1, since: clock.now}
	store := emulator.New(emulator.Options{Clock: clock})
	return orders.New(orders.Options{Store: store, Authority: h, Engine: e, SendTimeout: 2 * time.Second, Clock: clock}), e, h, store
}

var engineA = topo.Upstream{Name: "a", Address: "a"}

func done(e *script, o topo.Order) error {
	e.status = topo.EngineStatus{OrderID: o.ID, State: topo.EngineDone, Boot: 1}
	return nil
}

// Guards against an order sent while one of the predecessor may still be under way: the holder has just taken the lease.
func TestNewHolderWaitsOutTheSendTimeout(t *testing.T) {
	is := is.New(t)
	s, e, h, _ := setup(done)
	_, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepLoadModel})
	is.NoErr(err)
	is.True(e.sent[0].Sub(h.since) >= 2*time.Second)
}

// Guards against a lost answer that is taken for a lost order: the order must not be sent again.
func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	s, e, _, _ := setup(func(e *script, o topo.Order) error {
		_ = done(e, o)
		return context.DeadlineExceeded
	})
	o, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepLoadModel})
	is.NoErr(err)
	is.Equal(o.State, topo.OrderDone)
	is.Equal(len(e.sent), 1)
}

// Guards against an engine that is given new orders while a role change never ends, and against an operator who isn't told.
func TestEndlessOrderIsFailedAndMarked(t *testing.T) {
	is := is.New(t)
	s, e, _, store := setup(func(e *script, o topo.Order) error {
		e.status = topo.EngineStatus{OrderID: o.ID, State: topo.EngineRunning, Boot: 1}
		return nil
	})
	_, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepChangeRole, LimitMS: 60_000})
	is.Equal(result.CodeOf(err), result.OrderTimedOut)
	_, err = store.Get(t.Context(), topo.KindUpstream, "a")
	is.NoErr(err)
	_, err = s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepChangeRole})
	is.Equal(result.CodeOf(err), result.OrderOpen)
	is.Equal(len(e.sent), 1)
}

// Guards against an order that waits for its limit although its engine has restarted and forgotten it.
func TestEngineCrashFailsTheOrder(t *testing.T) {
	is := is.New(t)
	s, e, h, _ := setup(func(e *script, o topo.Order) error {
		e.status = topo.EngineStatus{OrderID: o.ID, State: topo.EngineRunning, Boot: 1}
		e.asked = func() { e.status = topo.EngineStatus{State: topo.EngineIdle, Boot: 2} }
		return nil
	})
	o, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepChangeRole})
	is.Equal(o.State, topo.OrderFailed)
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.True(e.clock.now.Sub(h.since) < time.Minute)
}

// Guards against a predecessor's order that stays open until somebody plans a change for its engine.
func TestKeepSettlesTheGroupsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := &hand{now: time.Now()}
		e := &script{clock: clock, status: topo.EngineStatus{State: topo.EngineIdle, Boot: 1}}
		e.take = func(o topo.Order) error { return done(e, o) }
		objects := emulator.New(emulator.Options{})
		open, _ := topo.Encode(topo.Order{ID: "0-1-1", Upstream: "a", Kind: topo.StepLoadModel, Fencing: 1, State: topo.OrderOpen})
		_, err := objects.Put(t.Context(), store.Object{Kind: topo.KindOrder, Name: "a", Value: open})
		is.NoErr(err)
		s := orders.New(orders.Options{Store: objects, Authority: &holder{clock, 2, time.Now()}, Engine: e})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(s.Keep(ctx, func() []topo.Upstream { return []topo.Upstream{{Name: "a", Kind: topo.KindEngine}} }))
		o, err := objects.Get(t.Context(), topo.KindOrder, "a")
		is.NoErr(err)
		r, err := topo.Decode[topo.Order](o.Value)
		is.NoErr(err)
		is.Equal(r.State, topo.OrderDone)
		is.Equal(r.Fencing, uint64(2))
		is.Equal(len(e.sent), 1)
	})
}
