// Package retry decides whether a failed attempt is retried, and when a late one is hedged with a second attempt.
//
// Invariant: the scheduler calls a policy only if another attempt is safe; the policy only limits the number of
// attempts.
package retry

import (
	"errors"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() {
	kernel.Register(&Immediate{})
	kernel.Register(&Budget{})
}

// Immediate retries without delay until the deadline. It is the naive baseline.
type Immediate struct{}

// ModuleInfo implements kernel.Module.
func (*Immediate) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "retry.immediate", New: func() kernel.Module { return &Immediate{} }}
}

// Arrived implements policy.RetryPolicy.
func (*Immediate) Arrived(time.Duration, *policy.Request) {}

// Retry implements policy.RetryPolicy.
func (*Immediate) Retry(now time.Duration, r *policy.Request, _ policy.Outcome) (bool, time.Duration) {
	return now < r.Deadline, 0
}

// Hedge implements policy.RetryPolicy.
func (*Immediate) Hedge(time.Duration, *policy.Request) time.Duration { return 0 }

// Hedged implements policy.RetryPolicy.
func (*Immediate) Hedged(time.Duration, *policy.Request) {}

// Budget limits retries and hedges to a share of the traffic, so that they do not overload a failing fleet.
type Budget struct {
	Share       float64 `json:"share"`        // retries per request
	Burst       float64 `json:"burst"`        // maximum number of retries, and of hedges, that can be saved up
	MaxAttempts int     `json:"max_attempts"` // per request, hedges included
	BackoffMS   int     `json:"backoff_ms"`   // before the second retry of a request; doubles with each further one
	HedgeFactor float64 `json:"hedge_factor"` // multiple of the expected first token at which a hedge starts; 0: none
	HedgeMinMS  int     `json:"hedge_min_ms"` // minimum time from dispatch to a hedge
	HedgeShare  float64 `json:"hedge_share"`  // hedges per request
	hedgeTokens float64 // hedges that may start now
	retryTokens float64 // retries that may start now
	started     bool
}

// ModuleInfo implements kernel.Module.
func (*Budget) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "retry.budget", New: func() kernel.Module {
		return &Budget{Share: 0.1, Burst: 10, MaxAttempts: 4, BackoffMS: 20, HedgeFactor: 3, HedgeMinMS: 150, HedgeShare: 0.05}
	}}
}

// Validate implements kernel.Validator.
func (b *Budget) Validate() error {
	if b.Share < 0 || b.Burst < 1 || b.MaxAttempts < 1 || b.BackoffMS < 0 || b.HedgeFactor < 0 || b.HedgeShare < 0 {
		return errors.New("share, backoff_ms, hedge_factor and hedge_share must not be negative, burst and max_attempts at least 1")
	}
	return nil
}

// Arrived implements policy.RetryPolicy.
func (b *Budget) Arrived(time.Duration, *policy.Request) {
	if !b.started {
		b.started, b.retryTokens, b.hedgeTokens = true, b.Burst, b.Burst
	}
	b.retryTokens = min(b.retryTokens+b.Share, b.Burst)
	b.hedgeTokens = min(b.hedgeTokens+b.HedgeShare, b.Burst)
}

// Retry implements policy.RetryPolicy. An attempt that the upstream refused without running it costs as much as
// any other.
func (b *Budget) Retry(now time.Duration, r *policy.Request, _ policy.Outcome) (bool, time.Duration) {
	if r.Attempts >= b.MaxAttempts || b.retryTokens < 1 {
		return false, 0
	}
	delay := time.Duration(0)
	if r.Attempts > 1 {
		delay = time.Duration(b.BackoffMS) * time.Millisecond << min(r.Attempts-2, 8)
	}
	if now+delay >= r.Deadline {
		return false, 0
	}
	b.retryTokens--
	return true, delay
}

// Hedge implements policy.RetryPolicy.
func (b *Budget) Hedge(_ time.Duration, r *policy.Request) time.Duration {
	if b.HedgeFactor == 0 || !r.Idempotent || r.Attempts >= b.MaxAttempts || b.hedgeTokens < 1 {
		return 0
	}
	after := time.Duration(b.HedgeFactor * float64(r.ExpectedFirst))
	return max(after, time.Duration(b.HedgeMinMS)*time.Millisecond)
}

// Hedged implements policy.RetryPolicy.
func (b *Budget) Hedged(time.Duration, *policy.Request) { b.hedgeTokens-- }
