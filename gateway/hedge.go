package gateway

import (
	"context"
	"errors"

	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/upstream"
)

// attemptID identifies one of the concurrent attempts of a request. The zero value stands for none.
type attemptID struct {
	attempt int
	hedge   bool
}

// hedge is a second attempt that runs concurrently with the current one.
type hedge struct {
	cancel context.CancelCauseFunc
	done   chan error
}

// win reports whether the attempt of act provides the request's output. The first of two concurrent attempts to call it, at
// its first output, wins; the other one is cancelled.
func (g *Gateway) win(f *inFlight, act *action) bool {
	first, won := f.claimOutput(act)
	if first && act.hedge {
		g.loop.send(event{kind: evHedgeSettled, request: f, attempt: act.attempt, n: 1})
	}
	return won
}

// claimOutput reports whether this call decided the winner and whether the attempt of act is the winner.
func (f *inFlight) claimOutput(act *action) (first, won bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := attemptID{act.attempt, act.hedge}
	if f.winner != (attemptID{}) {
		return false, f.winner == self
	}
	f.winner = self
	f.ran = true
	if act.hedge {
		f.cancel(errSuperseded)
		f.cancel, f.decodeUpstream = act.cancel, act.decode
	} else if f.hedge != nil {
		f.hedge.cancel(errSuperseded)
	}
	return true, true
}

// Superseded reports whether the context of an attempt has ended because another attempt of the request was faster.
func Superseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// Preempted reports whether the context of an attempt has ended because the scheduler gives the request to another upstream.
func Preempted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errPreempted) }

// startHedge starts a second attempt beside the current one, unless the current one has ended or the quarantine gives no
// permit. It reports whether it has, and must not block, since the loop's goroutine calls it.
func (g *Gateway) startHedge(f *inFlight, act action) (started bool) {
	if !f.idempotent {
		return false
	}
	permit, ok := g.opts.Quarantine.TryBegin(f.fingerprint)
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.winner != (attemptID{}) || f.hedge != nil || f.hedgesEnded || f.openAttempts == 0 || f.attemptNumber != act.attempt {
		permit.End(quarantine.Result{})
		return false
	}
	ctx, cancel := context.WithCancelCause(f.ctx)
	h := &hedge{cancel: cancel, done: make(chan error, 1)}
	f.hedge, act.hedge, act.cancel = h, true, cancel
	g.metrics.hedges.Inc()
	g.active.add()
	go func() {
		defer g.active.done()
		defer cancel(nil)
		err := asMoveFailure(ctx, f.attempt(ctx, &act))
		permit.End(quarantineResult(f, err))
		switch {
		case err == nil:
		case ctx.Err() != nil || !upstreamFailed(err): // superseded or the request has ended: not a failure of the upstream
			g.loop.send(event{kind: evHedgeSettled, request: f, attempt: act.attempt})
		default:
			g.loop.send(event{kind: evHedgeFailed, request: f, attempt: act.attempt, n: 1, outcome: asFailure(err).Outcome})
		}
		h.done <- err
	}()
	return true
}

// joinHedge waits for the hedge of an attempt that ended with err, and returns the combined result of the two. After a crash it
// cancels the hedge, which runs the same request at another upstream and might crash that one too.
func (g *Gateway) joinHedge(ctx context.Context, f *inFlight, attempt int, err error, crashed bool) error {
	f.mu.Lock()
	h := f.hedge
	f.hedge, f.hedgesEnded = nil, true
	superseded := Superseded(ctx)
	f.mu.Unlock()
	if h == nil {
		return err
	}
	if err == nil || crashed || (ctx.Err() != nil && !superseded) {
		cause := errSuperseded
		if err != nil {
			cause = errFirstEnded
		}
		h.cancel(cause)
		f.recordFailure(<-h.done)
		return err
	}
	if !superseded && upstreamFailed(err) {
		g.loop.send(event{kind: evHedgeFailed, request: f, attempt: attempt, outcome: asFailure(err).Outcome})
	}
	hedgeErr := <-h.done
	f.recordFailure(err)
	if hedgeErr != nil && certainlyNotRun(hedgeErr) && !superseded && !certainlyNotRun(err) {
		return err // the first attempt may have run, although the hedge did not
	}
	return hedgeErr
}

// upstreamFailed reports whether err is a failure of the upstream, and not a refusal by the gateway.
func upstreamFailed(err error) bool {
	var f *upstream.Failure
	return errors.As(err, &f)
}
