// Package control carries out confirmed plans and role changes under the leases of the upstreams' groups.
//
// A plan takes effect when a conditional update adds it to the confirmations object; no other plan has any effect. Each step
// is recorded in the plan object before it begins and after it has ended, so that any holder of the step's group can
// continue after a kill, a pause or a lost answer. The holder of the lease of the step's upstream's group runs the step; a plan
// that spans several groups is handed from holder to holder through the plan object.
//
// Invariants: no step runs before its plan is confirmed; steps run in order; an engine gets an order only while the draining
// mark is in force at every entry VM that may send work and the engine reports no running requests; a finished plan
// never runs again; a holder that has lost the plan can't change the configuration.
package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Clock returns the current time. Tests replace it.
type Clock interface{ Now() time.Time }

// Configurations changes the configuration; *configuration.Node implements it.
type Configurations interface {
	// Update applies change to a copy of the newest revision in the store and writes the result as the next revision. If
	// change fails, Update returns its error and writes nothing. Update calls change again after a write conflict.
	Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error)
}

// Report is an upstream's own load report.
type Report struct {
	Load plan.Load
	At   int64 // upstream's clock in milliseconds; distinguishes two reports
	Boot uint64
}

// Reports requests load reports from upstreams.
type Reports interface {
	Report(ctx context.Context, u topo.Upstream) (Report, error)
}

// Mover moves running work to another engine, so that a change neither waits for the work nor interrupts it.
type Mover interface {
	// Move requests that the streams on from continue on to, with their KV cache where possible. It returns once the
	// request is sent; the load reports show when the work has left.
	Move(ctx context.Context, from, to topo.Upstream) error
}

// Weight is the weight store's entry for a model version or an adapter.
type Weight struct {
	Bytes          int64
	BytesPerSecond float64
}

// CostSource provides the external figures of a plan's cost.
type CostSource interface {
	// Weight returns false when the weight store does not have the name.
	Weight(ctx context.Context, name string) (Weight, bool, error)
	Credits() plan.Credits
}

// Limits are the durations of package control.
type Limits struct {
	// Tick is the interval at which the confirmed plans are processed. A tick costs one store read while no plan is confirmed.
	Tick time.Duration
	// LeaseMargin is the remaining lease term without which no step begins.
	LeaseMargin time.Duration
	// RefuseAfter is the time after which an entry VM that can't confirm its configuration refuses new work by itself. It must
	// not be shorter than configuration.Options.MaxUnconfirmed.
	RefuseAfter time.Duration
	// ReportLag bounds the age of a load report, unless the upstream's specification has a higher bound.
	ReportLag time.Duration
	// InFlight bounds the time from sending a request at an entry VM until the upstream counts it as running.
	InFlight time.Duration
	// StragglerAfter is the time after which work still running on a drained engine is moved.
	StragglerAfter time.Duration
	// UnreachableAfter is the time without a report after which an upstream that gets no order counts as empty.
	UnreachableAfter time.Duration
	// OrderLimit is the fixed part of an order's time limit: the order fails after orderFactor times its estimated duration
	// plus OrderLimit.
	OrderLimit time.Duration
	// ProgressEvery is the shortest interval between two writes of progress texts.
	ProgressEvery time.Duration
	// CallTimeout bounds the request of one load report.
	CallTimeout time.Duration
	// RoleSettle is the time after taking over a model during which its role controller observes and makes no changes.
	RoleSettle time.Duration
}

// DefaultLimits are used for limits that are zero.
var DefaultLimits = Limits{
	Tick:             time.Second,
	LeaseMargin:      2 * time.Second,
	RefuseAfter:      15 * time.Second,
	ReportLag:        time.Second,
	InFlight:         200 * time.Millisecond,
	StragglerAfter:   30 * time.Second,
	UnreachableAfter: 60 * time.Second,
	OrderLimit:       30 * time.Second,
	ProgressEvery:    2 * time.Second,
	CallTimeout:      time.Second,
	RoleSettle:       60 * time.Second,
}

func (l *Limits) fill() {
	for _, f := range []struct{ v, d *time.Duration }{
		{&l.Tick, &DefaultLimits.Tick}, {&l.LeaseMargin, &DefaultLimits.LeaseMargin},
		{&l.RefuseAfter, &DefaultLimits.RefuseAfter}, {&l.ReportLag, &DefaultLimits.ReportLag},
		{&l.InFlight, &DefaultLimits.InFlight}, {&l.StragglerAfter, &DefaultLimits.StragglerAfter},
		{&l.UnreachableAfter, &DefaultLimits.UnreachableAfter}, {&l.OrderLimit, &DefaultLimits.OrderLimit},
		{&l.ProgressEvery, &DefaultLimits.ProgressEvery}, {&l.CallTimeout, &DefaultLimits.CallTimeout},
		{&l.RoleSettle, &DefaultLimits.RoleSettle},
	} {
		if *f.v == 0 {
			*f.v = *f.d
		}
	}
}

// Options configures Plans and Controller. Mover and Logger may be nil; Plans needs no List, Authority or Runner.
type Options struct {
	Self string // name of this entry VM
	// Store uses the rate share for leases and orders. Only the holders of groups use this share; an equal part of the
	// general share would give each of 2,200 VMs less than one call per second.
	Store          store.Store
	Configurations Configurations
	Reports        Reports
	Costs          CostSource
	List           membership.List
	Authority      lease.Authority
	Runner         orders.Runner
	Mover          Mover
	Clock          Clock
	Mark           func() string // returns a unique mark for a write or a plan name
	Estimates      plan.Estimates
	Limits         Limits
	Logger         *zap.Logger
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (o *Options) fill() {
	o.Limits.fill()
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Mark == nil {
		name := o.Self
		o.Mark = func() string { return store.NewWriterMark(name) }
	}
	if o.Estimates == (plan.Estimates{}) {
		o.Estimates = plan.DefaultEstimates
		o.Estimates.StragglerAfter = o.Limits.StragglerAfter
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}
