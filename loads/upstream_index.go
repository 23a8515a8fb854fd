package loads

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// upstreamIndex finds the scheduler's upstreams by the hashes of their names. Only the scheduler's goroutine uses it.
type upstreamIndex struct {
	byHash map[uint32]int // index in the scheduler's fleet
	size   int            // number of upstreams when byHash was built
}

// reportToScheduler reports the loads in others to the scheduler, or with all the loads of every upstream, and adds the
// placements to the scheduler's caches.
func (ix *upstreamIndex) reportToScheduler(now time.Duration, s *scheduler.Scheduler, all bool, others map[uint32]load, placements []placement) {
	upstreams := s.Fleet().Upstreams
	if all || ix.size != len(upstreams) {
		ix.byHash, ix.size = make(map[uint32]int, len(upstreams)), len(upstreams)
		for i, u := range upstreams {
			ix.byHash[uint32(u.Hash)] = i
		}
	}
	if all {
		for i, u := range upstreams {
			reportLoad(now, s, i, others[uint32(u.Hash)])
		}
	} else {
		for h, l := range others {
			if i, ok := ix.find(s, h); ok {
				reportLoad(now, s, i, l)
			}
		}
	}
	for _, p := range placements {
		if i, ok := ix.find(s, p.upstream); ok {
			held := policy.Within(p.parts, upstreams[i].Spec.KVPieces*policy.PieceTokens)
			s.CacheEvent(now, i, scheduler.CacheEvent{Inserted: policy.PrefixPieces(held)})
		}
	}
}

// find returns the index of an upstream. The scheduler reuses indexes, so that byHash may be out of date until the
// next full report.
func (ix *upstreamIndex) find(s *scheduler.Scheduler, upstream uint32) (int, bool) {
	i, ok := ix.byHash[upstream]
	if !ok || uint32(s.Fleet().Upstreams[i].Hash) != upstream {
		return 0, false
	}
	return i, true
}

// knownNames returns the names of those upstreams that the scheduler has.
func (ix *upstreamIndex) knownNames(s *scheduler.Scheduler, hashes []uint32) []string {
	var out []string
	for _, h := range hashes {
		if i, ok := ix.find(s, h); ok {
			out = append(out, s.Fleet().Upstreams[i].Spec.Name)
		}
	}
	return out
}

func reportLoad(now time.Duration, s *scheduler.Scheduler, i int, l load) {
	s.Report(now, i, policy.LoadReport{At: now, Running: int(l.running), PrefillTokens: float64(l.promptTokens)})
}
