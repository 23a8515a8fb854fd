// Package plan computes a plan with its cost from an intent and a snapshot of the current state. It does no I/O and reads no
// clock.
//
// Invariants: the same intent and snapshot give the same plan; a plan takes one upstream out of service at a time; an
// order that changes an engine's models or role comes after stop_new_work and wait_idle and before resume_work of this engine.
package plan

import (
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Load is the load of one upstream as it reported it.
type Load struct {
	Reachable     bool
	Running       int
	Queued        int
	PrefillTokens float64 // prompt tokens waiting to be computed
	KVPieces      int     // in use
}

// Credits are the provider credits that pay for the fleet. The zero value disables their accounting.
type Credits struct {
	Balance         float64   `json:"balance"`
	Expires         time.Time `json:"expires"` // zero: never
	PerEngineSecond float64   `json:"per_engine_second"`
	PerGigabyte     float64   `json:"per_gigabyte"` // downloaded from the weight store
}

// Snapshot is the state that a plan is computed from.
type Snapshot struct {
	Now           time.Time
	Configuration *topo.Configuration
	Status        map[string]topo.UpstreamStatus // by upstream; only existing objects
	Orders        map[string]topo.Order          // by engine; only existing objects
	Versions      map[Object]uint64              // versions of the objects read; 0 or absent: the object did not exist
	Loads         map[string]Load                // by upstream
	WeightBytes   map[string]int64               // by "model@version" or adapter
	WeightRate    float64                        // bytes per second that the weight store allows; 0: unknown
	Credits       Credits
}

// Object identifies an object in the store.
type Object struct{ Kind, Name string }

// Estimates are the assumptions of a plan where no measurement is available.
type Estimates struct {
	InForce        time.Duration // until a configuration revision has reached every entry VM
	LoadOverhead   time.Duration // start of a model after its weights have been downloaded
	StragglerAfter time.Duration // time after which running work is moved
	StreamTokens   float64       // output tokens that a running stream still has to generate
}

// DefaultEstimates follows the targets of docs/design.md, section 9, and the workloads of section 1.2.
var DefaultEstimates = Estimates{
	InForce:        3 * time.Second,
	LoadOverhead:   2 * time.Second,
	StragglerAfter: 30 * time.Second,
	StreamTokens:   300,
}

// Make returns the plan for an intent, without its bases. Errors are *result.Error with the code IntentInvalid,
// ConfigurationInvalid or PlanHeldBack.
func Make(in topo.Intent, s Snapshot, est Estimates) (topo.Plan, error) {
	if s.Configuration == nil || s.Configuration.Revision == 0 {
		return topo.Plan{}, result.New(result.ConfigurationInvalid, "no configuration has been accepted yet")
	}
	if err := Validate(in, s.Configuration); err != nil {
		return topo.Plan{}, err
	}
	b := builder{intent: in, snapshot: s, estimates: est}
	if err := b.build(); err != nil {
		return topo.Plan{}, err
	}
	if err := b.checkWeightStore(); err != nil {
		return topo.Plan{}, err
	}
	p := topo.Plan{Intent: in, Steps: b.steps, State: topo.PlanProposed, Operator: in.Operator, Created: s.Now, Updated: s.Now}
	if err := b.checkLastUpstream(); err != nil {
		return topo.Plan{}, err
	}
	p.Cost = b.cost()
	return p, nil
}
