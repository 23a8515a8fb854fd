package retry

import (
	"errors"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() { kernel.Register(&Window{}) }

// Window keeps the sends beyond the first of each request within a share of the requests of the last window, separately for
// each service. All entry VMs hold to it without a message: each uses the share of its own requests and an equal part of the
// slack.
//
// Load it answers: a service that rejects or loses much of what it gets, where resending would add to the load that
// causes it.
type Window struct {
	Ratio       float64    `json:"ratio"`        // sends beyond the first, relative to the requests of the window
	Slack       float64    `json:"slack"`        // further sends of all entry VMs in a window
	WindowMS    int        `json:"window_ms"`    // length of the window
	HedgeFactor float64    `json:"hedge_factor"` // times the expected time of a call, after which a second one may start; 0: none
	HedgeMinMS  int        `json:"hedge_min_ms"` // never earlier after dispatch
	HedgeShare  float64    `json:"hedge_share"`  // part of the budget that hedges may use
	MaxAttempts int        `json:"max_attempts"` // of one request that were sent, hedges and rejected ones included
	Members     func() int `json:"-"`            // entry VMs that share the slack; nil: 1

	services map[string]*ledger
}

// ledger counts in buckets, so that a window slides by a bucket.
type ledger struct {
	buckets [windowBuckets]bucket
	at      int64 // number of the newest bucket
}

type bucket struct{ requests, resends, hedges float64 }

// windowBuckets divides the window; one bucket more is counted for resends, so that every span of the length holds.
const windowBuckets = 11

// maxUnsent attempts of a request may fail before anything is sent. A fleet of a hundred engines can lose a quarter at once, and each refused
// connection takes about a millisecond.
const maxUnsent = 64

// ownPart of the allowance is used. The rest covers requests that are counted in another window than here.
const ownPart = 0.85

// ModuleInfo implements kernel.Module.
func (*Window) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "retry.window", New: func() kernel.Module {
		return &Window{Ratio: 0.2, Slack: 20, WindowMS: 10000, HedgeFactor: 4, HedgeMinMS: 250, HedgeShare: 0.4, MaxAttempts: 4}
	}}
}

// Validate implements kernel.Validator.
func (w *Window) Validate() error {
	if w.Ratio < 0 || w.Slack < 0 || w.WindowMS < 1 || w.HedgeFactor < 0 || w.HedgeShare < 0 || w.MaxAttempts < 1 {
		return errors.New("ratio, slack, hedge_factor and hedge_share must not be negative, window_ms and max_attempts at least 1")
	}
	return nil
}

func (w *Window) ledger(now time.Duration, r *policy.Request) *ledger {
	if w.services == nil {
		w.services = map[string]*ledger{}
	}
	key := r.BudgetKey()
	l, ok := w.services[key]
	if !ok {
		l = &ledger{}
		w.services[key] = l
	}
	l.advance(int64(now / (time.Duration(w.WindowMS) * time.Millisecond / (windowBuckets - 1))))
	return l
}

func (l *ledger) advance(to int64) {
	for n := min(to-l.at, windowBuckets); n > 0; n-- {
		l.buckets[(to-n+1)%windowBuckets] = bucket{}
	}
	l.at = max(l.at, to)
}

func (l *ledger) newest() *bucket { return &l.buckets[l.at%windowBuckets] }

func (l *ledger) sum() (b bucket) {
	for _, x := range l.buckets {
		b.requests += x.requests
		b.resends += x.resends
		b.hedges += x.hedges
	}
	return b
}

// Arrived implements policy.RetryPolicy.
func (w *Window) Arrived(now time.Duration, r *policy.Request) { w.ledger(now, r).newest().requests++ }

// left is what the entry VM may still send beyond the first of each request.
func (w *Window) left(now time.Duration, r *policy.Request) (resends, hedges float64) {
	members := 1
	if w.Members != nil {
		members = max(w.Members(), 1)
	}
	b := w.ledger(now, r).sum()
	allowed := ownPart * (w.Ratio*b.requests + w.Slack/float64(members))
	return allowed - b.resends - b.hedges, w.HedgeShare*allowed - b.hedges
}

// Retry implements policy.RetryPolicy.
func (w *Window) Retry(now time.Duration, r *policy.Request, o policy.Outcome) (bool, time.Duration) {
	if now >= r.Deadline {
		return false, 0
	}
	if o == policy.FailedBeforeSend { // it reached no upstream, so it costs nothing
		return r.UnsentAttempts < maxUnsent, 0
	}
	if r.Attempts-r.UnsentAttempts >= w.MaxAttempts {
		return false, 0
	}
	sends := 1.0
	if r.Split {
		sends = 2
	}
	if n, _ := w.left(now, r); n < sends {
		return false, 0
	}
	w.ledger(now, r).newest().resends += sends
	return true, 0
}

// Hedge implements policy.RetryPolicy. Engines get no second attempts: a prompt computed twice takes the time of others.
func (w *Window) Hedge(now time.Duration, r *policy.Request) time.Duration {
	if w.HedgeFactor == 0 || !r.Idempotent || r.Model != "" || r.Attempts >= w.MaxAttempts || r.Bounded && r.PossibleRuns+1 > r.Resends {
		return 0
	}
	if n, h := w.left(now, r); n < 1 || h < 1 {
		return 0
	}
	after := time.Duration(w.HedgeFactor * float64(r.ExpectedFirst))
	return max(after, time.Duration(w.HedgeMinMS)*time.Millisecond)
}

// Hedged implements policy.RetryPolicy.
func (w *Window) Hedged(now time.Duration, r *policy.Request) { w.ledger(now, r).newest().hedges++ }
