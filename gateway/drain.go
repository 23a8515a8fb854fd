package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/result"
)

// Phases of a graceful shutdown.
const (
	phaseServing  = iota
	phaseLeaving  // removed from the address list, but still accepts requests from callers that have the address cached
	phaseDraining // refuses new requests
)

func (g *Gateway) leaving() bool { return g.phase.Load() != phaseServing }

// checkReady returns the reason for refusing new requests, or nil.
func (g *Gateway) checkReady() *result.Error {
	if g.phase.Load() == phaseDraining {
		return result.New(result.ShuttingDown, "this entry VM takes no new work; use another one").WithRetryAfter(time.Millisecond)
	}
	if g.pause.paused(g.now()) {
		return result.New(result.StaleEntryVM, "this entry VM was paused and checks its state").WithRetryAfter(time.Second)
	}
	if g.view.Load() == nil || !g.opts.Source.Freshness().AllowsNewWork {
		return result.New(result.StaleEntryVM, "this entry VM can't confirm its configuration; use another one").WithRetryAfter(time.Second)
	}
	return nil
}

// Drain shuts the gateway down gracefully. It keeps serving for keep, while callers may still have the address cached, then
// refuses new requests and waits until all open ones are answered. Requests that are still open after limit are ended with
// an error that tells their callers to resume at another entry VM.
func (g *Gateway) Drain(ctx context.Context, keep, limit time.Duration) {
	g.phase.CompareAndSwap(phaseServing, phaseLeaving)
	g.opts.Log.Info("leaving", zap.Duration("keep", keep), zap.Int64("open", int64(g.active.count())))
	sleep(ctx, keep)
	g.phase.Store(phaseDraining)
	g.opts.Log.Info("draining", zap.Duration("limit", limit), zap.Int64("open", int64(g.active.count())))
	idle := g.active.idle()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-idle:
		return
	case <-t.C:
	case <-ctx.Done():
	}
	g.opts.Log.Warn("drain limit passed; open requests are handed over", zap.Int64("open", int64(g.active.count())))
	g.endAll(errHandOff)
	t.Reset(handOffGrace)
	select {
	case <-idle:
	case <-t.C:
	}
}

// handOffGrace is how long Drain waits for the last events of interrupted streams to reach their callers.
const handOffGrace = 2 * time.Second

// tracker counts operations in progress.
type tracker struct {
	mu    sync.Mutex
	n     int
	empty chan struct{} // created by idle, closed when n reaches 0
}

func (t *tracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *tracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// idle returns a channel that is closed once no operation is in progress.
func (t *tracker) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == 0 {
		c := make(chan struct{})
		close(c)
		return c
	}
	if t.empty == nil {
		t.empty = make(chan struct{})
	}
	return t.empty
}

// pauseDetector detects that the process was suspended, from gaps between its ticks.
type pauseDetector struct {
	lastTick   atomicDuration
	detectedAt atomicDuration // when the pause was detected after which the state is not confirmed yet; 0: none
	notified   time.Duration  // detectedAt of the pause that Options.OnPause was called for; owned by watchPauses
}

// After a pause longer than maxPause, leases, limits and the configuration may be out of date.
const (
	maxPause           = time.Second
	pauseCheckInterval = 200 * time.Millisecond
)

func (p *pauseDetector) tick(now time.Duration) { p.lastTick.Store(now) }

// paused reports whether the state is still to be confirmed after a pause. It also detects a pause after which no tick has
// run yet.
func (p *pauseDetector) paused(now time.Duration) bool {
	if now-p.lastTick.Load() > maxPause {
		p.detectedAt.v.CompareAndSwap(0, int64(max(now, 1)))
	}
	return p.detectedAt.Load() != 0
}

// watchPauses measures the gaps between its own ticks and has the state confirmed after a long one.
func (g *Gateway) watchPauses(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.checkPause()
		}
	}
}

func (g *Gateway) checkPause() {
	paused := g.pause.paused(g.now())
	g.pause.tick(g.now())
	if !paused {
		return
	}
	if detectedAt := g.pause.detectedAt.Load(); g.opts.OnPause != nil && detectedAt != g.pause.notified {
		g.pause.notified = detectedAt
		g.opts.OnPause()
	}
	if g.opts.ConfirmState != nil {
		if err := g.opts.ConfirmState(g.now() - g.pause.detectedAt.Load()); err != nil {
			g.opts.Log.Warn("state not confirmed after a pause", zap.Error(err))
			return
		}
	}
	g.pause.tick(g.now())
	g.pause.detectedAt.Store(0)
	g.metrics.pauses.Inc()
	g.opts.Log.Info("state confirmed after a pause")
}
