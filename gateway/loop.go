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
	evFirstToken
	evProgress
	evPromptSent   // the call for the prompt only is sent
	evFinished     // the attempt has ended; the scheduler decides whether to retry
	evHedgeSettled // the hedge has won (n is 1) or ended without being used
	evHedgeFailed  // one of two concurrent attempts has failed: the hedge (n is 1) or the first one; the other may continue
	evAbandoned    // the caller no longer waits for the request
	evTick
	evDo
	evCall  // as evDo, without a tick
	evPlace // as evDo; chooses upstreams for a request
	evAsk   // as evCall; asks what would be chosen
)

// mayDecide reports whether the scheduler may place a request on an event of the kind.
func (k eventKind) mayDecide() bool {
	switch k {
	case evOffer, evFinished, evAbandoned, evTick, evPlace, evAsk:
		return true
	}
	return false
}

// changesLoad reports whether an event of the kind may change the load of upstreams.
func (k eventKind) changesLoad() bool {
	switch k {
	case evOffer, evFirstToken, evFinished, evHedgeSettled, evHedgeFailed, evAbandoned, evPlace:
		return true
	}
	return false
}

// event is an input of the loop.
type event struct {
	kind    eventKind
	request *inFlight
	attempt int
	n       int // tokens of evProgress; 1 or 0 as a flag of evHedgeSettled and evHedgeFailed
	outcome policy.Outcome
	do      func(now time.Duration, s *scheduler.Scheduler) // of evDo, evCall, evPlace and evAsk
}

// action is an action of the scheduler with a copy of the data that the request's goroutine needs to carry it out.
type action struct {
	scheduler.Action
	attempt         int
	prefill, decode topo.Upstream
	source          *topo.Upstream // upstream to fetch cached pieces from; nil: none
	cached          int            // pieces expected in the cache of prefill
	expectedFirst   time.Duration
	backlog         float64 // prompt tokens queued ahead at prefill
	hedge           bool
	moves           int                     // earlier attempts that were ended by a move of their prompt
	cancel          context.CancelCauseFunc // set for a hedge
}

// tickInterval is the time between two ticks of the scheduler, which reconsider queued requests.
const tickInterval = 20 * time.Millisecond

// loop runs the goroutine that owns the scheduler.
type loop struct {
	sched      *scheduler.Scheduler
	ring       *ring.Ring[event]
	now        func() time.Duration
	startHedge func(f *inFlight, act action) (started bool)
	inFlight   map[uint64]*inFlight
	metrics    *metricSet
	exclusions *exclusions
	// refresh and loadChanged are Options.Refresh and Options.LoadChanged; nil: none.
	refresh     func(now time.Duration, s *scheduler.Scheduler)
	loadChanged func()
	orphans     []*policy.Request // dispatched or preempted, but no longer in flight
	unstarted   []event           // hedges that have not been started, with the attempt that they belong to
	queued      atomic.Int64
	running     atomic.Int64
	limited     atomic.Bool // an upstream is limited
}

func newLoop(s *scheduler.Scheduler, size int, now func() time.Duration, startHedge func(*inFlight, action) bool) *loop {
	return &loop{sched: s, ring: ring.New[event](size), now: now, startHedge: startHedge, inFlight: map[uint64]*inFlight{}}
}

// do runs f in the loop's goroutine, as an event of the kind evDo, evCall or evPlace, and waits for it to return.
func (l *loop) do(ctx context.Context, kind eventKind, f func(now time.Duration, s *scheduler.Scheduler)) error {
	done := make(chan struct{})
	wrapped := func(now time.Duration, s *scheduler.Scheduler) {
		defer close(done)
		f(now, s)
	}
	if err := l.ring.Put(ctx, event{kind: kind, do: wrapped}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// send queues an event for the loop. It blocks while the ring is full, which delays only the calling goroutine.
func (l *loop) send(e event) { _ = l.ring.Put(context.Background(), e) }

func (l *loop) run(ctx context.Context) error {
	defer l.ring.Abort()
	go l.runTicker(ctx)
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
		l.limited.Store(l.sched.Limited())
	}
}

func (l *loop) runTicker(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
	now, f := l.now(), e.request
	if l.refresh != nil && e.kind.mayDecide() {
		l.refresh(now, l.sched)
	}
	switch e.kind {
	case evOffer:
		l.inFlight[f.req.ID] = f
		f.offered = now
		l.deliverAll(l.sched.Offer(now, &f.req))
	case evFirstToken:
		if f.req.Generated == 0 { // the caller of a resumed stream got its first token earlier
			l.metrics.firstToken(f.req.Class, now-f.offered)
		}
		if f.current == e.attempt {
			l.sched.FirstToken(now, &f.req)
		}
	case evProgress:
		l.sched.Progress(now, &f.req, e.n)
	case evPromptSent:
		if f.current == e.attempt {
			l.sched.PromptSent(now, &f.req)
		}
	case evFinished:
		l.finished(now, e)
	case evHedgeSettled:
		if f.current == e.attempt {
			l.sched.HedgeSettled(now, &f.req, e.n == 1)
		}
	case evHedgeFailed:
		if f.current == e.attempt {
			l.sched.HedgeFailed(now, &f.req, e.n == 1, e.outcome)
		}
	case evAbandoned:
		l.abandon(now, e)
	case evTick:
		l.deliverAll(l.sched.Tick(now))
		if l.exclusions != nil {
			l.exclusions.update(now, l.sched)
		}
	case evDo, evPlace:
		e.do(now, l.sched)
		l.deliverAll(l.sched.Tick(now))
	case evCall, evAsk:
		e.do(now, l.sched)
	}
	l.dropUnstarted()
	l.dropOrphans(now)
	if l.loadChanged != nil && e.kind.changesLoad() {
		l.loadChanged()
	}
}

func (l *loop) finished(now time.Duration, e event) {
	f := e.request
	if f.current == e.attempt && f.current != 0 {
		if e.outcome == policy.Completed {
			delete(l.inFlight, f.req.ID)
		}
		f.current = 0
		l.deliverAll(l.sched.Finished(now, &f.req, e.outcome))
		return
	}
	if e.outcome == policy.Completed { // it completed before the preemption took effect
		l.abandon(now, event{request: f, outcome: policy.Cancelled})
	}
}

func (l *loop) abandon(now time.Duration, e event) {
	f := e.request
	delete(l.inFlight, f.req.ID)
	if f.current != 0 {
		f.current = 0
		l.deliverAll(l.sched.Finished(now, &f.req, e.outcome))
		return
	}
	l.sched.Cancel(now, &f.req)
}

// deliverAll passes actions on to the requests' goroutines. The slice is valid only until the next call of the scheduler, so that
// no method that changes the scheduler may be called here.
func (l *loop) deliverAll(actions []scheduler.Action) {
	for _, a := range actions {
		f, ok := l.inFlight[a.Request.ID]
		if !ok {
			if a.Kind == scheduler.Dispatch || a.Kind == scheduler.Preempt {
				l.orphans = append(l.orphans, a.Request)
			}
			continue
		}
		l.deliver(f, a)
	}
}

func (l *loop) deliver(f *inFlight, a scheduler.Action) {
	act := action{Action: a, attempt: f.current}
	if a.Kind == scheduler.Dispatch || a.Kind == scheduler.Hedge {
		act.prefill = l.sched.Fleet().Upstreams[a.Prefill].Spec
		act.decode = act.prefill
		if a.Decode != a.Prefill && a.Decode != policy.None && a.Kind == scheduler.Dispatch {
			act.decode = l.sched.Fleet().Upstreams[a.Decode].Spec
		}
		if a.Source != nil {
			act.source = &a.Source.Spec
		}
		act.moves = f.moves
		act.cached, act.expectedFirst, act.backlog = a.Request.Cached, a.Request.ExpectedFirst, a.Request.Backlog
	}
	switch a.Kind {
	case scheduler.Dispatch:
		if f.dispatches == 0 {
			l.metrics.queueTime(f.req.Class, l.now()-f.offered)
		}
		f.dispatches++
		act.attempt = f.dispatches
		f.current = act.attempt
		f.actions.TryPut(act)
	case scheduler.Preempt:
		f.preempt(f.current)
		f.current = 0
		if a.Moved {
			f.moves++
		}
	case scheduler.Hedge:
		if !l.startHedge(f, act) {
			l.unstarted = append(l.unstarted, event{request: f, attempt: act.attempt})
		}
	case scheduler.Refuse:
		if f.idempotent { // a call that must not be repeated is not cancelled once sent, so that its outcome is known
			f.preempt(f.current)
		}
		f.current = 0
		delete(l.inFlight, a.Request.ID)
		f.actions.TryPut(act)
	}
}

// dropUnstarted tells the scheduler which hedges have not been started.
func (l *loop) dropUnstarted() {
	for _, e := range l.unstarted {
		if e.request.current == e.attempt {
			l.sched.HedgeNotStarted(&e.request.req)
		}
	}
	l.unstarted = l.unstarted[:0]
}

// dropOrphans cancels, in the scheduler, the requests that are no longer in flight.
func (l *loop) dropOrphans(now time.Duration) {
	for len(l.orphans) > 0 {
		r := l.orphans[0]
		l.orphans = l.orphans[1:]
		if !l.sched.Cancel(now, r) {
			l.deliverAll(l.sched.Finished(now, r, policy.Cancelled))
		}
	}
	l.orphans = nil
}
