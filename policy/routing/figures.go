package routing

import "bergamotcroft.example/bergamot/policy"

// otherDataCentreFactor is how many times slower KV cache moves between data centres than inside one.
const otherDataCentreFactor = 2

// moveSeconds returns the time to move the KV cache of this many tokens between two engines.
func (p *Measured) moveSeconds(tokens float64, from, to *policy.Upstream) float64 {
	t := tokens * p.tokenBytes(from, to) / p.linkBytesPerS(from, to)
	if from.Spec.DataCentre != to.Spec.DataCentre {
		t *= otherDataCentreFactor
	}
	return t
}

// tokenBytes returns the bytes of KV cache for each token of a move. The sender's figure counts, since it holds the tokens.
func (p *Measured) tokenBytes(from, to *policy.Upstream) float64 {
	switch {
	case p.UseFigures && from.Spec.KVBytesPerToken > 0:
		return from.Spec.KVBytesPerToken
	case p.UseFigures && to.Spec.KVBytesPerToken > 0:
		return to.Spec.KVBytesPerToken
	}
	return p.TokenBytes
}

// linkBytesPerS returns the bandwidth of the slower of two engines' links.
func (p *Measured) linkBytesPerS(from, to *policy.Upstream) float64 {
	link := func(u *policy.Upstream) float64 {
		if p.UseFigures && u.Spec.LinkBytesPerS > 0 {
			return u.Spec.LinkBytesPerS
		}
		return p.MoveBytesPerS
	}
	return min(link(from), link(to))
}
