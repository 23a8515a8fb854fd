package control

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/topo"
)

const (
	defaultSeed   = "20261204"
	minimumSteps  = 10_000
	actionsPerRun = 600
)

// TestMain fixes the seed, so that CI runs are reproducible. -rapid.seed sets another seed and -rapid.checks a longer run.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomAction draws and runs one action.
func (w *simulation) randomAction() {
	w.actions++
	v := w.vms[w.pick(len(w.vms), "vm")]
	switch w.pick(40, "action") {
	default:
		v.tick()
	case 0, 1, 2, 33, 34, 35:
		w.advance(time.Duration(1+w.pick(4, "time")) * 500 * time.Millisecond)
	case 3:
		w.advance(time.Duration(5+w.pick(20, "long time")) * time.Second)
	case 4, 5, 6, 7:
		w.forMostVMs(func(v *vm) { v.readHead() })
	case 8:
		v.confirmWithPeers()
	case 9, 10, 11, 12:
		w.forMostVMs(func(v *vm) {
			if !v.partitioned {
				v.gossip = v.revision
			}
		})
	case 13, 30:
		w.propose(v)
	case 14, 15, 31, 32:
		w.confirm(v)
	case 16:
		if w.pick(8, "cancel") == 0 {
			w.cancel(v)
		}
	case 17, 18, 27, 28, 29:
		v.sendRequest(w.pick(3+1, "engine"))
	case 19, 20, 21:
		w.endRequests(1 + w.pick(4, "ended"))
	case 22:
		w.forMostVMs(func(v *vm) { v.partitioned = v.partitioned && w.pick(2, "still cut off") == 0 })
		v.partitioned = w.pick(2, "cut off") == 0
	case 23:
		w.forMostVMs(func(v *vm) { v.suspected = v.suspected && v.partitioned })
		v.suspected = v.partitioned || w.pick(5+1, "wrongly suspected") == 0
	case 24:
		w.store.down = !w.store.down && w.pick(2+1, "store down") == 0
	case 25:
		w.applyUnrelated(v)
	case 26:
		e := w.engines[engineNames[w.pick(len(engineNames), "late")]]
		e.lag = time.Duration(w.pick(10+1, "lag")) * 100 * time.Millisecond
	}
}

// forMostVMs calls f for each VM with a probability of 7/8.
func (w *simulation) forMostVMs(f func(*vm)) {
	for _, v := range w.vms {
		if w.pick(8, "skip") != 0 {
			f(v)
		}
	}
}

var engineNames = []string{"e1", "e2", "e3", "e4"}

func (w *simulation) endRequests(n int) {
	for _, name := range engineNames {
		for _, r := range w.engines[name].requests {
			if n > 0 && r.ends.IsZero() && !r.arrives.After(w.now) {
				r.ends = w.now
				n--
			}
		}
	}
}

func (w *simulation) planNames() []string {
	var names []string
	for k, o := range w.store.objects {
		if o.Kind == topo.KindPlan {
			names = append(names, k[len(topo.KindPlan)+1:])
		}
	}
	slices.Sort(names)
	return names
}

func (w *simulation) propose(v *vm) {
	name := engineNames[w.pick(len(engineNames), "upstream")]
	in := topo.Intent{Name: "i", Operator: "eva", Upstream: name}
	switch w.pick(8, "intent") {
	case 0, 1, 6, 7:
		in.Action, in.Role = topo.ActionRole, []topo.Role{topo.RoleBoth, topo.RoleDecode}[w.pick(len([]topo.Role{topo.RoleBoth, topo.RoleDecode}), "role")]
	case 2:
		in.Action = topo.ActionDrain
	case 3:
		in.Action = topo.ActionResume
	case 4:
		in.Action, in.With = topo.ActionReplace, engineNames[w.pick(len(engineNames), "with")]
	case 5:
		version := "v" + strconv.Itoa(1+w.pick(3, "version"))
		in = topo.Intent{Name: "i", Action: topo.ActionServe, Serve: []topo.Serve{{Model: "m1", Version: version, Engines: []string{name}, Callers: []string{"clinic"}}}}
	}
	v.runProcess(func() { _, _ = v.plans.Propose(context.Background(), in) })
}

func (w *simulation) confirm(v *vm) {
	if names := w.planNames(); len(names) > 0 {
		name := names[len(names)-1-w.pick(min(3, len(names)), "plan")]
		w.operator++
		v.runProcess(func() { _, _ = v.plans.Confirm(context.Background(), name, fmt.Sprintf("op%d", w.operator)) })
	}
}

func (w *simulation) cancel(v *vm) {
	if names := w.planNames(); len(names) > 0 {
		name := names[len(names)-1-w.pick(min(4, len(names)), "plan")]
		v.runProcess(func() { _, _ = v.plans.Cancel(context.Background(), name, "carl") })
	}
}

// applyUnrelated changes an account that no plan uses.
func (w *simulation) applyUnrelated(v *vm) {
	v.runProcess(func() {
		_, _ = vmConfig{v}.Update(context.Background(), "olga", func(c *topo.Configuration) error {
			c.Accounts = []topo.Account{{Caller: "clinic", Weight: float64(w.marks)}}
			return nil
		})
	})
}

// runToEnd ends all faults and runs the confirmed plans to their end.
func (w *simulation) runToEnd() {
	w.noFaults, w.store.down = true, false
	for _, v := range w.vms {
		v.partitioned, v.suspected = false, false
	}
	for range 200 {
		w.advance(time.Second)
		w.endRequests(100)
		for _, v := range w.vms {
			v.readHead()
			v.gossip = v.revision
			v.tick()
		}
		if len(w.confirmedPlans().Active) == 0 {
			return
		}
	}
	c := w.confirmedPlans().Active[0]
	p := w.planObject(c.Plan)
	w.tb.Fatalf("plan %s does not end: %s at step %d of %v, reason %q, progress %q", c.Plan, p.State, p.NextStep, p.Steps, p.Reason, p.Progress)
}

// checkFinalState checks that no plan has left an unfinished state or a draining mark behind.
func (w *simulation) checkFinalState() {
	drained := map[string]bool{} // upstreams that a plan may leave draining
	for _, n := range w.planNames() {
		p := w.planObject(n)
		if !p.State.Final() && p.State != topo.PlanProposed {
			w.tb.Fatalf("plan %s is %s and no longer in the confirmations", n, p.State)
		}
		for _, s := range p.Steps {
			if s.Kind == topo.StepStopNewWork && (p.State == topo.PlanFailed || p.State == topo.PlanCancelled || p.Intent.Action == topo.ActionDrain) {
				drained[s.Upstream] = drained[s.Upstream] || p.State != topo.PlanCancelled || w.hasProblem(s.Upstream)
			}
		}
	}
	for _, u := range w.store.head().Upstreams {
		if u.State == topo.UpstreamDraining && !drained[u.Name] {
			w.tb.Fatalf("%s is left draining although no plan requires it", u.Name)
		}
	}
}

func (w *simulation) hasProblem(engine string) bool {
	s, _ := topo.Decode[topo.UpstreamStatus](w.store.objects[topo.KindUpstream+"/"+engine].Value)
	return s.Problem != ""
}

// TestStepMachine draws kills, pauses, partitions, lost answers, outages and concurrent operators. It checks after each write
// and each order that no step runs unconfirmed, out of order, twice, unrecorded, or on an engine in use.
func TestStepMachine(t *testing.T) {
	steps, orders, kills, pauses, ended := 0, 0, 0, 0, map[topo.PlanState]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range actionsPerRun {
			w.randomAction()
		}
		w.runToEnd()
		w.checkFinalState()
		steps, orders, kills, pauses = steps+w.actions, orders+w.orders, kills+w.kills, pauses+w.pauses
		for _, n := range w.planNames() {
			ended[w.planObject(n).State]++
		}
	})
	t.Logf("seed %s: %d steps, %d orders, %d kills, %d pauses, plans by end state: %v", flag.Lookup("rapid.seed").Value, steps, orders, kills, pauses, ended)
	if steps < minimumSteps && !t.Failed() {
		t.Errorf("%d steps are fewer than %d", steps, minimumSteps)
	}
	if ended[topo.PlanDone] == 0 || ended[topo.PlanCancelled] == 0 || ended[topo.PlanFailed] == 0 {
		t.Errorf("the run does not reach each end state: %v", ended)
	}
}
