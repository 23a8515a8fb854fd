package gateway

import (
	"context"
	"errors"

	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/upstream"
)

// racer names one of the attempts that may run at once. The zero value is none.
type racer struct {
	attempt int
	hedge   bool
}

// hedge is a second attempt that runs beside the one in hand.
type hedge struct {
	cancel context.CancelCauseFunc
	done   chan error
}

// win claims the request's output for an attempt and cancels the other one. Attempts of a hedged request race for it when
// their first output comes.
func (g *Gateway) win(f *flight, o *order) bool {
	first, won := f.claimOutput(o)
	if first && o.hedge {
		g.loop.send(event{kind: evHedge, flight: f, attempt: o.attempt, n: 1})
	}
	return won
}

func (f *flight) claimOutput(o *order) (first, won bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	me := racer{o.attempt, o.hedge}
	if f.winner != (racer{}) {
		return false, f.winner == me
	}
	f.winner = me
	f.ran = true
	if o.hedge {
		f.cancel(errOvertaken)
		f.cancel, f.at = o.cancel, o.decode
	} else if f.hedge != nil {
		f.hedge.cancel(errOvertaken)
	}
	return true, true
}

// startHedge runs a second attempt beside the one in hand, unless that has ended or the request is suspect. The loop calls it, so
// that it must not block.
func (g *Gateway) startHedge(f *flight, o order) {
	if !f.idempotent {
		return
	}
	permit, ok := g.opts.Quarantine.TryBegin(f.fingerprint)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.winner != (racer{}) || f.hedge != nil || f.sending == 0 || f.number != o.attempt {
		permit.End(quarantine.Result{})
		return
	}
	ctx, cancel := context.WithCancelCause(f.ctx)
	h := &hedge{cancel: cancel, done: make(chan error, 1)}
	f.hedge, o.hedge, o.cancel = h, true, cancel
	g.metrics.hedges.Inc()
	g.active.add()
	go func() {
		defer g.active.done()
		defer cancel(nil)
		err := moved(ctx, f.attempt(ctx, &o))
		permit.End(runResult(f, err))
		switch {
		case err == nil:
		case ctx.Err() != nil || !upstreamFailed(err): // overtaken, or the request is over: no fault of the upstream
			g.loop.send(event{kind: evHedge, flight: f, attempt: o.attempt})
		default:
			g.loop.send(event{kind: evFailed, flight: f, attempt: o.attempt, n: 1, outcome: asFailure(err).Outcome})
		}
		h.done <- err
	}()
}

// joinHedge waits for the hedge of an attempt that ended with err, and returns how the two ended together. After a crash the hedge
// is cancelled, since it runs the same request at another upstream.
func (g *Gateway) joinHedge(ctx context.Context, f *flight, attempt int, err error, crashed bool) error {
	f.mu.Lock()
	h := f.hedge
	f.hedge = nil
	overtaken := errors.Is(context.Cause(ctx), errOvertaken)
	f.mu.Unlock()
	if h == nil {
		return err
	}
	if err == nil || crashed || (ctx.Err() != nil && !overtaken) {
		h.cancel(errOvertaken)
		f.note(<-h.done)
		return err
	}
	if !overtaken && upstreamFailed(err) {
		g.loop.send(event{kind: evFailed, flight: f, attempt: attempt, outcome: asFailure(err).Outcome})
	}
	other := <-h.done
	f.note(err)
	if other != nil && certainlyNotRun(other) && !overtaken && !certainlyNotRun(err) {
		return err // the request may have run, whatever became of the hedge
	}
	return other
}

// upstreamFailed says whether an attempt ended with a failure of its upstream, and not with a refusal by the gateway.
func upstreamFailed(err error) bool {
	var f *upstream.Failure
	return errors.As(err, &f)
}
