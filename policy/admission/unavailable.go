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
// queue if an upstream accepts work, or is quiet but accepts work again in time. If all that accept work are limited,
// the expected time until its turn must be within its patience. Otherwise the request is refused at once.
// Its RetryAfter is the time until the first quiet upstream accepts work, or until the requests that wait for the limited
// ones have been served, plus a spread so that callers do not all retry together; or retry in other cases.
//
// Without it, callers of a service whose servers all leave, fail, ask for quiet or limit their requests would wait until
// their deadlines.
func admitWithoutUpstream(now time.Duration, r *policy.Request, f *policy.Fleet, retry time.Duration, q policy.QueueView) policy.Verdict {
	_, limited := f.LimitedRate(r)
	back, quiet := f.EarliestReturn(r)
	inTime := func(at time.Duration) bool { return at+minServiceTime < r.GiveUpAt() }
	switch {
	case !limited && f.AnyAccepting(r), limited && q.LimitedWait <= q.LimitedPatience && inTime(now+q.LimitedWait), quiet && inTime(back):
		return policy.Verdict{Admit: true}
	case limited:
		return policy.Verdict{Code: result.CannotMeetDeadline, RetryAfter: q.LimitedWait + spread(r, q.LimitedWait+retrySpread)}
	case quiet:
		return policy.Verdict{Code: result.NoUpstream, RetryAfter: back - now + spread(r, retrySpread)}
	default:
		return policy.Verdict{Code: result.NoUpstream, RetryAfter: retry}
	}
}

// spread returns a part of limit that differs between requests.
func spread(r *policy.Request, limit time.Duration) time.Duration {
	return time.Duration(policy.Mix64(r.ID) % uint64(limit))
}
