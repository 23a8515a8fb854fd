package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/scheduler"
)

// ApplyAvailability applies what an answer states about its upstream's availability. It is called before any of the
// answer is relayed, so that no request that a caller sends after the answer goes to an upstream that asked for none.
func (f *Front) ApplyAvailability(upstream string, a Answer) {
	if a.Leaving {
		f.metrics.leavingAnswers.Inc()
		f.opts.Gateway.SetAccepting(upstream, false)
		f.opts.OnLeaving(upstream)
	}
	if a.LimitSign == LimitNamed {
		f.metrics.limitAnswers.Inc()
		f.opts.Gateway.LimitNamed(upstream, a.Limit)
		f.opts.OnLimit()
	}
	if a.RetryAfter > 0 {
		f.metrics.retryLaterAnswers.Inc()
		f.opts.Log.Info("upstream asked for quiet", zap.String("upstream", upstream), zap.Duration("for", a.RetryAfter))
		f.opts.Gateway.Quiet(upstream, a.RetryAfter)
	}
}

// applyNoLimit records that an upstream has run a request sent at sentAt and names no limit in its answer.
func (f *Front) applyNoLimit(upstream string, a Answer, sentAt time.Time) {
	if a.LimitSign == NoLimit {
		f.opts.Gateway.NoLimitNamed(upstream, sentAt)
	}
}

// acceptsControlCalls reports whether this system may call an upstream, which it may not after the upstream has asked
// for a pause or while it limits its requests.
func (f *Front) acceptsControlCalls(ctx context.Context, upstream string) bool {
	ok := false
	err := f.opts.Gateway.Do(ctx, func(_ time.Duration, s *scheduler.Scheduler) { ok = s.AcceptsControlCalls(upstream) })
	return err == nil && ok
}
