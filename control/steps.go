package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// orderFactor is the multiple of an order's estimated duration in its time limit. The estimate may be too short: the weight
// store's rate is shared with downloads that it does not include.
const orderFactor = 2

// resumeShare is the share of plan.MaxLoadShare below which a held plan resumes. This hysteresis prevents a load close
// to the limit from draining and resuming an upstream repeatedly.
const resumeShare = 0.9

// runStep runs the current step until it ends, waits or fails.
func (x *planRun) runStep(ctx context.Context) (bool, error) {
	p := &x.plan.value
	s := p.Steps[p.NextStep]
	switch s.Kind {
	case topo.StepStopNewWork:
		return x.stopNewWork(ctx, s)
	case topo.StepWaitIdle:
		return x.waitIdle(ctx, s)
	case topo.StepConfigure, topo.StepResumeWork, topo.StepWithdraw:
		return x.changeConfiguration(ctx, s)
	case topo.StepLoadModel, topo.StepUnloadModel, topo.StepLoadAdapter, topo.StepChangeRole:
		return x.runOrder(ctx, s)
	}
	return x.fail(ctx, fmt.Sprintf("unknown step %q", s.Kind), "")
}

// stopNewWork sets the draining mark. The capacity check uses the same configuration revision that the mark is added to, so
// that two plans can't both take capacity that suffices for only one.
func (x *planRun) stopNewWork(ctx context.Context, s topo.Step) (bool, error) {
	if err := x.recordStart(ctx); err != nil {
		return false, err
	}
	held := ""
	revision, err := x.updateConfiguration(ctx, func(now *topo.Configuration) (*topo.Configuration, bool, error) {
		if plan.Find(now, s.Upstream) == nil {
			return nil, false, result.New(result.ObjectNotFound, "upstream %q is no longer in the configuration", s.Upstream)
		}
		if held = x.capacityShortage(ctx, now, s); held != "" {
			return now, false, nil
		}
		next, differs := plan.ApplyStep(now, x.plan.value.Steps, x.plan.value.NextStep)
		return next, differs, nil
	})
	switch {
	case result.CodeOf(err) == result.ObjectNotFound:
		return x.fail(ctx, err.Error(), "")
	case err != nil:
		return false, asStale(err)
	case held != "":
		return x.recordWait(ctx, topo.PlanHeld, held, "")
	}
	x.plan.value.Revision = revision
	x.w.drain = drainState{}
	return x.recordEnd(ctx)
}

// capacityShortage returns the reason why the step's upstream can't be drained now, or "".
func (x *planRun) capacityShortage(ctx context.Context, c *topo.Configuration, s topo.Step) string {
	if s.Before != topo.UpstreamActive {
		return "" // the upstream carries no load
	}
	p := &x.plan.value
	without, _ := plan.ApplyStep(c, []topo.Step{s}, 0)
	loads := x.c.opt.loads(ctx, c, plan.Scope(c, []string{s.Upstream}))
	limit := plan.MaxLoadShare
	if p.State == topo.PlanHeld {
		limit *= resumeShare
	}
	if pool := plan.EmptiedPool(c, s.Upstream); pool != "" && x.removesUpstream() {
		return fmt.Sprintf("%q is the last active upstream of %s, which is in use", s.Upstream, pool)
	}
	if use := plan.WorstUse(without, loads, []string{s.Upstream}); use.Share > limit {
		return fmt.Sprintf("the load of now does not fit without %s: %s", s.Upstream, use)
	}
	return ""
}

// removesUpstream reports whether the plan contains no later step that resumes work on the current step's upstream.
func (x *planRun) removesUpstream() bool {
	p := &x.plan.value
	for _, s := range p.Steps[p.NextStep:] {
		if s.Upstream == p.Steps[p.NextStep].Upstream && s.Kind == topo.StepResumeWork {
			return false
		}
	}
	return true
}

// waitIdle waits until no entry VM sends work to the upstream and the upstream runs none.
func (x *planRun) waitIdle(ctx context.Context, s topo.Step) (bool, error) {
	if err := x.recordStart(ctx); err != nil {
		return false, err
	}
	if moved, again, err := x.recheckDrain(ctx, s); moved || err != nil {
		return again, err
	}
	idle, progress, err := x.isDrained(ctx, s)
	if err != nil {
		return false, err
	}
	if !idle {
		return x.recordWait(ctx, topo.PlanRunning, "", progress)
	}
	return x.recordEnd(ctx)
}

// recheckDrain repeats the checks before a step that needs the drained engine. If the mark is gone, the plan returns to the
// drain step. If the present load does not fit, the plan is held and the upstream returned to use, unless an order has
// changed it. moved means that the step must not continue.
func (x *planRun) recheckDrain(ctx context.Context, s topo.Step) (moved, again bool, err error) {
	c, err := newestConfiguration(ctx, x.c.opt.Configurations)
	if err != nil {
		return false, false, err
	}
	stop := x.drainStep(s.Upstream)
	u := plan.Find(c, s.Upstream)
	if u == nil {
		again, err = x.fail(ctx, fmt.Sprintf("upstream %q is no longer in the configuration", s.Upstream), "")
		return true, again, err
	}
	if plan.StateOf(u) != topo.UpstreamDraining {
		again, err = x.returnToStep(ctx, stop, topo.PlanRunning, "the draining mark was removed; draining again")
		return true, again, err
	}
	loads := x.c.opt.loads(ctx, c, plan.Scope(c, []string{s.Upstream}))
	use := plan.WorstUse(c, loads, []string{s.Upstream})
	if use.Share <= plan.MaxLoadShare || x.plan.value.Steps[stop].Before != topo.UpstreamActive {
		return false, false, nil
	}
	reason := fmt.Sprintf("the load of now does not fit without %s: %s", s.Upstream, use)
	if x.orderEndedSince(stop) {
		again, err = x.recordWait(ctx, topo.PlanHeld, reason, "")
		return true, again, err
	}
	if err := x.restoreUpstreams(ctx, ""); err != nil {
		return true, false, asStale(err)
	}
	_, err = x.returnToStep(ctx, stop, topo.PlanHeld, reason)
	return true, false, err
}

// drainStep returns the index of the last step that drained the upstream, or -1.
func (x *planRun) drainStep(upstream string) int {
	p := &x.plan.value
	for i := min(p.NextStep, len(p.Steps)-1); i >= 0; i-- {
		if p.Steps[i].Kind == topo.StepStopNewWork && p.Steps[i].Upstream == upstream {
			return i
		}
	}
	return -1
}

// orderEndedSince reports whether a step other than wait_idle has ended after step i.
func (x *planRun) orderEndedSince(i int) bool {
	p := &x.plan.value
	for _, s := range p.Steps[i+1 : p.NextStep] {
		if s.Kind != topo.StepWaitIdle {
			return true
		}
	}
	return false
}

func (x *planRun) returnToStep(ctx context.Context, i int, s topo.PlanState, reason string) (bool, error) {
	p := &x.plan.value
	p.NextStep, p.Started, p.Revision, p.Reason, p.Progress = i, false, 0, reason, ""
	x.log("plan returns to an earlier step", zap.String("reason", reason))
	return x.save(ctx, s)
}

// changeConfiguration runs a step that only changes the configuration.
func (x *planRun) changeConfiguration(ctx context.Context, s topo.Step) (bool, error) {
	if err := x.recordStart(ctx); err != nil {
		return false, err
	}
	_, err := x.updateConfiguration(ctx, func(now *topo.Configuration) (*topo.Configuration, bool, error) {
		next, differs := plan.ApplyStep(now, x.plan.value.Steps, x.plan.value.NextStep)
		return next, differs, nil
	})
	if err != nil {
		return false, asStale(err)
	}
	if s.Kind == topo.StepResumeWork {
		if err := x.writeStatus(ctx, topo.UpstreamStatus{Upstream: s.Upstream}); err != nil {
			return false, asStale(err)
		}
	}
	return x.recordEnd(ctx)
}

// runOrder sends an order to a drained engine, unless a former holder has already sent one for this step.
func (x *planRun) runOrder(ctx context.Context, s topo.Step) (bool, error) {
	if err := x.recordStart(ctx); err != nil {
		return false, err
	}
	c, err := newestConfiguration(ctx, x.c.opt.Configurations)
	if err != nil {
		return false, err
	}
	u := plan.Find(c, s.Upstream)
	if u == nil {
		return x.fail(ctx, fmt.Sprintf("upstream %q is no longer in the configuration", s.Upstream), "")
	}
	before, err := x.settledOrder(ctx, *u)
	if err != nil {
		return false, err
	}
	if before != nil {
		return x.recordOrderEnd(ctx, s, *before, nil)
	}
	if s.Kind != topo.StepLoadAdapter { // adapters are loaded while the engine serves
		if moved, again, err := x.recheckDrain(ctx, s); moved || err != nil {
			return again, err
		}
		idle, progress, err := x.isDrained(ctx, s)
		if err != nil {
			return false, err
		}
		if !idle {
			return x.recordWait(ctx, topo.PlanRunning, "", progress)
		}
	}
	o, err := x.c.opt.Runner.Run(ctx, *u, topo.Order{
		Upstream: s.Upstream, Kind: s.Kind, Model: s.Model, Adapter: s.Adapter, Role: s.Role, Plan: x.plan.value.Name,
		Step: x.plan.value.NextStep, LimitMS: int64((orderFactor*s.Duration + x.c.opt.Limits.OrderLimit) / time.Millisecond),
	})
	return x.recordOrderEnd(ctx, s, o, err)
}

// settledOrder settles an order that a former holder left open and returns the order of the current step, or nil. Settling may
// resend the recorded order. This is safe: it was recorded after the drain, and the draining mark stays until it is settled.
func (x *planRun) settledOrder(ctx context.Context, u topo.Upstream) (*topo.Order, error) {
	r, err := read[topo.Order](ctx, x.c.opt.Store, topo.KindOrder, u.Name)
	if err != nil {
		return nil, err
	}
	if r.value.State == topo.OrderOpen {
		if err := x.c.opt.Runner.Settle(ctx, u); err != nil {
			return nil, err
		}
		if r, err = read[topo.Order](ctx, x.c.opt.Store, topo.KindOrder, u.Name); err != nil {
			return nil, err
		}
	}
	p := &x.plan.value
	if r.version == 0 || r.value.Plan != p.Name || r.value.Step != p.NextStep || r.value.State == topo.OrderOpen {
		return nil, nil
	}
	return &r.value, nil
}

// recordOrderEnd records the end of an order. An order that has not ended is checked again at a later tick.
func (x *planRun) recordOrderEnd(ctx context.Context, s topo.Step, o topo.Order, err error) (bool, error) {
	switch o.State {
	case topo.OrderDone:
		return x.recordEnd(ctx)
	case topo.OrderFailed:
	default:
		return false, err
	}
	reason := fmt.Sprintf("%s at %s: %s", s.Kind, s.Upstream, o.Result)
	if err := x.writeProblem(ctx, s.Upstream, reason, o.ID); err != nil {
		return false, asStale(err)
	}
	keep := s.Upstream
	if e := result.From(err); e != nil && e.Code == result.OrderRefused && e.Execution == result.NotRun {
		keep = "" // the engine is unchanged
	}
	return x.fail(ctx, reason, keep)
}
