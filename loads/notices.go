package loads

import "slices"

// repeated is what the next left messages tell, against lost datagrams.
type repeated[T any] struct {
	value T
	left  int
}

// takeRepeated returns what the next message tells, of at most so many, and what later ones do.
func takeRepeated[T any](list []repeated[T], most int) (taken []T, rest []repeated[T]) {
	rest = list[:0]
	for _, r := range list {
		if len(taken) < most {
			taken = append(taken, r.value)
			r.left--
		}
		if r.left > 0 {
			rest = append(rest, r)
		}
	}
	return taken, rest
}

// notices are upstreams that peers are told of.
type notices []repeated[uint32]

func (n *notices) add(upstreams ...uint32) {
	for _, u := range upstreams {
		if len(*n) < maxPending && !slices.ContainsFunc(*n, func(r repeated[uint32]) bool { return r.value == u }) {
			*n = append(*n, repeated[uint32]{u, placeRepeats})
		}
	}
}

// take returns the notices of the next message.
func (n *notices) take() (taken []uint32) {
	taken, *n = takeRepeated(*n, maxGone)
	return taken
}
