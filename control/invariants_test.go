package control

import (
	"fmt"
	"strings"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

func (w *simulation) confirmedPlans() topo.Confirmations {
	o, ok := w.store.objects[topo.KindConfirmations+"/"+topo.ConfirmationsName]
	if !ok {
		return topo.Confirmations{}
	}
	c, _ := topo.Decode[topo.Confirmations](o.Value)
	return c
}

func (w *simulation) planObject(name string) topo.Plan {
	p, _ := topo.Decode[topo.Plan](w.store.objects[topo.KindPlan+"/"+name].Value)
	return p
}

// checkOrder checks the invariants of an order at the moment when it reaches the engine.
func (w *simulation) checkOrder(v *vm, o topo.Order) {
	e, p := w.engines[o.Upstream], w.planObject(o.Plan)
	rec, _ := topo.Decode[topo.Order](w.store.objects[topo.KindOrder+"/"+o.Upstream].Value)
	fail := func(format string, args ...any) {
		w.tb.Helper()
		w.tb.Fatalf("order %s of plan %s step %d to %s by %s: %s", o.Kind, o.Plan, o.Step, o.Upstream, v.name, fmt.Sprintf(format, args...))
	}
	switch {
	case findConfirmation(w.confirmedPlans(), o.Plan) == nil:
		fail("the plan is not confirmed")
	case p.State.Final():
		fail("the plan is %s", p.State)
	case p.NextStep != o.Step || !p.Started:
		fail("the plan object is at step %d, started %v", p.NextStep, p.Started)
	case rec.ID != o.ID || rec.State != topo.OrderOpen:
		fail("the order is not recorded")
	case w.now.Before(e.busyUntil):
		fail("the engine still works on order %s", e.last.OrderID)
	case o.Fencing < e.last.Fencing:
		fail("fencing number %d after %d", o.Fencing, e.last.Fencing)
	case e.completed[fmt.Sprintf("%s/%d", o.Plan, o.Step)] > 0:
		fail("the engine has done this step before")
	case o.Kind == topo.StepLoadAdapter:
		return
	}
	if n := e.running(w.now, true); n > 0 {
		fail("%d requests are running", n)
	}
	for _, x := range w.vms {
		if u := plan.Find(x.configuration(), o.Upstream); x.acceptsWork() && plan.StateOf(u) == topo.UpstreamActive {
			fail("%s may still send it work", x.name)
		}
	}
}

// checkConfigurationWrite checks the invariants of a configuration change that is made for a plan.
func (w *simulation) checkConfigurationWrite(v *vm, before, after *topo.Configuration) {
	name, ok := strings.CutPrefix(after.Author, "plan ")
	if !ok || w.store.objects[topo.KindConfiguration+"/head"].Version != before.Revision {
		return // an operator's change, or a write that the store refuses
	}
	name, _, _ = strings.Cut(name, " ")
	if p := w.planObject(name); p.State.Final() || findConfirmation(w.confirmedPlans(), name) == nil {
		w.tb.Fatalf("%s changes the configuration for plan %s, which is %s", v.name, name, p.State)
	}
	p := w.planObject(name)
	for _, u := range after.Upstreams {
		if old := plan.Find(before, u.Name); plan.StateOf(old) != topo.UpstreamActive || u.State != topo.UpstreamDraining {
			continue
		}
		streams, room := 0, 0
		for _, o := range after.Upstreams {
			streams += w.engines[o.Name].running(w.now.Add(-w.engines[o.Name].lag), false)
			if plan.StateOf(&o) == topo.UpstreamActive {
				room += o.MaxBatch
			}
		}
		if float64(streams) > plan.MaxLoadShare*float64(room) {
			w.tb.Fatalf("plan %s drains %s while %d streams run and the other upstreams have room for %d", name, u.Name, streams, room)
		}
		if room == 0 && (p.Intent.Action == topo.ActionDrain || p.Intent.Action == topo.ActionReplace) {
			w.tb.Fatalf("plan %s drains the last engine", name)
		}
	}
}

// checkPlanWrite checks the invariants of each change of a plan object.
func (w *simulation) checkPlanWrite(before, after store.Object) {
	b, _ := topo.Decode[topo.Plan](after.Value)
	if before.Version == 0 {
		return
	}
	a, _ := topo.Decode[topo.Plan](before.Value)
	switch {
	case a.State.Final():
		w.tb.Fatalf("plan %s is %s and is written again as %s", a.Name, a.State, b.State)
	case a.State == topo.PlanCancelling && b.State != topo.PlanCancelling && b.State != topo.PlanCancelled:
		w.tb.Fatalf("cancelled plan %s goes on as %s", a.Name, b.State)
	case a.State == topo.PlanProposed && b.State != topo.PlanConfirmed && b.State != topo.PlanCancelled && b.State != topo.PlanCancelling:
		w.tb.Fatalf("plan %s goes from proposed to %s", a.Name, b.State)
	case b.State == topo.PlanConfirmed && findConfirmation(w.confirmedPlans(), a.Name) == nil:
		w.tb.Fatalf("plan %s has the state confirmed without a confirmation", a.Name)
	case b.NextStep > a.NextStep+1, b.NextStep == a.NextStep+1 && !a.Started:
		w.tb.Fatalf("plan %s goes from step %d (started %v) to %d", a.Name, a.NextStep, a.Started, b.NextStep)
	case b.NextStep < a.NextStep && b.Steps[b.NextStep].Kind != topo.StepStopNewWork:
		w.tb.Fatalf("plan %s goes back from step %d to %d", a.Name, a.NextStep, b.NextStep)
	}
}
