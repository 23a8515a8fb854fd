// Package fixedseed gives property tests a fixed seed, so that CI runs are reproducible. Test packages import it for its side
// effect. The flag -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Seed is the seed of property tests that run without -rapid.seed.
const Seed = "1"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
