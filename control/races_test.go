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

func drainOf(upstream string) topo.Intent {
	return topo.Intent{Name: "i-" + upstream, Action: topo.ActionDrain, Upstream: upstream, Operator: "eva"}
}

func roleOf(upstream string) topo.Intent {
	return topo.Intent{Name: "r-" + upstream, Action: topo.ActionRole, Role: topo.RoleDecode, Upstream: upstream, Operator: "eva"}
}

// proposed makes a plan or ends the test.
func (w *world) proposed(in topo.Intent) topo.Plan {
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

// Of two operators with plans that need the same upstream, exactly one may win, and the other must learn to whom it lost.
func TestConflictingPlans(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a, b := w.proposed(drainOf("e1")), w.proposed(roleOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, a.Name, "anna")
	is.NoErr(err)
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	wantCode(t, err, result.PlanBaseMoved, `upstream "e1" is held by plan `+a.Name+", which anna confirmed")
	_, err = w.vms[2].plans.Confirm(background, a.Name, "carl")
	wantCode(t, err, result.PlanFinished, "confirmed by anna")
	w.settleDown()
	is.Equal(w.planObject(a.Name).State, topo.PlanDone)
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	wantCode(t, err, result.PlanBaseMoved, "by plan "+a.Name+" (anna)")
	_, err = w.vms[1].plans.Confirm(background, a.Name, "anna")
	wantCode(t, err, result.PlanFinished, "plan "+a.Name+" is done, confirmed by anna")
}

// A plan whose bases moved must be refused with what moved, from which version to which and by whom, and a change to
// something else must not refuse it.
func TestMovedBase(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	other, moved := w.proposed(roleOf("e1")), w.proposed(roleOf("e2"))
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

	w2 := newWorld(t)
	order := w2.proposed(roleOf("e3"))
	w2.store.putRaw(topo.KindOrder, "e3", topo.Order{ID: "o7", Plan: "p7", State: topo.OrderDone})
	_, err = w2.vms[0].plans.Confirm(background, order.Name, "anna")
	wantCode(t, err, result.PlanBaseMoved, `order "e3" moved from version 0 to 1 by order o7 of plan p7`)
}

// A base that moves after the confirmation and before the first step must stop the plan before it changes anything.
func TestBaseMovesAfterConfirm(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	_, err = vmConfig{w.vms[0]}.Update(background, "olga", func(c *topo.Configuration) error {
		c.Upstreams = append([]topo.Upstream(nil), c.Upstreams...)
		c.Upstreams[0].RoleChangeMS = 90_000
		return nil
	})
	is.NoErr(err)
	w.settleDown()
	got := w.planObject(p.Name)
	is.Equal(got.State, topo.PlanFailed)
	is.True(strings.Contains(got.Reason, "by olga"))
	is.Equal(w.store.head().Revision, uint64(2)) // no draining mark was ever set
}

// lossy loses the answers of the next writes.
type lossy struct {
	vmStore
	lose   map[string]int // by kind
	effect bool           // the lost write has taken effect
}

func (s *lossy) Put(ctx context.Context, o store.Object) (uint64, error) {
	if s.lose[o.Kind] == 0 {
		return s.vmStore.Put(ctx, o)
	}
	s.lose[o.Kind]--
	if s.effect {
		if _, err := s.vmStore.Put(ctx, o); err != nil {
			return 0, err
		}
	}
	return 0, store.ErrOutcomeUnknown
}

// An operator whose confirmation loses its answer must learn what really happened, and the plan must run once.
func TestLostAnswerOnConfirm(t *testing.T) {
	for _, kind := range []string{topo.KindConfirmations, topo.KindPlan} {
		for _, effect := range []bool{true, false} {
			is := is.New(t)
			w := newWorld(t)
			p := w.proposed(roleOf("e1"))
			v := w.vms[0]
			v.plans.opt.Store = &lossy{vmStore{v}, map[string]int{kind: 1}, effect}
			got, err := v.plans.Confirm(background, p.Name, "anna")
			is.NoErr(err)
			is.Equal(got.ConfirmedBy, "anna")
			is.Equal(len(w.confirmedPlans().Active), 1)
			w.settleDown()
			is.Equal(w.planObject(p.Name).State, topo.PlanDone)
			is.Equal(len(w.engines["e1"].taken), 1) // one order
		}
	}
}

// ticks lets all VMs look at the plans, without the passing of time unless asked for.
func (w *world) ticks(n int, d time.Duration) {
	for range n {
		w.advance(d)
		for _, v := range w.vms {
			v.contact()
			v.gossip = v.revision
			v.tick()
		}
	}
}

// A cancelled plan must stop after the step in hand and take its draining mark back; one that is done stays done.
func TestCancelWhileRunning(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
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
	is.Equal(len(w.engines["e1"].taken), 0)
	_, err = w.vms[0].plans.Cancel(background, p.Name, "carl")
	wantCode(t, err, result.PlanFinished, "cancelled")
}

// A drained engine must be given back while the load grows beyond what the others carry, and the plan must go on when it fits.
func TestHeldBackWhileLoadIsHigh(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
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
	w.settleDown()
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
}

// An engine with a failed order must be marked and stay drained, and its plan must fail rather than try again.
func TestFailedOrderMarksEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.orderFails = true
	p := w.proposed(roleOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.settleDown()
	is.Equal(w.planObject(p.Name).State, topo.PlanFailed)
	is.True(w.attention("e1"))
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamDraining)
	is.Equal(w.orders, 1)
	again, err := w.vms[0].plans.Propose(background, topo.Intent{Name: "back", Action: topo.ActionResume, Upstream: "e1"})
	is.NoErr(err)
	_, err = w.vms[0].plans.Confirm(background, again.Name, "anna")
	is.NoErr(err)
	w.settleDown()
	is.True(!w.attention("e1"))
}

// Work that runs too long must be moved rather than cut or waited for without end.
func TestStragglerIsMoved(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
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

// cutOff makes VMs unreachable for n seconds, during which they confirm their configuration to one another if they can.
func (w *world) cutOff(n int, vms ...*vm) {
	for _, v := range vms {
		v.partitioned, v.suspected = true, true
	}
	for range n {
		w.ticks(1, time.Second)
		for _, v := range vms {
			v.peerConfirm()
		}
	}
}

// An unreachable entry VM sends work until it notices that nobody confirms its configuration; it must be waited out.
func TestUncertainEntryVM(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
	w.ticks(1, time.Second)
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.cutOff(12, w.vms[4])
	is.Equal(w.planObject(p.Name).NextStep, 1)
	is.True(strings.Contains(w.planObject(p.Name).Progress, "until vm4, which can't be reached, refuses new work"))
	w.cutOff(20, w.vms[4])
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
}

// While half of the entry VMs can't be reached nothing may be drained: they may confirm the old configuration to one another.
func TestUncertainMajority(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
	w.ticks(1, time.Second)
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.cutOff(60, w.vms[2], w.vms[3], w.vms[4])
	is.Equal(w.planObject(p.Name).NextStep, 1)
	is.True(strings.Contains(w.planObject(p.Name).Progress, "3 of 5 entry VMs can't be reached"))
}

// Reports are late: one taken before the last new request arrived must not count as idle.
func TestLateReports(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	e := w.engines["e1"]
	e.lag = 900 * time.Millisecond
	p := w.proposed(roleOf("e1"))
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

// paused lets the world go on before the first change of the configuration.
type paused struct {
	Configurations
	meanwhile func()
}

func (p *paused) Update(ctx context.Context, author string, change func(*topo.Configuration) error) (uint64, error) {
	if f := p.meanwhile; f != nil {
		p.meanwhile = nil
		f()
	}
	return p.Configurations.Update(ctx, author, change)
}

// A holder that is paused before it sets the draining mark must not set it after its successor has finished the plan: nobody
// would ever take it back.
func TestPausedHolderMarksNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
	v := w.vms[0]
	_, err := v.plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	v.controller.opt.Configurations = &paused{v.controller.opt.Configurations, func() { w.ticks(40, time.Second) }}
	v.tick()
	is.Equal(w.planObject(p.Name).State, topo.PlanDone)
	is.True(w.planObject(p.Name).Holder != v.name)
	is.Equal(plan.Find(w.store.head(), "e1").State, topo.UpstreamActive)
}

// The last engine of a model in use must not be drained for good, even when the others left after the plan was confirmed.
func TestLastEngineIsHeld(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(drainOf("e1"))
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

// A VM without the lease of a step's group must leave the plan alone.
func TestOtherGroupIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	p := w.proposed(roleOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, p.Name, "anna")
	is.NoErr(err)
	w.vms[1].renew()
	w.leases[vmLease{}.GroupOf("e1")].holder = w.vms[2]
	w.vms[1].tick()
	is.Equal(w.planObject(p.Name).State, topo.PlanConfirmed)
	w.vms[2].tick()
	is.Equal(w.planObject(p.Name).Holder, "vm2")
}

// The store's rates do not grow with the fleet: a VM without a lease must not read it, and a holder only once for each look while
// nothing is confirmed.
func TestStoreCalls(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	v := w.vms[0]
	v.controller.Tick(background) // holds no lease yet
	is.Equal(v.reads+v.writes, 0)
	v.tick()
	is.Equal(v.reads, 1)
	is.Equal(v.writes, 0)
	p := w.proposed(roleOf("e1"))
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

// A configuration that was written before a plan drained an engine must not bring the engine back into use under its hands.
func TestApplyKeepsHeldUpstreams(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	file := *w.store.head()
	p := w.proposed(roleOf("e1"))
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
	w.settleDown()
	_, err = w.vms[0].plans.Apply(background, "olga", file)
	is.NoErr(err)
}

// Plans must not fill the store, and none that may still run may be deleted.
func TestPrune(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	running := w.proposed(roleOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, running.Name, "anna")
	is.NoErr(err)
	for i := range keptPlans + 5 {
		w.store.putRaw(topo.KindPlan, fmt.Sprintf("p2000-%d", i), topo.Plan{State: topo.PlanDone})
	}
	proposed := w.proposed(roleOf("e2"))
	w.vms[0].renew()
	w.vms[0].controller.prune(background)
	is.Equal(len(w.planNames()), keptPlans+2) // the two oldest are not ended
	is.Equal(w.planObject(running.Name).State, topo.PlanConfirmed)
	is.Equal(w.planObject(proposed.Name).State, topo.PlanProposed)
}

// Guards against an operator who has seen a plan's end and can't confirm the next one for the same upstream, because the hold of the first
// is removed a moment after its end is written.
func TestFinishedPlanHoldsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.proposed(drainOf("e1"))
	_, err := w.vms[0].plans.Confirm(background, a.Name, "anna")
	is.NoErr(err)
	hold := *find(w.confirmedPlans(), a.Name)
	w.settleDown()
	is.Equal(w.planObject(a.Name).State, topo.PlanDone)
	opt := &w.vms[0].plans.opt
	r, err := opt.confirmations(background)
	is.NoErr(err)
	r.value.Active = append(r.value.Active, hold) // as between the two writes
	is.NoErr(opt.writeConfirmations(background, r, nil))

	b := w.proposed(topo.Intent{Name: "back", Action: topo.ActionResume, Upstream: "e1"})
	_, err = w.vms[1].plans.Confirm(background, b.Name, "bob")
	is.NoErr(err)
	is.True(find(w.confirmedPlans(), a.Name) == nil)
}
