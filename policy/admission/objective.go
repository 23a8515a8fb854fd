package admission

import (
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

func init() { kernel.Register(&Objective{}) }

// Objective gives scarce capacity to requests that can still meet the target of their first output, and shares it among accounts.
// It orders requests by standing (in time before late), then by priority, then by what their account has used (virtual token
// counters, Sheng et al., OSDI 2024), then by arrival. Requests without an account share by class.
//
// A request whose first output is expected after its caller will have left is refused at once, with a RetryAfter at which those ahead
// of it have been served. So is one that would take more than its account's part of a queue that is half full.
//
// It is meant for peaks in which an answer after its target is worth much less than one in time and uses as much capacity, and for
// accounts of very different size.
type Objective struct {
	Margin       float64 `json:"margin"`       // factor on the expected time before it is compared with the deadline
	MinRetryMS   int     `json:"min_retry_ms"` // bounds of RetryAfter, before its spread
	MaxRetryMS   int     `json:"max_retry_ms"`
	StreamWeight float64 `json:"stream_weight"` // prompt tokens that an engine computes in one slot's part of a step
	HeldWeight   float64 `json:"held_weight"`   // the same for the part of the memory that one held token takes
	MaxCharge    float64 `json:"max_charge"`    // largest charge for a request, as a multiple of the mean

	shares  shares
	kinds   map[string]float64 // smoothed prompt tokens to compute, by class
	metrics *objectiveMetrics
}

// ModuleInfo implements kernel.Module.
func (*Objective) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "admission.objective", New: func() kernel.Module {
		// The weights follow from an engine with 62 prompt tokens per ms, steps of 6 ms, 64 slots and 450,000 tokens of KV cache.
		// With MaxCharge, no account is served less than a quarter as often as all, however large its requests are.
		return &Objective{Margin: 1, MinRetryMS: 200, MaxRetryMS: 2000, StreamWeight: 6, HeldWeight: 0.0008, MaxCharge: 4}
	}}
}

// Provision implements kernel.Provisioner.
func (o *Objective) Provision() error {
	o.metrics = newObjectiveMetrics()
	o.kinds = map[string]float64{}
	o.shares = shares{groups: map[shareKey]*shareGroup{}}
	return nil
}

// Validate implements kernel.Validator.
func (o *Objective) Validate() error {
	if o.Margin <= 0 || o.MinRetryMS <= 0 || o.MaxRetryMS < o.MinRetryMS || o.StreamWeight < 0 || o.HeldWeight < 0 || o.MaxCharge < 1 {
		return errors.New("margin and min_retry_ms must be positive, max_retry_ms at least min_retry_ms, max_charge at least 1, weights not negative")
	}
	return nil
}

// Admit implements policy.Admitter. It changes no rank, since r may be queued.
func (o *Objective) Admit(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	v := o.judge(now, r, f, c, q)
	if c.Prefill != policy.None && r.FirstTokenTarget > 0 {
		o.learnKind(r, c)
	}
	if !v.Admit {
		o.metrics.refused(v.Code)
		return v
	}
	o.admitted(r)
	return v
}

// Preview implements policy.AdmissionPreviewer.
func (o *Objective) Preview(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	v := o.judge(now, r, f, c, q)
	r.Share, r.Late = o.shares.usedAfterJoin(r), isLate(now, r)
	return v
}

// judge returns the verdict on r and sets r.LateAt.
func (o *Objective) judge(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, q policy.QueueView) policy.Verdict {
	if c.Prefill == policy.None {
		v := admitWithoutUpstream(now, r, f, o.retryAfter(r, 0), q)
		if v.Admit && !r.Tagged {
			r.LateAt = r.FirstTokenTarget
		}
		return v
	}
	g, a := o.shares.find(r)
	expected := time.Duration(o.Margin * float64(c.FirstToken))
	wait := time.Duration(0)
	if r.FirstTokenTarget > 0 {
		r.LateAt = max(r.FirstTokenTarget-o.expectedOfKind(r, c), 1)
	}
	waits := c.Defer || o.Hold(r, c)
	if waits && !r.Tagged { // a queued request is tried when its turn has come
		wait = g.wait(a, r.LateAt > 0 && now >= r.LateAt, q.WaitAhead)
	}
	if now+max(expected, wait) > r.GiveUpAt() {
		wait = max(wait, backlogTime(r, c))
		return policy.Verdict{Code: result.CannotMeetDeadline, RetryAfter: o.retryAfter(r, wait)}
	}
	if waits && !r.Tagged && g.holdsTooMuch(a, q) {
		return policy.Verdict{Code: result.Overloaded, RetryAfter: o.retryAfter(r, wait)}
	}
	return policy.Verdict{Admit: true}
}

// backlogTime returns the part of c.FirstToken that passes before the engine begins with r's prompt.
func backlogTime(r *policy.Request, c policy.Choice) time.Duration {
	return time.Duration(float64(c.FirstToken) * c.Backlog / (c.Backlog + r.Work(c.Cached)))
}

// expectedOfKind returns the time to the first output that is expected for a request of r's class of mean size. Large requests of a class
// would otherwise be late sooner than small ones, and hardly be served at a peak.
func (o *Objective) expectedOfKind(r *policy.Request, c policy.Choice) time.Duration {
	mean, _ := o.meanOfKind(r, c)
	wait := backlogTime(r, c)
	return wait + time.Duration(float64(c.FirstToken-wait)*mean/r.Work(c.Cached))
}

// meanOfKind returns the mean size of the requests of r's class, including r, and whether it is to be kept.
func (o *Objective) meanOfKind(r *policy.Request, c policy.Choice) (mean float64, keep bool) {
	work := r.Work(c.Cached)
	mean, ok := o.kinds[r.Class]
	if !ok || mean == 0 {
		mean = work
	}
	if keep = !r.Tagged && (ok || len(o.kinds) < maxKinds); keep {
		const smoothing = 0.05
		mean += smoothing * (work - mean)
	}
	return mean, keep
}

func (o *Objective) learnKind(r *policy.Request, c policy.Choice) {
	if mean, keep := o.meanOfKind(r, c); keep {
		o.kinds[r.Class] = mean
	}
}

// maxKinds bounds the classes whose mean size is kept.
const maxKinds = 1024

const (
	// heldTargetShare is the part of the time to the target that a request may wait at an engine. The rest of its wait is spent in the entry
	// VM, where accounts share and the standing decides. At an engine it can't be overtaken by another account.
	heldTargetShare = 0.25
	// minHeld covers the time until the scheduler learns of a free engine: two ticks.
	minHeld = 50 * time.Millisecond
)

// Hold implements policy.OrderChanger.
func (o *Objective) Hold(r *policy.Request, c policy.Choice) bool {
	if r.Generated > 0 || r.Model == "" || r.FirstTokenTarget <= r.Arrival {
		return false
	}
	return backlogTime(r, c) > max(minHeld, time.Duration(heldTargetShare*float64(r.FirstTokenTarget-r.Arrival)))
}

func (o *Objective) admitted(r *policy.Request) {
	if !r.Tagged {
		r.Tagged, r.Late = true, false // Rank counts the late ones among those that wait
		o.shares.join(r)
		o.metrics.waiting(r, 1)
	}
}

// retryAfter returns a RetryAfter of about wait. It differs between requests, so that those refused together do not return together.
func (o *Objective) retryAfter(r *policy.Request, wait time.Duration) time.Duration {
	wait = boundRetry(wait, o.MinRetryMS, o.MaxRetryMS)
	return wait + spread(r, wait/4)
}

// Rank implements policy.OrderChanger.
func (o *Objective) Rank(now time.Duration, r *policy.Request) (until time.Duration) {
	g, a := o.shares.find(r)
	if a != nil {
		r.Share = a.used
	}
	late := isLate(now, r)
	if r.Tagged && late != r.Late {
		if late {
			g.late++
		} else {
			g.late--
		}
	}
	r.Late = late
	if late || r.LateAt == 0 {
		return math.MaxInt64
	}
	return r.LateAt
}

// isLate reports whether r can't meet its target any more.
func isLate(now time.Duration, r *policy.Request) bool {
	return r.Generated == 0 && r.LateAt > 0 && now >= r.LateAt
}

// Changes implements policy.OrderChanger.
func (o *Objective) Changes() uint64 { return o.shares.changes }

// Less implements policy.Admitter.
func (o *Objective) Less(a, b *policy.Request) bool {
	switch {
	case a.Late != b.Late:
		return b.Late
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Share != b.Share:
		return a.Share < b.Share
	}
	return arrivedBefore(a, b)
}

// Dispatched implements policy.OrderChanger. It charges the account with the expected cost of r.
func (o *Objective) Dispatched(_ time.Duration, r *policy.Request) {
	if r.Tagged {
		o.metrics.dispatched(r)
		o.leave(r)
	}
	if r.Charged == 0 {
		r.Charged = o.shares.charge(r, o.cost(r, max(r.ExpectedOutput, 1)), o.MaxCharge)
	}
}

// Done implements policy.Admitter. It replaces the expected cost of r by the real one, which is nothing if no upstream has done any of
// its work.
func (o *Objective) Done(_ time.Duration, r *policy.Request, _ float64) {
	if r.Tagged {
		o.leave(r)
	}
	if r.Charged == 0 {
		return
	}
	cost := o.cost(r, float64(r.Generated))
	if r.Model != "" && r.Generated == 0 && !r.PromptDone && r.PossibleRuns == 0 && r.Prefill == policy.None {
		cost = 0
	}
	o.shares.settle(r, cost, o.MaxCharge)
	r.Charged = 0
}

func (o *Objective) leave(r *policy.Request) {
	o.shares.leave(r)
	o.metrics.waiting(r, -1)
	r.Tagged, r.Late = false, false
}

// cost returns what a request with this output costs an engine, in prompt tokens: its prompt after reuse, and for each output token the
// greater of its parts of the slots and of the KV cache. A call of a plain service costs 1.
func (o *Objective) cost(r *policy.Request, output float64) float64 {
	if r.Model == "" {
		return 1
	}
	prompt := max(float64(r.PromptTokens-r.Cached*policy.PieceTokens), 1)
	return prompt + output*max(o.StreamWeight, o.HeldWeight*(float64(r.PromptTokens)+output/2))
}
