package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

// Guards against a retry storm: for any sequence of events, retries must stay within their share of the traffic and
// before the deadline.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, err := kernel.Load[policy.RetryPolicy]("retry.budget", nil)
		if err != nil {
			rt.Fatal(err)
		}
		arrived, retried := 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			now := time.Duration(rapid.IntRange(0, 100).Draw(rt, "now")) * time.Millisecond
			if rapid.Bool().Draw(rt, "arrives") {
				p.Arrived(now, &policy.Request{})
				arrived++
				continue
			}
			r := &policy.Request{Attempts: rapid.IntRange(1, 6).Draw(rt, "attempts"), Deadline: 90 * time.Millisecond}
			ok, delay := p.Retry(now, r, policy.FailedBeforeSend)
			if ok {
				retried++
			}
			if ok && now+delay >= r.Deadline {
				rt.Fatalf("retry at %v after %v", now, delay)
			}
		}
		if float64(retried) > 10+0.1*float64(arrived) {
			rt.Fatalf("%d retries of %d requests", retried, arrived)
		}
	})
}
