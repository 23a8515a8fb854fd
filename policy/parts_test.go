package policy_test

import (
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

// Guards against pieces that follow from token counts beyond what an engine can hold, and against other pieces for what it does hold.
func TestWithinKeepsTheFirstTokens(t *testing.T) {
	is := is.New(t)
	parts := []policy.Part{{ID: 1, Tokens: 3500}, {ID: 2, Tokens: 1 << 24}, {ID: 3, Tokens: 700}}
	cut := policy.Within(parts, 10_000)
	is.Equal(cut, []policy.Part{{ID: 1, Tokens: 3500}, {ID: 2, Tokens: 6500}, {ID: 3}})
	is.Equal(policy.PrefixPieces(cut), policy.PrefixPieces(parts)[:10])
	is.Equal(parts[1].Tokens, 1<<24) // unchanged
	is.Equal(policy.Within(parts[:1], 3500), parts[:1])
	is.Equal(policy.Tokens(policy.Within(parts, 0)), 0)
}
