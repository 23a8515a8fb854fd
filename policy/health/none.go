// Package health rates upstreams by an entry VM's own measurements and the speeds that the upstreams report.
//
// Invariant: at most a share of the upstreams of one set is excluded for slowness, so that a faulty measurement can't take a
// model or service out of service.
package health

import (
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() {
	kernel.Register(&None{})
	kernel.Register(&Relative{})
}

// None treats every upstream as healthy. It is the naive baseline.
type None struct{}

// ModuleInfo implements kernel.Module.
func (*None) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "health.none", New: func() kernel.Module { return &None{} }}
}

// Observe implements policy.HealthTracker.
func (*None) Observe(time.Duration, policy.Observation) {}

// Factor implements policy.HealthTracker.
func (*None) Factor(int) float64 { return 1 }

// Excluded implements policy.HealthTracker.
func (*None) Excluded(time.Duration, int) bool { return false }

// WouldExclude implements policy.ExclusionPreviewer.
func (*None) WouldExclude(time.Duration, int) bool { return false }

// Probe implements policy.HealthTracker.
func (*None) Probe(time.Duration, int, *policy.Request) bool { return false }

// Reset implements policy.HealthTracker.
func (*None) Reset(int) {}

// SetPeerGroup implements policy.HealthTracker.
func (*None) SetPeerGroup(int, string) {}
