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

// Work is a request of another front, which brings its own protocol and shares the scheduler, the retries and the quarantine.
type Work struct {
	// Request is what the decisions need to know. Submit sets ID; times are as of Gateway.Since.
	Request     policy.Request
	Fingerprint quarantine.Fingerprint
	// Attempt sends the request once. It returns nil after a whole answer, or a *upstream.Failure. Attempts of an idempotent call may
	// run beside one another.
	Attempt func(ctx context.Context, p *Placement) error
}

// Placement is where an attempt runs.
type Placement struct {
	Prefill topo.Upstream
	Decode  topo.Upstream // equal to Prefill unless the prompt is computed elsewhere
	Source  topo.Upstream // from which cached pieces are fetched; no name: none
	Number  int
	Hedge   bool
	Cached  int // pieces believed cached at Prefill
	// What the decision rested on.
	ExpectedFirst time.Duration // from the dispatch to the first output
	Backlog       float64       // prompt tokens ahead at Prefill

	g *Gateway
	f *flight
	o *order
}

// Win claims the request's output for this attempt. Only the attempt that has it may write to the caller.
func (p *Placement) Win() bool { return p.g.win(p.f, p.o) }

// PromptComputed tells that the prompt is computed and waits at Prefill, and sets Decode to the engine that generates. It is false
// when no engine takes the prompt over, or when nobody waits for the request any more.
func (p *Placement) PromptComputed(ctx context.Context) bool {
	return p.repick(ctx, func(now time.Duration, s *scheduler.Scheduler) int {
		decode, actions := s.PromptComputed(now, &p.f.req)
		p.g.loop.apply(actions)
		return decode
	})
}

// HandOverRefused tells that Decode has refused the computed prompt, and sets Decode to another engine. It is false when none is left
// or no further send is allowed.
func (p *Placement) HandOverRefused(ctx context.Context) bool {
	return p.repick(ctx, func(now time.Duration, s *scheduler.Scheduler) int { return s.HandOverRefused(now, &p.f.req) })
}

func (p *Placement) repick(ctx context.Context, pick func(time.Duration, *scheduler.Scheduler) int) bool {
	ok := false
	err := p.g.loop.do(ctx, func(now time.Duration, s *scheduler.Scheduler) {
		if p.f.running != p.o.attempt {
			return
		}
		decode := pick(now, s)
		if ok = decode != policy.None; ok {
			p.Decode = s.Fleet().Upstreams[decode].Spec
		}
	})
	return ok && err == nil
}

// Output tells of output that has come; first says that it is the first of this attempt.
func (p *Placement) Output(first bool, tokens int) {
	if first {
		p.g.loop.send(event{kind: evFirst, flight: p.f, attempt: p.o.attempt})
	}
	if tokens > 0 {
		p.g.loop.send(event{kind: evProgress, flight: p.f, n: tokens})
	}
}

// Submit offers a request to the scheduler and carries out its attempts in the calling goroutine, until one has succeeded or the
// request is refused or ctx ends. The error says whether the request ran.
func (g *Gateway) Submit(ctx context.Context, w *Work) *result.Error {
	if err := g.opts.Quarantine.Check(w.Fingerprint); err != nil {
		return err
	}
	g.active.add()
	defer g.active.done()
	f := newFlight(g.lastID.Add(1))
	id := f.req.ID
	f.req = w.Request
	f.req.ID = id
	f.fingerprint, f.idempotent, f.ctx = w.Fingerprint, w.Request.Idempotent, ctx
	f.attempt = func(ctx context.Context, o *order) error {
		p := &Placement{Prefill: o.prefill, Decode: o.decode, Number: o.attempt, Hedge: o.hedge, Cached: o.cached, ExpectedFirst: o.expectedFirst, Backlog: o.backlog, g: g, f: f, o: o}
		if o.source != nil {
			p.Source = *o.source
		}
		return w.Attempt(ctx, p)
	}
	g.loop.send(event{kind: evOffer, flight: f})
	return g.pump(ctx, f)
}
