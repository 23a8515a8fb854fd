package edge

import "bergamotcroft.example/bergamot/policy/routing"

// Uneven switches the behaviour for engines and VMs of different sizes. The zero value serves as a deployment of equal ones;
// see docs/design/uneven.md.
type Uneven struct {
	// EngineFigures plans moves of KV cache with the figures that the configuration states for the engines.
	EngineFigures bool
}

// configureRouter applies the switches to the router.
func (e *Edge) configureRouter(m *routing.Measured) {
	m.DataCentre = e.settings.DataCentre
	m.UseFigures = e.uneven.EngineFigures
}
