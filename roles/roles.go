// Package roles keeps the split of engines between those that compute prompts and those that generate.
//
// One entry VM at a time does so, under a lease. An engine states how many orders it has taken; an order names that number, so that
// one that arrives late or twice changes nothing.
//
// Invariants: an order is sent only under a lease that is valid for longer than the send may take; an engine gets no order while an
// earlier one may still be carried out; some engines of each role remain.
package roles

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Engine is an engine as its registration and the known load describe it.
type Engine struct {
	Name     string // of this start of the engine
	Set      string // engines of one set replace one another
	Address  string
	Instance string
	Role     topo.Role
	Leaving  bool
	Load     float64 // requests in hand, of all entry VMs
}

// Order asks an engine for a role.
type Order struct {
	Role    topo.Role
	Holder  string
	Fencing uint64
	Expect  uint64 // orders that the engine has taken
}

// Answer is an engine's answer to an order.
type Answer int

// The answers of an engine.
const (
	Accepted Answer = iota // the order is being carried out
	Holds                  // the engine has the role already
	Refused                // another order is under way, or the engine has taken one since
	Stale                  // a newer fencing number was seen
)

// Status is an engine's own word of its state.
type Status struct {
	Role  topo.Role
	Busy  bool   // an order is being carried out
	Taken uint64 // orders accepted since its start
}

// Options configures a Controller. All but Log and Clock are required.
type Options struct {
	Lease   lease.Authority
	Group   int
	Holder  string // name of this entry VM
	Engines func() []Engine
	// Inspect asks an engine for its state.
	Inspect func(ctx context.Context, e Engine) (Status, error)
	Send    func(ctx context.Context, e Engine, o Order) (Answer, error)
	// TurnPause lies between an order of the last holder and the first of this one. Engines that check no fencing number could
	// otherwise take the orders of both.
	TurnPause time.Duration
	// PromptShare of a set's engines compute prompts.
	PromptShare float64
	Clock       store.Clock
	Log         *zap.Logger
}

const (
	// DefaultPromptShare is the best of those that were played on both sites' standard days: 5 of 9 engines.
	DefaultPromptShare = 0.56
	minSet             = 4 // engines from which a set is split on purpose
	checkEvery         = 250 * time.Millisecond
	sendTimeout        = 500 * time.Millisecond
	// unsettled is how long an order may be carried out after it was sent without an answer, with a margin.
	unsettled = 15 * time.Second
	// changing is how long an engine is given to take up its role after it has accepted an order.
	changing = 8 * time.Second
	// settle is how long a set must have been the same before it is changed, so that a wave of registrations is over.
	settle = 600 * time.Millisecond
	// busyPause lies between two changes of a set that has work, since each takes an engine away for seconds.
	busyPause = 4 * time.Second
)

var (
	sent     = metrics.NewCounter("bergamot_role_orders_total")
	refusals = metrics.NewCounter("bergamot_role_orders_refused_total")
	unknown  = metrics.NewCounter("bergamot_role_orders_unanswered_total")
)

// Controller sends orders while this entry VM has the lease.
type Controller struct {
	opts Options
	open map[string]pending // by engine
	sets map[string]*set
}

// pending is an order that may not be carried out yet.
type pending struct {
	role  topo.Role
	until time.Time
}

// set is what is known of a set between two looks.
type set struct {
	members string
	since   time.Time // when the members became these
	changed time.Time // when the last order was sent
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = store.BootClock{}
	}
	if o.PromptShare <= 0 {
		o.PromptShare = DefaultPromptShare
	}
	return &Controller{opts: o, open: map[string]pending{}, sets: map[string]*set{}}
}

// Run looks after the sets until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for c.opts.Clock.Sleep(ctx, checkEvery) == nil {
		if t, err := c.opts.Lease.Check(c.opts.Group, 2*sendTimeout); err == nil && c.mayAct(t) {
			c.Step(ctx)
		}
	}
	return nil
}

// mayAct says that orders of an earlier holder are long enough ago. The first holder of all has no predecessor.
func (c *Controller) mayAct(t lease.Token) bool {
	return t.Fencing <= 1 || c.opts.Clock.Now().Sub(t.Since) >= c.opts.TurnPause
}

// Step sends the orders that are due. The caller has checked the lease.
func (c *Controller) Step(ctx context.Context) {
	now := c.opts.Clock.Now()
	bySet := map[string][]Engine{}
	for _, e := range c.opts.Engines() {
		if e.Role != "" && e.Role != topo.RoleBoth && !e.Leaving {
			bySet[e.Set] = append(bySet[e.Set], e)
		}
	}
	for name, list := range bySet {
		c.look(ctx, now, name, list)
	}
}

// look changes at most one engine of a busy set, and all that are due in an idle one.
func (c *Controller) look(ctx context.Context, now time.Time, name string, list []Engine) {
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	s := c.sets[name]
	if s == nil {
		s = &set{}
		c.sets[name] = s
	}
	members := ""
	load := 0.0
	for i := range list {
		members += list[i].Name + " "
		load += list[i].Load
	}
	if members != s.members {
		s.members, s.since = members, now
	}
	if now.Sub(s.since) < settle || load > 0 && now.Sub(s.changed) < busyPause {
		return
	}
	list = c.effective(now, list)
	for _, e := range Plan(list, c.opts.PromptShare, load > 0) {
		if !c.order(ctx, e) {
			return
		}
		s.changed = now
	}
}

// effective replaces the role of engines with an order in hand by the one that they were ordered to take.
func (c *Controller) effective(now time.Time, list []Engine) []Engine {
	out := slices.Clone(list)
	for i := range out {
		p, ok := c.open[out[i].Name]
		switch {
		case !ok:
		case out[i].Role == p.role || !now.Before(p.until):
			delete(c.open, out[i].Name)
		default:
			out[i].Role = p.role
		}
	}
	return out
}

// Plan returns the engines whose role should change, with the role that they should take. A busy set changes one engine at a time,
// the one with the least work.
func Plan(list []Engine, share float64, busy bool) []Engine {
	if len(list) < minSet {
		return nil
	}
	want := min(max(int(share*float64(len(list))+0.5), 1), len(list)-1)
	have := 0
	for i := range list {
		if list[i].Role == topo.RolePrefill {
			have++
		}
	}
	from, to, n := topo.RoleDecode, topo.RolePrefill, want-have
	if n < 0 {
		from, to, n = topo.RolePrefill, topo.RoleDecode, -n
	}
	if busy {
		n = min(n, 1)
	}
	var able []Engine
	for i := range list {
		if list[i].Role == from {
			able = append(able, list[i])
		}
	}
	slices.SortStableFunc(able, func(a, b Engine) int { return cmp.Compare(a.Load, b.Load) })
	able = able[:min(n, max(len(able)-1, 0))]
	for i := range able {
		able[i].Role = to
	}
	return able
}

// order sends one order and reports whether the lease still holds.
func (c *Controller) order(ctx context.Context, e Engine) bool {
	token, err := c.opts.Lease.Check(c.opts.Group, 3*sendTimeout)
	if err != nil {
		return false
	}
	status, err := c.inspect(ctx, e)
	if err != nil || status.Busy || status.Role == e.Role {
		c.opts.Log.Info("role order not sent", zap.String("upstream", e.Name), zap.String("role", string(e.Role)), zap.Bool("busy", status.Busy),
			zap.String("has", string(status.Role)), zap.Error(err))
		c.open[e.Name] = pending{e.Role, c.opts.Clock.Now().Add(busyPause)}
		return true
	}
	o := Order{Role: e.Role, Holder: c.opts.Holder, Fencing: token.Fencing, Expect: status.Taken}
	sent.Inc()
	sending, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := c.opts.Send(sending, e, o)
	now := c.opts.Clock.Now()
	switch {
	case err != nil: // it may still be carried out
		unknown.Inc()
		c.open[e.Name] = pending{e.Role, now.Add(unsettled)}
	case answer == Accepted:
		c.open[e.Name] = pending{e.Role, now.Add(changing)}
	case answer == Refused:
		refusals.Inc()
		c.open[e.Name] = pending{e.Role, now.Add(busyPause)}
	case answer == Stale:
		refusals.Inc()
	}
	c.opts.Log.Info("role order", zap.String("upstream", e.Name), zap.String("role", string(e.Role)), zap.Uint64("fencing", o.Fencing),
		zap.Uint64("expect", o.Expect), zap.Float64("load", e.Load), zap.Int("answer", int(answer)), zap.Error(err))
	return answer != Stale
}

func (c *Controller) inspect(ctx context.Context, e Engine) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.opts.Inspect(ctx, e)
}
