package admission

import (
	"errors"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

func init() { kernel.Register(&Patience{}) }

// Patience refuses a request whose first output is expected after its caller will have left, and admits all others.
// It ignores the expected length of the output, since the error of this estimate is larger than the slack of the
// deadlines.
//
// It is meant for peaks of long prompts: requests that can't begin in time are refused at once, with a RetryAfter at
// which the peak may be over, and leave the capacity to requests that can.
type Patience struct {
	Margin     float64 `json:"margin"`       // factor on the expected time before it is compared with the deadline
	MinRetryMS int     `json:"min_retry_ms"` // bounds of RetryAfter
	MaxRetryMS int     `json:"max_retry_ms"`
}

// ModuleInfo implements kernel.Module.
func (*Patience) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.patience", New: func() kernel.Module {
		return &Patience{Margin: 1, MinRetryMS: 200, MaxRetryMS: 2000}
	}}
}

// Validate implements kernel.Validator.
func (p *Patience) Validate() error {
	if p.Margin <= 0 || p.MinRetryMS <= 0 || p.MaxRetryMS < p.MinRetryMS {
		return errors.New("margin and min_retry_ms must be positive, max_retry_ms at least min_retry_ms")
	}
	return nil
}

// Admit implements policy.Admitter.
func (p *Patience) Admit(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	if c.Prefill == policy.None {
		return admitWithoutUpstream(now, r, f, p.retryAfter(0), q)
	}
	expected := time.Duration(p.Margin * float64(c.FirstToken))
	if c.Defer {
		expected = max(expected, q.WaitAhead)
	}
	if late := now + expected - r.GiveUpAt(); late > 0 {
		return policy.Verdict{Code: result.CannotMeetDeadline, RetryAfter: p.retryAfter(late)}
	}
	return policy.Verdict{Admit: true}
}

// Preview implements policy.AdmissionPreviewer.
func (p *Patience) Preview(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	return p.Admit(now, r, f, c, q)
}

func (p *Patience) retryAfter(late time.Duration) time.Duration {
	return boundRetry(late, p.MinRetryMS, p.MaxRetryMS)
}

// Less implements policy.Admitter. It orders by priority, then by arrival.
func (p *Patience) Less(a, b *policy.Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return arrivedBefore(a, b)
}

// Done implements policy.Admitter.
func (p *Patience) Done(time.Duration, *policy.Request, float64) {}
