package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

var background = context.Background()

func drainIntent(upstream string) topo.Intent {
	return topo.Intent{Name: "i-" + upstream, Action: topo.ActionDrain, Upstream: upstream, Operator: "eva"}
}

func roleIntent(upstream string) topo.Intent {
	return topo.Intent{Name: "r-" + upstream, Action: topo.ActionRole, Role: topo.RoleDecode, Upstream: upstream, Operator: "eva"}
}

// mustPropose proposes a plan and fails the test on an error.
func (w *simulation) mustPropose(in topo.Intent) topo.Plan {
	p, err := w.vms[0].plans.Propose(background, in)
	if err != nil {
		w.tb.Fatalf("propose: %v", err)
	}
	return p
}

func wantCode(t *testing.T, err error, code result.Code, text string) {
	t.Helper()
	if result.CodeOf(err) != code || !strings.Contains(err.Error(), text) {
		t.Fatalf("want %d with %q, got %v", code, text, err)
	}
}

// Of two plans that need the same upstream, only one may be confirmed, and the error for the other must name the holder.
func TestConflictingPlans(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	a, b := w.mustPropose(drainIntent("e1")), w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, a.Name, "anna")
	is.NoErr(err)
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	wantCode(t, err, result.PlanBaseMoved, `upstream "e1" is held by plan `+a.Name+", which anna confirmed")
	_, err = w.vms[2].plans.Confirm(background, a.Name, "carl")
	wantCode(t, err, result.PlanFinished, "confirmed by anna")
	w.runToEnd()
	is.Equal(w.planObject(a.Name).State, topo.PlanDone)
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	wantCode(t, err, result.PlanBaseMoved, "by plan "+a.Name+" (anna)")
	_, err = w.vms[1].plans.Confirm(background, a.Name, "anna")
	wantCode(t, err, result.PlanFinished, "plan "+a.Name+" is done, confirmed by anna")
}

// A plan whose bases moved must be refused with an error that names the object, both versions and the author. A change of
// another object must not cause a refusal.
func TestMovedBase(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	other, moved := w.mustPropose(roleIntent("e1")), w.mustPropose(roleIntent("e2"))
	w.applyUnrelated(w.vms[0])
	is.NoErr(w.vms[0].plans.checkBases(background, &other))
	_, err := vmConfig{w.vms[0]}.Update(background, "olga", func(c *topo.Configuration) error {
		c.Upstreams = append([]topo.Upstream(nil), c.Upstreams...)
		c.Upstreams[1].MaxBatch = 2
		return nil
	})
	is.NoErr(err)
	_, err = w.vms[0].plans.Confirm(background, moved.Name, "anna")
	wantCode(t, err, result.PlanBaseMoved, `configuration "head" moved from version 1 to 3 by olga`)

	w2 := newSimulation(t)
	order := w2.mustPropose(roleIntent("e3"))
	w2.store.putRaw(topo.KindOrder, "e3", topo.Order{ID: "o7", Plan: "p7", State: topo.OrderDone})
	_, err = w2.vms[0].plans.Confirm(background, order.Name, "anna")
	wantCode(t, err, result.PlanBaseMoved, `order "e3" moved from version 0 to 1 by order o7 of plan p7`)
}

// A base that moves between the confirmation and the first step must fail the plan before it changes anything.
func TestBaseMovesAfterConfirm(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	_, err = vmConfig{w.vms[0]}.Update(background, "olga", func(c *topo.Configuration) error {
		c.Upstreams = append([]topo.Upstream(nil), c.Upstreams...)
		c.Upstreams[0].RoleChangeMS = 90_000
		return nil
	})
	is.NoErr(err)
	w.runToEnd()
	got := w.planObject(p.Name)
	is.Equal(got.State, topo.PlanFailed)
	is.True(strings.Contains(got.Reason, "by olga"))
	is.Equal(w.store.head().Revision, uint64(2)) // no draining mark was ever set
}

// lossyStore loses the answers of the next writes of a kind.
type lossyStore struct {
	vmStore
	lose          map[string]int // by kind
	writesApplied bool           // the lost write has taken effect
}

func (s *lossyStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	if s.lose[o.Kind] == 0 {
		return s.vmStore.Put(ctx, o)
	}
	s.lose[o.Kind]--
	if s.writesApplied {
		if _, err := s.vmStore.Put(ctx, o); err != nil {
			return 0, err
		}
	}
	return 0, store.ErrOutcomeUnknown
}

// A confirmation whose store write loses its answer must return the actual outcome, and the plan must run once.
func TestLostAnswerOnConfirm(t *testing.T) {
	for _, kind := range []string{topo.KindConfirmations, topo.KindPlan} {
		for _, effect := range []bool{true, false} {
			is := is.New(t)
			w := newSimulation(t)
			p := w.mustPropose(roleIntent("e1"))
			v := w.vms[0]
			v.plans.opt.Store = &lossyStore{vmStore{v}, map[string]int{kind: 1}, effect}
			got, err := v.plans.Confirm(background, p.Name, "anna")
			is.NoErr(err)
			is.Equal(got.ConfirmedBy, "anna")
			is.Equal(len(w.confirmedPlans().Active), 1)
			w.runToEnd()
			is.Equal(w.planObject(p.Name).State, topo.PlanDone)
			is.Equal(len(w.engines["e1"].completed), 1) // one order
		}
	}
}

// ticks runs n ticks of all VMs and moves the clock by d before each.
func (w *simulation) ticks(n int, d time.Duration) {
	for range n {
		w.advance(d)
		for _, v := range w.vms {
			v.readHead()
			v.gossip = v.revision
			v.tick()
		}
	}
}

// A cancelled plan must stop after its current step and remove its draining mark. A plan that has ended can't be cancelled.
func TestCancelWhileRunning(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.engines["e1"].requests = append(w.engines["e1"].requests, &request{arrives: w.now})
	w.ticks(5, time.Second)
	is.Equal(w.planObject(p.Name).NextStep, 1) // waits for the running request
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamDraining)
	_, err = w.vms[3].plans.Cancel(background, p.Name, "carl")
	is.NoErr(err)
	w.ticks(2, time.Second)
	got := w.planObject(p.Name)
	is.Equal(got.State, topo.PlanCancelled)
	is.Equal(got.CancelledBy, "carl")
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamActive)
	is.Equal(len(w.engines["e1"].completed), 0)
	_, err = w.vms[0].plans.Cancel(background, p.Name, "carl")
	wantCode(t, err, result.PlanFinished, "cancelled")
}

// A drained engine must return to use while the load exceeds the capacity of the others, and the plan must resume when it fits.
func TestHeldBackWhileLoadIsHigh(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.engines["e1"].requests = append(w.engines["e1"].requests, &request{arrives: w.now})
	w.ticks(2, time.Second)
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamDraining)
	for _, e := range []string{"e2", "e3", "e4"} {
		for range 4 {
			w.engines[e].requests = append(w.engines[e].requests, &request{arrives: w.now})
		}
	}
	w.ticks(3, time.Second)
	got := w.planObject(p.Name)
	is.Equal(got.State, topo.PlanHeld)
	is.True(strings.Contains(got.Reason, "the load of now does not fit without e1: m1: 108 % of the remaining streams capacity"))
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamActive)
	w.endRequests(100)
	w.runToEnd()
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
}

// An engine with a failed order must be marked and stay drained, and its plan must fail without a retry.
func TestFailedOrderMarksEngine(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	w.orderFails = true
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.runToEnd()
	is.Equal(w.planObject(p.Name).State, topo.PlanFailed)
	is.True(w.hasProblem("e1"))
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamDraining)
	is.Equal(w.orders, 1)
	again, err := w.vms[0].plans.Propose(background, topo.Intent{Name: "back", Action: topo.ActionResume, Upstream: "e1"})
	is.NoErr(err)
	_, err = w.vms[0].plans.Confirm(background, again.Name, "anna")
	is.NoErr(err)
	w.runToEnd()
	is.True(!w.hasProblem("e1"))
}

// Work that runs for too long must be moved, neither interrupted nor waited for without end.
func TestStragglerIsMoved(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	r := &request{arrives: w.now}
	w.engines["e1"].requests = append(w.engines["e1"].requests, r)
	w.ticks(28, time.Second)
	is.True(r.ends.IsZero())
	w.ticks(12, time.Second)
	is.True(!r.ends.IsZero())
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
}

// partition makes VMs unreachable for n seconds, in which they confirm their configuration to one another if they can.
func (w *simulation) partition(n int, vms ...*vm) {
	for _, v := range vms {
		v.partitioned, v.suspected = true, true
	}
	for range n {
		w.ticks(1, time.Second)
		for _, v := range vms {
			v.confirmWithPeers()
		}
	}
}

// An unreachable entry VM sends work until its configuration has been unconfirmed for RefuseAfter. The drain must wait for
// that long.
func TestUncertainEntryVM(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	w.ticks(1, time.Second)
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.partition(12, w.vms[4])
	is.Equal(w.planObject(p.Name).NextStep, 1)
	is.True(strings.Contains(w.planObject(p.Name).Progress, "until vm4, which can't be reached, refuses new work"))
	w.partition(20, w.vms[4])
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
}

// While a majority of the entry VMs is unreachable no drain may end: they may confirm the old configuration to one another.
func TestUncertainMajority(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	w.ticks(1, time.Second)
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.partition(60, w.vms[2], w.vms[3], w.vms[4])
	is.Equal(w.planObject(p.Name).NextStep, 1)
	is.True(strings.Contains(w.planObject(p.Name).Progress, "3 of 5 entry VMs can't be reached"))
}

// Load reports lag: a report from before the last new request arrived must not count as idle.
func TestLateReports(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	e := w.engines["e1"]
	e.lag = 900 * time.Millisecond
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	for range 50 {
		if plan.StateOf(plan.Find(w.vms[0].configuration(), "e1")) == topo.UpstreamActive {
			e.requests = []*request{{arrives: w.now}}
		}
		w.ticks(1, 100*time.Millisecond)
	}
	is.Equal(w.planObject(p.Name).NextStep, 1)
	is.Equal(w.planObject(p.Name).Progress, "1 requests are running")
}

// pausedConfigurations calls meanwhile before its first Update, as if the process were paused there.
type pausedConfigurations struct {
	Configurations
	meanwhile func()
}

func (p *pausedConfigurations) Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error) {
	if f := p.meanwhile; f != nil {
		p.meanwhile = nil
		f()
	}
	return p.Configurations.Update(ctx, author, change)
}

// A holder that is paused before it sets the draining mark must not set it after its successor has finished the plan: the mark
// would never be removed.
func TestPausedHolderMarksNothing(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	v := w.vms[0]
	_, err := v.plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	v.controller.opt.Configurations = &pausedConfigurations{v.controller.opt.Configurations, func() { w.ticks(40, time.Second) }}
	v.tick()
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
	is.True(w.planObject(p.Name).Holder != v.name)
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamActive)
}

// The last engine of a model in use must not be drained permanently, even if the others left after the plan was confirmed.
func TestLastEngineIsHeld(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(drainIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	for _, e := range engineNames {
		w.engines[e].requests = []*request{{arrives: w.now}, {arrives: w.now}, {arrives: w.now}}
	}
	w.ticks(2, time.Second)
	is.Equal(w.planObject(p.Name).State, topo.PlanHeld)
	_, err = vmConfig{w.vms[0]}.Update(background, "olga", func(c *topo.Configuration) error {
		c.Upstreams = append([]topo.Upstream(nil), c.Upstreams...)
		for i := range c.Upstreams[1:] {
			c.Upstreams[i+1].State = topo.UpstreamWithdrawn
		}
		return nil
	})
	is.NoErr(err)
	w.endRequests(100)
	w.ticks(10, time.Second)
	is.Equal(w.planObject(p.Name).State, topo.PlanHeld)
	is.True(strings.Contains(w.planObject(p.Name).Reason, "last active upstream of m1"))
}

// A VM without the lease of a step's group must not act on the plan.
func TestOtherGroupIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.vms[1].renewLeases()
	w.leases[vmLease{}.GroupOf("e1")].holder = w.vms[2]
	w.vms[1].tick()
	is.Equal(w.planObject(p.Name).State, topo.PlanConfirmed)
	w.vms[2].tick()
	is.Equal(w.planObject(p.Name).Holder, "vm2")
}

// The store's rates do not grow with the fleet: a VM without a lease must not read it, and a holder must read it only once per
// tick while no plan is confirmed.
func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	v := w.vms[0]
	v.controller.Tick(background) // holds no lease yet
	is.Equal(v.reads+v.writes, 0)
	v.tick()
	is.Equal(v.reads, 1)
	is.Equal(v.writes, 0)
	p := w.mustPropose(roleIntent("e1"))
	proposed := [2]int{v.reads - 1, v.writes}
	_, err := v.plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	confirmed := [2]int{v.reads - 1 - proposed[0], v.writes - proposed[1]}
	before, ticks := [2]int{v.reads, v.writes}, 0
	for ; w.planObject(p.Name).State != topo.PlanDone; ticks++ {
		w.ticks(1, time.Second)
	}
	t.Logf("reads and writes: propose %v, confirm %v, run a role change with 4 steps in %d ticks %v",
		proposed, confirmed, ticks, [2]int{v.reads - before[0], v.writes - before[1]})
}

// Applying a configuration file from before a plan drained an engine must not return the engine to use while the plan runs.
func TestApplyKeepsHeldUpstreams(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	file := *w.store.head()
	p := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.engines["e1"].requests = []*request{{arrives: w.now}}
	w.ticks(2, time.Second)
	_, err = w.vms[0].plans.Apply(background, "olga", file)
	wantCode(t, err, result.StoreConflict, "made from revision 1, but revision 2 by plan "+p.Name+" (anna)")
	file.Revision = 0
	_, err = w.vms[0].plans.Apply(background, "olga", file)
	wantCode(t, err, result.StoreConflict, `upstream "e1" is held by plan `+p.Name)
	w.engines["e1"].requests = nil
	w.runToEnd()
	_, err = w.vms[0].plans.Apply(background, "olga", file)
	is.NoErr(err)
}

// Old plans must be deleted, so that they don't fill the store, but no plan that may still run.
func TestPrune(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	running := w.mustPropose(roleIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, running.Name, "anna")
	is.NoErr(err)
	for i := range maxStoredPlans + 5 {
		w.store.putRaw(topo.KindPlan, fmt.Sprintf("p2000-%d", i), topo.Plan{State: topo.PlanDone})
	}
	proposed := w.mustPropose(roleIntent("e2"))
	w.vms[0].renewLeases()
	w.vms[0].controller.prune(background)
	is.Equal(len(w.planNames()), maxStoredPlans+2) // the plan in progress and the new proposal stay too
	is.Equal(w.planObject(running.Name).State, topo.PlanConfirmed)
	is.Equal(w.planObject(proposed.Name).State, topo.PlanProposed)
}

// Guards against a refused confirmation after an operator has seen the previous plan's end: the hold on the upstream is removed
// only after the end is written.
func TestFinishedPlanHoldsNothing(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	a := w.mustPropose(drainIntent("e1"))
	_, err := w.vms[0].plans.Confirm(background, a.Name, "anna")
	is.NoErr(err)
	hold := *findConfirmation(w.confirmedPlans(), a.Name)
	w.runToEnd()
	is.Equal(w.planObject(a.Name).State, topo.PlanDone)
	opt := &w.vms[0].plans.opt
	r, err := opt.readConfirmations(background)
	is.NoErr(err)
	r.value.Active = append(r.value.Active, hold) // the state between the two writes
	is.NoErr(opt.writeConfirmations(background, r, nil))

	b := w.mustPropose(topo.Intent{Name: "back", Action: topo.ActionResume, Upstream: "e1"})
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	is.NoErr(err)
	is.True(findConfirmation(w.confirmedPlans(), a.Name) == nil)
}
