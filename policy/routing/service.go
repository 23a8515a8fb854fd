package routing

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// routeService routes a call of a plain service to the server with the least load relative to its speed.
func (p *Measured) routeService(now time.Duration, r *policy.Request, f *policy.Fleet, list []int) policy.Choice {
	best, withPermit := (*policy.Upstream)(nil), (*policy.Upstream)(nil)
	least, leastWithPermit := math.Inf(1), math.Inf(1)
	for relaxed := range 2 {
		for _, i := range list {
			u := f.Upstreams[i]
			lacksPermit := u.LacksPermit(r)
			if !lacksPermit && !u.CanTake(r) || relaxed == 0 && (r.Avoids(i) || f.Health.Excluded(now, i)) {
				continue
			}
			call := serviceEstimate(u, f.Health.Factor(i)).firstToken
			t := call + p.tieBreak() - permitBonus(u)
			if p.inspector != nil && !lacksPermit {
				p.inspector.Compared(policy.Cost{Prefill: u, Decode: u, Total: t, Prompt: call, Other: t - call, Full: p.serviceFull(u)})
			}
			switch {
			case lacksPermit && t < leastWithPermit:
				withPermit, leastWithPermit = u, t
			case !lacksPermit && t < least:
				best, least = u, t
			}
		}
		if best != nil {
			break
		}
	}
	if leastWithPermit >= least {
		withPermit = nil
	}
	if best == nil {
		return policy.Choice{Prefill: policy.None, Decode: policy.None, WithPermit: withPermit}
	}
	return policy.Choice{
		Prefill: best.Index, Decode: best.Index, FirstToken: seconds(least + permitBonus(best)), Finish: seconds(least + permitBonus(best)),
		Defer: p.serviceFull(best), WithPermit: withPermit,
	}
}

// serviceFull reports whether a server of a plain service has no slot left.
func (p *Measured) serviceFull(u *policy.Upstream) bool {
	return float64(u.OwnRunning+u.OtherRunning()) >= p.Oversubscribe*float64(max(u.Spec.MaxBatch, 1))
}
