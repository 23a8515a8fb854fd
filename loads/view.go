package loads

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// view finds the scheduler's upstreams. Only the scheduler's goroutine uses it.
type view struct {
	index map[uint32]int // by hash of the name
	size  int            // upstreams in index
}

// apply tells the scheduler the loads that have changed, or those of all upstreams.
func (v *view) apply(now time.Duration, s *scheduler.Scheduler, all bool, others map[uint32]load, places []placement) {
	upstreams := s.Fleet().Upstreams
	if all || v.size != len(upstreams) {
		v.index, v.size = make(map[uint32]int, len(upstreams)), len(upstreams)
		for i, u := range upstreams {
			v.index[uint32(u.Hash)] = i
		}
	}
	if all {
		for i, u := range upstreams {
			report(now, s, i, others[uint32(u.Hash)])
		}
	} else {
		for h, l := range others {
			if i, ok := v.find(s, h); ok {
				report(now, s, i, l)
			}
		}
	}
	for _, p := range places {
		if i, ok := v.find(s, p.upstream); ok {
			s.CacheEvent(now, i, scheduler.CacheEvent{Inserted: policy.PrefixPieces(p.parts)})
		}
	}
}

// find returns the place of an upstream. Places are used again, so that the index may be out of date until the next time that all are told.
func (v *view) find(s *scheduler.Scheduler, upstream uint32) (int, bool) {
	i, ok := v.index[upstream]
	if !ok || uint32(s.Fleet().Upstreams[i].Hash) != upstream {
		return 0, false
	}
	return i, true
}

// names returns the names of the upstreams that are known.
func (v *view) names(s *scheduler.Scheduler, hashes []uint32) []string {
	var out []string
	for _, h := range hashes {
		if i, ok := v.find(s, h); ok {
			out = append(out, s.Fleet().Upstreams[i].Spec.Name)
		}
	}
	return out
}

func report(now time.Duration, s *scheduler.Scheduler, i int, l load) {
	s.Report(now, i, policy.LoadReport{At: now, Running: int(l.running), PrefillTokens: float64(l.prompt)})
}
