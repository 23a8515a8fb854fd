package addresses

import (
	"cmp"
	"math"
	"slices"

	"bergamotcroft.example/bergamot/membership"
)

// Sample returns up to n of the members for a caller that picks one of them at random, in the members' order. Over all callers, the
// probability that a member is in a sample is proportional to its weight, up to 1; what a weight exceeds that by goes to the others.
// A caller keeps its sample while members and weights stay the same, and most of it while others join and leave.
func Sample(members []membership.Member, weights []float64, caller string, n int) []membership.Member {
	if len(members) <= n {
		return members
	}
	scores := make([]scoredMember, len(members))
	for i, pi := range inclusionProbabilities(weights, n) {
		// With the weight -ln(1-pi), a score lies below 1 with the probability pi (order sampling with fixed size, Rosén 1997).
		scores[i] = scoredMember{i, score(caller, members[i].Name, -math.Log1p(-pi))}
	}
	slices.SortFunc(scores, func(a, b scoredMember) int { return cmp.Compare(a.score, b.score) })
	scores = scores[:n]
	slices.SortFunc(scores, func(a, b scoredMember) int { return cmp.Compare(a.index, b.index) })
	out := make([]membership.Member, n)
	for k, s := range scores {
		out[k] = members[s.index]
	}
	return out
}

// inclusionProbabilities returns probabilities that are proportional to the weights up to 1, with the sum n.
func inclusionProbabilities(weights []float64, n int) []float64 {
	p := make([]float64, len(weights))
	for left := float64(n); ; {
		sum := 0.0
		for i, w := range weights {
			if p[i] < 1 {
				sum += w
			}
		}
		capped := false
		for i, w := range weights {
			if p[i] == 1 {
				continue
			}
			if p[i] = left * w / sum; p[i] >= 1 {
				p[i], capped = 1, true
			}
		}
		if !capped {
			return p
		}
		left = float64(n)
		for i := range p {
			if p[i] == 1 {
				left--
			}
		}
	}
}
