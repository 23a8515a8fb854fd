package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/store"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	pause  = 4 * time.Second // of a new holder
	term   = 10 * time.Second
	tick   = 250 * time.Millisecond
)

// failer is the part of *testing.T that *rapid.T has, too.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is a fleet with a lease, a store and a platform, on one clock.
type world struct {
	store.Store

	t       failer
	now     time.Time // steady
	offset  time.Duration
	vms     []*vm
	holder  *vm
	fencing uint64
	since   time.Time
	until   time.Time // of the lease, as long as it isn't renewed

	object    store.Object
	era       uint64
	lostPuts  int // writes that are carried out without an answer
	storeDown bool
	putsDown  bool // writes only
	onPut     func()

	down     bool // the platform answers nothing
	lostSend int  // reports that are taken without an answer
	onSend   func()
	limited  int // reports that are refused for their rate
	reports  map[int64]Counts
	sentAt   map[int64]time.Duration // after the window's end
	sends    int
	lastBy   *vm
	lastAt   time.Time

	truth map[int64]Counts
}

type vm struct {
	w        *world
	name     string
	skew     time.Duration // of the time of day
	dead     bool
	cut      bool // from the other VMs
	paused   bool
	counter  *Counter
	reporter *Reporter
}

func newWorld(t failer, skews ...time.Duration) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), offset: 1_790_000_000*time.Second + 1300*time.Millisecond,
		reports: map[int64]Counts{}, sentAt: map[int64]time.Duration{}, truth: map[int64]Counts{},
	}
	for i, skew := range skews {
		v := &vm{w: w, name: fmt.Sprint("vm", i), skew: skew}
		v.counter = NewCounter(CounterOptions{
			Self: Source{v.name, 1}, Window: window, Clock: w, Wall: func() time.Time { return w.true().Add(v.skew) },
		})
		v.reporter = NewReporter(ReporterOptions{
			Lease: v, HandOverPause: pause, Window: window, Due: due, Counter: v.counter, Members: v.members, Collect: v.collect,
			Record: &duty.Record[Record]{Store: w, Name: "usage", Writer: v.name}, Era: func() (uint64, time.Time) { return w.era, time.Time{} },
			Send: v.send, Active: func() bool { return true },
		})
		w.vms = append(w.vms, v)
	}
	w.take(w.vms[0])
	return w
}

func (w *world) Now() time.Time                                 { return w.now }
func (w *world) Sleep(_ context.Context, d time.Duration) error { w.now = w.now.Add(d); return nil }
func (w *world) true() time.Time                                { return w.now.Add(w.offset) }

func (w *world) take(v *vm) {
	w.fencing++
	w.holder, w.since, w.until = v, w.now, w.now.Add(term)
}

// run lets time pass. All VMs count, and the holder works.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for i, v := range w.vms {
			if v.dead || v.paused {
				continue
			}
			for j := range 2 + i {
				account := fmt.Sprint("account", j)
				v.counter.Began(account)
				k := WindowOf(w.true(), window)
				if w.truth[k] == nil {
					w.truth[k] = Counts{}
				}
				w.truth[k][account]++
			}
		}
		if h := w.holder; !h.dead && !h.paused {
			if !w.storeDown && w.until.Sub(w.now) < 7*time.Second {
				w.until = w.now.Add(term)
			}
			if t, ok := h.reporter.duty.Holds(); ok {
				h.reporter.Step(context.Background(), t)
			}
		}
	}
}

// takeOver lets the lease lapse and gives it to another VM, which runs on.
func (w *world) takeOver(v *vm, d time.Duration) {
	w.run(max(w.until.Sub(w.now), 0) + 2*time.Second)
	w.take(v)
	w.run(d)
}

func (v *vm) Check(_ int, margin time.Duration) (lease.Token, error) {
	if w := v.w; w.holder == v && w.now.Add(margin).Before(w.until) {
		return lease.Token{Fencing: w.fencing, Since: w.since, Until: w.until}, nil
	}
	return lease.Token{}, errors.New("no lease")
}
func (v *vm) Groups() []int      { return nil }
func (v *vm) GroupOf(string) int { return 0 }

func (v *vm) members() (out []Member) {
	for _, m := range v.w.vms {
		if m != v && !m.dead {
			out = append(out, Member{Name: m.name, Address: m.name, Expected: !m.paused && !m.cut && !v.cut})
		}
	}
	return out
}

var errFake = errors.New("no answer")

func (v *vm) collect(_ context.Context, m Member, q Query) (Answer, error) {
	for _, o := range v.w.vms {
		switch {
		case o.name != m.Name:
		case o.dead || o.paused || o.cut || v.cut:
			return Answer{}, errFake
		case q.Now.IsZero():
			return Answer{Wall: o.counter.Wall()}, nil
		default:
			return Answer{o.counter.Wall(), o.counter.Collect(v.name, q.Now, q.First, q.Last)}, nil
		}
	}
	return Answer{}, errFake
}

// send is the platform: it fails the test at a different report for a window and at one from a VM without the lease.
func (v *vm) send(_ context.Context, t lease.Token, k int64, counts map[string]int) error {
	w := v.w
	if w.holder != v || t.Fencing != w.fencing || !w.now.Before(w.until) {
		w.t.Fatalf("%s sends without the lease", v.name)
	}
	if w.lastBy != nil && w.lastBy != v && w.now.Sub(w.lastAt) < 3*time.Second {
		w.t.Fatalf("%s follows %s after %s", v.name, w.lastBy.name, w.now.Sub(w.lastAt))
	}
	if w.sends++; w.down {
		return errFake
	}
	if w.limited > 0 {
		w.limited--
		return ErrRateLimited
	}
	w.lastBy, w.lastAt = v, w.now
	if f := w.onSend; f != nil {
		w.onSend = nil
		f()
	}
	if old, ok := w.reports[k]; ok && !maps.Equal(old, counts) {
		w.t.Fatalf("window %d reported as %v and %v", k, old, counts)
	} else if !ok {
		w.reports[k], w.sentAt[k] = maps.Clone(counts), w.true().Sub(EndOf(k, window))
	}
	if w.lostSend > 0 {
		w.lostSend--
		return errFake
	}
	return nil
}

func (w *world) Get(context.Context, string, string) (store.Object, error) {
	if w.storeDown {
		return store.Object{}, store.ErrUnavailable
	}
	if w.object.Version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return w.object, nil
}

func (w *world) Put(_ context.Context, o store.Object) (uint64, error) {
	if f := w.onPut; f != nil {
		w.onPut = nil
		f()
	}
	switch {
	case w.storeDown || w.putsDown:
		return 0, store.ErrUnavailable
	case o.Version != w.object.Version:
		return 0, store.ErrConflict
	}
	o.Version = max(o.Version, store.ComposeRevision(w.era, 0)) + 1
	w.object = o
	if w.lostPuts > 0 {
		w.lostPuts--
		w.storeDown = true // the outcome can't be read back either
		return 0, store.ErrOutcomeUnknown
	}
	return o.Version, nil
}

// check fails unless each window from first to last was reported, with counts that are off by at most a twentieth and as many as
// the given number for each account.
func (w *world) check(first, last int64, slack int) {
	w.t.Helper()
	for k := first; k <= last; k++ {
		got, ok := w.reports[k]
		if !ok {
			w.t.Fatalf("window %d of %d to %d not reported", k, first, last)
		}
		for account, n := range w.truth[k] {
			if off := max(n-got[account], got[account]-n); 20*off > n+20*slack {
				w.t.Fatalf("window %d: %s has %d, want %d", k, account, got[account], n)
			}
		}
	}
}

func (w *world) window() int64 { return WindowOf(w.true(), window) }
