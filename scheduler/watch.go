package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// overdueFactor times the expected first token, a request counts against its upstream although it has not ended.
const overdueFactor = 3

// overdueMin is the least delay that counts, above the noise of a short request.
const overdueMin = 200 * time.Millisecond

// watch looks after requests in flight that have no token yet: those whose time is up are given up, late ones count
// against their upstream and may get a second attempt.
func (s *Scheduler) watch(now time.Duration) {
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if r.FirstAt != 0 {
			s.stalled(now, r)
			continue
		}
		if now < r.Dispatched {
			continue
		}
		if now >= r.GiveUpAt() && r.Generated == 0 {
			s.giveUp(now, r)
			i-- // the last request has taken this slot
			continue
		}
		s.overdue(now, r)
		s.tryHedge(now, r)
	}
}

// stalled counts a stream that has been silent for much longer than its next tokens should take.
func (s *Scheduler) stalled(now time.Duration, r *policy.Request) {
	u := s.fleet.Upstreams[r.Decode]
	expected := decodeTime(u, measureEvery)
	if silent := now - r.MeasuredAt; expected > 0 && silent > overdueFactor*expected {
		s.measured(r.Decode, measurement{kind: policy.ObservedDecode, from: r.MeasuredAt, to: now, tokens: measureEvery})
		r.MeasuredAt, r.MeasuredTokens = now, r.Generated
	}
}

// giveUp ends a request that has produced nothing by its deadline. The driver cancels its attempts.
func (s *Scheduler) giveUp(now time.Duration, r *policy.Request) {
	s.HedgeSettled(now, r, false)
	s.measureFirst(now, r)
	s.release(r, current(r))
	s.leave(r)
	s.ran[r.ID] = true
	s.refuse(now, r, result.DeadlineExceeded, 0)
}

func (s *Scheduler) measureFirst(now time.Duration, r *policy.Request) {
	s.measured(r.Prefill, measurement{
		kind: policy.ObservedFirstToken, from: r.Dispatched, to: now, work: promptWork(r, current(r)), urgent: r.Priority == 0,
	})
}

// overdue counts a late request once for each further multiple of its expected time.
func (s *Scheduler) overdue(now time.Duration, r *policy.Request) {
	late := now - r.Dispatched
	if r.NominalFirst <= 0 || late < overdueMin || late < overdueFactor*r.NominalFirst*time.Duration(r.Overdue+1) {
		return
	}
	r.Overdue++
	s.measureFirst(now, r)
	s.learnPrompt(now, r, false)
	at := r.Prefill
	if r.PromptDone {
		at = r.Decode
	}
	s.opts.Health.Observe(now, policy.Observation{Upstream: at, Kind: policy.ObservedFirstToken, Stalled: true})
}

// tryHedge starts a second attempt of a late idempotent request at another upstream that can take it at once.
func (s *Scheduler) tryHedge(now time.Duration, r *policy.Request) {
	if !r.Idempotent || r.HedgePrefill != policy.None || r.CrashesInAll > 0 {
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
	s.opts.Retry.Hedged(now, r)
	s.hedge(now, r, c)
}

func (s *Scheduler) hedge(now time.Duration, r *policy.Request, c policy.Choice) {
	r.HedgePrefill, r.HedgeDecode, r.HedgeCached = c.Prefill, c.Decode, s.cached(r, c.Prefill)
	r.HedgeAt = now
	r.HedgeNominal = time.Duration(float64(c.FirstToken) / max(s.opts.Health.Factor(c.Prefill), 1))
	r.Attempts++
	s.account(r, hedge(r))
	s.insert(now, r, c.Prefill)
	s.actions = append(s.actions, Action{Kind: Hedge, Request: r, Prefill: c.Prefill, Decode: c.Decode})
}

// probeMaxWork is the most prompt tokens that a probe may cost.
const probeMaxWork = 1000

// probe sends a copy of a small idempotent request to an excluded upstream that is due for a probe. The request
// itself runs elsewhere, so a slow probe delays nothing.
func (s *Scheduler) probe(now time.Duration, r *policy.Request) {
	if !r.Idempotent || r.HedgePrefill != policy.None || r.CrashesInAll > 0 || r.Generated > 0 || r.PromptTokens > probeMaxWork {
		return
	}
	for _, i := range s.fleet.Candidates(r) {
		u := s.fleet.Upstreams[i]
		// A race to the first token says nothing about an engine that only generates; it is tried again after a time.
		if i == r.Prefill || !u.Accepting || u.Role == topo.RoleDecode || !s.opts.Health.Probe(now, i, r) {
			continue
		}
		c := policy.Choice{Prefill: i, Decode: i, FirstToken: prefillTime(u, r)}
		if u.Role == topo.RolePrefill {
			c.Decode = r.Decode
		}
		s.hedge(now, r, c)
		return
	}
}

// prefillTime is the time that u needs for r's prompt and one decode step by its specification, without waiting.
func prefillTime(u *policy.Upstream, r *policy.Request) time.Duration {
	if u.Spec.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(r.PromptTokens)/u.Spec.PrefillTokensPerSecond) + decodeTime(u, 1)
}

// HedgeSettled notes that one of the two attempts of r is out: won says that the hedge goes on as the attempt in
// hand. The driver calls it on the first token of either attempt, or when one of them fails before, and cancels the
// attempt that is out. Without a hedge it does nothing.
func (s *Scheduler) HedgeSettled(now time.Duration, r *policy.Request, won bool) {
	if r.HedgePrefill == policy.None {
		return
	}
	s.ran[r.ID] = true // the attempt that is out may have run, however it ended
	out := hedge(r)
	if won {
		out = current(r)
		s.observeLoser(now, r.Prefill, r.Dispatched, r.NominalFirst)
		r.Prefill, r.Decode, r.Cached = r.HedgePrefill, r.HedgeDecode, r.HedgeCached
		r.Dispatched, r.NominalFirst = r.HedgeAt, r.HedgeNominal
	} else {
		s.observeLoser(now, r.HedgePrefill, r.HedgeAt, r.HedgeNominal)
	}
	s.release(r, out)
	r.HedgePrefill, r.HedgeDecode = policy.None, policy.None
}

// HedgeFailed notes that one of the two attempts of r has failed while the other goes on; hedge says which. The driver
// calls it in place of HedgeSettled, so that a crash counts although nothing is tried again.
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
	if o == policy.Crashed {
		s.crashed(now, r) // the first crash: suspects are not hedged
		s.countSuspect(r, 1)
	}
}

// observeLoser counts an attempt that was overtaken: it took at least the time until now. Before twice its expected
// time that says nothing about its upstream.
func (s *Scheduler) observeLoser(now time.Duration, i int, from, nominal time.Duration) {
	if nominal > 0 && now-from > 2*nominal {
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: i, Kind: policy.ObservedFirstToken, Measured: now - from, Expected: nominal,
		})
	}
}

// yieldFactor times its expected output, a stream counts as a long job that gives way to waiting work.
const yieldFactor = 4

// yield preempts one long job while other requests of its priority or a higher one wait for a batch slot. Each request
// gives way at most once, so that long jobs are not starved.
func (s *Scheduler) yield(now time.Duration) {
	if s.opts.NoYield || s.queued == 0 {
		return
	}
	for _, r := range s.running {
		if r.Yielded || !r.Idempotent || r.FirstAt == 0 || float64(r.Generated) < yieldFactor*r.ExpectedOutput {
			continue
		}
		q := s.queue(r)
		if q.Len() == 0 || q.items[0].Priority > r.Priority {
			continue
		}
		r.Yielded = true
		s.preempt(now, r)
		return
	}
}

// rescueTokens is the least expected rest of a stream that is worth computing its prompt again elsewhere.
const rescueTokens = 32

// rescue preempts one stream at an upstream that has been found slow, so that it goes on elsewhere. One in each tick keeps
// the others from being flooded.
func (s *Scheduler) rescue(now time.Duration) {
	if s.opts.NoRescue {
		return
	}
	for _, r := range s.running {
		if !r.Idempotent || r.FirstAt == 0 || r.Rescued >= 2 || r.Model == "" || !s.opts.Health.Excluded(now, r.Decode) {
			continue
		}
		if remaining(r) < rescueTokens {
			continue
		}
		r.Rescued++
		s.preempt(now, r)
		return
	}
}

func (s *Scheduler) preempt(now time.Duration, r *policy.Request) {
	s.release(r, current(r))
	s.leave(r)
	s.actions = append(s.actions, Action{Kind: Preempt, Request: r, Prefill: r.Prefill, Decode: r.Decode})
	r.Prefill, r.Decode = policy.None, policy.None
	q := s.queue(r)
	q.push(now, r)
	s.queued++
}
