package forward

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// A request that crashes its upstream does so when it begins to run. One that has had more events than this has run on an upstream that went
// down for another reason.
const crashEvents = 1

// guarded lets an attempt begin only while the request has not had its crashes.
func (x *exchange) guarded(attempt func(context.Context, *gateway.Placement) error) func(context.Context, *gateway.Placement) error {
	return func(ctx context.Context, p *gateway.Placement) error {
		wait, refusal := x.f.opts.Crashes.Check(x.print)
		if refusal != nil {
			return refusal
		}
		if wait == 0 {
			return attempt(ctx, p)
		}
		if err := (store.SystemClock{}).Sleep(ctx, wait); err != nil {
			return result.New(result.CallerGone, "the request ended before it was sent").WithExecution(result.NotRun).WithCause(err)
		}
		done, refusal := x.f.opts.Crashes.Begin(x.print)
		if refusal != nil {
			return refusal
		}
		defer done()
		return attempt(ctx, p)
	}
}

// noteCrash counts a failed exchange against the request if it was a crash: the upstream ended the connection and refuses new ones. It
// returns what it found, for the log.
func (x *exchange) noteCrash(ctx context.Context, to *topo.Upstream, e *conns.Error) string {
	switch {
	case e.Stage == conns.NotSent:
		return "not sent"
	case !e.Reset:
		return "connection not ended by the upstream"
	case x.events > crashEvents:
		return "has run"
	case !x.f.opts.Pool.Refuses(ctx, to.Address):
		return "upstream accepts connections"
	}
	n := x.f.opts.Crashes.Crashed(x.print, uint32(xxhash.Sum64String(to.Name)))
	x.f.metrics.crashes.Inc()
	x.f.opts.Log.Warn("upstream crashed with the request", zap.String("request", x.call.ID), zap.String("upstream", to.Name),
		zap.String("address", to.Address), zap.Uint64("fingerprint", uint64(x.print)), zap.Int("crashes", n), zap.Int("events", x.events))
	return "counted"
}
