package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// maxFailedRoutes limits the requests that one drain of a queue routes without success, so that a long queue costs
// little.
const maxFailedRoutes = 8

// drain dispatches the queued requests that an upstream can take now. A request that must wait does not block those
// behind it.
func (s *Scheduler) drain(now time.Duration) {
	for _, q := range s.sortedQueues {
		s.drainQueue(now, q)
	}
}

func (s *Scheduler) drainQueue(now time.Duration, q *queue) {
	s.updateOrder(q)
	kept := s.requeue[:0]
	suspectsWait := false
	for tries := 0; tries < maxFailedRoutes && q.Len() > 0; {
		q.rerank(now)
		r := q.pop()
		if r.Suspect && suspectsWait {
			kept = append(kept, r) // no upstream is free for a suspect; skip it without counting a try
			continue
		}
		if s.leaveQueue(now, q, r, kept) {
			continue
		}
		if r.Suspect {
			suspectsWait = true
		} else {
			tries++
		}
		kept = append(kept, r)
	}
	for _, r := range kept {
		q.push(now, r)
	}
	s.requeue = kept
}

// leaveQueue dispatches or refuses r, which has been popped from q after requests that keep waiting. It returns false if r must
// keep waiting, too.
func (s *Scheduler) leaveQueue(now time.Duration, q *queue, r *policy.Request, kept []*policy.Request) bool {
	if now >= r.GiveUpAt() && r.Generated == 0 {
		s.queued--
		s.refuse(now, r, result.CannotMeetDeadline, time.Second)
		return true
	}
	if now < r.HoldUntil {
		return false
	}
	c := s.opts.Router.Route(now, r, &s.fleet)
	ahead := 0
	for _, other := range kept {
		if other.ShareLevel() == r.ShareLevel() {
			ahead++
		}
	}
	view := s.queueView(now, q, r, ahead)
	if v := s.admit(now, r, c, view, &s.policies); !v.Admit {
		s.queued--
		s.refuseQueued(now, q, r, v, view)
		return true
	}
	if !s.mayGo(r, c) {
		return false
	}
	s.queued--
	q.fair.left(r)
	q.recordDeparture(now)
	s.dispatch(now, r, c, 0)
	return true
}
