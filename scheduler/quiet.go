package scheduler

import (
	"slices"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// An upstream that asked for quiet gets no requests from this entry VM until the requested time has passed. Then the
// number of requests in flight there is limited by an allowance that starts at one and doubles, so that the queued
// requests are not all sent at once.

// allowanceDoublingInterval is the time between two doublings of the allowance. The largest batch in use, 128, is
// allowed again after 0.7 s; an upstream has to get its full share of work within 1 s.
const allowanceDoublingInterval = 100 * time.Millisecond

// Quiet records that an upstream has asked for no requests for the duration d. The latest end of all such periods
// applies.
func (s *Scheduler) Quiet(now time.Duration, name string, d time.Duration) {
	i, ok := s.byName[name]
	if !ok || d <= 0 {
		return
	}
	u := s.fleet.Upstreams[i]
	u.QuietUntil = max(u.QuietUntil, now+d)
	u.Quiet, u.Allowance = true, 0
	s.watchQuiet(u)
	if s.updateAccepting(u) {
		s.updateRanks()
	}
}

func (s *Scheduler) watchQuiet(u *policy.Upstream) {
	if !slices.Contains(s.quietUpstreams, u) {
		s.quietUpstreams = append(s.quietUpstreams, u)
	}
}

// rampUp limits the requests in flight at an upstream by an allowance from now on, as after a quiet period.
func (s *Scheduler) rampUp(now time.Duration, u *policy.Upstream) {
	if u.Quiet {
		return
	}
	u.QuietUntil, u.Allowance = now, 1
	s.watchQuiet(u)
}

// AcceptsControlCalls reports whether calls that serve no caller may be sent to an upstream: it has not asked for quiet and
// does not limit its requests.
func (s *Scheduler) AcceptsControlCalls(name string) bool {
	i, ok := s.byName[name]
	return !ok || !s.fleet.Upstreams[i].Quiet && !s.fleet.Upstreams[i].Limited
}

// endQuiet ends the quiet periods that are over and raises the allowances of the upstreams that are back.
func (s *Scheduler) endQuiet(now time.Duration) {
	if len(s.quietUpstreams) == 0 {
		return
	}
	s.quietUpstreams = slices.DeleteFunc(s.quietUpstreams, func(u *policy.Upstream) bool {
		if s.byName[u.Spec.Name] != u.Index || s.fleet.Upstreams[u.Index] != u {
			return true // the upstream was removed; its slot may have been reused
		}
		if now < u.QuietUntil {
			return false
		}
		if u.Quiet {
			u.Quiet = false
			if s.updateAccepting(u) {
				s.updateRanks()
			}
		}
		steps := int((now - u.QuietUntil) / allowanceDoublingInterval)
		if steps >= maxDoublings || 1<<steps >= u.Spec.MaxBatch {
			u.Allowance = 0
			return true
		}
		u.Allowance = 1 << steps
		return false
	})
}

// maxDoublings prevents an overflow of the allowance.
const maxDoublings = 20

// updateAccepting sets u.Accepting and u.AcceptsAfterQuiet. It reports whether Accepting has changed; the caller must
// then call updateRanks, directly or by way of rebuildIndexes.
func (s *Scheduler) updateAccepting(u *policy.Upstream) bool {
	inService := isActive(u.Spec) && !s.notAccepting[u.Spec.Name]
	accepting := inService && !u.Quiet
	u.AcceptsAfterQuiet = inService && u.Quiet
	if accepting == u.Accepting {
		return false
	}
	u.Accepting = accepting
	s.capacityLost = s.capacityLost || !accepting
	return true
}

// refuseHopeless refuses queued requests for which no upstream will accept work in time. It runs after an upstream has
// stopped accepting work or lowered its limit, and periodically while upstreams are limited, so that these requests do not
// wait for their deadlines.
func (s *Scheduler) refuseHopeless(now time.Duration) {
	if review := s.reviewDue(now); !s.capacityLost && !review {
		return
	}
	s.capacityLost = false
	for _, q := range s.sortedQueues {
		if q.Len() == 0 {
			continue
		}
		if slices.ContainsFunc(q.items, s.mayBeHopeless) {
			s.refuseHopelessIn(now, q)
		}
	}
}

// mayBeHopeless reports whether no upstream accepts r now, or all that do are limited.
func (s *Scheduler) mayBeHopeless(r *policy.Request) bool {
	_, limited := s.fleet.LimitedRate(r)
	return limited || !s.fleet.AnyAccepting(r)
}

func (s *Scheduler) refuseHopelessIn(now time.Duration, q *queue) {
	list := slices.Clone(q.items)
	slices.SortFunc(list, func(a, b *policy.Request) int {
		if q.before(a, b) {
			return -1
		}
		return 1
	})
	none := policy.Choice{Prefill: policy.None, Decode: policy.None}
	var ahead [policy.ShareLevels]int
	for _, r := range list {
		view := s.queueView(now, q, r, ahead[r.ShareLevel()])
		if v := s.admit(now, r, none, view, &s.policies); v.Admit {
			ahead[r.ShareLevel()]++
		} else if q.remove(r) {
			s.queued--
			s.refuseQueued(now, q, r, v, view)
		}
	}
}

// ExclusionReason returns the reason why upstream i gets no ordinary work now, in a few words for operators, or "" if it
// gets work.
func (s *Scheduler) ExclusionReason(now time.Duration, i int) string {
	u := s.fleet.Upstreams[i]
	switch {
	case u.Spec.State == topo.UpstreamWithdrawn:
		return ""
	case u.Quiet:
		return "asked for quiet"
	case !u.Accepting:
		return "leaving"
	case u.Limited:
		return "limited"
	case !s.opts.Health.Excluded(now, i):
		return ""
	}
	if r, ok := s.opts.Health.(policy.Reasoner); ok {
		return r.Reason(now, i)
	}
	return "slow"
}
