package policy

import (
	"cmp"
	"slices"
)

// RingPoint is one point of an engine on a consistent-hashing ring for prefix hashes.
type RingPoint struct {
	Hash  uint64
	Index int
}

// pointsPerEngine evens out the engines' shares of the ring; with 16, the largest share of nine engines is about 1.5
// times the mean.
const pointsPerEngine = 16

// BuildRings builds the ring of each model. The points depend only on the hashes of upstream names, so that all entry
// VMs map a prefix to the same engine, and an added or removed engine moves only its own share.
func (f *Fleet) BuildRings() {
	f.Rings = make(map[string][]RingPoint, len(f.ByModel))
	for model, list := range f.ByModel {
		points := make([]RingPoint, 0, len(list)*pointsPerEngine)
		for _, i := range list {
			h := f.Upstreams[i].Hash
			for range pointsPerEngine {
				h = Mix64(h + 0x9e3779b97f4a7c15)
				points = append(points, RingPoint{h, i})
			}
		}
		slices.SortFunc(points, func(a, b RingPoint) int { return cmp.Compare(a.Hash, b.Hash) })
		f.Rings[model] = points
	}
}

// Mix64 mixes the bits of x.
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
