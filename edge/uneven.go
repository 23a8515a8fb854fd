package edge

import (
	"bergamotcroft.example/bergamot/policy/routing"
)

// Uneven switches the behaviour for engines and VMs of different sizes. The zero value serves as a deployment of equal ones;
// see docs/design/uneven.md.
type Uneven struct {
	// EngineFigures plans moves of KV cache with the figures that the configuration states for the engines.
	EngineFigures bool
	// WeightedDirectory names VMs to clients by what each can carry, in tenths of a core. It applies where the streams of a service
	// leave little time for a token. Small fleets of equal VMs are listed as before.
	WeightedDirectory bool
	// RandomChoices is the number of random engines of each role that a VM compares for a prompt, beside those with its prefix; 0: all.
	RandomChoices int
	// Spill lets spill.gain decide which requests go to another data centre; see docs/design/leaving-the-data-centre.md.
	Spill bool
}

// configureRouter applies the switches to the router.
func (e *Edge) configureRouter(m *routing.Measured) error {
	m.DataCentre = e.settings.DataCentre
	m.UseFigures, m.SpreadChoices, m.StrictPaceOnly = e.uneven.EngineFigures, e.uneven.RandomChoices, true
	if e.uneven.Spill {
		return e.addSpill(m)
	}
	return nil
}

const (
	coreUnitsPerCore = 10 // members advertise tenths of a core, since VMs have fractions of one
	// linkMbpsPerCore is the traffic that a busy core relays: an event takes 45 us (docs/CAPACITY.md) and, as assumed, 200 bytes.
	linkMbpsPerCore = 35
)

// advertisedCores returns the size of this VM that members know. With a weighted directory it is the lesser of what its CPU and its
// link can carry.
func (e *Edge) advertisedCores() int {
	r := e.settings.ResourceLimits
	cores := r.CPUs
	if e.uneven.WeightedDirectory && r.LinkMbps > 0 {
		cores = min(cores, r.LinkMbps/linkMbpsPerCore)
	}
	return max(int(cores*coreUnitsPerCore), 1)
}

// hasStrictPace reports whether a service of the configuration in force has engines with a strict pace.
func (e *Edge) hasStrictPace() bool {
	t := e.catalog.Table()
	if t == nil {
		return false
	}
	for _, s := range t.Services {
		if s.Engine != nil && s.Engine.StrictPace {
			return true
		}
	}
	return false
}
