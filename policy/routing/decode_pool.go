package routing

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// The size of the decode pool follows the number of streams in the load reports. All entry VMs read the same reports and
// rank engines alike, so their pools differ only briefly after a change. Sizes that each entry VM derived from its own
// requests drifted apart, and the engines that only some counted in ran heavy prompts and streams together.
const (
	poolCheckInterval   = 100 * time.Millisecond
	demandTimeConstant  = 2 * time.Second        // time constant of the smoothed number of streams
	poolGrowInterval    = 500 * time.Millisecond // between two increases, so that the reports reflect the first
	poolShrinkInterval  = 2 * time.Second        // from a change to a decrease; streams take seconds to leave an engine
	lowPrefillBusyShare = 0.7                    // below it, prompts leave engines outside the pool idle
)

// minEnginesToSplit is the number of engines for both phases from which a decode pool is formed.
const minEnginesToSplit = 3

// lowLoadPoolDivisor sets the smallest decode pool while prompts leave engines idle: one engine in this many. An engine that
// joins the pool at the onset of a peak first has to finish its heavy prompts.
const lowLoadPoolDivisor = 4

// initialPoolDivisor sets the decode pool before the first load reports: one engine in this many. Too few slots for streams
// hurt a start under load at once, too few engines for prompts only after a while.
const initialPoolDivisor = 3

// busyShareSmoothing is the weight of one sample in the share of engines that are busy with prompts.
const busyShareSmoothing = 0.02

// decodePoolSize returns the size of the decode pool of the request's model, which it updates every poolCheckInterval.
func (p *PrefixAffinity) decodePoolSize(s *search) int {
	pool, ok := p.pools[s.r.Model]
	if !ok {
		pool = &decodePool{size: 1, priorityShare: [policy.Priorities]float64{1, 1, 1, 1}}
		p.pools[s.r.Model] = pool
	}
	if s.now-pool.checkedAt >= poolCheckInterval || !ok {
		p.resizePool(s, pool)
	}
	s.prefillBusyShare = pool.prefillBusyShare
	s.priorityShare = pool.priorityShare[min(max(s.r.Priority, 0), policy.Priorities-1)]
	return pool.size
}

// updatePriorityShares smooths the share of the own running requests that have each priority or a higher one. Load reports
// do not split other entry VMs' requests by priority; the same shares are assumed for them.
func (p *PrefixAffinity) updatePriorityShares(s *search, pool *decodePool) {
	var sum [policy.Priorities]float64
	all := 0.0
	for _, i := range s.candidates {
		u := s.f.Upstreams[i]
		for k, n := range u.OwnRunningBy {
			sum[k] += float64(n)
			all += float64(n)
		}
	}
	cumulative := 0.0
	for k := range sum {
		cumulative += sum[k]
		share := 1.0
		if all > 0 {
			share = cumulative / all
		}
		pool.priorityShare[k] += priorityShareSmoothing * (share - pool.priorityShare[k])
	}
}

// priorityShareSmoothing is the weight of one sample; it is low because the own running requests are few.
const priorityShareSmoothing = 0.05

// decodeDemand returns the number of streams that need a slot, the number of engines for both phases, and the share of
// engines outside the pool that are busy with prompts.
func (p *PrefixAffinity) decodeDemand(s *search, poolSize int) (streams float64, both int, busyShare float64) {
	heavy, busy := 0, 0
	for _, i := range s.candidates {
		u := s.f.Upstreams[i]
		if !u.Accepting || u.Role == topo.RolePrefill || s.f.Health.Excluded(s.now, i) {
			continue
		}
		if u.Rank >= 0 {
			both++
		}
		if u.Role == topo.RoleDecode || u.Rank < poolSize {
			streams += float64(u.Report.Running + u.Report.Queued)
			continue
		}
		streams += u.Report.DecodeStreams
		heavy++
		if u.OwnPrefill+u.OtherPrefill() >= chunkTokens {
			busy++
		}
	}
	return streams, both, float64(busy) / float64(max(heavy, 1))
}

// resizePool sets the smallest decode pool whose slots hold the streams with a reserve. At least one engine stays in the
// pool and one outside it.
func (p *PrefixAffinity) resizePool(s *search, pool *decodePool) {
	p.updatePriorityShares(s, pool)
	streams, both, busyShare := p.decodeDemand(s, pool.size)
	pool.prefillBusyShare += busyShareSmoothing * (busyShare - pool.prefillBusyShare)
	f := 1 - math.Exp(-float64(s.now-pool.checkedAt)/float64(demandTimeConstant))
	pool.checkedAt = s.now
	pool.streams += f * (streams - pool.streams)
	if both < minEnginesToSplit {
		pool.size = 0
		return
	}
	if !pool.started {
		pool.started, pool.changedAt = true, s.now
		pool.size = both / initialPoolDivisor
	}
	pool.size = min(max(pool.size, 1), both-1)
	fill, minSize := p.RaiseFill, 1
	if pool.prefillBusyShare < lowPrefillBusyShare {
		fill, minSize = p.LowerFill, max(1, both/lowLoadPoolDivisor)
	}
	need, since := max(streams, pool.streams), s.now-pool.changedAt
	switch {
	case need > fill*p.decodeSlots(s, pool.size) && pool.size < both-1 && since >= poolGrowInterval:
		for pool.size < both-1 && need > fill*p.decodeSlots(s, pool.size) {
			pool.size++
		}
		pool.changedAt = s.now
	case pool.size > minSize && need < p.LowerFill*fill*p.decodeSlots(s, pool.size-1) && since >= poolShrinkInterval:
		pool.size--
		pool.changedAt = s.now
	}
}

// decodeSlots returns the number of batch slots for generation with a decode pool of this size.
func (p *PrefixAffinity) decodeSlots(s *search, poolSize int) float64 {
	n := 0.0
	for _, i := range s.candidates {
		u := s.f.Upstreams[i]
		if u.Accepting && !s.f.Health.Excluded(s.now, i) && (u.Role == topo.RoleDecode || u.Rank != policy.None && u.Rank < poolSize) {
			n += float64(u.Spec.MaxBatch)
		}
	}
	return n
}
