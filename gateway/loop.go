package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/ring"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

type eventKind int

const (
	evOffer eventKind = iota
	evFirst
	evProgress
	evFinished // the attempt has ended; the scheduler decides what follows
	evHedge    // the hedge has won (n is 1) or was overtaken
	evFailed   // the hedge (n is 1) or the attempt beside it has failed while the other one may go on
	evLeave    // nobody waits for the request any more
	evTick
	evDo
)

// event is what the scheduler's goroutine takes from its ring.
type event struct {
	kind    eventKind
	flight  *flight
	attempt int
	n       int
	outcome policy.Outcome
	do      func(now time.Duration, s *scheduler.Scheduler)
}

// order is an action of the scheduler as the request's goroutine needs it.
type order struct {
	scheduler.Action
	attempt         int
	prefill, decode topo.Upstream
	source          *topo.Upstream // nil: nothing is fetched
	cached          int            // pieces believed cached at prefill
	expectedFirst   time.Duration
	backlog         float64 // prompt tokens ahead at prefill
	hedge           bool
	cancel          context.CancelCauseFunc // of a hedge
}

// tickEvery is how often waiting requests are looked at again.
const tickEvery = 20 * time.Millisecond

// loop is the goroutine that owns the scheduler.
type loop struct {
	sched      *scheduler.Scheduler
	ring       *ring.Ring[event]
	now        func() time.Duration
	hedge      func(f *flight, o order)
	flights    map[uint64]*flight
	metrics    *metricSet
	exclusions *exclusions
	orphans    []*policy.Request // dispatched, but nobody waits for them
	queued     atomic.Int64
	running    atomic.Int64
}

func newLoop(s *scheduler.Scheduler, size int, now func() time.Duration, hedge func(*flight, order)) *loop {
	return &loop{sched: s, ring: ring.New[event](size), now: now, hedge: hedge, flights: map[uint64]*flight{}}
}

func (l *loop) do(ctx context.Context, f func(now time.Duration, s *scheduler.Scheduler)) error {
	done := make(chan struct{})
	wrapped := func(now time.Duration, s *scheduler.Scheduler) {
		defer close(done)
		f(now, s)
	}
	if err := l.ring.Put(ctx, event{kind: evDo, do: wrapped}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// send hands an event to the loop. It waits while the ring is full, which holds back the request's own goroutine only.
func (l *loop) send(e event) { _ = l.ring.Put(context.Background(), e) }

func (l *loop) run(ctx context.Context) error {
	defer l.ring.Abort()
	go l.ticks(ctx)
	for {
		e, err := l.ring.Get(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, ring.ErrClosed) {
				return nil
			}
			return err
		}
		l.handle(e)
		l.queued.Store(int64(l.sched.Queued()))
		l.running.Store(int64(l.sched.InFlight()))
	}
}

func (l *loop) ticks(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if l.queued.Load()+l.running.Load() > 0 {
				l.ring.TryPut(event{kind: evTick})
			}
		}
	}
}

func (l *loop) handle(e event) {
	now, f := l.now(), e.flight
	switch e.kind {
	case evOffer:
		l.flights[f.req.ID] = f
		f.offered = now
		l.apply(l.sched.Offer(now, &f.req))
	case evFirst:
		if f.req.Generated == 0 { // the caller of a resumed stream had its first token before
			l.metrics.firstToken(f.req.Class, now-f.offered)
		}
		if f.running == e.attempt {
			l.sched.FirstToken(now, &f.req)
		}
	case evProgress:
		l.sched.Progress(now, &f.req, e.n)
	case evFinished:
		l.finished(now, e)
	case evHedge:
		if f.running == e.attempt {
			l.sched.HedgeSettled(now, &f.req, e.n == 1)
		}
	case evFailed:
		if f.running == e.attempt {
			l.sched.HedgeFailed(now, &f.req, e.n == 1, e.outcome)
		}
	case evLeave:
		l.leave(now, e)
	case evTick:
		l.apply(l.sched.Tick(now))
		if l.exclusions != nil {
			l.exclusions.look(now, l.sched)
		}
	case evDo:
		e.do(now, l.sched)
		l.apply(l.sched.Tick(now))
	}
	l.dropOrphans(now)
}

func (l *loop) finished(now time.Duration, e event) {
	f := e.flight
	if f.running == e.attempt && f.running != 0 {
		f.running = 0
		l.apply(l.sched.Finished(now, &f.req, e.outcome))
		return
	}
	if e.outcome == policy.Completed { // it ended while the scheduler preempted it
		l.leave(now, event{flight: f, outcome: policy.Cancelled})
	}
}

func (l *loop) leave(now time.Duration, e event) {
	f := e.flight
	delete(l.flights, f.req.ID)
	if f.running != 0 {
		f.running = 0
		l.apply(l.sched.Finished(now, &f.req, e.outcome))
		return
	}
	l.sched.Cancel(now, &f.req)
}

// apply hands actions to the requests' goroutines. The scheduler's slice is valid until its next call, so nothing here calls it.
func (l *loop) apply(actions []scheduler.Action) {
	for _, a := range actions {
		f, ok := l.flights[a.Request.ID]
		if !ok {
			if a.Kind == scheduler.Dispatch || a.Kind == scheduler.Preempt {
				l.orphans = append(l.orphans, a.Request)
			}
			continue
		}
		l.deliver(f, a)
	}
}

func (l *loop) deliver(f *flight, a scheduler.Action) {
	o := order{Action: a, attempt: f.running}
	if a.Kind == scheduler.Dispatch || a.Kind == scheduler.Hedge {
		o.prefill = l.sched.Fleet().Upstreams[a.Prefill].Spec
		o.decode = o.prefill
		if a.Decode != a.Prefill && a.Decode != policy.None && a.Kind == scheduler.Dispatch {
			o.decode = l.sched.Fleet().Upstreams[a.Decode].Spec
		}
		if a.Source != nil {
			o.source = &a.Source.Spec
		}
		o.cached, o.expectedFirst, o.backlog = a.Request.Cached, a.Request.ExpectedFirst, a.Request.Backlog
	}
	switch a.Kind {
	case scheduler.Dispatch:
		if f.dispatched == 0 {
			l.metrics.leftQueue(f.req.Class, l.now()-f.offered)
		}
		f.dispatched++
		o.attempt = f.dispatched
		f.running = o.attempt
		f.mail.TryPut(o)
	case scheduler.Preempt:
		f.preempt(f.running)
		f.running = 0
	case scheduler.Hedge:
		// A hedge that does not start stays on the scheduler's books until the attempt in hand ends. Settled at once, it
		// would be tried again at the next tick, and each try counts as an attempt of the request.
		l.hedge(f, o)
	case scheduler.Refuse:
		if f.idempotent { // a call that is sent and must not be repeated goes on, so that its outcome is known
			f.preempt(f.running)
		}
		f.running = 0
		delete(l.flights, a.Request.ID)
		f.mail.TryPut(o)
	}
}

// dropOrphans ends attempts that were dispatched for requests nobody waits for.
func (l *loop) dropOrphans(now time.Duration) {
	for len(l.orphans) > 0 {
		r := l.orphans[0]
		l.orphans = l.orphans[1:]
		if !l.sched.Cancel(now, r) {
			l.apply(l.sched.Finished(now, r, policy.Cancelled))
		}
	}
	l.orphans = nil
}
