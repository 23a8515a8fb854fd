// Package roles maintains the split of engines between those that compute prompts and those that generate.
//
// One entry VM at a time does so, under a lease. An engine reports how many orders it has accepted, and an order carries that
// number, so that a late or duplicate order has no effect.
//
// Invariants: an order is sent only under a lease that is valid for longer than the send may take; an engine gets no order while
// an earlier one may still be carried out; at least one engine of each role remains.
package roles

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Engine describes an engine by its registration and its known load.
type Engine struct {
	Name     string // identifies this start of the engine
	Set      string // engines of one set are interchangeable
	Address  string
	Instance string
	Role     topo.Role
	Leaving  bool
	// StrictPace is set for engines whose streams leave little time for a token. The engines of a set are alike in this.
	StrictPace bool
	Limited    bool // counts among its set, but gets no order
	// Group names engines of a set that may leave together, such as those that the platform takes away at once. The roles are split
	// within each group, so that a loss of one leaves the split of the others.
	Group string
	Load  float64 // open requests of all entry VMs
}

// Order asks an engine to take a role.
type Order struct {
	Role    topo.Role
	Holder  string
	Fencing uint64
	Expect  uint64 // orders that the engine has accepted before
}

// Answer is an engine's answer to an order.
type Answer int

// The answers of an engine.
const (
	Accepted Answer = iota // the order is being carried out
	HasRole                // the engine already has the role
	Refused                // another order is being carried out, or Expect is out of date
	Stale                  // the engine has seen a newer fencing number
)

// Status is the state that an engine reports.
type Status struct {
	Role           topo.Role
	Busy           bool   // an order is being carried out
	OrdersAccepted uint64 // orders accepted since its start
}

// Options configures a Controller. All but Log and Clock are required.
type Options struct {
	Lease   lease.Authority
	Group   int
	Holder  string // name of this entry VM
	Engines func() []Engine
	// Inspect requests an engine's state.
	Inspect func(ctx context.Context, e Engine) (Status, error)
	Send    func(ctx context.Context, e Engine, o Order) (Answer, error)
	// HandOverPause is the time from taking over the lease to the first order. An engine that checks no fencing number
	// could otherwise accept orders of both holders.
	HandOverPause time.Duration
	// PromptShare is the share of a set's engines that compute prompts.
	PromptShare float64
	Clock       store.Clock
	Log         *zap.Logger
}

const (
	// DefaultPromptShare makes 5 of 9 engines compute prompts, which suits the usual daily load of both sites.
	DefaultPromptShare = 0.56
	// StrictPromptShare applies to sets with a strict pace. Their prompts are not computed beside streams, which need few engines by
	// themselves.
	StrictPromptShare = 0.74
	minSetSize        = 4 // engines from which a set is split
	checkInterval     = 250 * time.Millisecond
	sendTimeout       = 500 * time.Millisecond
	// unansweredTimeout is how long an unanswered order may still be carried out, with a margin.
	unansweredTimeout = 15 * time.Second
	// roleChangeTimeout is the time that an engine has to take its role after accepting an order.
	roleChangeTimeout = 8 * time.Second
	// settleTime is how long a set's members must be unchanged before an order, so that a wave of registrations is over.
	settleTime = 600 * time.Millisecond
	// busyChangeInterval is the least time between two changes of a set that has work, since each change takes an engine out of
	// service for seconds.
	busyChangeInterval = 4 * time.Second
	// newEngineTime is how long an engine that has joined a busy set may be changed beside others. Registrations of servers that were
	// ordered together arrive within a heartbeat or two.
	newEngineTime = 2 * time.Second
)

var (
	ordersSent       = metrics.NewCounter("bergamot_role_orders_total")
	ordersRefused    = metrics.NewCounter("bergamot_role_orders_refused_total")
	ordersUnanswered = metrics.NewCounter("bergamot_role_orders_unanswered_total")
)

// Controller sends orders while this entry VM holds the lease.
type Controller struct {
	opts          Options
	pendingOrders duty.Pending[string, topo.Role] // by engine name
	sets          map[string]*setState
	unanswered    map[string]bool // names of the engines whose last order has no answer
	board         duty.Board
	report        *duty.Report // of the step in hand
}

// setState is the state of a set that is kept between steps.
type setState struct {
	members     string
	stableSince time.Time // when the members last changed
	lastOrder   time.Time // when the last order was sent
	// firstSeen holds when the engines joined the set; zero for those that were there at the first look.
	firstSeen map[string]time.Time
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
	return &Controller{opts: o, pendingOrders: duty.Pending[string, topo.Role]{}, sets: map[string]*setState{}, unanswered: map[string]bool{}}
}

// Run checks the sets periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return duty.Run(ctx, c.duty(), func(ctx context.Context, _ lease.Token) { c.Step(ctx) })
}

func (c *Controller) duty() duty.Options {
	return duty.Options{
		Lease: c.opts.Lease, Group: c.opts.Group, Margin: 2 * sendTimeout, HandOverPause: c.opts.HandOverPause, Interval: checkInterval, Clock: c.opts.Clock,
	}
}

// Step sends the orders that are due. It must only be called while the lease is held.
func (c *Controller) Step(ctx context.Context) {
	now := c.opts.Clock.Now()
	c.report = &duty.Report{At: now}
	defer c.publish()
	bySet := map[string][]Engine{}
	for _, e := range c.opts.Engines() {
		if e.Role != "" && e.Role != topo.RoleBoth && !e.Leaving {
			bySet[e.Set] = append(bySet[e.Set], e)
		}
	}
	for name, list := range bySet {
		c.reconcileSet(ctx, now, name, list)
	}
}

// reconcileSet sends orders to at most one engine of a busy set, and to all engines that need one in an idle set.
func (c *Controller) reconcileSet(ctx context.Context, now time.Time, name string, list []Engine) {
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	s := c.sets[name]
	if s == nil {
		s = &setState{}
		c.sets[name] = s
	}
	s.noteMembers(now, list)
	members := ""
	load := 0.0
	for i := range list {
		members += list[i].Name + " "
		load += list[i].Load
	}
	if members != s.members {
		s.members, s.stableSince = members, now
	}
	defer func() { c.reportSet(c.opts.Clock.Now(), name, s, list, load) }()
	if load > 0 && !c.splitNew(ctx, now, s, list) {
		return
	}
	if now.Sub(s.stableSince) < settleTime || load > 0 && now.Sub(s.lastOrder) < busyChangeInterval {
		return
	}
	withPending := c.withPendingRoles(now, list)
	for _, e := range Plan(withPending, c.promptShare(list), load > 0) {
		if !c.sendOrder(ctx, e) {
			return
		}
		s.lastOrder = now
	}
}

// noteMembers records when engines joined the set.
func (s *setState) noteMembers(now time.Time, list []Engine) {
	seen := make(map[string]time.Time, len(list))
	for i := range list {
		at, ok := s.firstSeen[list[i].Name]
		if !ok && s.firstSeen != nil {
			at = now
		}
		seen[list[i].Name] = at
	}
	s.firstSeen = seen
}

// splitNew sends orders to all engines that have just joined a busy set and need one, since what they do was done without them
// before. Only engines in groups count as new; others return after a restart. It reports whether the lease still holds.
func (c *Controller) splitNew(ctx context.Context, now time.Time, s *setState, list []Engine) bool {
	isNew := func(e *Engine) bool {
		return e.Group != "" && !s.firstSeen[e.Name].IsZero() && now.Sub(s.firstSeen[e.Name]) < newEngineTime
	}
	if !slices.ContainsFunc(list, func(e Engine) bool { return isNew(&e) }) {
		return true
	}
	for _, e := range plan(c.withPendingRoles(now, list), c.promptShare(list), len(list), isNew) {
		if !c.sendOrder(ctx, e) {
			return false
		}
	}
	return true
}

// promptShare returns the share of a set's engines that compute prompts.
func (c *Controller) promptShare(list []Engine) float64 {
	if len(list) > 0 && list[0].StrictPace {
		return max(c.opts.PromptShare, StrictPromptShare)
	}
	return c.opts.PromptShare
}

// withPendingRoles returns the list with the ordered role for each engine with a pending order, and drops orders that are
// carried out or expired.
func (c *Controller) withPendingRoles(now time.Time, list []Engine) []Engine {
	out := slices.Clone(list)
	for i := range out {
		role, ok := c.pendingOrders.Get(now, out[i].Name)
		switch {
		case !ok:
		case out[i].Role == role:
			delete(c.pendingOrders, out[i].Name)
		default:
			out[i].Role = role
		}
	}
	return out
}

// Plan returns the engines whose role should change, with their new role. A busy set changes one engine at a time, the one with
// the least load.
func Plan(list []Engine, share float64, busy bool) []Engine {
	most := len(list)
	if busy {
		most = 1
	}
	return plan(list, share, most, func(*Engine) bool { return true })
}

// plan returns at most the given number of engines whose role should change, out of those that may.
func plan(list []Engine, share float64, most int, may func(*Engine) bool) []Engine {
	if len(list) < minSetSize {
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
	n = min(n, most)
	var candidates []Engine
	for i := range list {
		if list[i].Role == from && !list[i].Limited && may(&list[i]) {
			candidates = append(candidates, list[i])
		}
	}
	slices.SortStableFunc(candidates, func(a, b Engine) int { return cmp.Compare(a.Load, b.Load) })
	candidates = pickByGroup(list, candidates, from, min(n, max(len(candidates)-1, 0)))
	for i := range candidates {
		candidates[i].Role = to
	}
	return candidates
}

// pickByGroup returns n candidates, each from the group in which the role from has the largest share of engines.
func pickByGroup(list, candidates []Engine, from topo.Role, n int) []Engine {
	size, have := map[string]float64{}, map[string]float64{}
	for i := range list {
		size[list[i].Group]++
		if list[i].Role == from {
			have[list[i].Group]++
		}
	}
	if len(size) == 1 {
		return candidates[:n]
	}
	var out []Engine
	for range n {
		best := 0
		for i := range candidates {
			if g, b := candidates[i].Group, candidates[best].Group; have[g]/size[g] > have[b]/size[b] {
				best = i
			}
		}
		have[candidates[best].Group]--
		out = append(out, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return out
}

// sendOrder sends one order and reports whether the lease still holds.
func (c *Controller) sendOrder(ctx context.Context, e Engine) bool {
	token, err := c.opts.Lease.Check(c.opts.Group, 3*sendTimeout)
	if err != nil {
		return false
	}
	status, err := c.inspect(ctx, e)
	if err != nil || status.Busy || status.Role == e.Role {
		c.opts.Log.Info("role order not sent", zap.String("upstream", e.Name), zap.String("role", string(e.Role)), zap.Bool("busy", status.Busy),
			zap.String("has", string(status.Role)), zap.Error(err))
		c.pendingOrders.Add(e.Name, e.Role, c.opts.Clock.Now().Add(busyChangeInterval))
		return true
	}
	o := Order{Role: e.Role, Holder: c.opts.Holder, Fencing: token.Fencing, Expect: status.OrdersAccepted}
	ordersSent.Inc()
	sending, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := c.opts.Send(sending, e, o)
	now := c.opts.Clock.Now()
	c.unanswered[e.Name] = err != nil
	switch {
	case err != nil: // the order may still be carried out
		ordersUnanswered.Inc()
		c.pendingOrders.Add(e.Name, e.Role, now.Add(unansweredTimeout))
	case answer == Accepted:
		c.pendingOrders.Add(e.Name, e.Role, now.Add(roleChangeTimeout))
	case answer == Refused:
		ordersRefused.Inc()
		c.pendingOrders.Add(e.Name, e.Role, now.Add(busyChangeInterval))
	case answer == Stale:
		ordersRefused.Inc()
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
