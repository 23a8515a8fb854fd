package addresses

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/membership"
)

// score returns a weighted rendezvous score. A member has the lowest score of a set with a probability proportional to its
// weight, and its score does not depend on the other members.
func score(caller, name string, weight float64) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

type scoredMember struct {
	index int
	score float64
}

// lowestScores returns the indices of the n members with the lowest scores for a caller, lowest first.
func lowestScores(ms []*membership.Member, caller string, n int) []int {
	best := make([]scoredMember, 0, n+1)
	for i := range ms {
		s := score(caller, ms[i].Name, selectionWeight(ms[i]))
		if len(best) == n && (n == 0 || s >= best[n-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a scoredMember, s float64) int { return cmp.Compare(a.score, s) })
		best = slices.Insert(best, at, scoredMember{i, s})
		best = best[:min(len(best), n)]
	}
	out := make([]int, len(best))
	for k, b := range best {
		out[k] = b.index
	}
	return out
}

func selectionWeight(m *membership.Member) float64 { return float64(max(m.Cores, 1)) }

// HomeGroup returns the names of the n members that enforce a caller's limits. It includes uncertain members, so that both
// sides of a partition compute the same group.
func HomeGroup(members []membership.Member, caller string, n int) []string {
	known := make([]*membership.Member, 0, len(members))
	for i := range members {
		if members[i].State != membership.Gone {
			known = append(known, &members[i])
		}
	}
	names := make([]string, 0, n)
	for _, i := range lowestScores(known, caller, n) {
		names = append(names, known[i].Name)
	}
	return names
}

// spreadWeights returns, for each member, the weight with which a caller distributes its requests within its group. A random
// group of n includes a member with probability pi; dividing the member's size by pi makes the expected load proportional to
// the size (Horvitz-Thompson). Without the division, large members would be favoured twice.
func spreadWeights(ms []*membership.Member, n int) []float64 {
	w := make([]float64, len(ms))
	if len(ms) <= n {
		for i, m := range ms {
			w[i] = selectionWeight(m)
		}
		return w
	}
	// Few distinct VM sizes are in use, so weights are computed for each size and not for each VM.
	count := map[float64]float64{}
	for _, m := range ms {
		count[selectionWeight(m)]++
	}
	t := inclusionTime(count, n)
	spread := make(map[float64]float64, len(count))
	for size := range count {
		spread[size] = size / -math.Expm1(-size*t)
	}
	for i, m := range ms {
		w[i] = spread[selectionWeight(m)]
	}
	return w
}

// inclusionTime solves sum(1-exp(-size*t)) = n for t over the members, given as counts by size. The scores are exponentially
// distributed with rate size, so that 1-exp(-size*t) is the probability of a score below t, and n scores are expected below t.
func inclusionTime(count map[float64]float64, n int) float64 {
	low, high := 0.0, 1.0
	sum := func(t float64) float64 {
		s := 0.0
		for size, c := range count {
			s -= c * math.Expm1(-size*t)
		}
		return s
	}
	for sum(high) < float64(n) && high < 1e9 {
		high *= 2
	}
	for range 50 {
		if mid := (low + high) / 2; sum(mid) < float64(n) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
