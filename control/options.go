// Package control carries out confirmed plans and role changes under the leases of the upstreams' groups.
//
// A plan takes effect when it enters the confirmations object by a conditional update; a plan that is not in it does
// nothing. Each step is recorded in the plan object before it begins and after it has ended, so that any holder of the
// step's group continues after a kill, a pause or a lost answer. The lease of the group of the step's upstream
// decides who runs the step; a plan over several groups passes from holder to holder through its object.
//
// Invariants: nothing runs before it is confirmed; steps run in order; an engine gets an order only while the draining
// mark is in force at every entry VM that may send work and the engine reports no running requests; a finished
// plan never runs again; a writer that lost the plan can't change the configuration.
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

// Clock gives the time. Tests replace it.
type Clock interface{ Now() time.Time }

// Configurations changes the configuration; *configuration.Node implements it.
type Configurations interface {
	// Update applies a change to a copy of the newest revision in the store and accepts it as the next one. An error of
	// change is returned and nothing is accepted. It calls change again when another writer was first.
	Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error)
}

// Report is an upstream's own load report.
type Report struct {
	Load plan.Load
	At   int64 // by the upstream's clock, in milliseconds; tells two reports apart
	Boot uint64
}

// Reports asks upstreams for their load.
type Reports interface {
	Report(ctx context.Context, u topo.Upstream) (Report, error)
}

// Mover moves running work to another engine, so that a change need not wait for it or cut it.
type Mover interface {
	// Move asks for the streams on from to be continued on to, with their KV cache where possible. It returns once this is
	// asked for; the reports show when the work has left.
	Move(ctx context.Context, from, to topo.Upstream) error
}

// Weight is what the weight store tells of a model version or an adapter.
type Weight struct {
	Bytes          int64
	BytesPerSecond float64
}

// Facts gives the figures of a plan's cost that come from outside.
type Facts interface {
	// Weight returns false when the weight store does not have the name.
	Weight(ctx context.Context, name string) (Weight, bool, error)
	Credits() plan.Credits
}

// Limits are the durations of package control.
type Limits struct {
	// Tick is the time between two looks at the confirmed plans. A look costs one store read while nothing is confirmed.
	Tick time.Duration
	// LeaseMargin is the remaining term that a step needs to begin.
	LeaseMargin time.Duration
	// RefuseAfter is the time after which an entry VM that can't confirm its configuration refuses new work by itself. It must not
	// be shorter than configuration.Options.MaxUnconfirmed.
	RefuseAfter time.Duration
	// ReportLag bounds how late a load report is, unless the upstream's specification says more.
	ReportLag time.Duration
	// InFlight bounds the time for a request to get from an entry VM to the upstream's count of running requests.
	InFlight time.Duration
	// StragglerAfter is the time after which work still running on a drained engine is moved.
	StragglerAfter time.Duration
	// UnreachableAfter is the time without a report after which an upstream that gets no order counts as empty.
	UnreachableAfter time.Duration
	// OrderLimit is added to the estimated duration of an order; the order fails after twice the estimate and this.
	OrderLimit time.Duration
	// ProgressEvery bounds the writes of progress texts.
	ProgressEvery time.Duration
	// CallTimeout bounds one load report.
	CallTimeout time.Duration
	// RoleSettle is the time after taking over a model in which its role controller only watches.
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

// Options configures Plans and Controller. Mover and Logger may be nil, and Plans needs no List, Authority and Runner.
type Options struct {
	Self string // name of this entry VM
	// Store has the share for leases and orders: only the holders of groups use it, and an equal part of the general share would
	// give each of 2,200 VMs less than one call a second.
	Store          store.Store
	Configurations Configurations
	Reports        Reports
	Facts          Facts
	List           membership.List
	Authority      lease.Authority
	Runner         orders.Runner
	Mover          Mover
	Clock          Clock
	Mark           func() string // unique marks of writes and plans
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
		o.Mark = func() string { return store.NewMark(name) }
	}
	if o.Estimates == (plan.Estimates{}) {
		o.Estimates = plan.DefaultEstimates
		o.Estimates.StragglerAfter = o.Limits.StragglerAfter
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}
