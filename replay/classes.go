package replay

import "bergamotcroft.example/bergamot/policy"

// priorities maps the classes of the workloads to their priorities; 0 is the highest. Other classes have
// defaultPriority. docs/replay.md lists them with their deadlines.
var priorities = map[string]int{
	"question": 0, "booking": 0, "order": 0, "incident": 1, "quote": 1, "draft": 1, "proof": 2, "site_log": 2,
}

const defaultPriority = 1

func priority(class string) int {
	if p, ok := priorities[class]; ok {
		return p
	}
	return defaultPriority
}

// prefixHashes returns the chained hashes of the complete pieces of the prompt: first those of the prefix that
// requests share, then those of the remaining tokens, which are unique to the request.
func prefixHashes(l *Line, id uint64) []uint64 {
	n := l.PromptTokens / policy.PieceTokens
	shared := l.PrefixTokens / policy.PieceTokens
	out := make([]uint64, n)
	h := hashString(l.Model)
	group := hashString(l.PrefixID)
	for i := range out {
		content := group
		if i >= shared || l.PrefixID == "" {
			content = id ^ 0xa5a5a5a5a5a5a5a5
		}
		h = mixBits(h ^ mixBits(content+uint64(i)*0x9e3779b97f4a7c15))
		out[i] = h
	}
	return out
}

func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mixBits(h)
}
