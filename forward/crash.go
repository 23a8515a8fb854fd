package forward

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// withCrashGuard wraps an attempt so that it begins only while the crash ledger allows another run of the request.
func (x *exchange) withCrashGuard(attempt func(context.Context, *gateway.Placement) error) func(context.Context, *gateway.Placement) error {
	return func(ctx context.Context, p *gateway.Placement) error {
		done, wait, refusal := x.f.opts.Crashes.Begin(x.fingerprint)
		if refusal != nil {
			return refusal
		}
		defer done()
		trialWait, refusal := x.beginTrial()
		if refusal != nil {
			return refusal
		}
		if wait = max(wait, trialWait); wait > 0 {
			if err := (store.SystemClock{}).Sleep(ctx, wait); err != nil {
				return result.New(result.CallerGone, "the request ended before it was sent").WithExecution(result.NotRun).WithCause(err)
			}
			if refusal := x.f.opts.Crashes.Confirm(x.fingerprint); refusal != nil {
				return refusal
			}
			if trialWait > 0 {
				if refusal := x.f.opts.Crashes.Parts().ConfirmTrial(x.parts); refusal != nil {
					return refusal
				}
				x.trial = true
			}
		}
		return attempt(ctx, p)
	}
}

// beginTrial begins a trial if a part of the prompt is refused and due to be tried. wait is above 0 for a trial.
func (x *exchange) beginTrial() (wait time.Duration, refusal *result.Error) {
	if x.trial {
		return 0, nil // checkSend allows no further send
	}
	return x.f.opts.Crashes.Parts().BeginTrial(x.parts)
}

// checkSend returns an error if a part of the prompt is refused or the entry VM has given up all requests. A trial allows one send.
func (x *exchange) checkSend() error {
	if x.f.allEnd.Err() != nil {
		return errStopping()
	}
	if x.trial && x.trialSent.CompareAndSwap(false, true) {
		return nil
	}
	if refusal := x.f.opts.Crashes.Parts().CheckSend(x.parts); refusal != nil {
		return refusal
	}
	return nil
}

// run is one send, as it is recorded in the crash ledger.
type run struct {
	x     *exchange
	to    topo.Upstream
	ended bool
}

func (x *exchange) beginRun(to *topo.Upstream) *run {
	x.f.opts.Crashes.RunSent(x.fingerprint, to.Name, x.parts...)
	return &run{x: x, to: *to}
}

// answered records that the first event has arrived.
func (r *run) answered() {
	r.x.f.opts.Crashes.RunAnswered(r.x.fingerprint, r.to.Name)
	r.x.knownCrashes = r.x.f.opts.Crashes.Parts().Known(r.x.parts)
}

// end records that the run has ended for a reason other than a break by its upstream. It has no effect on a run that
// has ended.
func (r *run) end() {
	if !r.ended {
		r.ended = true
		r.x.f.opts.Crashes.RunEnded(r.x.fingerprint, r.to.Name)
	}
}

// recordFailure records how a send has failed and whether its upstream's process has ended. It returns the result as a
// text for the log.
func (r *run) recordFailure(ctx context.Context, e *conns.Error) string {
	f := r.x.f
	switch {
	case e.Stage == conns.NotSent:
		r.end()
		if errors.Is(e, syscall.ECONNREFUSED) {
			f.ProcessEnded(r.to.Name, "connection refused")
		}
		return "not sent"
	case ctx.Err() != nil || errors.Is(e, os.ErrDeadlineExceeded) || errors.Is(e, syscall.ETIMEDOUT):
		return r.abandon(ctx)
	case f.opts.TakenAway(r.to.Name):
		r.end()
		return "upstream taken away"
	}
	r.ended = true
	crashes, crashed := f.opts.Crashes.RunBroken(r.x.fingerprint, r.to.Name)
	switch {
	case crashed:
		f.recordCrash(r.x.fingerprint, r.to.Name, "process had ended", crashes)
		return "counted"
	case e.Reset && f.opts.Pool.ReportRefusal(ctx, r.to.Address, f.whenRefused(r.to.Name)):
		return "counted"
	}
	return "process end not confirmed"
}

// abandon records that the run has ended without a sign of its upstream. If the upstream has answered nothing since it was sent, its
// address is probed, whoever gave the run up: a process may end without closing its connections. A run that another attempt has beaten
// shows no more than that its upstream is slower.
func (r *run) abandon(ctx context.Context) string {
	if r.ended {
		return "cancelled"
	}
	r.ended = true
	f := r.x.f
	crashes, crashed, silent := f.opts.Crashes.RunAbandoned(r.x.fingerprint, r.to.Name)
	if crashed {
		f.recordCrash(r.x.fingerprint, r.to.Name, "silent, process had ended", crashes)
		return "counted"
	}
	if silent && !gateway.Superseded(ctx) {
		go f.opts.Pool.ReportRefusal(context.Background(), r.to.Address, f.whenRefused(r.to.Name))
	}
	return "cancelled"
}

// whenRefused returns a function that records that an upstream's address refuses connections. It keeps nothing of a request in memory.
func (f *Front) whenRefused(upstream string) func() {
	return func() { f.ProcessEnded(upstream, "connection refused") }
}

func (f *Front) recordCrash(fp quarantine.Fingerprint, upstream, why string, crashes int) {
	f.metrics.crashes.Inc()
	f.opts.Log.Warn("upstream crashed with the request", zap.String("upstream", upstream), zap.String("why", why),
		zap.Uint64("fingerprint", uint64(fp)), zap.Int("crashes", crashes))
}

// ProcessEnded records that an upstream's process has ended, so that runs that broke off there count as crashes, unless
// the platform has taken it away. why is logged.
func (f *Front) ProcessEnded(upstream, why string) {
	if f.opts.TakenAway(upstream) {
		return
	}
	for fp, crashes := range f.opts.Crashes.ProcessEnded(upstream) {
		f.recordCrash(fp, upstream, why, crashes)
	}
}

// runResponse is an answer whose run ends when it is closed.
type runResponse struct {
	*conns.Response
	run *run
}

// Close ends the run and closes the response.
func (a *runResponse) Close() {
	a.run.end()
	a.Response.Close()
}
