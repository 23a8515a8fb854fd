package routing

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// spillState is what the router keeps for policy.Spill.
type spillState struct {
	lists     map[string][]int // the last candidates by data centre
	order     []string         // data centres in lists, in the order of their first engine
	loads     []policy.DataCentreLoad
	plannedAt map[string]time.Duration // by model
	inside    bool                     // plans are compared inside one data centre, so that no charge counts
	// The last answer of Heard.
	heard   map[string]bool
	alone   bool
	heardAt time.Duration
}

const (
	// spillPlanInterval is the time between two plans, a fraction of the least time constant of the shares.
	spillPlanInterval = 20 * time.Millisecond
	// heardInterval is the time between two calls of Heard, which copies the member table. Members become suspects after seconds.
	heardInterval = 250 * time.Millisecond
	// nearlyFull is the share of occupied slots from which a wait for a slot is expected, up to fullWait, which is also what a plan
	// for a full engine is charged.
	nearlyFull = 0.9
	fullWait   = 1.0 // seconds
)

// spills reports whether p.Spill decides on the data centre of r.
func (p *Measured) spills(r *policy.Request) bool {
	return p.Spill != nil && p.applies() && p.DataCentre != "" && r.Service == ""
}

// bestPlanWithSpill returns the best plan inside this data centre, or that of another one to which p.Spill lets r go.
func (p *Measured) bestPlanWithSpill(now time.Duration, r *policy.Request, f *policy.Fleet, list []int, relaxed bool) (plan, *policy.Upstream) {
	p.splitByDataCentre(f, list)
	p.planSpill(now, r, f)
	p.spill.inside = true
	defer func() { p.spill.inside = false }()
	r.SpillReason = policy.SpillNone
	best, withPermit := p.bestPlan(now, r, f, p.spill.lists[p.DataCentre], list, relaxed)
	here, only := best, best.prefill == nil
	target, cachedAt := p.Spill.Target(r), ""
	if holder, held := p.cacheHolder(r, f, list); holder != nil && holder.Spec.DataCentre != p.DataCentre && (only || held > here.cached || here.source == holder) {
		cachedAt = holder.Spec.DataCentre
	}
	for _, dc := range p.spill.order {
		if dc == p.DataCentre || !only && dc != target && dc != cachedAt {
			continue
		}
		there, w := p.bestPlan(now, r, f, p.spill.lists[dc], list, relaxed)
		if there.prefill == nil {
			if only && withPermit == nil {
				withPermit = w
			}
			continue
		}
		reason := p.Spill.Goes(r, policy.SpillOffer{To: dc, Here: here.score, There: there.score, Prefix: dc == cachedAt, Only: only})
		there.score += p.Spill.Charge(r, 0)
		if reason != policy.SpillNone && (best.prefill == nil || there.score < best.score) {
			best, withPermit, r.SpillReason = there, w, reason
		}
	}
	if best.prefill == nil { // perhaps no data centre has engines for both phases
		p.spill.inside = false
		return p.bestPlan(now, r, f, list, list, relaxed)
	}
	return best, withPermit
}

// spillCharge returns the charge for sending r to another data centre.
func (p *Measured) spillCharge(r *policy.Request) float64 {
	if p.spill.inside {
		return 0
	}
	return p.Spill.Charge(r, 0)
}

func (p *Measured) splitByDataCentre(f *policy.Fleet, list []int) {
	s := &p.spill
	if s.lists == nil {
		s.lists, s.plannedAt = map[string][]int{}, map[string]time.Duration{}
	}
	for dc, l := range s.lists {
		s.lists[dc] = l[:0]
	}
	s.order = s.order[:0]
	for _, i := range list {
		dc := f.Upstreams[i].Spec.DataCentre
		l := s.lists[dc]
		if len(l) == 0 {
			s.order = append(s.order, dc)
		}
		s.lists[dc] = append(l, i)
	}
}

// planSpill passes the loads of the data centres to p.Spill if the last plan is old.
func (p *Measured) planSpill(now time.Duration, r *policy.Request, f *policy.Fleet) {
	s := &p.spill
	if at, ok := s.plannedAt[r.Model]; ok && now-at < spillPlanInterval {
		return
	}
	s.plannedAt[r.Model] = now
	if p.Heard != nil && (s.heard == nil || now-s.heardAt > heardInterval) {
		s.heard, s.alone = p.Heard()
		s.heardAt = now
	}
	s.loads = s.loads[:0]
	for _, dc := range s.order {
		l := p.loadOf(now, f, s.lists[dc])
		l.DataCentre, l.Heard = dc, p.Heard == nil || s.heard[dc]
		s.loads = append(s.loads, l)
	}
	p.Spill.Plan(now, r.Model, p.DataCentre, s.loads, s.alone)
}

// loadOf returns the load of one data centre's engines. The wait is the prompt tokens in hand against the engines' rates, and what
// nearly full engines add.
func (p *Measured) loadOf(now time.Duration, f *policy.Fleet, list []int) (l policy.DataCentreLoad) {
	tokens, rate, running, slots := 0.0, 0.0, 0, 0
	l.Age = now
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.Accepting || f.Health.Excluded(now, i) {
			continue
		}
		l.Engines++
		l.Age = min(l.Age, now-u.ReportReceived)
		tokens += u.OwnPrefill + u.OtherPrefill()
		rate += p.rate(now, u)
		if u.Role != topo.RolePrefill {
			running += u.OwnRunning + u.OtherRunning()
			slots += max(u.Spec.MaxBatch, 1)
		}
	}
	if l.Engines == 0 {
		return l
	}
	l.Wait = tokens / rate
	if slots > 0 {
		l.Wait += fullWait * min(max((float64(running)/float64(slots)-nearlyFull)/(1-nearlyFull), 0), 1)
	}
	return l
}

// fetchCharge returns the charge for KV cache that q fetches from another data centre, beside its time.
func (p *Measured) fetchCharge(r *policy.Request, q plan) float64 {
	if q.source == nil || !p.spills(r) || q.source.Spec.DataCentre == q.prefill.Spec.DataCentre {
		return 0
	}
	bytes := float64(q.cached*policy.PieceTokens) * p.tokenBytes(q.source, q.prefill)
	return p.Spill.Charge(r, bytes) - p.Spill.Charge(r, 0)
}

// decoderBeside returns the engine that takes over r's prompt inside the data centre of the engine that computed it, or nil.
func (p *Measured) decoderBeside(now time.Duration, r *policy.Request, f *policy.Fleet, list []int) *policy.Upstream {
	if !p.spills(r) || r.Prefill < 0 || r.Prefill >= len(f.Upstreams) {
		return nil
	}
	p.splitByDataCentre(f, list)
	u, _ := p.bestDecoder(now, r, f, p.spill.lists[f.Upstreams[r.Prefill].Spec.DataCentre], false)
	if u != nil && p.isFull(r, u) {
		return nil // perhaps another data centre has a free slot
	}
	return u
}

// noteSent passes a request that was sent to another data centre to p.Spill, once its prompt is computed.
func (p *Measured) noteSent(r *policy.Request, u *policy.Upstream) {
	if p.spills(r) && u.Spec.DataCentre != p.DataCentre {
		p.Spill.Sent(r, p.DataCentre, u.Spec.DataCentre, r.SpillReason)
	}
}
