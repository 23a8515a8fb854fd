package loads

import "slices"

// notices are upstreams that peers are told of, each placeRepeats times, against lost datagrams.
type notices []notice

type notice struct {
	upstream uint32
	left     int
}

func (n *notices) add(upstreams ...uint32) {
	for _, u := range upstreams {
		if len(*n) < maxPending && !slices.ContainsFunc(*n, func(x notice) bool { return x.upstream == u }) {
			*n = append(*n, notice{u, placeRepeats})
		}
	}
}

// take returns the notices of the next message.
func (n *notices) take() []uint32 {
	var out []uint32
	kept := (*n)[:0]
	for _, x := range *n {
		if len(out) < maxGone {
			out = append(out, x.upstream)
			x.left--
		}
		if x.left > 0 {
			kept = append(kept, x)
		}
	}
	*n = kept
	return out
}
