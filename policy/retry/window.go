package retry

import (
	"errors"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() { kernel.Register(&Window{}) }

// Window limits the resends, which are all sends beyond the first of each request, to a share of the requests of a
// sliding window, separately for each service or model. The limit holds for all entry VMs together without
// communication: each uses the share of its own requests and an equal part of the slack.
//
// It is meant for a service that rejects or loses many of its requests, where resends would add to the overload that
// causes this.
type Window struct {
	Ratio       float64    `json:"ratio"`        // resends per request of the window
	Slack       float64    `json:"slack"`        // further resends of all entry VMs in a window
	WindowMS    int        `json:"window_ms"`    // length of the window
	HedgeFactor float64    `json:"hedge_factor"` // multiple of the expected call time at which a hedge may start; 0: none
	HedgeMinMS  int        `json:"hedge_min_ms"` // minimum time from dispatch to a hedge
	HedgeShare  float64    `json:"hedge_share"`  // part of the budget that hedges may use
	MaxAttempts int        `json:"max_attempts"` // sent attempts of one request, including hedges and rejected attempts
	Members     func() int `json:"-"`            // entry VMs that share the slack; nil: 1

	windows map[string]*sendWindow
}

// sendWindow counts requests and resends in a sliding window of buckets.
type sendWindow struct {
	buckets     [windowBuckets]bucket
	newestIndex int64 // counted from time 0; the bucket is at newestIndex modulo windowBuckets
}

type bucket struct{ requests, resends, hedges float64 }

// windowBuckets is one more than the number of buckets into which the window is divided. With the additional bucket,
// the limit holds in every span of the window's length, not only in spans that start with a bucket.
const windowBuckets = 11

// maxUnsentAttempts limits the attempts of one request that fail before anything is sent. A fleet of 100 engines can
// lose a quarter of them at once, and each refused connection takes about 1 ms.
const maxUnsentAttempts = 64

// MaxSentAttempts is the default of Window.MaxAttempts.
const MaxSentAttempts = 4

// usedShare is the part of the allowance that is used. The remainder covers requests that are counted in a different
// window elsewhere.
const usedShare = 0.85

// ModuleInfo implements kernel.Module.
func (*Window) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "retry.window", New: func() kernel.Module {
		return &Window{Ratio: 0.2, Slack: 20, WindowMS: 10000, HedgeFactor: 4, HedgeMinMS: 250, HedgeShare: 0.4, MaxAttempts: MaxSentAttempts}
	}}
}

// Validate implements kernel.Validator.
func (w *Window) Validate() error {
	if w.Ratio < 0 || w.Slack < 0 || w.WindowMS < 1 || w.HedgeFactor < 0 || w.HedgeShare < 0 || w.MaxAttempts < 1 {
		return errors.New("ratio, slack, hedge_factor and hedge_share must not be negative, window_ms and max_attempts at least 1")
	}
	return nil
}

func (w *Window) windowFor(now time.Duration, r *policy.Request) *sendWindow {
	if w.windows == nil {
		w.windows = map[string]*sendWindow{}
	}
	key := r.BudgetKey()
	sw, ok := w.windows[key]
	if !ok {
		sw = &sendWindow{}
		w.windows[key] = sw
	}
	sw.advance(int64(now / (time.Duration(w.WindowMS) * time.Millisecond / (windowBuckets - 1))))
	return sw
}

func (sw *sendWindow) advance(to int64) {
	for n := min(to-sw.newestIndex, windowBuckets); n > 0; n-- {
		sw.buckets[(to-n+1)%windowBuckets] = bucket{}
	}
	sw.newestIndex = max(sw.newestIndex, to)
}

func (sw *sendWindow) newest() *bucket { return &sw.buckets[sw.newestIndex%windowBuckets] }

func (sw *sendWindow) sum() (b bucket) {
	for _, x := range sw.buckets {
		b.requests += x.requests
		b.resends += x.resends
		b.hedges += x.hedges
	}
	return b
}

// Arrived implements policy.RetryPolicy.
func (w *Window) Arrived(now time.Duration, r *policy.Request) {
	w.windowFor(now, r).newest().requests++
}

// remainingSends returns the number of resends that the entry VM may still make, and how many of them may be hedges.
func (w *Window) remainingSends(now time.Duration, r *policy.Request) (resends, hedges float64) {
	members := 1
	if w.Members != nil {
		members = max(w.Members(), 1)
	}
	b := w.windowFor(now, r).sum()
	allowed := usedShare * (w.Ratio*b.requests + w.Slack/float64(members))
	return allowed - b.resends - b.hedges, w.HedgeShare*allowed - b.hedges
}

// Retry implements policy.RetryPolicy.
func (w *Window) Retry(now time.Duration, r *policy.Request, o policy.Outcome) (bool, time.Duration) {
	if now >= r.Deadline {
		return false, 0
	}
	if o == policy.FailedBeforeSend { // reached no upstream, so it does not use the budget
		return r.UnsentAttempts < maxUnsentAttempts, 0
	}
	if r.Attempts-r.UnsentAttempts >= w.MaxAttempts {
		return false, 0
	}
	sends := 1.0
	if r.Split {
		sends = 2
	}
	if n, _ := w.remainingSends(now, r); n < sends {
		return false, 0
	}
	w.windowFor(now, r).newest().resends += sends
	return true, 0
}

// Hedge implements policy.RetryPolicy. Engine requests are not hedged: computing a prompt twice delays other requests.
func (w *Window) Hedge(now time.Duration, r *policy.Request) time.Duration {
	if w.HedgeFactor == 0 || !r.Idempotent || r.Model != "" || r.Attempts >= w.MaxAttempts || r.ResendsLimited && r.PossibleRuns+1 > r.MaxResends {
		return 0
	}
	if n, h := w.remainingSends(now, r); n < 1 || h < 1 {
		return 0
	}
	after := time.Duration(w.HedgeFactor * float64(r.ExpectedFirst))
	return max(after, time.Duration(w.HedgeMinMS)*time.Millisecond)
}

// Hedged implements policy.RetryPolicy.
func (w *Window) Hedged(now time.Duration, r *policy.Request) { w.windowFor(now, r).newest().hedges++ }
