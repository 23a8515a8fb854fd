package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

// offerHedged offers a request that may be repeated, reports its prompt as sent and starts a second attempt of it at another engine.
func offerHedged(is *is.I, s *Scheduler, now time.Duration) *policy.Request {
	r, at := offerOverdue(is, s, now, 1)
	r.Idempotent, r.MaxResends = true, 1
	other := at ^ 1 // the two engines for prompts
	s.startHedge(now, r, policy.Choice{Prefill: other, Decode: other, FirstToken: time.Millisecond})
	return r
}

func newMovingScheduler(t *testing.T) *Scheduler {
	s := newSplitScheduler(t)
	s.opts.MoveOverduePrompts = true
	s = New(s.opts)
	s.SetUpstreams(splitFleet(""))
	return s
}

// Guards against a request that is taken for an overdue prompt after its second attempt has won: the time of the send belongs to the
// first attempt's prompt.
func TestAWonHedgeIsNotMoved(t *testing.T) {
	is := is.New(t)
	s := newMovingScheduler(t)
	r := offerHedged(is, s, time.Second)
	s.HedgeSettled(time.Second, r, true)
	is.Equal(moveTime(s, r, time.Second, 4900*time.Millisecond), time.Duration(0)) // until its deadline
}

// Guards against prompts that stay counted at an engine: the prompt of the first attempt was computed when the second one started or ended.
func TestHedgesBesideAComputedPromptLeaveNoLoad(t *testing.T) {
	for _, won := range []bool{false, true} {
		is := is.New(t)
		s := newMovingScheduler(t)
		r := offerHedged(is, s, time.Second)
		for _, u := range s.Fleet().Upstreams {
			changeRunning(u, &policy.Request{}, 1) // another request: without one, the sums are reset
		}
		s.PromptComputed(time.Second, r)
		s.HedgeSettled(2*time.Second, r, won)
		s.FirstToken(2*time.Second, r)
		s.Finished(3*time.Second, r, policy.Completed)
		for _, u := range s.Fleet().Upstreams {
			is.Equal(u.OwnRunning, 1)
			is.Equal(u.OwnPrefill, 0.0)
			is.Equal(u.OwnHeld, 0.0)
		}
	}
}

// Guards against a prompt that stays at a silent engine because of a second attempt that has not been started, such as a probe of another
// engine: it is ordered with the dispatch of the request, whose first attempt may not have begun.
func TestAPromptBesideAHedgeThatIsNotStartedIsMoved(t *testing.T) {
	is := is.New(t)
	s := newMovingScheduler(t)
	r := offerHedged(is, s, time.Second)
	s.HedgeNotStarted(r)
	is.Equal(r.Attempts, 1)
	is.True(moveTime(s, r, time.Second, 3*time.Second) > 0)
}
