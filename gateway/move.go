package gateway

import (
	"context"
	"errors"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

var errMoved = errors.New("the stream moves to another engine")

// MoveStreams moves the streams of an engine that is about to be reconfigured to other engines, each with its KV cache where
// possible. The scheduler chooses the target of each stream, since one engine may not have room for all.
func (g *Gateway) MoveStreams(from string) {
	g.loop.send(event{kind: evDo, do: func(time.Duration, *scheduler.Scheduler) {
		for _, f := range g.loop.inFlight {
			if f.current != 0 && f.req.Model != "" {
				g.active.add()
				go func() {
					defer g.active.done()
					g.move(f, from)
				}()
			}
		}
	}})
}

// move exports a stream's KV cache and then cancels its attempt, so that it is retried at another engine. A stream whose cache
// can't be exported is moved without it.
func (g *Gateway) move(f *inFlight, from string) {
	f.mu.Lock()
	at, number, id := f.decodeUpstream, f.attemptNumber, f.streamID
	f.mu.Unlock()
	if at.Name != from || id == "" {
		return
	}
	ticket, err := g.opts.Client.ExportKV(f.ctx, &at, id)
	if err != nil {
		g.metrics.kvMoveFailures.Inc()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attemptNumber != number || f.openAttempts == 0 {
		return
	}
	if err == nil {
		f.ticket = ticket
	}
	f.cancel(errMoved)
}

// asMoveFailure converts the error of an attempt that was cancelled by move to CutShort, so that the stream continues at another
// engine. It returns other errors unchanged.
func asMoveFailure(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errMoved) {
		return err
	}
	return &upstream.Failure{Outcome: policy.CutShort, Code: result.AnswerIncomplete, Cause: errMoved}
}

// importMoved imports the KV cache of a moved stream at its new engine and returns the identifier of the cache, or "".
func (g *Gateway) importMoved(ctx context.Context, f *inFlight, to *topo.Upstream) string {
	f.mu.Lock()
	ticket := f.ticket
	f.ticket = upstream.KVTicket{}
	f.mu.Unlock()
	if ticket.ID == "" {
		return ""
	}
	if err := g.opts.Client.ImportKV(ctx, to, ticket); err != nil {
		g.metrics.kvMoveFailures.Inc()
		return ""
	}
	return ticket.ID
}
