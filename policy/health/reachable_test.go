package health

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

func newReachable(n int) *Reachable {
	h := (*Reachable)(nil).ModuleInfo().New().(*Reachable)
	for i := range n {
		h.Reset(i)
		h.SetPeerGroup(i, "s")
	}
	return h
}

// Guards against requests that each try an unreachable upstream, and against one that stays excluded after it has recovered.
func TestUnreachableUpstreamsAreLeftOutAtOnce(t *testing.T) {
	is := is.New(t)
	h := newReachable(3)
	for i := range 3 { // all of them may be excluded: an unreachable upstream serves nobody
		h.Observe(0, policy.Observation{Upstream: i, Failed: true, Unreachable: true})
		is.True(h.Excluded(0, i))
		is.Equal(h.Reason(0, i), "no connection")
	}
	pause := 200 * time.Millisecond
	is.True(!h.Excluded(pause, 0)) // retried
	h.Observe(pause, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(h.Excluded(pause+399*time.Millisecond, 0)) // the pause doubles
	h.Observe(pause, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(!h.Excluded(pause+401*time.Millisecond, 0)) // a second failure of the same retry extends nothing
	h.Observe(time.Second, policy.Observation{Upstream: 0, Kind: policy.ObservedCall, Measured: 1, Expected: 1})
	h.Observe(time.Second, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(!h.Excluded(time.Second+pause, 0)) // an answer resets the back-off
}

// Guards against excluding most of a fleet under a peak, when all of its upstreams are late.
func TestStallsLeaveOutAThird(t *testing.T) {
	is := is.New(t)
	h := newReachable(9)
	out := 0
	for i := range 9 {
		h.Observe(0, policy.Observation{Upstream: i, Stalled: true})
		if h.Excluded(0, i) {
			out++
			is.Equal(h.Reason(0, i), "stalled")
		}
	}
	is.Equal(out, 3)
	is.True(!h.Excluded(time.Second, 0))
}

// Guards against a query that ends an exclusion: WouldExclude returns what Excluded does and leaves the state as it is, also when the
// time without a probe is over.
func TestWouldExcludeChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newReachable(4)
	for range h.Failures {
		h.Observe(0, policy.Observation{Upstream: 1, Failed: true})
	}
	h.Observe(0, policy.Observation{Upstream: 2, Failed: true, Unreachable: true})
	h.Silent(0, 3)
	trial := time.Duration(h.TrialMS) * time.Millisecond
	for _, now := range []time.Duration{0, time.Second, trial, trial + 1} {
		before := slices.Clone(h.upstreams)
		var would []bool
		for i := range 5 {
			would = append(would, h.WouldExclude(now, i))
		}
		is.Equal(h.upstreams, before)
		for i, w := range would {
			is.Equal(w, h.Excluded(now, i))
		}
		is.Equal(would[1], now <= trial)
	}
}
