package scheduler

import (
	"container/heap"
	"maps"

	"bergamotcroft.example/bergamot/policy"
)

// While all upstreams that accept the requests of a queue are limited, the queue is ordered by weighted fair queueing (start-time
// fair queueing, Goyal et al. 1996) over the classes of its requests, with the weights of their share levels.

// fairOrder is the state of one queue.
type fairOrder struct {
	active bool               // the queue is ordered by tags
	now    float64            // virtual time: the highest tag of the requests that have left the queue
	finish map[string]float64 // virtual finish time of each class that is ahead of now
}

// tag sets the tag with which r would be queued.
func (f *fairOrder) tag(r *policy.Request) { r.FairTag = max(f.now, f.finish[r.Class]) }

// queued advances the virtual finish time of the class of a request that has been tagged and queued for the first time.
func (f *fairOrder) queued(r *policy.Request) {
	if f.finish == nil {
		f.finish = map[string]float64{}
	}
	f.finish[r.Class] = r.FairTag + 1/policy.ShareWeight(r.ShareLevel())
}

// left advances the virtual time after r has left the queue.
func (f *fairOrder) left(r *policy.Request) {
	if f.now = max(f.now, r.FairTag); len(f.finish) > maxFairClasses {
		maps.DeleteFunc(f.finish, func(_ string, finish float64) bool { return finish <= f.now })
	}
}

// maxFairClasses is the number of classes from which those that are not ahead are removed.
const maxFairClasses = 256

// updateOrder orders q by tags while all upstreams that accept its requests are limited.
func (s *Scheduler) updateOrder(q *queue) {
	limited := false
	if len(s.limits) > 0 && q.Len() > 0 {
		_, limited = s.fleet.LimitedRate(q.items[0])
	}
	if limited != q.fair.active {
		q.fair.active = limited
		heap.Init(q)
	}
}
