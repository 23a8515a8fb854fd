package gateway

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Explain returns what would become of w's request if it were submitted now. w is not run, and no later decision changes. The request
// gets the ID that the next real one would have. related selects the upstreams that are listed though they don't serve the request.
func (g *Gateway) Explain(ctx context.Context, w *Work, related func(*topo.Upstream) bool) (*scheduler.Explanation, *result.Error) {
	if err := g.opts.Quarantine.Check(w.Fingerprint); err != nil {
		return nil, err
	}
	r := w.Request
	r.ID = g.lastID.Load() + 1
	type answer struct {
		x   *scheduler.Explanation
		err error
	}
	done := make(chan answer, 1) // the scheduler's goroutine does not wait for a caller that has left
	ask := event{kind: evAsk, do: func(now time.Duration, s *scheduler.Scheduler) {
		x, err := s.Explain(now, r, related)
		done <- answer{x, err}
	}}
	if err := g.loop.ring.Put(ctx, ask); err != nil {
		return nil, result.New(result.ShuttingDown, "the scheduler does not answer").WithCause(err)
	}
	select {
	case a := <-done:
		if a.err != nil {
			return nil, result.From(a.err)
		}
		return a.x, nil
	case <-ctx.Done():
		return nil, result.New(result.ShuttingDown, "the scheduler does not answer").WithCause(context.Cause(ctx))
	}
}
