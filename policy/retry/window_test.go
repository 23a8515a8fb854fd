package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/policy"
)

// Guards against more resends in any span of the window's length than the share and the slack allow.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &Window{Ratio: 0.2, Slack: 18, WindowMS: 10000, MaxAttempts: 100, Members: func() int { return 3 }}
		r := &policy.Request{Service: "s", Deadline: time.Hour}
		type step struct {
			at                time.Duration
			requests, resends float64
		}
		var steps []step
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond
			s := step{at: now}
			if rapid.Bool().Draw(t, "request") {
				w.Arrived(now, r)
				s.requests = 1
			} else {
				r.Split = rapid.Bool().Draw(t, "split")
				if ok, _ := w.Retry(now, r, policy.RefusedNotRun); ok {
					s.resends = 1
					if r.Split {
						s.resends = 2
					}
				}
			}
			steps = append(steps, s)
		}
		// The limit for a span follows from the requests in it or in the span before, whichever are more.
		for i := range steps {
			resends, requests, before := 0.0, 0.0, 0.0
			from := steps[i].at
			for _, s := range steps {
				switch {
				case s.at >= from && s.at < from+10*time.Second:
					resends += s.resends
					requests += s.requests
				case s.at >= from-10*time.Second && s.at < from:
					before += s.requests
				}
			}
			if allowed := 0.2*max(requests, before) + 18.0/3; resends > allowed {
				t.Fatalf("from %s: %v resends, %v allowed", from, resends, allowed)
			}
		}
	})
}

// Guards against attempts that reach no upstream but use up the retry budget, and against an endless sequence of them.
func TestUnsentTriesCostNothing(t *testing.T) {
	is := is.New(t)
	w := &Window{Ratio: 0, Slack: 2, WindowMS: 10000, MaxAttempts: 3}
	r := &policy.Request{Service: "s", Deadline: time.Hour}
	for r.UnsentAttempts = 1; r.UnsentAttempts < maxUnsentAttempts; r.UnsentAttempts++ {
		r.Attempts = r.UnsentAttempts
		ok, _ := w.Retry(0, r, policy.FailedBeforeSend)
		is.True(ok)
	}
	ok, _ := w.Retry(0, r, policy.FailedBeforeSend)
	is.True(!ok)
	r.Attempts = r.UnsentAttempts + 1
	ok, _ = w.Retry(0, r, policy.RefusedNotRun)
	is.True(ok) // unsent attempts have used neither the budget nor MaxAttempts
}

// Guards against hedging engine requests, and against hedges that the route does not allow.
func TestHedgesAreForServiceCallsOnly(t *testing.T) {
	is := is.New(t)
	w := &Window{Ratio: 1, Slack: 100, WindowMS: 1000, MaxAttempts: 3, HedgeFactor: 2, HedgeShare: 1, HedgeMinMS: 10}
	r := &policy.Request{Service: "s", Idempotent: true, ResendsLimited: true, MaxResends: 1}
	is.True(w.Hedge(0, r) > 0)
	is.Equal(w.Hedge(0, &policy.Request{Model: "m", Idempotent: true}), time.Duration(0))
	is.Equal(w.Hedge(0, &policy.Request{Service: "s", Idempotent: true, ResendsLimited: true}), time.Duration(0))
	is.Equal(w.Hedge(0, &policy.Request{Service: "s"}), time.Duration(0))
}
