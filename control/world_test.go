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

// killed is the panic with which the world ends a process in the middle of a call.
type killed struct{ vm *vm }

// world is a deterministic model of the entry VMs, the store and the engines. A pause of a process is a nested run
// of other actions inside one of its calls; a kill is a panic out of the call.
type world struct {
	t       *rapid.T // draws; nil in a calm world
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
	calm       bool // no faults and no pauses
	depth      int  // of pauses
	marks      int
	actions    int
	operator   int
	orders     int
	kills      int
	pauses     int
	orderFails bool
	mu         sync.Mutex // reports are asked for by several goroutines
}

type vm struct {
	w           *world
	name        string
	controller  *Controller
	plans       *Plans
	busy        bool // a call of its controller is in hand, maybe paused
	revision    uint64
	gossip      uint64    // the revision that others have heard of
	confirmed   time.Time // of the last confirmation of its configuration
	partitioned bool
	suspected   bool
	reads       int // store calls
	writes      int
}

type request struct {
	arrives, ends time.Time // ends is zero while it runs
}

type fakeEngine struct {
	requests []*request
	lag      time.Duration
	last     topo.EngineStatus
	busy     time.Time // until when the last order runs
	taken    map[string]int
}

func newWorld(tb rapid.TB) *world {
	t, faulty := tb.(*rapid.T)
	w := &world{t: t, tb: tb, calm: !faulty, now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}}
	w.store = &fakeStore{w: w, objects: map[string]store.Object{}, history: map[uint64]*topo.Configuration{}}
	c := &topo.Configuration{Revision: 1, Models: []topo.Model{{Name: "m1", Version: "v1"}}, Accounts: []topo.Account{{Caller: "clinic"}}}
	for _, n := range []string{"e1", "e2", "e3", "e4"} {
		c.Upstreams = append(c.Upstreams, topo.Upstream{
			Name: n, Address: n, Kind: topo.KindEngine, Models: []string{"m1@v1"}, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 1000,
			MaxBatch: 4, KVPieces: 100, RoleChangeMS: 3000, ReportLagMS: 500,
		})
		w.engines[n] = &fakeEngine{taken: map[string]int{}}
	}
	w.store.putRaw(topo.KindConfiguration, "head", c)
	for i := range 5 {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i), revision: 1, gossip: 1, confirmed: w.now}
		w.vms = append(w.vms, v)
		v.start()
	}
	return w
}

// start makes the processes of a VM anew, with empty memory.
func (v *vm) start() {
	w := v.w
	o := Options{
		Self: v.name, Store: vmStore{v}, Configurations: vmConfig{v}, Reports: w, Facts: w, List: w, Authority: vmLease{v},
		Mover: w, Clock: w, Mark: w.mark,
		Runner: orders.New(orders.Options{
			Store: vmStore{v}, Authority: vmLease{v}, Engine: engineAPI{v}, SendTimeout: sendTimeout, Clock: processClock{v}, Name: v.name,
		}),
	}
	v.controller, v.plans, v.busy = NewController(o), NewPlans(o), false
}

func (w *world) Now() time.Time { return w.now }

// pick draws a number below n. It is put together from bits, since rapid's own ranges favour small numbers, which here would
// leave most actions out.
func (w *world) pick(n int, label string) int {
	x := 0
	for range 10 {
		x <<= 1
		if rapid.Bool().Draw(w.t, label) {
			x++
		}
	}
	return x % n
}

func (w *world) mark() string { w.marks++; return fmt.Sprintf("mark-%d", w.marks) }

func (w *world) Credits() plan.Credits { return plan.Credits{} }

func (w *world) Weight(context.Context, string) (Weight, bool, error) {
	return Weight{Bytes: 1e9, BytesPerSecond: 1e9}, true, nil
}

// Move ends the running streams of an engine after a while; the gateway resumes them on the other one.
func (w *world) Move(_ context.Context, from, _ topo.Upstream) error {
	for _, r := range w.engines[from.Name].requests {
		if r.ends.IsZero() {
			r.ends = w.now.Add(time.Second)
		}
	}
	return nil
}

// running counts the requests of an engine at a time, with those on their way to it if wanted.
func (e *fakeEngine) running(at time.Time, withInFlight bool) int {
	n := 0
	for _, r := range e.requests {
		if (withInFlight || !r.arrives.After(at)) && (r.ends.IsZero() || r.ends.After(at)) {
			n++
		}
	}
	return n
}

// Report tells what the engine had running a while ago.
func (w *world) Report(_ context.Context, u topo.Upstream) (Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[u.Name]
	at := w.now.Add(-e.lag)
	n := e.running(at, false)
	return Report{At: at.UnixMilli(), Boot: e.last.Boot, Load: plan.Load{Running: n}}, nil
}

// Members is the same at all VMs: it tells of each VM what was last heard of it.
func (w *world) Members() []membership.Member {
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

func (w *world) Self() membership.Member                  { return membership.Member{} }
func (w *world) Subscribe(func(membership.Member)) func() { return func() {} }
func (w *world) Broadcast(string, []byte) error           { return nil }
func (w *world) Handle(string, func(membership.Event))    {}

// fresh says whether the VM takes new work, and configuration is the one it acts on.
func (v *vm) fresh() bool { return v.w.now.Sub(v.confirmed) < DefaultLimits.RefuseAfter }

func (v *vm) configuration() *topo.Configuration { return v.w.store.history[v.revision] }

// contact lets a VM read the head.
func (v *vm) contact() {
	if !v.partitioned && !v.w.store.down {
		v.revision, v.confirmed = v.w.store.head().Revision, v.w.now
	}
}

// peerConfirm lets a VM have its revision confirmed by a majority that knows no newer one and that it can reach.
func (v *vm) peerConfirm() {
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

// dispatch sends one request to the engine that the VM would choose.
func (v *vm) dispatch(pick int) {
	if !v.fresh() {
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

// call is passed before and after each call of a process to the outside. Here it may be killed or paused.
func (v *vm) call(what string) {
	w := v.w
	if w.calm {
		return
	}
	switch w.pick(99+1, what+"@"+v.name) {
	case 0, 1:
		w.kills++
		panic(killed{v})
	case 2, 3, 4:
		if w.depth > 1 {
			return
		}
		w.depth++
		w.pauses++
		for range 1 + w.pick(12, "pause") {
			w.act()
		}
		w.depth--
	}
}

// run calls f as the process of a VM and starts the process anew when it was killed.
func (v *vm) run(f func()) {
	depth := v.w.depth
	defer func() {
		if r := recover(); r != nil {
			k, ok := r.(killed)
			if !ok || k.vm != v {
				panic(r)
			}
			v.w.depth = depth
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
	v.renew()
	v.run(func() { v.controller.Tick(context.Background()) })
	v.busy = false
}

// renew keeps the VM's leases and takes those that have lapsed.
func (v *vm) renew() {
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

// vmConfig is a configuration.Node reduced to one object.
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

// engineAPI is the order interface of the engines as one VM reaches it. Half of the engines ignore fencing numbers.
type engineAPI struct{ *vm }

// Send takes an order. The process is not paused between its last look at the lease and this call; this window is the
// subject of the tests of package orders.
func (a engineAPI) Send(_ context.Context, address string, o topo.Order) (topo.EngineStatus, error) {
	w, e := a.w, a.w.engines[address]
	if address < "e3" && o.Fencing < e.last.Fencing {
		return e.status(w.now), nil
	}
	w.orders++
	w.checkOrder(a.vm, o)
	e.last = topo.EngineStatus{OrderID: o.ID, State: topo.EngineDone, Boot: e.last.Boot, Fencing: o.Fencing}
	e.busy = w.now.Add(2 * time.Second)
	switch fault := w.orderFault(); fault {
	case 0:
		e.last.State = topo.EngineFailed
	case 1:
		e.last.Boot++
		e.last.OrderID = "" // crashed
	default:
		e.taken[fmt.Sprintf("%s/%d", o.Plan, o.Step)]++
	}
	a.call("order sent")
	return e.status(w.now), nil
}

// orderFault draws how an order ends: 0 fails, 1 crashes the engine, others succeed.
func (w *world) orderFault() int {
	switch {
	case w.orderFails:
		return 0
	case w.calm:
		return 2
	}
	return w.pick(20, "order")
}

// Current implements orders.Engine.
func (a engineAPI) Current(_ context.Context, address string) (topo.EngineStatus, error) {
	a.call("current")
	return a.w.engines[address].status(a.w.now), nil
}

func (e *fakeEngine) status(now time.Time) topo.EngineStatus {
	s := e.last
	if s.OrderID != "" && now.Before(e.busy) {
		s.State = topo.EngineRunning
	}
	return s
}

// processClock lets time pass for all while one process sleeps, and pauses or kills it there.
type processClock struct{ *vm }

func (c processClock) Now() time.Time { return c.w.now }

func (c processClock) Sleep(_ context.Context, d time.Duration) error {
	c.w.advance(max(d, 0))
	c.call("sleep")
	return nil
}
