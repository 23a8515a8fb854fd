package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }

// Guards against a wrong extrapolation: costs that grow with the logarithm of the size, and rates that the source states per day.
func TestExtrapolation(t *testing.T) {
	is := is.New(t)
	s := Series{Log: true, Full: 2048, Points: []Point{{8, 30}, {32, 50}, {128, 70}}} // 10 for each doubling
	is.True(almostEqual(s.At(2048), 110))
	is.Equal(s.Measured(), false)
	s = Series{Full: 1000, Points: []Point{{10, 7}, {20, 12}, {40, 22}}} // 2 + size/2
	is.True(almostEqual(s.At(1000), 502))

	// 1,940 restarts and 6,800 changes a day: 250 + 1940/86400*8640 + 6800/86400*21600 + 2*99000*1940/86400/2200.
	is.True(almostEqual(membershipTraffic(250, 8640, 21600, 99000), 250+194+1700+198000*1940/86400.0/2200))

	// Decode makes 16e6 tokens/s in 77 % of the time at 1,000 a second, so prefill reads 16e6*23/77*10 in 23 % at 10,000 a second.
	l := promptLoad(10000, 1000, 1000)
	is.True(almostEqual(l.PromptTokensPerS, 16e6*23/77*10))
	is.True(almostEqual(l.KVBytesPerToken, 22e12/(16e6*23/77*10)))
	is.True(almostEqual(l.PiecesPerS, l.PromptTokensPerS/1000))

	// Two polls of 700 bytes, and 5 pieces a second of 20 bytes, each inserted and removed.
	is.True(almostEqual(subscriptionTraffic(700, 2, 20, 50000), 1400+200))
}

// Guards against a table that is printed without an error when a measurement is missing.
func TestMissingSeries(t *testing.T) {
	c := &costs{series: []Series{{Role: "limits", Cost: "memory", Points: []Point{{1, 1}, {2, 2}, {3, 3}}, Full: 4}}}
	is := is.New(t)
	is.True(almostEqual(c.atFullSize("limits", "memory"), 4))
	is.NoErr(c.err)
	c.atFullSize("limits", "nothing")
	is.True(c.err != nil)
}
