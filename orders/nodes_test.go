package orders_test

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

	"bergamotcroft.example/bergamot/configuration"
	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// The simulation runs several entry VMs on one fake clock. Each activity of a VM is a coroutine that yields before and after
// each external call, so that a pause can occur at any call and a seed reproduces the whole run.
const (
	simulatedNodes = 4
	leaseGroups    = 2
	leaseTerm      = 10 * time.Second
	sendTimeout    = 2 * time.Second
	orderLimit     = 30 * time.Second
	maxUnconfirmed = 12 * time.Second
	maxDrift       = 0.05 // the margin of 20 % of the term covers clocks that run 9 % fast or slow
	staleBy        = 3 * time.Second
)

var errDead = errors.New("process is dead")

type simulation struct {
	now         time.Time
	rng         *rand.Rand
	store       *emulator.Store
	storeOffset time.Duration // offset of the store's clock while a watch waits
	faults      emulator.Faults
	nodes       []*node
	engines     []*engine
	messages    []*message
	lastFault   time.Time            // last time with a store outage or a partition
	accepted    map[uint64]time.Time // revision to the time when the store accepted it
	holders     map[string]topo.Lease
	records     map[string]topo.Order                 // order records by engine
	violations  []string                              // violations found while the coroutines ran
	orders      struct{ done, failed, conflicts int } // conflicts counts those that receive allows
	codes       map[result.Code]int
	plans       int
	late        int  // orders sent after the sender's lease had lapsed
	pauses      bool // processes are paused at calls
	noNewOrders bool // open orders are settled and no new ones sent
}

// checkHolders records a violation if several VMs hold one lease, each by its own clock.
func (w *simulation) checkHolders() {
	for g := range leaseGroups {
		var holders []string
		for _, n := range w.nodes {
			if _, err := n.lease.Check(g, 0); err == nil {
				holders = append(holders, n.name)
			}
		}
		if len(holders) > 1 {
			w.violation("group %d has several holders: %v", g, holders)
		}
	}
}

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

type storeClock struct{ w *simulation }

func (c storeClock) Now() time.Time { return c.w.now.Add(c.w.storeOffset) }
func (c storeClock) Sleep(_ context.Context, d time.Duration) error {
	c.w.storeOffset += d
	return nil
}

type activity struct {
	n     *node
	wake  time.Time
	yield func(time.Time) bool
	next  func() (time.Time, bool)
	stop  func()
	dead  bool
}

// yieldUntil yields until a time on the simulation's clock. It returns false if the process has been killed.
func (a *activity) yieldUntil(t time.Time) bool {
	if a.dead || !a.yield(t) {
		a.dead = true
	}
	return !a.dead
}

// faultPoint yields at an external call. On average, one call in share pauses the process.
func (a *activity) faultPoint(share int) bool {
	if !a.dead && a.n.w.pauses && a.n.w.rng.IntN(share) == 0 {
		a.n.paused = a.n.w.now.Add(time.Duration(1+a.n.w.rng.IntN(40)) * time.Second)
	}
	return a.yieldUntil(a.n.w.now)
}

func (a *activity) Now() time.Time { return a.n.clock() }

func (a *activity) Sleep(_ context.Context, d time.Duration) error {
	if !a.yieldUntil(a.n.w.now.Add(time.Duration(float64(d) / a.n.speed))) {
		return errDead
	}
	return nil
}

// node is one entry VM. A restart creates a new node with the same name.
type node struct {
	w           *simulation
	name        string
	incarnation uint64
	speed       float64 // of its clock
	start       time.Time
	paused      time.Time // end of the pause
	cutStore    bool
	cutPeers    bool
	cutSince    time.Time
	lease       *lease.Manager
	config      *configuration.Node
	orders      *orders.Service
	activities  []*activity
	revision    uint64
	apply       int
	leaving     bool // shuts down: releases its leases while orders may be in flight
	ended       bool
}

func (n *node) clock() time.Time {
	return n.start.Add(time.Duration(float64(n.w.now.Sub(n.start)) * n.speed))
}

func (n *node) isPaused() bool { return n.w.now.Before(n.paused) }

func (n *node) spawn(f func(a *activity)) *activity {
	a := &activity{n: n, wake: n.w.now}
	a.next, a.stop = iter.Pull(func(yield func(time.Time) bool) {
		a.yield = yield
		if a.yieldUntil(n.w.now) {
			f(a)
		}
	})
	n.activities = append(n.activities, a)
	return a
}

// resume runs an activity until it yields.
func (a *activity) resume() {
	t, ok := a.next()
	if !ok {
		a.dead = true
		return
	}
	a.wake = t
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)),
		pauses: true, codes: map[result.Code]int{}, accepted: map[uint64]time.Time{}, holders: map[string]topo.Lease{}, records: map[string]topo.Order{},
	}
	w.store = emulator.New(emulator.Options{Clock: storeClock{w}, Seed: seed, WatchTimeout: 10 * time.Millisecond})
	for i := range 4 {
		w.engines = append(w.engines, &engine{w: w, name: fmt.Sprintf("e%d", i), checksFencing: i%2 == 0, boot: 1, taken: map[string]bool{}})
	}
	for i := range simulatedNodes {
		w.nodes = append(w.nodes, w.start(fmt.Sprintf("n%d", i), 1))
	}
	return w
}

func (w *simulation) start(name string, incarnation uint64) *node {
	n := &node{w: w, name: name, incarnation: incarnation, start: w.now, speed: 1 + maxDrift*float64(w.rng.IntN(3)-1)}
	ctx := context.Background()
	var a *activity
	a = n.spawn(func(a *activity) {
		for !a.dead && !n.leaving {
			_ = a.Sleep(ctx, n.lease.Step(ctx))
		}
		n.lease.Release(ctx)
		n.ended = !a.dead
	})
	n.lease = lease.New(lease.Options{
		Store: &storeClient{a}, Members: n, Name: name, Incarnation: incarnation, Groups: leaseGroups, Term: leaseTerm,
		HandBackAfter: time.Minute, Clock: a, Seed: w.rng.Uint64() | 1, Busy: func(g int) bool { return n.orders.Busy(g) },
	})
	a = n.spawn(func(a *activity) { n.runOrders(ctx, a) })
	n.orders = orders.New(orders.Options{
		Store: &storeClient{a}, Authority: n.lease, Engine: &engineClient{a}, SendTimeout: sendTimeout, Limit: orderLimit, Clock: a,
	})
	a = n.spawn(func(a *activity) { n.runConfig(ctx, a) })
	n.config = configuration.New(configuration.Options{
		Store: &storeClient{a}, Members: n, Fetcher: n, Name: name, Clock: a, Seed: w.rng.Uint64() | 1, MaxUnconfirmed: maxUnconfirmed,
	})
	return n
}

// kill ends a process at its present point and starts a new one with empty memory.
func (w *simulation) kill(i int) {
	n := w.nodes[i]
	for _, a := range n.activities {
		a.stop()
		a.dead = true
	}
	w.nodes[i] = w.start(n.name, n.incarnation+1)
	w.nodes[i].cutStore, w.nodes[i].cutPeers, w.nodes[i].cutSince = n.cutStore, n.cutPeers, n.cutSince
}

func (w *simulation) stop() {
	for _, n := range w.nodes {
		for _, a := range n.activities {
			a.stop()
		}
	}
}

func (n *node) runOrders(ctx context.Context, a *activity) {
	for !a.dead {
		e := n.w.engines[n.w.rng.IntN(len(n.w.engines))]
		u := topo.Upstream{Name: e.name, Address: e.name, ChecksFencing: e.checksFencing}
		switch _, err := n.lease.Check(n.lease.GroupOf(u.Name), 0); {
		case err != nil: // not the holder
		case n.w.noNewOrders || n.w.rng.IntN(2) == 0:
			_ = n.orders.Settle(ctx, u)
		default:
			o := topo.Order{Kind: topo.StepChangeRole, Role: []topo.Role{topo.RoleBoth, topo.RolePrefill, topo.RoleDecode}[n.w.rng.IntN(3)]}
			n.w.plans++
			o.Plan = fmt.Sprintf("plan-%d", n.w.plans)
			if _, err := n.orders.Run(ctx, u, o); err == nil {
				n.w.orders.done++
			} else {
				n.w.orders.failed++
				n.w.codes[result.CodeOf(err)]++
			}
		}
		_ = a.Sleep(ctx, time.Second)
	}
}

func (n *node) runConfig(ctx context.Context, a *activity) {
	var from uint64
	for !a.dead {
		if n.apply > 0 {
			n.apply--
			_, _ = n.config.Update(ctx, n.name, func(c *topo.Configuration) error {
				c.Models = append(c.Models, topo.Model{Name: fmt.Sprintf("m%d", len(c.Models))})
				return nil
			})
		}
		at, _ := n.config.Step(ctx)
		if at == 0 {
			from, _ = n.config.WatchOnce(ctx, from)
		}
		_ = a.Sleep(ctx, 2*time.Second)
	}
}

// The node implements membership.List and the configuration fetcher for its own components.

func (n *node) Self() membership.Member {
	return membership.Member{Name: n.name, DataCentre: "dc", State: membership.Alive}
}

func (n *node) Members() []membership.Member {
	var all []membership.Member
	for _, o := range n.w.nodes {
		m := o.Self()
		if o != n && (o.isPaused() || o.cutPeers || n.cutPeers) {
			m.State = membership.Uncertain
		}
		all = append(all, m)
	}
	return all
}

func (n *node) Subscribe(func(membership.Member)) (cancel func()) { return func() {} }
func (n *node) Broadcast(string, []byte) error                    { return nil }
func (n *node) Handle(string, func(membership.Event))             {}

func (n *node) Fetch(ctx context.Context, m membership.Member, r configuration.FetchRequest) (configuration.FetchAnswer, error) {
	for _, o := range n.w.nodes {
		if o.name == m.Name && !o.isPaused() && !o.cutPeers && !n.cutPeers {
			r.Wait = 0
			return o.config.Serve(ctx, r)
		}
	}
	return configuration.FetchAnswer{}, store.ErrUnavailable
}

// storeClient is one activity's client of the store. It yields before the call takes effect and before the answer arrives.
type storeClient struct{ *activity }

func call[T any](a *activity, f func() (T, error)) (T, error) {
	var zero T
	if !a.faultPoint(300) || a.n.cutStore {
		return zero, store.ErrUnavailable
	}
	v, err := f()
	if !a.faultPoint(300) {
		return zero, store.ErrUnavailable
	}
	return v, err
}

func (p *storeClient) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return call(p.activity, func() (store.Object, error) { return p.n.w.store.Get(ctx, kind, name) })
}

type listAnswer struct {
	objects []store.Object
	next    uint64
}

func (p *storeClient) List(ctx context.Context, kind, prefix string) ([]store.Object, uint64, error) {
	l, err := call(p.activity, func() (listAnswer, error) {
		o, next, err := p.n.w.store.List(ctx, kind, prefix)
		return listAnswer{o, next}, err
	})
	return l.objects, l.next, err
}

func (p *storeClient) Put(ctx context.Context, o store.Object) (uint64, error) {
	return call(p.activity, func() (uint64, error) {
		v, err := p.n.w.store.Put(ctx, o)
		if err == nil || errors.Is(err, store.ErrOutcomeUnknown) {
			p.n.w.checkWrite(o)
		}
		return v, err
	})
}

func (p *storeClient) Delete(context.Context, string, string, uint64) error {
	return store.ErrUnavailable
}

type watchAnswer struct {
	events []store.Event
	next   uint64
}

func (p *storeClient) Watch(ctx context.Context, kind string, from uint64) ([]store.Event, uint64, error) {
	r, err := call(p.activity, func() (watchAnswer, error) {
		defer func() { p.n.w.storeOffset = 0 }()
		e, next, err := p.n.w.store.Watch(ctx, kind, from)
		return watchAnswer{e, next}, err
	})
	return r.events, r.next, err
}

func (p *storeClient) VMs(context.Context) ([]store.VM, error) { return nil, nil }

// checkWrite checks each write that takes effect: a fencing number increases by one with each change of holder and only then,
// and a former holder never replaces a record of its successor.
func (w *simulation) checkWrite(o store.Object) {
	switch o.Kind {
	case topo.KindLease:
		l, _ := topo.Decode[topo.Lease](o.Value)
		old, ok := w.holders[o.Name]
		same := old.Holder == l.Holder && old.Incarnation == l.Incarnation && !old.Released
		if ok && ((same && l.Fencing != old.Fencing) || (!same && l.Fencing != old.Fencing+1)) {
			w.violation("fencing number of %s went from %d to %d, same holder: %t", o.Name, old.Fencing, l.Fencing, same)
		}
		w.holders[o.Name] = l
	case topo.KindOrder:
		r, _ := topo.Decode[topo.Order](o.Value)
		if old := w.records[o.Name]; r.Fencing < old.Fencing {
			w.violation("record of order %s was replaced by the former holder's %s", old.ID, r.ID)
		}
		w.records[o.Name] = r
	case topo.KindConfiguration:
		if o.Name == "head" {
			revision := uint64(len(w.accepted) + 1)
			w.accepted[revision] = w.now
		}
	}
}
