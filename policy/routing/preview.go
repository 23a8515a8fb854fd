package routing

import (
	"maps"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// Preview implements policy.RoutePreviewer. The copy begins with the same random state, so that it draws what the next real request
// would. It shares the measured rates, which Route only reads. It returns nil if p.Spill can't be previewed.
func (p *Measured) Preview(i policy.Inspector) policy.Router {
	c := *p
	c.inspector, c.sample = i, sampleState{}
	c.spill = spillState{plannedAt: maps.Clone(p.spill.plannedAt), heard: p.spill.heard, alone: p.spill.alone, heardAt: p.spill.heardAt}
	if c.spill.plannedAt != nil {
		c.spill.lists = map[string][]int{}
	}
	if p.Spill != nil {
		s, ok := p.Spill.(policy.SpillPreviewer)
		if !ok {
			return nil
		}
		c.Spill = s.Preview()
	}
	return &c
}

// costOf splits the score of a plan into its terms. Inside a data centre a score lacks the charge for another one, which is added as
// bestPlanWithSpill adds it.
func (p *Measured) costOf(now time.Duration, r *policy.Request, q plan) policy.Cost {
	u := q.prefill
	c := policy.Cost{
		Prefill: u, Decode: q.decode, Source: q.source, Cached: q.cached, Full: q.full, Total: q.score, Wait: q.wait,
		Prompt: r.Work(q.cached) / p.rate(now, u), DataCentre: p.distanceCharge(r, u),
	}
	if q.decode != u {
		c.HandOver = p.handOverSeconds(r, u, q.decode)
		c.DataCentre += p.distanceCharge(r, q.decode)
	}
	if q.source != nil {
		own := 0
		if u.Cache != nil {
			own = u.Cache.Match(r.Prefix)
		}
		c.Fetch = p.fetchSeconds(q.cached-own, q.source, u) + p.fetchCharge(r, q)
	}
	if p.spill.inside && u.Spec.DataCentre != p.DataCentre {
		charge := p.Spill.Charge(r, 0)
		c.Total, c.DataCentre = c.Total+charge, c.DataCentre+charge
	}
	c.Other = c.Total - c.Wait - c.Prompt - c.Fetch - c.HandOver - c.DataCentre
	return c
}

// fetchSeconds returns the time in which u fetches this many cached pieces.
func (p *Measured) fetchSeconds(pieces int, from, u *policy.Upstream) float64 {
	return p.FetchMS/1000 + p.moveSeconds(float64(pieces*policy.PieceTokens), from, u)
}

var _ policy.RoutePreviewer = (*Measured)(nil)
