package admission

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

const (
	// minServiceTime is the shortest time in which any service in use answers.
	minServiceTime = 20 * time.Millisecond
	// retrySpread is the time over which the retries of refused callers are spread after a quiet period ends. The
	// upstream gets its full share of work again after 0.7 s.
	retrySpread = time.Second
)

// admitWithoutUpstream returns the verdict on a request that no upstream can take now. The request is admitted to the
// queue if an upstream accepts work, or is quiet but accepts work again in time. Otherwise it is refused at once. Its
// RetryAfter is the time until the first quiet upstream accepts work, plus a spread so that callers do not all retry
// together, or retry if no upstream is quiet.
//
// Without it, callers of a service whose servers all leave, fail or ask for quiet would wait until their deadlines.
func admitWithoutUpstream(now time.Duration, r *policy.Request, f *policy.Fleet, retry time.Duration) policy.Verdict {
	if f.AnyAccepting(r) {
		return policy.Verdict{Admit: true}
	}
	back, ok := f.EarliestReturn(r)
	if !ok {
		return policy.Verdict{Code: result.NoUpstream, RetryAfter: retry}
	}
	if back+minServiceTime < r.GiveUpAt() {
		return policy.Verdict{Admit: true}
	}
	spread := time.Duration(policy.Mix64(r.ID) % uint64(retrySpread))
	return policy.Verdict{Code: result.NoUpstream, RetryAfter: back - now + spread}
}
