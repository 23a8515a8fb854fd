package policy

import "slices"

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// PrefixPieces returns the chained hashes of the complete pieces of a prompt that begins with the parts. The hash of a
// piece that spans two parts includes the later one. Prompts that begin with the same parts have the same pieces.
func PrefixPieces(parts []Part) []uint64 {
	out := make([]uint64, 0, Tokens(parts)/PieceTokens)
	chain, tokens := uint64(0), 0
	for _, p := range parts {
		chain = Mix64(chain ^ Mix64(p.ID))
		tokens += p.Tokens
		for (len(out)+1)*PieceTokens <= tokens {
			out = append(out, Mix64(chain+uint64(len(out))))
		}
	}
	return out
}

// Tokens returns the number of tokens of the parts.
func Tokens(parts []Part) (n int) {
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Within returns the parts of a prompt of which an engine holds the first limit tokens. Parts beyond have no tokens. It does not change
// its argument.
func Within(parts []Part, limit int) []Part {
	if Tokens(parts) <= limit {
		return parts
	}
	out := slices.Clone(parts)
	for i := range out {
		out[i].Tokens = min(out[i].Tokens, limit)
		limit -= out[i].Tokens
	}
	return out
}
