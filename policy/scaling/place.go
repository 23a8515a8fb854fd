package scaling

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// requirement is what the servers of all data centres together must come to.
type requirement struct {
	total     int
	afterLoss int // without the preemptible servers of the data centre that has most of them
}

// lack returns how many servers c lacks; 0: it meets the requirement.
func (r requirement) lack(c policy.ServerCounts) int {
	sum, most := 0, 0
	for i := range c {
		sum += c[i][policy.OnDemand] + c[i][policy.Preemptible]
		most = max(most, c[i][policy.Preemptible])
	}
	return max(r.total-sum, r.afterLoss-(sum-most), 0)
}

// cheapest returns the cheapest servers that meet the requirement. It tries each bound on the preemptible servers of a data
// centre: with a low one a loss takes few away, with a high one fewer expensive ones are needed.
func (p *Demand) cheapest(now time.Duration, s *policy.ScalingState, r requirement) policy.ServerCounts {
	var best policy.ServerCounts
	least, lack, limit, bestBound := math.Inf(1), math.MaxInt, math.Inf(1), 0
	try := func(bound int) {
		c, price := p.fill(now, s, r, bound, limit)
		n := r.lack(c)
		if n < lack || n == lack && price < least-1e-9 {
			best, least, lack, bestBound = c, price, n, bound
		}
		if lack <= 0 {
			limit = least
		}
	}
	const stride = 4 // the price changes little from one bound to the next
	highest := min(s.Max, max(r.total, r.afterLoss))
	for bound := 0; bound <= highest; bound += stride {
		try(bound)
	}
	for bound := max(bestBound-stride+1, 0); bound < min(bestBound+stride, highest+1); bound++ {
		try(bound)
	}
	return best
}

// fill adds servers, the cheapest first, until the requirement is met, none are to be had or the price exceeds limit.
func (p *Demand) fill(now time.Duration, s *policy.ScalingState, r requirement, bound int, limit float64) (c policy.ServerCounts, price float64) {
	n := len(s.DataCentres)
	c = make(policy.ServerCounts, n)
	sum, most, mean := 0, 0, 0.0
	for i := range c {
		c[i][policy.OnDemand] = s.Min
		sum += s.Min
		price += float64(s.Min) * s.DataCentres[i].Kinds[policy.OnDemand].Price
		mean += s.DataCentres[i].Kinds[policy.OnDemand].Price / float64(n)
	}
	even := (max(r.total, r.afterLoss+bound) + n - 1) / max(n, 1)
	for (sum < r.total || sum-most < r.afterLoss) && price <= limit {
		at, kind, least := -1, policy.OnDemand, math.Inf(1)
		for i := range c {
			if c[i][policy.OnDemand]+c[i][policy.Preemptible] >= s.Max {
				continue
			}
			away := 0.0
			if c[i][policy.OnDemand]+c[i][policy.Preemptible] >= even {
				away = p.BalanceWeight * mean
			}
			for k := range policy.ServerKinds {
				x := &s.DataCentres[i].Kinds[k]
				if x.UnavailableUntil > now && c[i][k] >= x.Present() || k == policy.Preemptible && c[i][k] >= bound {
					continue
				}
				if cost := x.Price + away; cost < least {
					at, kind, least = i, k, cost
				}
			}
		}
		if at < 0 {
			break
		}
		c[at][kind]++
		sum++
		most = max(most, c[at][policy.Preemptible])
		price += least
	}
	return c, price
}

// maxStartingShare is the share of the servers that may still start while others are taken away.
const maxStartingShare = 0.05

// inOrder returns the next counts on the way to the target: additions at once, and removals, the most expensive first, only as far
// as the requirement is met by servers that serve already. Removals wait until nearly all have started, so that one order takes away
// what many registrations replace; a single server that never starts does not hold them back.
func inOrder(s *policy.ScalingState, target policy.ServerCounts, r requirement) policy.ServerCounts {
	out := present(s)
	serving := make(policy.ServerCounts, len(out))
	starting := 0
	for i := range out {
		for k := range out[i] {
			serving[i][k] = s.DataCentres[i].Kinds[k].Serving
			room := s.Max - out[i][policy.OnDemand] - out[i][policy.Preemptible]
			out[i][k] += max(min(target[i][k]-out[i][k], room), 0)
			starting += out[i][k] - serving[i][k]
		}
	}
	if float64(starting) > maxStartingShare*float64(sum(out)) {
		return out
	}
	for {
		at, kind, most := -1, policy.OnDemand, math.Inf(-1)
		for i := range out {
			for k := range policy.ServerKinds {
				price := s.DataCentres[i].Kinds[k].Price
				if out[i][k] <= target[i][k] || price <= most || serving[i][k] < out[i][k] {
					continue // where some still start, the platform may take others that serve
				}
				serving[i][k]--
				if r.lack(serving) == 0 {
					at, kind, most = i, k, price
				}
				serving[i][k]++
			}
		}
		if at < 0 {
			return out
		}
		serving[at][kind]--
		out[at][kind]--
	}
}
