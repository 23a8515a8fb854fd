package forward

import (
	"context"
	"errors"
	"syscall"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// guarded lets an attempt begin only while the request has not had its crashes.
func (x *exchange) guarded(attempt func(context.Context, *gateway.Placement) error) func(context.Context, *gateway.Placement) error {
	return func(ctx context.Context, p *gateway.Placement) error {
		done, wait, refusal := x.f.opts.Crashes.Begin(x.print)
		if refusal != nil {
			return refusal
		}
		defer done()
		if wait > 0 {
			if err := (store.SystemClock{}).Sleep(ctx, wait); err != nil {
				return result.New(result.CallerGone, "the request ended before it was sent").WithExecution(result.NotRun).WithCause(err)
			}
			if refusal := x.f.opts.Crashes.Confirm(x.print); refusal != nil {
				return refusal
			}
		}
		return attempt(ctx, p)
	}
}

// run is one send, from its beginning to its end, as the ledger of crashes sees it.
type run struct {
	x     *exchange
	to    topo.Upstream
	ended bool
}

func (x *exchange) beginRun(to *topo.Upstream) *run {
	x.f.opts.Crashes.Sent(x.print, to.Name)
	return &run{x: x, to: *to}
}

// end notes that the run has ended otherwise than by its upstream's breaking off, unless it has ended before.
func (r *run) end() {
	if !r.ended {
		r.ended = true
		r.x.f.opts.Crashes.Ended(r.x.print, r.to.Name)
	}
}

// failed notes how a send has failed, and what that says of the upstream. It returns what it found, for the log.
func (r *run) failed(ctx context.Context, e *conns.Error) string {
	f := r.x.f
	switch {
	case e.Stage == conns.NotSent:
		r.end()
		if errors.Is(e, syscall.ECONNREFUSED) {
			f.ProcessEnded(r.to.Name, "connection refused")
		}
		return "not sent"
	case ctx.Err() != nil:
		r.end()
		return "given up here"
	}
	r.ended = true
	crashes, crashed := f.opts.Crashes.Broken(r.x.print, r.to.Name)
	switch {
	case crashed:
		f.crashed(r.x.print, r.to.Name, "process had ended", crashes)
		return "counted"
	case e.Reset && f.opts.Pool.Refuses(ctx, r.to.Address):
		f.ProcessEnded(r.to.Name, "connection refused")
		return "counted"
	}
	return "upstream may live"
}

func (f *Front) crashed(fp quarantine.Fingerprint, upstream, why string, crashes int) {
	f.metrics.crashes.Inc()
	f.opts.Log.Warn("upstream crashed with the request", zap.String("upstream", upstream), zap.String("why", why),
		zap.Uint64("fingerprint", uint64(fp)), zap.Int("crashes", crashes))
}

// ProcessEnded notes that an upstream's process has ended, so that the runs that broke off there count as crashed. why is for the log.
func (f *Front) ProcessEnded(upstream, why string) {
	for fp, crashes := range f.opts.Crashes.ProcessEnded(upstream) {
		f.crashed(fp, upstream, why, crashes)
	}
}

// answered is an answer whose run ends when it is closed.
type answered struct {
	*conns.Response
	run *run
}

// Close ends the exchange.
func (a *answered) Close() {
	a.run.end()
	a.Response.Close()
}
