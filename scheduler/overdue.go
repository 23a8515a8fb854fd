package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// While a prefill engine computes the prompt only, the request has not run, whatever becomes of the call. If the call has no answer
// for long, the request is given to another engine, also on a route that may not be repeated. A request that waits for a silent engine
// would otherwise be lost at its caller's deadline.

const (
	// overduePromptFactor is the multiple of the expected time to the first token after which a prompt is overdue.
	overduePromptFactor = 3
	// minOverduePrompt covers pauses of an engine's process and of the entry VM.
	minOverduePrompt = 100 * time.Millisecond
	// overdueTargetShare is the part of the time to the target after which a prompt can be overdue. With targets of 300 to 1,200 ms,
	// 120 to 480 ms pass before a move, and at least half of the time remains for the other engine.
	overdueTargetShare = 0.4
	// overdueDeadlineShare is used in its place for requests without a target, whose deadlines are 3 to 6 s.
	overdueDeadlineShare = 0.1
	// busyFactor applies if the engine has answered another call since this one was sent: it works, but its queue is longer than
	// was known.
	busyFactor = 2
	// moveInterval is the time between two searches for another engine for one request, and maxMoveSearches the number of searches in
	// one tick. At a peak many prompts are overdue, no engine is free, and a search costs as much as a routing decision.
	moveInterval    = 100 * time.Millisecond
	maxMoveSearches = 4
)

// PromptSent records that the call for r's prompt is sent to its prefill engine, which can't run the request by it. The driver calls
// it for no other kind of send.
func (s *Scheduler) PromptSent(now time.Duration, r *policy.Request) {
	if s.inFlight(r) && r.FirstAt == 0 && !r.PromptDone {
		r.PromptSentAt = max(now, 1) // 0 means not sent
	}
}

// recordDispatch records that a request is about to be dispatched.
func (s *Scheduler) recordDispatch(now time.Duration, c *policy.Choice) {
	if s.silence != nil {
		s.silence.Sent(now, c.Prefill)
	}
}

// dropSource drops the source of a fetch if it is left out: a fetch from a silent engine would hold up the prompt at the other one.
func (s *Scheduler) dropSource(now time.Duration, c *policy.Choice, h policy.HealthTracker) {
	if s.silence != nil && c.Source != nil && h.Excluded(now, c.Source.Index) {
		c.Source = nil
	}
}

// TracksAnswers reports whether UpstreamAnswered has an effect.
func (s *Scheduler) TracksAnswers() bool { return s.silence != nil }

// UpstreamAnswered records that the named upstream has answered a call in any way: a rejection also shows that it is not silent.
func (s *Scheduler) UpstreamAnswered(now time.Duration, name string) {
	if i, ok := s.byName[name]; ok {
		s.answered(now, i)
	}
}

// answered records an answer of upstream i.
func (s *Scheduler) answered(now time.Duration, i int) {
	if s.silence == nil {
		return
	}
	for len(s.answeredAt) <= i {
		s.answeredAt = append(s.answeredAt, 0)
	}
	s.answeredAt[i] = now
	s.silence.Answered(now, i)
}

// promptOverdueAfter returns the time from the send of r's prompt after which it is overdue.
func (s *Scheduler) promptOverdueAfter(r *policy.Request) time.Duration {
	after := max(overduePromptFactor*r.ExpectedFirst, minOverduePrompt)
	switch {
	case r.Generated > 0: // the caller waits for the next event
	case r.FirstTokenTarget > r.Arrival:
		after = max(after, time.Duration(overdueTargetShare*float64(r.FirstTokenTarget-r.Arrival)))
	default:
		after = max(after, time.Duration(overdueDeadlineShare*float64(r.GiveUpAt()-r.Arrival)))
	}
	if s.answeredAtOf(r.Prefill) >= r.PromptSentAt {
		after *= busyFactor
	}
	return after
}

// moveOverduePrompt gives r to another engine if the call for its prompt is overdue, another engine can take it in time and the retry
// budget allows a further prompt call. It reports whether it has.
func (s *Scheduler) moveOverduePrompt(now time.Duration, r *policy.Request) bool {
	if !s.opts.MoveOverduePrompts || r.PromptSentAt == 0 || r.PromptDone || r.Crashes > 0 || r.HedgePrefill != policy.None {
		return false // a suspect runs at one upstream at a time
	}
	silent := r.Prefill
	if s.fleet.Upstreams[silent].Role != topo.RolePrefill || now < r.NextMove || now-r.PromptSentAt < s.promptOverdueAfter(r) {
		return false
	}
	if s.moveSearches >= maxMoveSearches {
		return false
	}
	s.moveSearches++
	r.NextMove = now + moveInterval
	busy := s.answeredAtOf(silent) >= r.PromptSentAt
	if s.silence != nil && !busy {
		s.silence.Silent(now, silent)
	}
	avoid, avoidDecode := r.Avoid, r.AvoidDecode
	r.Avoid, r.AvoidDecode = silent, policy.None
	c := s.routeWithoutHolding(now, r)
	if c.Prefill == policy.None || c.Prefill == silent || s.shouldWait(r, c) || now+c.FirstToken >= r.GiveUpAt() || !s.allowPromptCall(now, r) {
		r.Avoid, r.AvoidDecode = avoid, avoidDecode
		return false
	}
	if !busy && c.Source != nil && c.Source.Index == silent {
		c.Source = nil // recordDispatch leaves out excluded engines only, and not every silent one is excluded
	}
	if busy { // a silent engine has no speed, and would lower the one that is assumed of the others
		s.learnPromptTime(now, r, false)
	}
	s.move(now, r, c, true)
	return true
}

// move ends the attempt of r and dispatches r to a choice of other upstreams. notRun states that the attempt has not run r.
func (s *Scheduler) move(now time.Duration, r *policy.Request, c policy.Choice, notRun bool) {
	s.releaseDecodePermit(now, r)
	s.removeLoad(r, currentAttempt(r))
	s.removeInFlight(r)
	s.actions = append(s.actions, Action{Kind: Preempt, Request: r, Prefill: r.Prefill, Decode: r.Decode, Moved: notRun})
	s.dispatch(now, r, c, 0)
}

// routeWithoutHolding routes r, whose prompt is being computed, as if it held no permit and no place at its decoder: a move gives these
// back, and they may be the only ones. Its prompt stays counted, since the pieces of an overdue prompt can't be fetched.
func (s *Scheduler) routeWithoutHolding(now time.Duration, r *policy.Request) policy.Choice {
	permit, decoder := r.DecodePermit, s.fleet.Upstreams[r.Decode]
	s.releaseDecodePermit(now, r)
	changeDecodeLoad(decoder, r, -1)
	c := s.opts.Router.Route(now, r, &s.fleet)
	changeDecodeLoad(decoder, r, 1)
	if permit {
		s.retakeDecodePermit(r)
	}
	return c
}

func (s *Scheduler) answeredAtOf(i int) time.Duration {
	if i < len(s.answeredAt) {
		return s.answeredAt[i]
	}
	return 0
}

// allowPromptCall charges a further prompt call of r to the retry budget, if that allows one. The hand-over, the second send of a
// split attempt, has not taken place and is not charged.
func (s *Scheduler) allowPromptCall(now time.Duration, r *policy.Request) bool {
	split := r.Split
	r.Split = false
	ok, _ := s.opts.Retry.Retry(now, r, policy.RefusedNotRun)
	r.Split = split
	return ok
}
