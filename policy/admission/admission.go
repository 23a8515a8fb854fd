// Package admission decides who gets in, and the order in which waiting requests leave.
//
// Invariants: a request that can't be on time is refused on arrival rather than at its deadline; Less is a strict weak
// order over requests that have passed Admit.
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

// FIFO admits everything in order of arrival. It is the naive version.
type FIFO struct{}

// ModuleInfo implements kernel.Module.
func (*FIFO) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.fifo", New: func() kernel.Module { return &FIFO{} }}
}

// Admit implements policy.Admitter.
func (*FIFO) Admit(time.Duration, *policy.Request, *policy.Fleet, policy.Choice, policy.QueueView) policy.Verdict {
	return policy.Verdict{Admit: true}
}

// Less implements policy.Admitter.
func (*FIFO) Less(a, b *policy.Request) bool { return byArrival(a, b) }

// Done implements policy.Admitter.
func (*FIFO) Done(time.Duration, *policy.Request, float64) {}

func byArrival(a, b *policy.Request) bool {
	if a.Arrival != b.Arrival {
		return a.Arrival < b.Arrival
	}
	return a.ID < b.ID
}

// Deadline orders by priority, then by the caller's fair share, then by deadline, and refuses at once what can't be on
// time. Fair shares follow start-time fair queueing: a request's tag is the caller's virtual time at its arrival.
type Deadline struct {
	Margin     float64 `json:"margin"`       // expected time is multiplied by this before it is held against the deadline
	Quantum    float64 `json:"quantum"`      // tokens by which callers may run ahead of each other unnoticed
	MinRetryMS int     `json:"min_retry_ms"` // bounds of the advice when to come back
	MaxRetryMS int     `json:"max_retry_ms"`

	virtual float64            // tag of the last request that was admitted to run
	callers map[string]float64 // virtual finish time of each caller that is ahead of virtual
	swept   float64
	stretch [policy.Priorities]float64 // smoothed measured over expected time of each priority
	learned [policy.Priorities]time.Duration
}

// ModuleInfo implements kernel.Module.
func (*Deadline) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.deadline", New: func() kernel.Module {
		return &Deadline{Margin: 1.1, Quantum: 20000, MinRetryMS: 200, MaxRetryMS: 10000}
	}}
}

// Provision implements kernel.Provisioner.
func (d *Deadline) Provision() error {
	d.callers = map[string]float64{}
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
	if c.Prefill == policy.None {
		if v := unavailable(now, r, f, d.bound(time.Second)); !v.Admit {
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
			// A guess must not refuse a class for ever: refused requests teach nothing about its output.
			expected = c.FirstToken
		}
		if late := now + wait + time.Duration(d.Margin*d.stretched(now, r)*float64(expected)) - r.Deadline; late > 0 {
			return policy.Verdict{Code: result.CannotMeetDeadline, RetryAfter: d.bound(late)}
		}
	}
	d.tag(r)
	return policy.Verdict{Admit: true}
}

// stretched is how much longer than expected work of r's priority has taken of late. Work that comes later with a higher
// priority goes first, which no estimate at dispatch knows.
// It falls with time, since refused requests would never correct it.
func (d *Deadline) stretched(now time.Duration, r *policy.Request) float64 {
	k := level(r)
	return 1 + max(d.stretch[k]-1, 0)*math.Exp2(-float64(now-d.learned[k])/float64(stretchHalfLife))
}

func level(r *policy.Request) int { return min(max(r.Priority, 0), policy.Priorities-1) }

const (
	stretchSmoothing = 0.1
	stretchMax       = 4 // of one request
	stretchHalfLife  = 30 * time.Second
)

// learn takes the time of a request that ended after its first dispatch.
func (d *Deadline) learn(now time.Duration, r *policy.Request) {
	if r.Attempts != 1 || r.ExpectedFinish <= 0 || r.OutputGuessed || now <= r.Dispatched {
		return
	}
	took := min(float64(now-r.Dispatched)/float64(r.ExpectedFinish), stretchMax)
	k := level(r)
	d.stretch[k] += stretchSmoothing * (took - d.stretch[k])
	d.learned[k] = now
}

// tag gives r its place among the callers, once.
func (d *Deadline) tag(r *policy.Request) {
	if r.Tagged {
		return
	}
	r.Tagged = true
	start := max(d.virtual, d.callers[r.Caller])
	r.Tag = start
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	d.callers[r.Caller] = start + (float64(r.PromptTokens)+r.ExpectedOutput)/weight
	r.Bucket = int64(start / d.Quantum)
}

func (d *Deadline) bound(t time.Duration) time.Duration {
	return min(max(t, time.Duration(d.MinRetryMS)*time.Millisecond), time.Duration(d.MaxRetryMS)*time.Millisecond)
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
	return byArrival(a, b)
}

// Done implements policy.Admitter.
func (d *Deadline) Done(now time.Duration, r *policy.Request, _ float64) {
	d.learn(now, r)
	if !r.Tagged {
		return
	}
	d.virtual = max(d.virtual, r.Tag)
	d.sweep()
}

// sweepEvery bounds the number of callers kept: those whose share is used up no longer differ from new ones.
const sweepEvery = 64

func (d *Deadline) sweep() {
	if d.virtual-d.swept < sweepEvery*d.Quantum {
		return
	}
	d.swept = d.virtual
	for c, v := range d.callers {
		if v <= d.virtual {
			delete(d.callers, c)
		}
	}
}
