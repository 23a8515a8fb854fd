package orders_test

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// engine takes any order at any time; checks says whether it refuses old fencing numbers.
type engine struct {
	w       *world
	name    string
	checks  bool
	boot    uint64
	fencing uint64
	order   topo.Order
	state   topo.EngineOrderState
	ends    time.Time
	hangs   bool
	late    bool            // the order left after its sender's lease had lapsed
	mixed   bool            // a late order has arrived since the start, after which others may be sent again
	taken   map[string]bool // plans whose order was taken since the start
	settled uint64          // highest fencing number of an order that ended as done here
}

func (e *engine) status() topo.EngineStatus {
	if e.state == topo.EngineRunning && !e.hangs && !e.w.now.Before(e.ends) {
		e.state = topo.EngineDone
		e.settled = max(e.settled, e.order.Fencing)
	}
	s := topo.EngineStatus{OrderID: e.order.ID, State: e.state, Boot: e.boot, Role: e.order.Role}
	if e.checks {
		s.Fencing = e.fencing
	}
	return s
}

func (e *engine) crash() {
	e.boot++
	e.order, e.state, e.hangs, e.mixed, e.taken = topo.Order{}, topo.EngineIdle, false, false, map[string]bool{}
}

// take is the arrival of an order.
func (e *engine) take(m *message) (topo.EngineStatus, error) {
	o := m.order
	if e.checks && o.Fencing < e.fencing {
		return e.status(), result.New(result.FencingStale, "stale")
	}
	e.status()
	if e.checks && o.Fencing < e.settled {
		e.w.violation("%s applied order %s after an order with number %d was done", e.name, o.ID, e.settled)
	}
	if e.state == topo.EngineRunning && e.order.Role != o.Role {
		// Allowed only where the page says so: the engine ignores the number, and the sender of one of both orders was paused
		// before the send for longer than its lease.
		if e.checks || !(m.late || e.late) {
			e.w.violation("%s got order %s (%s) while it ran %s (%s)", e.name, o.ID, o.Role, e.order.ID, e.order.Role)
		}
		e.w.orders.window++
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.order, e.state, e.late = o, topo.EngineRunning, m.late
	e.mixed = e.mixed || m.late
	if e.taken[o.Plan] && !e.mixed {
		e.w.violation("%s took %s twice, the second time as order %s", e.name, o.Plan, o.ID)
	}
	e.taken[o.Plan] = true
	e.ends = e.w.now.Add(time.Duration(1+e.w.rng.IntN(8)) * time.Second)
	return e.status(), nil
}

// message is an order under way. It arrives even if its sender is paused or killed.
type message struct {
	order   topo.Order
	engine  *engine
	arrives time.Time
	late    bool // it left after the sender's lease had lapsed
	lost    bool // the answer is lost
	done    bool
	status  topo.EngineStatus
	err     error
}

func (w *world) deliver() {
	rest := w.messages[:0]
	for _, m := range w.messages {
		if w.now.Before(m.arrives) {
			rest = append(rest, m)
			continue
		}
		m.status, m.err = m.engine.take(m)
		m.done = true
	}
	w.messages = rest
}

// line is the way of one activity to the engines.
type line struct{ *activity }

func (l *line) Send(_ context.Context, address string, o topo.Order) (topo.EngineStatus, error) {
	w := l.n.w
	if t, err := l.n.lease.Check(o.Group, sendTimeout-time.Millisecond); err != nil || t.Fencing != o.Fencing {
		w.violation("%s sends order %s without a lease that outlasts the send", l.n.name, o.ID)
	}
	// The process may be paused between its last look at the lease and the send.
	if !l.call(10) {
		return topo.EngineStatus{}, errDead
	}
	// A send bound by a deadline that passed in the pause can still leave: the process wakes up inside the write call.
	m := &message{order: o, engine: w.engine(address), lost: w.rng.IntN(5) == 0}
	if t, err := l.n.lease.Check(o.Group, 0); err != nil || t.Fencing != o.Fencing {
		m.late = true
		w.late++
	}
	m.arrives = w.now.Add(time.Duration(w.rng.Int64N(int64(sendTimeout))))
	deadline := w.now.Add(sendTimeout)
	if w.rng.IntN(10) > 0 { // one request in ten is lost
		w.messages = append(w.messages, m)
	}
	for !m.done || m.lost {
		if !l.until(w.now.Add(100 * time.Millisecond)) {
			return topo.EngineStatus{}, errDead
		}
		if !w.now.Before(deadline) {
			return topo.EngineStatus{}, store.ErrUnavailable
		}
	}
	return m.status, m.err
}

func (l *line) Current(_ context.Context, address string) (topo.EngineStatus, error) {
	if !l.call(300) {
		return topo.EngineStatus{}, errDead
	}
	s := l.n.w.engine(address).status()
	if !l.until(l.n.w.now) {
		return topo.EngineStatus{}, errDead
	}
	return s, nil
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
