package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

const (
	testGroups  = 3
	testTerm    = 10 * time.Second
	sendTimeout = time.Second
)

// killed is the panic value with which the simulation kills a process during a call.
type killed struct{ vm *vm }

// simulation is a deterministic model of the entry VMs, the store and the engines. A pause of a process is a nested run of
// other actions inside one of its calls; a kill is a panic in the call.
type simulation struct {
	t       *rapid.T // source of random draws; nil without faults
	tb      rapid.TB
	now     time.Time
	store   *fakeStore
	vms     []*vm
	engines map[string]*fakeEngine
	leases  [testGroups]struct {
		holder  *vm
		fencing uint64
		since   time.Time
		until   time.Time
	}
	noFaults   bool // no faults and no pauses
	pauseDepth int  // nesting depth of pauses
	marks      int
	actions    int
	operator   int
	orders     int
	kills      int
	pauses     int
	orderFails bool
	mu         sync.Mutex // several goroutines request reports
}

type vm struct {
	w           *simulation
	name        string
	controller  *Controller
	plans       *Plans
	busy        bool // a tick of its controller is running or paused
	revision    uint64
	gossip      uint64    // revision that the membership list shows
	confirmed   time.Time // time of the last confirmation of its configuration
	partitioned bool
	suspected   bool
	reads       int // store calls
	writes      int
}

type request struct {
	arrives, ends time.Time // ends is zero while it runs
}

type fakeEngine struct {
	requests  []*request
	lag       time.Duration
	last      topo.EngineStatus
	busyUntil time.Time // end of the last order
	completed map[string]int
}

func newSimulation(tb rapid.TB) *simulation {
	t, faulty := tb.(*rapid.T)
	w := &simulation{t: t, tb: tb, noFaults: !faulty, now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}}
	w.store = &fakeStore{w: w, objects: map[string]store.Object{}, history: map[uint64]*topo.Configuration{}}
	c := &topo.Configuration{Revision: 1, Models: []topo.Model{{Name: "m1", Version: "v1"}}, Accounts: []topo.Account{{Caller: "clinic"}}}
	for _, n := range []string{"e1", "e2", "e3", "e4"} {
		c.Upstreams = append(c.Upstreams, topo.Upstream{
			Name: n, Address: n, Kind: topo.KindEngine, Models: []string{"m1@v1"}, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 1000,
			MaxBatch: 4, KVPieces: 100, RoleChangeMS: 3000, ReportLagMS: 500,
		})
		w.engines[n] = &fakeEngine{completed: map[string]int{}}
	}
	w.store.putRaw(topo.KindConfiguration, "head", c)
	for i := range 5 {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i), revision: 1, gossip: 1, confirmed: w.now}
		w.vms = append(w.vms, v)
		v.start()
	}
	return w
}

// start creates the processes of a VM, with empty memory.
func (v *vm) start() {
	w := v.w
	o := Options{
		Self: v.name, Store: vmStore{v}, Configurations: vmConfig{v}, Reports: w, Costs: w, List: w, Authority: vmLease{v},
		Mover: w, Clock: w, Mark: w.mark,
		Runner: orders.New(orders.Options{
			Store: vmStore{v}, Authority: vmLease{v}, Engine: engineAPI{v}, SendTimeout: sendTimeout, Clock: processClock{v}, Name: v.name,
		}),
	}
	v.controller, v.plans, v.busy = NewController(o), NewPlans(o), false
}

func (w *simulation) Now() time.Time { return w.now }

// pick draws a number below n. The number is composed of single bits, since rapid's ranges favour small numbers, which would
// leave out most actions.
func (w *simulation) pick(n int, label string) int {
	x := 0
	for range 10 {
		x <<= 1
		if rapid.Bool().Draw(w.t, label) {
			x++
		}
	}
	return x % n
}

func (w *simulation) mark() string { w.marks++; return fmt.Sprintf("mark-%d", w.marks) }

func (w *simulation) Credits() plan.Credits { return plan.Credits{} }

func (w *simulation) Weight(context.Context, string) (Weight, bool, error) {
	return Weight{Bytes: 1e9, BytesPerSecond: 1e9}, true, nil
}

// Move ends the running streams of an engine after a second, as if the gateway resumed them on the other engine.
func (w *simulation) Move(_ context.Context, from, _ topo.Upstream) error {
	for _, r := range w.engines[from.Name].requests {
		if r.ends.IsZero() {
			r.ends = w.now.Add(time.Second)
		}
	}
	return nil
}

// running returns the number of requests on an engine at a time, optionally with those in flight to it.
func (e *fakeEngine) running(at time.Time, withInFlight bool) int {
	n := 0
	for _, r := range e.requests {
		if (withInFlight || !r.arrives.After(at)) && (r.ends.IsZero() || r.ends.After(at)) {
			n++
		}
	}
	return n
}

// Report returns the number of requests that the engine ran at a time lag ago.
func (w *simulation) Report(_ context.Context, u topo.Upstream) (Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[u.Name]
	at := w.now.Add(-e.lag)
	n := e.running(at, false)
	return Report{At: at.UnixMilli(), Boot: e.last.Boot, Load: plan.Load{Running: n}}, nil
}

// Members returns the same list for all VMs, with the last gossiped state of each VM.
func (w *simulation) Members() []membership.Member {
	var ms []membership.Member
	for _, v := range w.vms {
		m := membership.Member{Name: v.name, ConfigRevision: v.gossip, State: membership.Alive}
		if v.suspected {
			m.State = membership.Uncertain
		}
		ms = append(ms, m)
	}
	return ms
}

func (w *simulation) Self() membership.Member                  { return membership.Member{} }
func (w *simulation) Subscribe(func(membership.Member)) func() { return func() {} }
func (w *simulation) Broadcast(string, []byte) error           { return nil }
func (w *simulation) Handle(string, func(membership.Event))    {}

// acceptsWork reports whether the VM accepts new work.
func (v *vm) acceptsWork() bool { return v.w.now.Sub(v.confirmed) < DefaultLimits.RefuseAfter }

// configuration returns the configuration that is in force at the VM.
func (v *vm) configuration() *topo.Configuration { return v.w.store.history[v.revision] }

// readHead makes a VM adopt the head of the configuration if it reaches the store.
func (v *vm) readHead() {
	if !v.partitioned && !v.w.store.down {
		v.revision, v.confirmed = v.w.store.head().Revision, v.w.now
	}
}

// confirmWithPeers confirms a VM's revision if the VM reaches a majority of members that have no newer one.
func (v *vm) confirmWithPeers() {
	n := 0
	for _, o := range v.w.vms {
		if o.partitioned == v.partitioned && o.revision <= v.revision {
			n++
		}
	}
	if 2*n > len(v.w.vms) {
		v.confirmed = v.w.now
	}
}

// sendRequest sends one request to an active engine with a free place, chosen by pick.
func (v *vm) sendRequest(pick int) {
	if !v.acceptsWork() {
		return
	}
	var active []string
	for _, u := range v.configuration().Upstreams {
		if plan.StateOf(&u) == topo.UpstreamActive && v.w.engines[u.Name].running(v.w.now, true) < u.MaxBatch {
			active = append(active, u.Name)
		}
	}
	if len(active) > 0 {
		e := v.w.engines[active[pick%len(active)]]
		e.requests = append(e.requests, &request{arrives: v.w.now.Add(DefaultLimits.InFlight / 2)})
	}
}

// faultPoint is called before and after each external call of a process. The process may be killed or paused here.
func (v *vm) faultPoint(what string) {
	w := v.w
	if w.noFaults {
		return
	}
	switch w.pick(99+1, what+"@"+v.name) {
	case 0, 1:
		w.kills++
		panic(killed{v})
	case 2, 3, 4:
		if w.pauseDepth > 1 {
			return
		}
		w.pauseDepth++
		w.pauses++
		for range 1 + w.pick(12, "pause") {
			w.randomAction()
		}
		w.pauseDepth--
	}
}

// runProcess calls f as a process of a VM and restarts the processes when f was killed.
func (v *vm) runProcess(f func()) {
	depth := v.w.pauseDepth
	defer func() {
		if r := recover(); r != nil {
			k, ok := r.(killed)
			if !ok || k.vm != v {
				panic(r)
			}
			v.w.pauseDepth = depth
			v.start()
		}
	}()
	f()
}

func (v *vm) tick() {
	if v.busy {
		return
	}
	v.busy = true
	v.renewLeases()
	v.runProcess(func() { v.controller.Tick(context.Background()) })
	v.busy = false
}

// renewLeases renews the VM's leases and takes those that have lapsed.
func (v *vm) renewLeases() {
	w := v.w
	if v.partitioned || w.store.down {
		return
	}
	for g := range w.leases {
		l := &w.leases[g]
		switch {
		case l.holder == v && w.now.Before(l.until):
			l.until = w.now.Add(testTerm)
		case l.holder == nil || w.now.After(l.until.Add(sendTimeout)):
			l.holder, l.since, l.until = v, w.now, w.now.Add(testTerm)
			l.fencing++
		}
	}
}

type vmLease struct{ *vm }

func (l vmLease) Check(group int, margin time.Duration) (lease.Token, error) {
	x := &l.w.leases[group]
	if x.holder != l.vm || !l.w.now.Add(margin).Before(x.until) {
		return lease.Token{}, result.New(result.LeaseLost, "not held")
	}
	return lease.Token{Group: group, Fencing: x.fencing, Since: x.since, Until: x.until}, nil
}

func (l vmLease) Groups() []int {
	var held []int
	for g := range l.w.leases {
		if _, err := l.Check(g, 0); err == nil {
			held = append(held, g)
		}
	}
	return held
}

func (vmLease) GroupOf(upstream string) int { return int(upstream[len(upstream)-1]) % testGroups }

// vmConfig is a fake of configuration.Node that keeps the configuration in a single object.
type vmConfig struct{ *vm }

func (c vmConfig) Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error) {
	for range 3 {
		r, err := read[topo.Configuration](ctx, vmStore(c), topo.KindConfiguration, "head")
		if err != nil {
			return 0, err
		}
		now := r.value
		if err := change(&now); err != nil {
			return 0, err
		}
		now.Revision, now.Author = r.value.Revision+1, author
		c.w.checkConfigurationWrite(c.vm, &r.value, &now)
		r.value = now
		_, err = write(ctx, &c.controller.opt, topo.KindConfiguration, "head", r, nil)
		if result.CodeOf(err) != result.StoreConflict {
			return now.Revision, err
		}
	}
	return 0, result.New(result.StoreConflict, "the configuration keeps changing")
}

// engineAPI is one VM's client of the engines' order interface. Half of the engines ignore fencing numbers.
type engineAPI struct{ *vm }

// Send delivers an order to an engine. The process is not paused between its last check of the lease and this call; the tests
// of package orders cover a pause there.
func (a engineAPI) Send(_ context.Context, address string, o topo.Order) (topo.EngineStatus, error) {
	w, e := a.w, a.w.engines[address]
	if address < "e3" && o.Fencing < e.last.Fencing {
		return e.status(w.now), nil
	}
	w.orders++
	w.checkOrder(a.vm, o)
	e.last = topo.EngineStatus{OrderID: o.ID, State: topo.EngineDone, Boot: e.last.Boot, Fencing: o.Fencing}
	e.busyUntil = w.now.Add(2 * time.Second)
	switch fault := w.orderFault(); fault {
	case 0:
		e.last.State = topo.EngineFailed
	case 1:
		e.last.Boot++
		e.last.OrderID = "" // crashed
	default:
		e.completed[fmt.Sprintf("%s/%d", o.Plan, o.Step)]++
	}
	a.faultPoint("order sent")
	return e.status(w.now), nil
}

// orderFault draws the result of an order: 0 fails, 1 crashes the engine, other values succeed.
func (w *simulation) orderFault() int {
	switch {
	case w.orderFails:
		return 0
	case w.noFaults:
		return 2
	}
	return w.pick(20, "order")
}

// Current implements orders.Engine.
func (a engineAPI) Current(_ context.Context, address string) (topo.EngineStatus, error) {
	a.faultPoint("current")
	return a.w.engines[address].status(a.w.now), nil
}

func (e *fakeEngine) status(now time.Time) topo.EngineStatus {
	s := e.last
	if s.OrderID != "" && now.Before(e.busyUntil) {
		s.State = topo.EngineRunning
	}
	return s
}

// processClock moves the shared clock forward while a process sleeps. The process may be killed or paused after the sleep.
type processClock struct{ *vm }

func (c processClock) Now() time.Time { return c.w.now }

func (c processClock) Sleep(_ context.Context, d time.Duration) error {
	c.w.advance(max(d, 0))
	c.faultPoint("sleep")
	return nil
}
