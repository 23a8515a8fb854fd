package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/retry"
)

// fetchingRouter is a router whose choices fetch pieces from an engine, and which counts the choices made while that engine's pieces of the
// request count as computed.
type fetchingRouter struct {
	policy.Router
	source   int // policy.None: unchanged
	computed int
}

func (f *fetchingRouter) Route(now time.Duration, r *policy.Request, fleet *policy.Fleet) policy.Choice {
	c := f.Router.Route(now, r, fleet)
	if f.source != policy.None {
		c.Source = fleet.Upstreams[f.source]
		if fleet.Upstreams[f.source].Computing[r.Prefix[0]] == 0 {
			f.computed++
		}
	}
	return c
}

// Guards against a moved prompt that waits for pieces of the silent engine: those that it was to compute itself, or others.
func TestAMoveFetchesNothingFromTheSilentEngine(t *testing.T) {
	is := is.New(t)
	s := newMovingScheduler(t)
	s.silence = nil // of several silent engines, some are not excluded
	router := &fetchingRouter{Router: s.opts.Router, source: policy.None}
	s.opts.Router = router
	r := sharedPrefixRequest(1, 7, 17000)
	is.Equal(len(s.Offer(time.Second, r)), 1)
	s.PromptSent(time.Second, r)
	router.source = r.Prefill
	for now := time.Second; now < 8*time.Second; now += 20 * time.Millisecond {
		if a := s.Tick(now); len(a) == 2 {
			is.Equal(a[1].Kind, Dispatch)
			is.True(a[1].Source == nil)
			is.Equal(router.computed, 0)
			return
		}
	}
	is.Fail() // not moved
}

// offerOverdue offers a request that may not be repeated and reports its prompt as sent to the engine that it returns.
func offerOverdue(is *is.I, s *Scheduler, now time.Duration, id uint64) (*policy.Request, int) {
	r := &policy.Request{
		ID: id, Model: "m", PromptTokens: 6000, Arrival: now, FirstTokenTarget: now + 600*time.Millisecond, FirstTokenDeadline: now + 4*time.Second,
		Deadline: now + time.Minute, ResendsLimited: true,
	}
	a := s.Offer(now, r)
	is.Equal(len(a), 1)
	is.True(a[0].Prefill != a[0].Decode)
	at := a[0].Prefill
	s.PromptSent(now, r)
	return r, at
}

// moveTime ticks until r is moved, and returns the time, or 0 if that does not happen before the end.
func moveTime(s *Scheduler, r *policy.Request, from, end time.Duration) time.Duration {
	at := r.Prefill
	for now := from; now < end; now += 20 * time.Millisecond {
		if a := s.Tick(now); r.Prefill != at && len(a) == 2 && a[0].Kind == Preempt && a[1].Kind == Dispatch {
			return now
		}
	}
	return 0
}

// Guards against a request that waits at a silent prefill engine until its caller leaves, against one that is moved while its answer may
// just be late, and against load that stays counted at the engine it has left.
func TestAnOverduePromptIsMoved(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	s.opts.MoveOverduePrompts = true
	s = New(s.opts)
	s.SetUpstreams(splitFleet(""))
	r, silent := offerOverdue(is, s, time.Second, 1)
	expected := r.ExpectedFirst
	moved := moveTime(s, r, time.Second, 10*time.Second) - time.Second
	is.True(moved >= overduePromptFactor*expected && moved >= 240*time.Millisecond) // 0.4 of the target's time
	is.True(moved <= max(overduePromptFactor*expected, 300*time.Millisecond)+20*time.Millisecond)
	is.Equal(s.Fleet().Upstreams[silent].OwnRunning, 0)
	is.Equal(r.PossibleRuns, 0)
	now := time.Second + moved
	s.PromptSent(now, r)
	decode, _ := s.PromptComputed(now, r)
	is.True(decode != policy.None)
	s.FirstToken(now, r)
	s.Finished(now, r, policy.Completed)
	for _, u := range s.Fleet().Upstreams {
		is.Equal(u.OwnRunning, 0)
	}
	for id := uint64(2); id < 10; id++ { // the silent engine gets no new work
		q, at := offerOverdue(is, s, now, id)
		is.True(at != silent)
		s.Finished(now, q, policy.Cancelled)
	}
	later := now + 2*time.Second // one request finds out whether it answers, although the other engine is busy
	probes := 0
	var probe *policy.Request
	for id := uint64(10); id < 30; id++ {
		q := &policy.Request{ID: id, Model: "m", PromptTokens: 6000, Arrival: later, Deadline: time.Hour, ResendsLimited: true}
		if s.Offer(later, q); q.Prefill == silent {
			probes++
			probe = q
		}
	}
	is.Equal(probes, 1)
	s.PromptComputed(later, probe)
	is.True(!s.opts.Health.Excluded(later, silent))
}

// Guards against moves that a deployment has not asked for, of requests that may have run, whose prompt has just been computed, or
// beyond the retry budget.
func TestWhatIsNotMoved(t *testing.T) {
	for name, prepare := range map[string]func(s *Scheduler, r *policy.Request){
		"off":               func(s *Scheduler, _ *policy.Request) { s.opts.MoveOverduePrompts = false },
		"prompt not sent":   func(_ *Scheduler, r *policy.Request) { r.PromptSentAt = 0 }, // the send may be another one
		"prompt computed":   func(s *Scheduler, r *policy.Request) { s.PromptComputed(1, r) },
		"output has begun":  func(s *Scheduler, r *policy.Request) { s.FirstToken(1, r) },
		"no budget":         func(s *Scheduler, _ *policy.Request) { s.opts.Retry.(*retry.Window).Slack = 0 },
		"too many attempts": func(_ *Scheduler, r *policy.Request) { r.Attempts = retry.MaxSentAttempts },
		"suspect":           func(_ *Scheduler, r *policy.Request) { r.Crashes = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSplitScheduler(t)
			s.opts.MoveOverduePrompts = true
			s = New(s.opts)
			s.SetUpstreams(splitFleet(""))
			r, _ := offerOverdue(is, s, 0, 1)
			prepare(s, r)
			is.Equal(moveTime(s, r, 0, 3900*time.Millisecond), time.Duration(0))
		})
	}
}

// Guards against a request that stays at a silent engine because it holds what it needs elsewhere itself: the last permit of a decoder, or
// the last place there.
func TestAMoveKeepsWhatItsRequestHolds(t *testing.T) {
	for name, prepare := range map[string]func(s *Scheduler){
		"permit": func(s *Scheduler) {
			for _, name := range []string{"d1", "d2", "d3"} {
				s.AnswerLimit(0, name, true, 0.5, 0)
			}
			s.grantByName(time.Second, "d1", 1)
		},
		"place": func(s *Scheduler) {
			for _, u := range s.Fleet().Upstreams[2:] {
				u.Accepting = u.Spec.Name == "d1"
				u.OwnRunning = u.Spec.MaxBatch - 1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newMovingScheduler(t)
			prepare(s)
			r, _ := offerOverdue(is, s, time.Second, 1)
			permits, running := s.permitsOf("d1"), s.Fleet().Upstreams[r.Decode].OwnRunning
			is.Equal(s.Fleet().Upstreams[r.Decode].Spec.Name, "d1")
			s.Tick(1200 * time.Millisecond) // too early
			is.Equal(s.permitsOf("d1"), permits)
			is.True(moveTime(s, r, time.Second, 2*time.Second) > 0)
			is.Equal(s.permitsOf("d1"), permits)
			is.Equal(s.Fleet().Upstreams[r.Decode].OwnRunning, running)
			is.Equal(s.Fleet().Upstreams[r.Decode].Spec.Name, "d1")
		})
	}
}
