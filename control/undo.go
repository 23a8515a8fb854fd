package control

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/topo"
)

// cancel ends a plan after its current step. It settles a recorded order first, and then removes the plan's draining marks.
func (x *planRun) cancel(ctx context.Context) (bool, error) {
	p := &x.plan.value
	o, err := x.currentOrder(ctx)
	if err != nil {
		return false, err
	}
	keep := ""
	switch {
	case o == nil:
	case o.State == topo.OrderDone:
		p.NextStep++
		p.Started = false
		if _, err := x.save(ctx, topo.PlanCancelling); err != nil {
			return false, err
		}
	default:
		keep = o.Upstream
		if err := x.writeProblem(ctx, keep, fmt.Sprintf("%s failed: %s", o.Kind, o.Result), o.ID); err != nil {
			return false, asStale(err)
		}
	}
	if err := x.restoreUpstreams(ctx, keep); err != nil {
		return false, asStale(err)
	}
	p.Reason = "cancelled by " + p.CancelledBy
	x.log("plan cancelled")
	return x.save(ctx, topo.PlanCancelled)
}

// currentOrder returns the settled order of the current step, or nil if the step is no order step or no order was recorded.
func (x *planRun) currentOrder(ctx context.Context) (*topo.Order, error) {
	p := &x.plan.value
	if !p.Started || p.NextStep >= len(p.Steps) || !isOrder(p.Steps[p.NextStep]) {
		return nil, nil
	}
	c, err := newestConfiguration(ctx, x.c.opt.Configurations)
	if err != nil {
		return nil, err
	}
	u := plan.Find(c, p.Steps[p.NextStep].Upstream)
	if u == nil {
		return nil, nil
	}
	return x.settledOrder(ctx, *u)
}

func isOrder(s topo.Step) bool {
	switch s.Kind {
	case topo.StepLoadModel, topo.StepUnloadModel, topo.StepLoadAdapter, topo.StepChangeRole:
		return true
	}
	return false
}

// restoreUpstreams restores the former state of the upstreams that the plan has drained, and keeps the changes of finished
// orders. The upstream named keep stays drained.
func (x *planRun) restoreUpstreams(ctx context.Context, keep string) error {
	p := &x.plan.value
	_, err := x.updateConfiguration(ctx, func(now *topo.Configuration) (*topo.Configuration, bool, error) {
		next, differs := plan.Clone(now), false
		for name, before := range x.drainedUpstreams() {
			u := plan.Find(next, name)
			if u == nil || name == keep || plan.StateOf(u) != topo.UpstreamDraining {
				continue
			}
			plan.ApplyOrders(now, u, p.Steps[:min(p.NextStep, len(p.Steps))])
			u.State = before
			differs = differs || before != topo.UpstreamDraining
		}
		return next, differs, nil
	})
	return err
}

// drainedUpstreams returns the upstreams that the plan has drained and not returned to use, with their state before the drain.
// The current step counts, since its mark may have been set before its end was recorded.
func (x *planRun) drainedUpstreams() map[string]topo.UpstreamState {
	p := &x.plan.value
	marks := map[string]topo.UpstreamState{}
	for i, s := range p.Steps {
		if i > p.NextStep || i == p.NextStep && !p.Started {
			break
		}
		switch {
		case s.Kind == topo.StepStopNewWork:
			marks[s.Upstream] = s.Before
		case i < p.NextStep && (s.Kind == topo.StepResumeWork || s.Kind == topo.StepWithdraw):
			delete(marks, s.Upstream)
		}
	}
	return marks
}

// fail ends a plan with a reason. An engine whose order failed stays drained until an operator has inspected it.
func (x *planRun) fail(ctx context.Context, reason, engine string) (bool, error) {
	if err := x.restoreUpstreams(ctx, engine); err != nil {
		return false, asStale(err)
	}
	x.plan.value.Reason = reason
	x.log("plan failed", zap.String("reason", reason))
	return x.save(ctx, topo.PlanFailed)
}

// writeProblem records a problem of an engine for the operator.
func (x *planRun) writeProblem(ctx context.Context, engine, reason, order string) error {
	return x.writeStatus(ctx, topo.UpstreamStatus{Upstream: engine, Problem: reason, Order: order})
}

// writeStatus writes the status of an upstream if its order or the presence of a problem has changed. It writes nothing if
// there was no problem before and is none now.
func (x *planRun) writeStatus(ctx context.Context, want topo.UpstreamStatus) error {
	want.Plan, want.Author, want.Since = x.plan.value.Name, x.c.opt.Self, x.c.opt.Clock.Now()
	r, err := read[topo.UpstreamStatus](ctx, x.c.opt.Store, topo.KindUpstream, want.Upstream)
	if err != nil {
		return err
	}
	same := r.value.Order == want.Order && (r.value.Problem == "") == (want.Problem == "")
	if same || want.Problem == "" && r.value.Problem == "" {
		return nil
	}
	r.value = want
	_, err = write(ctx, &x.c.opt, topo.KindUpstream, want.Upstream, r, nil)
	return err
}
