package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// overdueFactor is the multiple of the expected time to the first token after which a request counts as late at its
// upstream.
const overdueFactor = 3

// minOverdue is the minimum delay of a late request; shorter delays are noise for short requests.
const minOverdue = 200 * time.Millisecond

// checkInFlight checks the requests in flight. Of those without a first token, it ends the ones past their deadline,
// reports late ones to the health tracker and may hedge them. It measures streams that have stalled.
func (s *Scheduler) checkInFlight(now time.Duration) {
	s.moveSearches = 0
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if r.FirstAt != 0 {
			s.observeStall(now, r)
			continue
		}
		if now < r.Dispatched {
			continue
		}
		if now >= r.GiveUpAt() && r.Generated == 0 {
			s.giveUp(now, r)
			i-- // the last request has moved to this slot
			continue
		}
		s.observeOverdue(now, r)
		if s.moveOverduePrompt(now, r) {
			i-- // r has moved to the last slot, and the request from there to this one
			continue
		}
		s.tryHedge(now, r)
	}
}

// observeStall queues a measurement for a stream without a token for much longer than its next measureEveryTokens
// should take.
func (s *Scheduler) observeStall(now time.Duration, r *policy.Request) {
	u := s.fleet.Upstreams[r.Decode]
	expected := decodeTime(u, measureEveryTokens)
	if silent := now - r.MeasuredAt; expected > 0 && silent > overdueFactor*expected {
		s.addMeasurement(r.Decode, measurement{kind: policy.ObservedDecode, from: r.MeasuredAt, to: now, tokens: measureEveryTokens})
		r.MeasuredAt, r.MeasuredTokens = now, r.Generated
	}
}

// giveUp refuses a request that has produced no token by its deadline. The driver cancels its attempts.
func (s *Scheduler) giveUp(now time.Duration, r *policy.Request) {
	s.HedgeSettled(now, r, false)
	s.releaseDecodePermit(now, r)
	s.measureFirst(now, r)
	s.removeLoad(r, currentAttempt(r))
	s.removeInFlight(r)
	s.mayHaveRun[r.ID] = true
	s.refuse(now, r, result.DeadlineExceeded, 0)
}

func (s *Scheduler) measureFirst(now time.Duration, r *policy.Request) {
	s.addMeasurement(r.Prefill, measurement{
		kind: policy.ObservedFirstToken, from: r.Dispatched, to: now, work: promptWork(r, currentAttempt(r)), urgent: r.Priority == 0,
	})
}

// observeOverdue reports a late request to the health tracker, once for each multiple of overdueFactor times its
// expected time.
func (s *Scheduler) observeOverdue(now time.Duration, r *policy.Request) {
	late := now - r.Dispatched
	if r.NominalFirst <= 0 || late < minOverdue || late < overdueFactor*r.NominalFirst*time.Duration(r.OverdueCount+1) {
		return
	}
	r.OverdueCount++
	s.measureFirst(now, r)
	s.learnPromptTime(now, r, false)
	at := r.Prefill
	if r.PromptDone {
		at = r.Decode
	}
	s.opts.Health.Observe(now, policy.Observation{Upstream: at, Kind: policy.ObservedFirstToken, Stalled: true})
}

// tryHedge starts a second attempt of a late idempotent request if another upstream can take it at once.
func (s *Scheduler) tryHedge(now time.Duration, r *policy.Request) {
	if !r.Idempotent || r.HedgePrefill != policy.None || r.HedgeNotStarted || r.Crashes > 0 {
		return // a suspect runs at one upstream at a time
	}
	after := s.opts.Retry.Hedge(now, r)
	if after <= 0 || now-r.Dispatched < after {
		return
	}
	avoid := r.Avoid
	r.Avoid = r.Prefill
	c := s.opts.Router.Route(now, r, &s.fleet)
	r.Avoid = avoid
	if c.Prefill == policy.None || c.Prefill == r.Prefill || c.Defer {
		return
	}
	if s.fleet.Upstreams[c.Prefill].Limited || s.fleet.Upstreams[c.Decode].Limited {
		return // a permit serves more callers as a first attempt
	}
	s.opts.Retry.Hedged(now, r)
	s.startHedge(now, r, c)
}

func (s *Scheduler) startHedge(now time.Duration, r *policy.Request, c policy.Choice) {
	r.HedgePrefill, r.HedgeDecode, r.HedgeCached = c.Prefill, c.Decode, s.cachedPieces(r, c.Prefill)
	r.HedgeAt = now
	r.HedgeNominal = time.Duration(float64(c.FirstToken) / max(s.opts.Health.Factor(c.Prefill), 1))
	r.Attempts++
	s.addLoad(r, hedgeAttempt(r))
	s.insertPrefix(now, r, c.Prefill)
	s.actions = append(s.actions, Action{Kind: Hedge, Request: r, Prefill: c.Prefill, Decode: c.Decode})
}

// maxProbePromptTokens is the maximum prompt length of a request that is copied as a probe.
const maxProbePromptTokens = 1000

// probe sends a copy of a small idempotent request to an excluded upstream that is due for a probe. The request
// itself runs elsewhere, so a slow probe delays nothing.
func (s *Scheduler) probe(now time.Duration, r *policy.Request) {
	if !r.Idempotent || r.HedgePrefill != policy.None || r.Crashes > 0 || r.Generated > 0 || r.PromptTokens > maxProbePromptTokens {
		return
	}
	for _, i := range s.fleet.Candidates(r) {
		u := s.fleet.Upstreams[i]
		// A decode-only engine computes no first token, so a probe can't measure it; its exclusion ends after a time.
		if i == r.Prefill || !u.Accepting || u.Limited || u.Role == topo.RoleDecode || !s.opts.Health.Probe(now, i, r) {
			continue
		}
		c := policy.Choice{Prefill: i, Decode: i, FirstToken: prefillTime(u, r)}
		if u.Role == topo.RolePrefill {
			if c.Decode = r.Decode; s.fleet.Upstreams[c.Decode].Limited {
				return
			}
		}
		s.startHedge(now, r, c)
		return
	}
}

// prefillTime returns the time that u needs for r's prompt and one decode step by its specification, without queueing.
func prefillTime(u *policy.Upstream, r *policy.Request) time.Duration {
	if u.Spec.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(r.PromptTokens)/u.Spec.PrefillTokensPerSecond) + decodeTime(u, 1)
}

// HedgeSettled records that one of the two attempts of r has lost. If won is set, the hedge has won and becomes the
// current attempt. The driver calls it on the first token of either attempt, or when one of them fails before, and
// cancels the losing attempt. Without a hedge it does nothing.
func (s *Scheduler) HedgeSettled(now time.Duration, r *policy.Request, won bool) {
	if r.HedgePrefill == policy.None {
		return
	}
	s.mayHaveRun[r.ID] = true // the losing attempt may have run, however it ended
	loser := hedgeAttempt(r)
	if won {
		s.releaseDecodePermit(now, r)
		loser = currentAttempt(r)
		s.observeOvertaken(now, r.Prefill, r.Dispatched, r.NominalFirst)
		r.Prefill, r.Decode, r.Cached = r.HedgePrefill, r.HedgeDecode, r.HedgeCached
		r.Dispatched, r.NominalFirst = r.HedgeAt, r.HedgeNominal
		r.PromptSentAt, r.NextMove = 0, 0 // of the first attempt; the second one asks for no prompt only
	} else {
		s.observeOvertaken(now, r.HedgePrefill, r.HedgeAt, r.HedgeNominal)
	}
	// PromptDone is of the first attempt: the second one reports no prompt.
	promptDone := r.PromptDone
	r.PromptDone = promptDone && won
	s.removeLoad(r, loser)
	r.PromptDone = promptDone && !won
	r.HedgePrefill, r.HedgeDecode = policy.None, policy.None
}

// HedgeNotStarted records that the driver has not started r's second attempt. The current attempt gets no other one: each would be charged
// to the retry budget, and would most likely not be started either.
func (s *Scheduler) HedgeNotStarted(r *policy.Request) {
	if !s.inFlight(r) || r.HedgePrefill == policy.None {
		return
	}
	promptDone := r.PromptDone
	r.PromptDone = false // that of the first attempt
	s.removeLoad(r, hedgeAttempt(r))
	r.PromptDone = promptDone
	r.HedgePrefill, r.HedgeDecode, r.HedgeNotStarted = policy.None, policy.None, true
	r.Attempts--
}

// HedgeFailed records that one of the two attempts of r has failed, the second one if hedge is set, while the other
// continues. The driver calls it instead of HedgeSettled, so that a crash is counted although no retry follows.
func (s *Scheduler) HedgeFailed(now time.Duration, r *policy.Request, hedge bool, o policy.Outcome) {
	if r.HedgePrefill == policy.None {
		return
	}
	at := r.Prefill
	if hedge {
		at = r.HedgePrefill
	}
	s.opts.Health.Observe(now, policy.Observation{Upstream: at, Kind: policy.ObservedCall, Failed: true})
	s.HedgeSettled(now, r, !hedge)
	if !o.CertainlyNotRun() {
		r.PossibleRuns++ // Finished counts the other one
	}
	if o == policy.Crashed {
		s.recordCrash(now, r) // the first crash: suspects are not hedged
		s.changeSuspects(r, 1)
	}
}

// observeOvertaken reports the time until now of an attempt that lost against a hedge as a lower bound of its time to
// the first token. Below twice the expected time the bound says nothing about the upstream's speed and is dropped.
func (s *Scheduler) observeOvertaken(now time.Duration, i int, from, nominal time.Duration) {
	if nominal > 0 && now-from > 2*nominal {
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: i, Kind: policy.ObservedFirstToken, Measured: now - from, Expected: nominal,
		})
	}
}

// yieldFactor is the multiple of its expected output at which a stream counts as a long job and may be preempted.
const yieldFactor = 4

// yield preempts one long job if other requests of its priority or a higher one wait for a batch slot. Each request is
// preempted for this reason at most once, so that long jobs are not starved.
func (s *Scheduler) yield(now time.Duration) {
	if s.opts.NoYield || s.queued == 0 {
		return
	}
	for _, r := range s.running {
		if r.Yielded || !r.Idempotent || r.FirstAt == 0 || float64(r.Generated) < yieldFactor*r.ExpectedOutput {
			continue
		}
		q := s.queueFor(r)
		if q.Len() == 0 || q.items[0].Priority > r.Priority {
			continue
		}
		r.Yielded = true
		s.preempt(now, r)
		return
	}
}

// minRescueTokens is the minimum expected remaining output for which rescue computes a stream's prompt again elsewhere.
const minRescueTokens = 32

// rescue preempts one stream at an upstream that is excluded as slow, so that it continues elsewhere. It moves only one
// per tick, so that the other upstreams are not flooded.
func (s *Scheduler) rescue(now time.Duration) {
	if s.opts.NoRescue {
		return
	}
	for _, r := range s.running {
		if !r.Idempotent || r.FirstAt == 0 || r.Rescues >= 2 || r.Model == "" || !s.opts.Health.Excluded(now, r.Decode) {
			continue
		}
		if remaining(r) < minRescueTokens {
			continue
		}
		r.Rescues++
		s.preempt(now, r)
		return
	}
}

func (s *Scheduler) preempt(now time.Duration, r *policy.Request) {
	s.removeLoad(r, currentAttempt(r))
	s.removeInFlight(r)
	s.actions = append(s.actions, Action{Kind: Preempt, Request: r, Prefill: r.Prefill, Decode: r.Decode})
	r.Prefill, r.Decode = policy.None, policy.None
	q := s.queueFor(r)
	q.push(now, r)
	s.queued++
}
