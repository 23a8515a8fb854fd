package routing

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// sampleState holds the buffers of compared.
type sampleState struct {
	list  []int
	drawn [2][]int // by rateClass
}

// compared returns the engines of list that are compared for r. With SpreadChoices these are as many random ones of each role, home and
// holder, any of which may be nil: when 70 entry VMs compare all engines by reports that are 30 ms old, they pick the same one until its
// load is reported. All engines are compared when relaxed, or if no engine that generates has a free slot.
func (p *Measured) compared(now time.Duration, f *policy.Fleet, r *policy.Request, list []int, holder, home *policy.Upstream, relaxed bool) []int {
	if p.SpreadChoices == 0 || !p.applies() || relaxed {
		return list
	}
	s := &p.sample
	s.list, s.drawn[0], s.drawn[1] = s.list[:0], s.drawn[0][:0], s.drawn[1][:0]
	var seen [2]int
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.CanTake(r) && !u.LacksPermit(r) || r.Avoids(i) || f.Health.Excluded(now, i) {
			continue
		}
		if u.Role != topo.RolePrefill && p.isFull(r, u) {
			if p.inspector != nil {
				p.inspector.SkippedFull(u)
			}
			continue
		}
		// Reservoir sampling: each engine of a class is drawn with the same probability.
		c := rateClass(u)
		if seen[c]++; len(s.drawn[c]) < p.SpreadChoices {
			s.drawn[c] = append(s.drawn[c], i)
		} else if at := int(p.random() * float64(seen[c])); at < p.SpreadChoices {
			s.drawn[c][at] = i
		}
	}
	if seen[1] == 0 {
		return list
	}
	s.list = append(append(s.list, s.drawn[0]...), s.drawn[1]...)
	for _, u := range []*policy.Upstream{holder, home} {
		// Both are among list, except for a holder in another data centre.
		if u != nil && (p.Spill == nil || !p.spill.inside || u.Spec.DataCentre == f.Upstreams[list[0]].Spec.DataCentre) {
			s.list = append(s.list, u.Index)
		}
	}
	return s.list
}

// random returns a random number below 1.
func (p *Measured) random() float64 {
	p.state += 0x9e3779b97f4a7c15
	return float64(policy.Mix64(p.state)>>11) / (1 << 53)
}
