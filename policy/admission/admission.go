// Package admission decides which requests are admitted, and the order in which queued requests are dispatched.
//
// Invariants: a request that can't meet its deadline is refused on arrival rather than at the deadline; Less is a
// strict weak order over requests that Admit has admitted.
package admission

import (
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

func init() {
	kernel.Register(&FIFO{})
	kernel.Register(&Deadline{})
}

// FIFO admits all requests and orders them by arrival. It is the naive baseline.
type FIFO struct{}

// ModuleInfo implements kernel.Module.
func (*FIFO) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.fifo", New: func() kernel.Module { return &FIFO{} }}
}

// Admit implements policy.Admitter.
func (*FIFO) Admit(time.Duration, *policy.Request, *policy.Fleet, policy.Choice, policy.QueueView) policy.Verdict {
	return policy.Verdict{Admit: true}
}

// Preview implements policy.AdmissionPreviewer.
func (*FIFO) Preview(time.Duration, *policy.Request, *policy.Fleet, policy.Choice, policy.QueueView) policy.Verdict {
	return policy.Verdict{Admit: true}
}

// Less implements policy.Admitter.
func (*FIFO) Less(a, b *policy.Request) bool { return arrivedBefore(a, b) }

// Done implements policy.Admitter.
func (*FIFO) Done(time.Duration, *policy.Request, float64) {}

func arrivedBefore(a, b *policy.Request) bool {
	if a.Arrival != b.Arrival {
		return a.Arrival < b.Arrival
	}
	return a.ID < b.ID
}

// Deadline orders requests by priority, then by the caller's fair share, then by deadline, and refuses at once those
// that can't meet their deadline. It uses start-time fair queueing: a request's tag is the caller's virtual time at its
// arrival.
type Deadline struct {
	Margin     float64 `json:"margin"`       // factor on the expected time before it is compared with the deadline
	Quantum    float64 `json:"quantum"`      // tokens by which a caller may run ahead of others without losing its place
	MinRetryMS int     `json:"min_retry_ms"` // bounds of RetryAfter
	MaxRetryMS int     `json:"max_retry_ms"`

	virtualTime   float64                          // highest tag of the requests that have ended
	virtualFinish map[string]float64               // virtual finish time of each caller that is ahead of virtualTime
	lastSweep     float64                          // virtualTime at the last sweep
	stretch       [policy.Priorities]float64       // smoothed ratio of measured to expected time, by priority
	lastLearned   [policy.Priorities]time.Duration // time of the last update of stretch
}

// ModuleInfo implements kernel.Module.
func (*Deadline) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.deadline", New: func() kernel.Module {
		return &Deadline{Margin: 1.1, Quantum: 20000, MinRetryMS: 200, MaxRetryMS: 10000}
	}}
}

// Provision implements kernel.Provisioner.
func (d *Deadline) Provision() error {
	d.virtualFinish = map[string]float64{}
	for i := range d.stretch {
		d.stretch[i] = 1
	}
	return nil
}

// Validate implements kernel.Validator.
func (d *Deadline) Validate() error {
	if d.Margin <= 0 || d.Quantum <= 0 || d.MinRetryMS <= 0 || d.MaxRetryMS < d.MinRetryMS {
		return errors.New("margin, quantum and min_retry_ms must be positive, max_retry_ms at least min_retry_ms")
	}
	return nil
}

// Admit implements policy.Admitter.
func (d *Deadline) Admit(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	v := d.judge(now, r, f, c, q)
	if v.Admit {
		d.assignTag(r)
	}
	return v
}

// Preview implements policy.AdmissionPreviewer.
func (d *Deadline) Preview(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	v := d.judge(now, r, f, c, q)
	if v.Admit && !r.Tagged {
		d.setTag(r)
	}
	return v
}

func (d *Deadline) judge(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	if c.Prefill == policy.None {
		if v := admitWithoutUpstream(now, r, f, d.clampRetryAfter(time.Second), q); !v.Admit {
			return v
		}
	}
	if c.Prefill != policy.None {
		wait := time.Duration(0)
		if c.Defer {
			wait = q.WaitAhead
		}
		expected := c.Finish
		if r.OutputGuessed {
			// Refused requests do not improve a guess, so it must not decide: the class could be refused for ever.
			expected = c.FirstToken
		}
		if late := now + wait + time.Duration(d.Margin*d.stretchFactor(now, r)*float64(expected)) - r.Deadline; late > 0 {
			return policy.Verdict{Code: result.CannotMeetDeadline, RetryAfter: d.clampRetryAfter(late)}
		}
	}
	return policy.Verdict{Admit: true}
}

// stretchFactor returns how many times longer than expected requests of r's priority have recently taken. Estimates at
// dispatch do not include requests of a higher priority that arrive later and are served first. The factor decays with
// time, since refused requests would never correct it.
func (d *Deadline) stretchFactor(now time.Duration, r *policy.Request) float64 {
	k := priorityLevel(r)
	return 1 + max(d.stretch[k]-1, 0)*math.Exp2(-float64(now-d.lastLearned[k])/float64(stretchHalfLife))
}

func priorityLevel(r *policy.Request) int { return min(max(r.Priority, 0), policy.Priorities-1) }

const (
	stretchSmoothing = 0.1
	maxStretch       = 4 // limit for the ratio of one request
	stretchHalfLife  = 30 * time.Second
)

// learnStretch updates the stretch of r's priority from the time that r took, if r needed only one attempt.
func (d *Deadline) learnStretch(now time.Duration, r *policy.Request) {
	if r.Attempts != 1 || r.ExpectedFinish <= 0 || r.OutputGuessed || now <= r.Dispatched {
		return
	}
	ratio := min(float64(now-r.Dispatched)/float64(r.ExpectedFinish), maxStretch)
	k := priorityLevel(r)
	d.stretch[k] += stretchSmoothing * (ratio - d.stretch[k])
	d.lastLearned[k] = now
}

// assignTag sets the fair-queueing tag of r on its first admission and advances the caller's virtual finish time.
func (d *Deadline) assignTag(r *policy.Request) {
	if r.Tagged {
		return
	}
	r.Tagged = true
	d.setTag(r)
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	d.virtualFinish[r.Caller] = r.Tag + (float64(r.PromptTokens)+r.ExpectedOutput)/weight
}

func (d *Deadline) setTag(r *policy.Request) {
	r.Tag = max(d.virtualTime, d.virtualFinish[r.Caller])
	r.Bucket = int64(r.Tag / d.Quantum)
}

func (d *Deadline) clampRetryAfter(t time.Duration) time.Duration {
	return boundRetry(t, d.MinRetryMS, d.MaxRetryMS)
}

// Less implements policy.Admitter.
func (d *Deadline) Less(a, b *policy.Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Bucket != b.Bucket {
		return a.Bucket < b.Bucket
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return arrivedBefore(a, b)
}

// Done implements policy.Admitter.
func (d *Deadline) Done(now time.Duration, r *policy.Request, _ float64) {
	d.learnStretch(now, r)
	if !r.Tagged {
		return
	}
	d.virtualTime = max(d.virtualTime, r.Tag)
	d.sweep()
}

// sweepQuanta is the virtual time between two sweeps, in quanta. A sweep bounds the number of callers kept: it removes
// those that are no longer ahead of virtualTime and therefore do not differ from new callers.
const sweepQuanta = 64

func (d *Deadline) sweep() {
	if d.virtualTime-d.lastSweep < sweepQuanta*d.Quantum {
		return
	}
	d.lastSweep = d.virtualTime
	for c, v := range d.virtualFinish {
		if v <= d.virtualTime {
			delete(d.virtualFinish, c)
		}
	}
}

// boundRetry returns a RetryAfter within bounds in milliseconds.
func boundRetry(d time.Duration, minMS, maxMS int) time.Duration {
	return min(max(d, time.Duration(minMS)*time.Millisecond), time.Duration(maxMS)*time.Millisecond)
}
