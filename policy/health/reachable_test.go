package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

func newReachable(n int) *Reachable {
	h := (*Reachable)(nil).ModuleInfo().New().(*Reachable)
	for i := range n {
		h.Reset(i)
		h.Place(i, "s")
	}
	return h
}

// Guards against requests that try a dead upstream one after the other, and against one that stays out after it is back.
func TestUnreachableUpstreamsAreLeftOutAtOnce(t *testing.T) {
	is := is.New(t)
	h := newReachable(3)
	for i := range 3 { // all of them: what can't be connected to serves nobody
		h.Observe(0, policy.Observation{Upstream: i, Failed: true, Unreachable: true})
		is.True(h.Excluded(0, i))
		is.Equal(h.Reason(0, i), "no connection")
	}
	pause := 200 * time.Millisecond
	is.True(!h.Excluded(pause, 0)) // tried again
	h.Observe(pause, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(h.Excluded(pause+399*time.Millisecond, 0)) // twice as long
	h.Observe(pause, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(!h.Excluded(pause+401*time.Millisecond, 0)) // a second request of the same trial adds nothing
	h.Observe(time.Second, policy.Observation{Upstream: 0, Kind: policy.ObservedCall, Measured: 1, Expected: 1})
	h.Observe(time.Second, policy.Observation{Upstream: 0, Failed: true, Unreachable: true})
	is.True(!h.Excluded(time.Second+pause, 0)) // an answer makes the pause short again
}

// Guards against a peak that leaves out most of a fleet because all of it is late.
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
