package capacity

import (
	"fmt"
	"math"
)

// Line returns the line fitted to the points of the series.
func (s Series) Line() Line {
	points := make([]Point, len(s.Points))
	for i, p := range s.Points {
		points[i] = Point{s.fitX(p.Size), p.Value}
	}
	return Fit(points)
}

func (s Series) fitX(size float64) float64 {
	if s.Log {
		return math.Log2(size)
	}
	return size
}

// At returns the cost of the fitted line at a size.
func (s Series) At(size float64) float64 { return s.Line().At(s.fitX(size)) }

// Measured reports whether the full size is at most the largest measured one, so that the figure needs no extrapolation.
func (s Series) Measured() bool {
	most := 0.0
	for _, p := range s.Points {
		most = max(most, p.Size)
	}
	return s.Full <= most
}

// recordedSeries returns the series of the measurements file.
func recordedSeries(r Recorded) ([]Series, error) {
	var out []Series
	var firstErr error
	add := func(role, cost, unit, section, kind, size, value string, log bool, full float64) {
		points, command, err := r.points(section, kind, size, value)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		out = append(out, Series{Role: role, Cost: cost, Unit: unit, SizeName: size, Command: command, Points: points, Log: log, Full: full})
	}
	add("membership", "idle_bytes_per_s", "B/s", "membership", "membership", "nodes", "idle_bytes_per_s", true, FullNodes)
	add("membership", "bytes_per_restart", "B", "membership", "membership", "nodes", "bytes_per_restart", true, FullNodes)
	add("membership", "bytes_per_change", "B", "membership", "membership", "nodes", "bytes_per_change", true, FullNodes)
	add("membership", "cpu_us_per_s", "µs/s", "membership", "membership", "nodes", "cpu_us_per_s", false, 0)
	add("membership", "table_bytes", "B", "membership", "membership", "nodes", "table_bytes", false, FullNodes)
	add("configuration fan-out", "worst_s", "s", "configuration", "at rest", "nodes", "worst_s", true, FullNodes)
	add("configuration fan-out", "worst_with_a_paused_watcher_s", "s", "configuration", "at rest", "nodes", "worst_with_a_paused_watcher_s",
		true, FullNodes)
	add("lease holder", "reads_by_nodes_per_s", "reads/s", "lease", "at rest", "nodes", "reads_per_s", true, FullNodes)
	add("lease holder", "writes_by_nodes_per_s", "writes/s", "lease", "at rest", "nodes", "writes_per_s", true, FullNodes)
	add("lease holder", "without_authority_s", "s", "lease", "", "nodes", "without_authority_s", true, FullNodes)
	add("booking claims", "writes_per_s", "writes/s", "claims", "claims", "bookings_per_s", "writes_per_s", true, FullRequestsPerS)
	add("booking claims", "operations_per_write", "ops", "claims", "claims", "bookings_per_s", "operations_per_write", false, FullRequestsPerS)
	for _, path := range []string{"direct", "relayed"} {
		kind := "BenchmarkRelayedToken/" + path
		add("serving", path+"_tokens_cpu", "s", "relay", kind, "runs", "cpu_ns/token", false, 0)
		s := &out[len(out)-1]
		s.SizeName = "tokens"
		for i := range s.Points {
			s.Points[i].Value *= s.Points[i].Size * 1e-9 // the benchmark prints the mean per token, in ns
		}
	}
	return out, firstErr
}

// costs looks up series by role and cost. It keeps the error of the first look-up that found none.
type costs struct {
	series []Series
	err    error
}

func (c *costs) find(role, cost string) Series {
	for _, s := range c.series {
		if s.Role == role && s.Cost == cost {
			return s
		}
	}
	if c.err == nil {
		c.err = fmt.Errorf("no measurement of %s %s", role, cost)
	}
	return Series{}
}

func (c *costs) atFullSize(role, cost string) float64 {
	s := c.find(role, cost)
	return s.At(s.Full)
}

func (c *costs) atSize(role, cost string, size float64) float64 { return c.find(role, cost).At(size) }

// largest returns the largest measured cost, for costs that do not grow with the size.
func (c *costs) largest(role, cost string) float64 {
	most := 0.0
	for _, p := range c.find(role, cost).Points {
		most = max(most, p.Value)
	}
	return most
}

func (c *costs) slope(role, cost string) float64 { return c.find(role, cost).Line().Slope }

const secondsPerDay = 86400.0

// Rates at the full size. A VM failure and a restart each change the member table once.
const (
	changesPerS  = FullChangesPerDay / secondsPerDay
	restartsPerS = (FullVMFailsPerDay + FullRestartsPerDay) / secondsPerDay
)

// membershipTraffic returns a node's traffic in bytes a second: at rest, for the restarts and changes of the whole fleet, and for one whole
// table at both ends of each restart, spread over the nodes.
func membershipTraffic(idle, perRestart, perChange, table float64) float64 {
	return idle + restartsPerS*perRestart + changesPerS*perChange + 2*table*restartsPerS/FullNodes
}

// Load is the load that the prompts of the fleet put on prefix caches.
type Load struct {
	PromptTokensPerS float64 // of the fleet
	KVBytesPerToken  float64
	PiecesPerS       float64 // of the fleet: pieces computed; a full cache evicts as many
}

// promptLoad derives the load from the share of prefill in the engines' time and the ratio of an engine's prefill and decode speeds.
func promptLoad(prefillTokensPerS, decodeTokensPerS, pieceTokens float64) Load {
	l := Load{PromptTokensPerS: FullTokensPerS * fullPrefillShare / (1 - fullPrefillShare) * prefillTokensPerS / decodeTokensPerS}
	l.KVBytesPerToken = FullPromptKVBytes / l.PromptTokensPerS
	l.PiecesPerS = l.PromptTokensPerS / pieceTokens
	return l
}

// subscriptionTraffic returns the traffic in bytes a second for the load reports and cache events of one upstream: polls, and one insertion
// and one removal of each piece.
func subscriptionTraffic(pollBytes, pollsPerS, bytesPerPiece, piecesPerS float64) float64 {
	return pollBytes*pollsPerS + 2*bytesPerPiece*piecesPerS/FullServers
}
