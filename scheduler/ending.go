package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// The platform ends the process of an upstream that it takes away at a stated time, at times without closing its connections. From a
// moment before on, what can go on elsewhere is moved, as a further send within the same limits as after a break: streams that another
// upstream can resume, and prompts whose request has not run. All else stays, since it may still end in time.

// SetEnds sets the times from which the platform may end upstreams, by their names. It replaces those of the last call and must follow
// each SetUpstreams while there are any.
func (s *Scheduler) SetEnds(ends map[string]time.Duration) {
	clear(s.ends)
	for name, at := range ends {
		if i, ok := s.byName[name]; ok {
			if s.ends == nil {
				s.ends = map[int]time.Duration{}
			}
			s.ends[i] = at
		}
	}
}

// moveFromEnding moves requests in flight from upstreams that end now to others that can take them at once.
func (s *Scheduler) moveFromEnding(now time.Duration) {
	if len(s.ends) == 0 {
		return
	}
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		at := s.movableFrom(r)
		if at == policy.None || now < r.NextMove {
			continue
		}
		if end, ok := s.ends[at]; !ok || now < end {
			continue
		}
		if s.moveSearches >= maxMoveSearches {
			return
		}
		s.moveSearches++
		r.NextMove = now + moveInterval
		if s.moveFrom(now, r, at) {
			i-- // r has moved to the last slot, and the request from there to this one
		}
	}
}

// movableFrom returns the upstream from which r can be moved, or None if r has to stay where it is.
func (s *Scheduler) movableFrom(r *policy.Request) int {
	switch {
	case r.Crashes > 0 || r.HedgePrefill != policy.None:
	case r.FirstAt != 0:
		if r.Idempotent && r.Movable != nil && r.Movable() && !(r.ResendsLimited && r.PossibleRuns >= r.MaxResends) {
			return r.Decode
		}
	case r.PromptSentAt != 0 && !r.PromptDone:
		return r.Prefill
	}
	return policy.None
}

// moveFrom gives r to another upstream than the one that ends, if one can take it at once and the retry budget allows the sends. It
// reports whether it has.
func (s *Scheduler) moveFrom(now time.Duration, r *policy.Request, ending int) bool {
	avoid, avoidDecode := r.Avoid, r.AvoidDecode
	r.Avoid, r.AvoidDecode = ending, policy.None
	began := r.FirstAt != 0
	var c policy.Choice
	if began {
		c = s.opts.Router.Route(now, r, &s.fleet)
	} else {
		c = s.routeWithoutHolding(now, r)
	}
	allowed := c.Prefill != policy.None && c.Prefill != ending && c.Decode != ending && !s.shouldWait(r, c)
	if allowed && began {
		allowed, _ = s.opts.Retry.Retry(now, r, policy.CutShort)
	} else if allowed {
		allowed = now+c.FirstToken < r.GiveUpAt() && s.allowPromptCall(now, r)
	}
	if !allowed {
		r.Avoid, r.AvoidDecode = avoid, avoidDecode
		return false
	}
	if began {
		s.mayHaveRun[r.ID] = true
		r.PossibleRuns++
	}
	s.move(now, r, c, !began)
	return true
}
