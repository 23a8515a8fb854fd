package gateway

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Work is a request of another front end, which implements its own protocol and shares the scheduler, retries and quarantine.
type Work struct {
	// Request describes the request to the scheduler. Submit sets ID; times are as returned by Gateway.SchedulerTime.
	Request     policy.Request
	Fingerprint quarantine.Fingerprint
	// Attempt sends the request once. It returns nil after a complete answer, or a *upstream.Failure. Attempts of an idempotent
	// request may run concurrently.
	Attempt func(ctx context.Context, p *Placement) error
}

// Placement is the scheduler's choice of upstreams for an attempt.
type Placement struct {
	Prefill topo.Upstream
	Decode  topo.Upstream // equal to Prefill unless two engines share the attempt
	Source  topo.Upstream // upstream to fetch cached pieces from; empty name: none
	Number  int           // of the attempt, from 1
	Moves   int           // earlier attempts that were ended by a move of their prompt, and so have not run
	Hedge   bool
	Cached  int // pieces expected in the cache of Prefill
	// Estimates behind the scheduler's choice.
	ExpectedFirst time.Duration // from the dispatch to the first output
	Backlog       float64       // prompt tokens queued ahead at Prefill

	g   *Gateway
	f   *inFlight
	act *action
}

// First reports whether this is the first attempt, apart from those that were ended by a move of their prompt.
func (p *Placement) First() bool { return p.Number-p.Moves == 1 }

// Win claims the request's output for this attempt and reports whether the claim succeeded. Only the winning attempt may write
// to the caller.
func (p *Placement) Win() bool { return p.g.win(p.f, p.act) }

// PromptSent records that Prefill is about to be asked for the prompt only. Until PromptComputed, the scheduler may then cancel this
// attempt and give the request to another engine, since it has not run.
func (p *Placement) PromptSent() {
	p.g.loop.send(event{kind: evPromptSent, request: p.f, attempt: p.act.attempt})
}

// PromptComputed records that the prompt is computed at Prefill, and sets Decode to the engine that generates. It returns false
// if no engine accepts the computed prompt or the request has been abandoned.
func (p *Placement) PromptComputed(ctx context.Context) bool {
	return p.repick(ctx, func(now time.Duration, s *scheduler.Scheduler) int {
		decode, actions := s.PromptComputed(now, &p.f.req)
		p.g.loop.deliverAll(actions)
		return decode
	})
}

// RetryHandOver records the outcome of a hand-over to Decode that did not take place, RefusedNotRun or FailedBeforeSend,
// and sets Decode to another engine. It returns false if no engine is left or no further send is allowed.
func (p *Placement) RetryHandOver(ctx context.Context, o policy.Outcome) bool {
	return p.repick(ctx, func(now time.Duration, s *scheduler.Scheduler) int { return s.RetryHandOver(now, &p.f.req, o) })
}

func (p *Placement) repick(ctx context.Context, pick func(time.Duration, *scheduler.Scheduler) int) bool {
	var decode *topo.Upstream // may be set after ctx has ended, when it must not be read
	err := p.g.loop.do(ctx, evPlace, func(now time.Duration, s *scheduler.Scheduler) {
		if p.f.current != p.act.attempt {
			return
		}
		if i := pick(now, s); i != policy.None {
			spec := s.Fleet().Upstreams[i].Spec
			decode = &spec
		}
	})
	if err != nil || decode == nil {
		return false
	}
	p.Decode = *decode
	return true
}

// ReportOutput reports received output to the scheduler; first is set for the first output of this attempt.
func (p *Placement) ReportOutput(first bool, tokens int) {
	if first {
		p.g.loop.send(event{kind: evFirstToken, request: p.f, attempt: p.act.attempt})
	}
	if tokens > 0 {
		p.g.loop.send(event{kind: evProgress, request: p.f, n: tokens})
	}
}

// Submit offers a request to the scheduler and runs its attempts in the calling goroutine, until one succeeds, the request is
// refused or ctx ends. The error states whether the request ran.
func (g *Gateway) Submit(ctx context.Context, w *Work) *result.Error {
	if err := g.opts.Quarantine.Check(w.Fingerprint); err != nil {
		return err
	}
	g.active.add()
	defer g.active.done()
	f := newInFlight(g.lastID.Add(1))
	id := f.req.ID
	f.req = w.Request
	f.req.ID = id
	f.fingerprint, f.idempotent, f.ctx = w.Fingerprint, w.Request.Idempotent, ctx
	f.attempt = func(ctx context.Context, act *action) error {
		p := &Placement{
			Prefill: act.prefill, Decode: act.decode, Number: act.attempt, Moves: act.moves, Hedge: act.hedge, Cached: act.cached,
			ExpectedFirst: act.expectedFirst, Backlog: act.backlog, g: g, f: f, act: act,
		}
		if act.source != nil {
			p.Source = *act.source
		}
		return w.Attempt(ctx, p)
	}
	g.loop.send(event{kind: evOffer, request: f})
	return g.carryOut(ctx, f)
}
