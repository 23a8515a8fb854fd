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

// manualClock is a fake clock that Sleep moves forward.
type manualClock struct{ now time.Time }

func (h *manualClock) Now() time.Time { return h.now }
func (h *manualClock) Sleep(_ context.Context, d time.Duration) error {
	h.now = h.now.Add(max(d, 0))
	return nil
}

// fixedAuthority is a fake lease.Authority that holds every lease under one fencing number.
type fixedAuthority struct {
	clock   *manualClock
	fencing uint64
	since   time.Time
}

func (h *fixedAuthority) Check(g int, _ time.Duration) (lease.Token, error) {
	return lease.Token{Group: g, Fencing: h.fencing, Since: h.since, Until: h.clock.now.Add(time.Hour)}, nil
}
func (h *fixedAuthority) Groups() []int      { return []int{0} }
func (h *fixedAuthority) GroupOf(string) int { return 0 }

// scriptedEngine is a fake engine with answers set by the test.
type scriptedEngine struct {
	clock     *manualClock
	status    topo.EngineStatus
	take      func(o topo.Order) error
	sent      []time.Time
	onCurrent func()
}

func (s *scriptedEngine) Send(_ context.Context, _ string, o topo.Order) (topo.EngineStatus, error) {
	s.sent = append(s.sent, s.clock.now)
	err := s.take(o)
	return s.status, err
}
func (s *scriptedEngine) Current(context.Context, string) (topo.EngineStatus, error) {
	if s.onCurrent != nil {
		s.onCurrent()
	}
	return s.status, nil
}

func newService(take func(*scriptedEngine, topo.Order) error) (*orders.Service, *scriptedEngine, *fixedAuthority, *emulator.Store) {
	clock := &manualClock{time.Unix(1_800_000_000, 0)}
	e := &scriptedEngine{clock: clock, status: topo.EngineStatus{State: topo.EngineIdle, Boot: 1}}
	e.take = func(o topo.Order) error { return take(e, o) }
	h := &fixedAuthority{clock: clock, fencing: 1, since: clock.now}
	store := emulator.New(emulator.Options{Clock: clock})
	return orders.New(orders.Options{Store: store, Authority: h, Engine: e, SendTimeout: 2 * time.Second, Clock: clock}), e, h, store
}

var engineA = topo.Upstream{Name: "a", Address: "a"}

func finishOrder(e *scriptedEngine, o topo.Order) error {
	e.status = topo.EngineStatus{OrderID: o.ID, State: topo.EngineDone, Boot: 1}
	return nil
}

// Guards against an order that a new lease holder sends while an order of the former holder may still be in flight.
func TestNewHolderWaitsOutTheSendTimeout(t *testing.T) {
	is := is.New(t)
	s, e, h, _ := newService(finishOrder)
	_, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepLoadModel})
	is.NoErr(err)
	is.True(e.sent[0].Sub(h.since) >= 2*time.Second)
}

// Guards against resending an order whose answer was lost although the engine accepted it.
func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	s, e, _, _ := newService(func(e *scriptedEngine, o topo.Order) error {
		_ = finishOrder(e, o)
		return context.DeadlineExceeded
	})
	o, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepLoadModel})
	is.NoErr(err)
	is.Equal(o.State, topo.OrderDone)
	is.Equal(len(e.sent), 1)
}

// Guards against new orders to an engine whose role change never ends, and against a missing mark for the operator.
func TestEndlessOrderIsFailedAndMarked(t *testing.T) {
	is := is.New(t)
	s, e, _, store := newService(func(e *scriptedEngine, o topo.Order) error {
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

// Guards against an order that waits for its time limit although its engine has restarted and lost it.
func TestEngineCrashFailsTheOrder(t *testing.T) {
	is := is.New(t)
	s, e, h, _ := newService(func(e *scriptedEngine, o topo.Order) error {
		e.status = topo.EngineStatus{OrderID: o.ID, State: topo.EngineRunning, Boot: 1}
		e.onCurrent = func() { e.status = topo.EngineStatus{State: topo.EngineIdle, Boot: 2} }
		return nil
	})
	o, err := s.Run(t.Context(), engineA, topo.Order{Kind: topo.StepChangeRole})
	is.Equal(o.State, topo.OrderFailed)
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.True(e.clock.now.Sub(h.since) < time.Minute)
}

// Guards against a former holder's order that stays open until the next order to its engine.
func TestSettleLoopSettlesHeldGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := &manualClock{now: time.Now()}
		e := &scriptedEngine{clock: clock, status: topo.EngineStatus{State: topo.EngineIdle, Boot: 1}}
		e.take = func(o topo.Order) error { return finishOrder(e, o) }
		objects := emulator.New(emulator.Options{})
		open, _ := topo.Encode(topo.Order{ID: "0-1-1", Upstream: "a", Kind: topo.StepLoadModel, Fencing: 1, State: topo.OrderOpen})
		_, err := objects.Put(t.Context(), store.Object{Kind: topo.KindOrder, Name: "a", Value: open})
		is.NoErr(err)
		s := orders.New(orders.Options{Store: objects, Authority: &fixedAuthority{clock, 2, time.Now()}, Engine: e})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(s.SettleLoop(ctx, func() []topo.Upstream { return []topo.Upstream{{Name: "a", Kind: topo.KindEngine}} }))
		o, err := objects.Get(t.Context(), topo.KindOrder, "a")
		is.NoErr(err)
		r, err := topo.Decode[topo.Order](o.Value)
		is.NoErr(err)
		is.Equal(r.State, topo.OrderDone)
		is.Equal(r.Fencing, uint64(2))
		is.Equal(len(e.sent), 1)
	})
}
