package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func newRelative(t testing.TB) policy.HealthTracker {
	t.Helper()
	h, err := kernel.Load[policy.HealthTracker]("health.relative", nil)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func observeFirstToken(h policy.HealthTracker, now time.Duration, i int, times float64) {
	h.Observe(now, policy.Observation{
		Upstream: i, Kind: policy.ObservedFirstToken, Expected: time.Second, Measured: time.Duration(times * float64(time.Second)),
	})
}

// Guards against excluding a large part of the fleet, whatever the measurements.
func TestExcludesAtMostAThird(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newRelative(t)
		n := rapid.IntRange(3, 15).Draw(rt, "upstreams")
		for i := range n {
			h.Reset(i)
		}
		for step := range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now := time.Duration(step) * 100 * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(rt, "upstream")
			if rapid.IntRange(0, 4).Draw(rt, "failed") == 0 {
				h.Observe(now, policy.Observation{Upstream: i, Failed: true})
			} else {
				observeFirstToken(h, now, i, rapid.SampledFrom([]float64{0.5, 1, 6, 30}).Draw(rt, "times"))
			}
			out := 0
			for j := range n {
				if h.Excluded(now, j) {
					out++
				}
			}
			if 3*out > n {
				rt.Fatalf("%d of %d excluded", out, n)
			}
		}
	})
}

// Guards against a slow upstream that keeps its share of the work, and against one that is not readmitted after it has
// recovered.
func TestSlowUpstreamIsExcludedAndReadmitted(t *testing.T) {
	is := is.New(t)
	h := newRelative(t)
	for round := range 5 {
		for i := range 9 {
			times := 1.0
			if i == 4 {
				times = 6
			}
			observeFirstToken(h, time.Duration(round)*time.Second, i, times)
		}
	}
	now := 6 * time.Second
	is.True(h.Excluded(now, 4))
	is.True(!h.Excluded(now, 3))
	r := &policy.Request{Idempotent: true}
	is.True(h.Probe(now+3*time.Second, 4, r))
	is.True(!h.Probe(now+3*time.Second, 4, r)) // one per probe interval
	is.True(!h.Probe(now+9*time.Second, 4, &policy.Request{}))
	observeFirstToken(h, now+4*time.Second, 4, 1)
	observeFirstToken(h, now+7*time.Second, 4, 1)
	is.True(!h.Excluded(now+8*time.Second, 4))
}

// Guards against excluding all servers of a service because the bound also counts the healthy engines.
func TestExcludedShareIsBoundedPerSet(t *testing.T) {
	is := is.New(t)
	h := newRelative(t)
	const servers, all = 3, 15
	for i := range all {
		h.Reset(i)
		set := "m:a"
		if i < servers {
			set = "s:booking"
		}
		h.SetPeerGroup(i, set)
	}
	out := 0
	for i := range servers {
		for range 5 {
			h.Observe(time.Second, policy.Observation{Upstream: i, Failed: true})
		}
		if h.Excluded(time.Second, i) {
			out++
		}
	}
	is.Equal(out, 1)
}
