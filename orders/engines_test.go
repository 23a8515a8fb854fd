package orders_test

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// engine is a fake engine that accepts an order at any time. With checksFencing it refuses old fencing numbers.
type engine struct {
	w             *simulation
	name          string
	checksFencing bool
	boot          uint64
	fencing       uint64
	order         topo.Order
	state         topo.EngineOrderState
	ends          time.Time
	hangs         bool
	late          bool            // the order was sent after its sender's lease had lapsed
	receivedLate  bool            // a late order has arrived since the start, so that others may be resent
	taken         map[string]bool // plans whose order was accepted since the start
	settled       uint64          // highest fencing number of an order that this engine has done
}

func (e *engine) status() topo.EngineStatus {
	if e.state == topo.EngineRunning && !e.hangs && !e.w.now.Before(e.ends) {
		e.state = topo.EngineDone
		e.settled = max(e.settled, e.order.Fencing)
	}
	s := topo.EngineStatus{OrderID: e.order.ID, State: e.state, Boot: e.boot, Role: e.order.Role}
	if e.checksFencing {
		s.Fencing = e.fencing
	}
	return s
}

func (e *engine) crash() {
	e.boot++
	e.order, e.state, e.hangs, e.receivedLate, e.taken = topo.Order{}, topo.EngineIdle, false, false, map[string]bool{}
}

// receive processes an order that has arrived.
func (e *engine) receive(m *message) (topo.EngineStatus, error) {
	o := m.order
	if e.checksFencing && o.Fencing < e.fencing {
		return e.status(), result.New(result.FencingStale, "stale")
	}
	e.status()
	if e.checksFencing && o.Fencing < e.settled {
		e.w.violation("%s applied order %s after an order with number %d was done", e.name, o.ID, e.settled)
	}
	if e.state == topo.EngineRunning && e.order.Role != o.Role {
		// A conflict is allowed only if the engine ignores fencing numbers and the sender of one of the two orders was paused
		// before the send for longer than its lease.
		if e.checksFencing || !(m.late || e.late) {
			e.w.violation("%s got order %s (%s) while it ran %s (%s)", e.name, o.ID, o.Role, e.order.ID, e.order.Role)
		}
		e.w.orders.conflicts++
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.order, e.state, e.late = o, topo.EngineRunning, m.late
	e.receivedLate = e.receivedLate || m.late
	if e.taken[o.Plan] && !e.receivedLate {
		e.w.violation("%s took %s twice, the second time as order %s", e.name, o.Plan, o.ID)
	}
	e.taken[o.Plan] = true
	e.ends = e.w.now.Add(time.Duration(1+e.w.rng.IntN(8)) * time.Second)
	return e.status(), nil
}

// message is an order in flight. It arrives even if its sender is paused or killed.
type message struct {
	order   topo.Order
	engine  *engine
	arrives time.Time
	late    bool // sent after the sender's lease had lapsed
	lost    bool // the answer is lost
	done    bool
	status  topo.EngineStatus
	err     error
}

func (w *simulation) deliver() {
	rest := w.messages[:0]
	for _, m := range w.messages {
		if w.now.Before(m.arrives) {
			rest = append(rest, m)
			continue
		}
		m.status, m.err = m.engine.receive(m)
		m.done = true
	}
	w.messages = rest
}

// engineClient is one activity's client of the engines.
type engineClient struct{ *activity }

func (l *engineClient) Send(_ context.Context, address string, o topo.Order) (topo.EngineStatus, error) {
	w := l.n.w
	if t, err := l.n.lease.Check(o.Group, sendTimeout-time.Millisecond); err != nil || t.Fencing != o.Fencing {
		w.violation("%s sends order %s without a lease that outlasts the send", l.n.name, o.ID)
	}
	// The process may be paused between its last check of the lease and the send.
	if !l.faultPoint(10) {
		return topo.EngineStatus{}, errDead
	}
	// A send whose deadline passed during the pause can still take place: the process resumes inside the write call.
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
		if !l.yieldUntil(w.now.Add(100 * time.Millisecond)) {
			return topo.EngineStatus{}, errDead
		}
		if !w.now.Before(deadline) {
			return topo.EngineStatus{}, store.ErrUnavailable
		}
	}
	return m.status, m.err
}

func (l *engineClient) Current(_ context.Context, address string) (topo.EngineStatus, error) {
	if !l.faultPoint(300) {
		return topo.EngineStatus{}, errDead
	}
	s := l.n.w.engine(address).status()
	if !l.yieldUntil(l.n.w.now) {
		return topo.EngineStatus{}, errDead
	}
	return s, nil
}

func (w *simulation) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
