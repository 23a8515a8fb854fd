// Package scaling decides how many servers of a service are ordered in each data centre, and of which kind.
//
// Invariants: a plan has at least the minimum of servers that are not preemptible in each data centre and at most the maximum of
// both kinds together; it takes servers away only while enough others already serve.
package scaling

import (
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() {
	kernel.Register(&Fixed{})
	kernel.Register(&Demand{})
}

// Fixed keeps the servers that are there. It is the naive baseline.
type Fixed struct{}

// ModuleInfo implements kernel.Module.
func (*Fixed) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "scaling.fixed", New: func() kernel.Module { return &Fixed{} }}
}

// Plan implements policy.Scaler.
func (*Fixed) Plan(_ time.Duration, s *policy.ScalingState) policy.ScalingPlan {
	c := present(s)
	return policy.ScalingPlan{Desired: c, Total: sum(c), Reason: "fixed"}
}

// present returns the servers that serve or will.
func present(s *policy.ScalingState) policy.ServerCounts {
	out := make(policy.ServerCounts, len(s.DataCentres))
	for i := range s.DataCentres {
		for k := range out[i] {
			out[i][k] = s.DataCentres[i].Kinds[k].Present()
		}
	}
	return out
}
