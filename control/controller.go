package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

var (
	stepsDone  = metrics.NewCounter("bergamot_plan_steps_total")
	plansHeld  = metrics.NewCounter("bergamot_plans_held_total")
	plansEnded = map[topo.PlanState]*metrics.Counter{
		topo.PlanDone:      metrics.NewCounter(`bergamot_plans_ended_total{state="done"}`),
		topo.PlanCancelled: metrics.NewCounter(`bergamot_plans_ended_total{state="cancelled"}`),
		topo.PlanFailed:    metrics.NewCounter(`bergamot_plans_ended_total{state="failed"}`),
	}
)

// Controller runs the plan steps of upstreams whose group's lease this entry VM holds.
type Controller struct {
	opt   Options
	plans *Plans

	mu        sync.Mutex
	progress  map[string]*planProgress // by plan
	wake      chan struct{}
	lastPrune time.Time
	wg        sync.WaitGroup
}

// planProgress is the in-memory state of a plan between two ticks. Losing it costs only time: a successor restarts the waits.
type planProgress struct {
	busy              bool
	drain             drainState
	lastProgressWrite time.Time // of a progress text
}

// NewController returns a Controller.
func NewController(o Options) *Controller {
	o.fill()
	return &Controller{opt: o, plans: NewPlans(o), progress: map[string]*planProgress{}, wake: make(chan struct{}, 1)}
}

// Wake makes Run process the confirmed plans at once.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run processes the confirmed plans until ctx ends, and returns once no step is running.
func (c *Controller) Run(ctx context.Context) error {
	defer c.wg.Wait()
	t := time.NewTicker(c.opt.Limits.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-c.wake:
		}
		c.startPlans(ctx)
		c.prune(ctx)
	}
}

// startPlans starts one goroutine for each confirmed plan that is not being processed.
func (c *Controller) startPlans(ctx context.Context) {
	for _, e := range c.confirmedPlans(ctx) {
		w, free := c.acquire(e.Plan)
		if !free {
			continue
		}
		c.wg.Go(func() {
			defer c.release(w)
			c.advance(ctx, e, w)
		})
	}
}

// Tick processes the confirmed plans once and returns when none can advance further. Tests use it instead of Run.
func (c *Controller) Tick(ctx context.Context) {
	for _, e := range c.confirmedPlans(ctx) {
		if w, free := c.acquire(e.Plan); free {
			c.advance(ctx, e, w)
			c.release(w)
		}
	}
}

// confirmedPlans returns the confirmed plans, or nil when this VM holds no group: only holders read the store.
func (c *Controller) confirmedPlans(ctx context.Context) []topo.Confirmation {
	if len(c.opt.Authority.Groups()) == 0 {
		return nil
	}
	r, err := c.opt.readConfirmations(ctx)
	if err != nil {
		c.opt.Logger.Warn("confirmed plans not read", zap.Error(err))
		return nil
	}
	c.dropInactive(r.value)
	return r.value.Active
}

// dropInactive removes the in-memory state of plans that are no longer active.
func (c *Controller) dropInactive(active topo.Confirmations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, w := range c.progress {
		if !w.busy && findConfirmation(active, name) == nil {
			delete(c.progress, name)
		}
	}
}

func (c *Controller) acquire(name string) (*planProgress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.progress[name]
	if w == nil {
		w = &planProgress{}
		c.progress[name] = w
	}
	if w.busy {
		return nil, false
	}
	w.busy = true
	return w, true
}

func (c *Controller) release(w *planProgress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.busy = false
}

// maxSteps bounds the steps of one plan in one tick, in case concurrent writers or a fault make a step repeat without end.
const maxSteps = 100

// errStale means that the plan object must be read again, since a write to it conflicted or had an unknown outcome.
var errStale = errors.New("the plan has to be read again")

// advance runs steps of a plan until one has to wait, fails or belongs to another holder.
func (c *Controller) advance(ctx context.Context, e topo.Confirmation, w *planProgress) {
	for range maxSteps {
		again, err := c.step(ctx, e, w)
		if errors.Is(err, errStale) {
			again, err = true, nil
		}
		if err != nil {
			c.opt.Logger.Warn("plan does not advance", zap.String("plan", e.Plan), zap.Error(err))
		}
		if !again || err != nil || ctx.Err() != nil {
			return
		}
	}
}

// planRun is one pass over a plan by the holder of the current step's group.
type planRun struct {
	c     *Controller
	w     *planProgress
	plan  record[topo.Plan]
	token lease.Token
}

// step reads the plan and performs its next action. again means that a further action may be possible at once.
func (c *Controller) step(ctx context.Context, e topo.Confirmation, w *planProgress) (again bool, err error) {
	r, err := c.plans.get(ctx, e.Plan)
	if result.CodeOf(err) == result.PlanNotFound {
		return false, c.opt.releasePlan(ctx, e.Plan)
	}
	if err != nil {
		return false, err
	}
	token, err := c.checkLease(&r.value)
	if err != nil {
		return false, nil // another VM holds the group of the current step
	}
	x := &planRun{c: c, w: w, plan: r, token: token}
	switch {
	case r.value.State.Final():
		return false, c.opt.releasePlan(ctx, e.Plan)
	case r.value.State == topo.PlanProposed:
		x.plan.value.ConfirmedBy, x.plan.value.ConfirmMark = e.Operator, e.Mark
		return x.save(ctx, topo.PlanConfirmed)
	case r.value.State == topo.PlanCancelling:
		return x.cancel(ctx)
	case r.value.NextStep >= len(r.value.Steps):
		return x.save(ctx, topo.PlanDone)
	case r.value.NextStep == 0 && !r.value.Started:
		if err := c.plans.checkBases(ctx, &r.value); err != nil {
			return x.failIfBaseMoved(ctx, err)
		}
	}
	again, err = x.runStep(ctx)
	if err != nil && !errors.Is(err, errStale) && result.CodeOf(err) != result.LeaseLost {
		_, _ = x.recordWait(ctx, x.plan.value.State, x.plan.value.Reason, result.From(err).Message) // err is logged
	}
	return again, err
}

// checkLease returns the lease token of the group that is responsible for the current step: the group of the step's upstream. A
// step without an upstream belongs to the group of the plan's first upstream, and so does a plan that has ended.
func (c *Controller) checkLease(p *topo.Plan) (lease.Token, error) {
	return c.opt.Authority.Check(c.opt.Authority.GroupOf(leaseKey(p)), c.opt.Limits.LeaseMargin)
}

func leaseKey(p *topo.Plan) string {
	if i := p.NextStep; i < len(p.Steps) && p.Steps[i].Upstream != "" {
		return p.Steps[i].Upstream
	}
	if names := p.Upstreams(); len(names) > 0 {
		return names[0]
	}
	return p.Name
}

// save writes the plan with a new state. A conflict or an unknown outcome returns errStale.
func (x *planRun) save(ctx context.Context, s topo.PlanState) (again bool, err error) {
	p := &x.plan.value
	p.State, p.Updated = s, x.c.opt.Clock.Now()
	p.Holder, p.Fencing = x.c.opt.Self, x.token.Fencing
	version, err := write(ctx, &x.c.opt, topo.KindPlan, p.Name, x.plan, nil)
	if err != nil {
		return false, asStale(err)
	}
	x.plan.version = version
	if s.Final() {
		plansEnded[s].Inc()
	}
	return true, nil
}

// asStale returns errStale for an error after which the object must be read again, and err otherwise.
func asStale(err error) error {
	if needsReread(err) {
		return errStale
	}
	return err
}

// recordStart records that the current step has begun, before any of its effects.
func (x *planRun) recordStart(ctx context.Context) error {
	p := &x.plan.value
	s := topo.PlanRunning
	if p.State == topo.PlanHeld {
		s = topo.PlanHeld // until the load is known to fit
	}
	if p.Started && p.State == s && p.Holder == x.c.opt.Self && p.Fencing == x.token.Fencing {
		return nil
	}
	p.Started, p.Progress = true, ""
	_, err := x.save(ctx, s)
	return err
}

// recordEnd records that the current step has ended.
func (x *planRun) recordEnd(ctx context.Context) (bool, error) {
	p := &x.plan.value
	s := p.Steps[p.NextStep]
	p.NextStep++
	p.Started, p.Reason, p.Progress = false, "", ""
	stepsDone.Inc()
	if p.NextStep == len(p.Steps) {
		x.log("plan done")
		return x.save(ctx, topo.PlanDone)
	}
	x.log("step done", zap.String("step", string(s.Kind)), zap.String("upstream", s.Upstream))
	return x.save(ctx, topo.PlanRunning)
}

// failIfBaseMoved fails a plan whose bases moved between its confirmation and its first step. Other errors leave the plan
// unchanged.
func (x *planRun) failIfBaseMoved(ctx context.Context, err error) (bool, error) {
	if result.CodeOf(err) != result.PlanBaseMoved {
		return false, err
	}
	x.plan.value.Reason = err.Error()
	x.log("plan refused", zap.Error(err))
	return x.save(ctx, topo.PlanFailed)
}

// recordWait writes the reason why a plan waits, at most once in ProgressEvery unless the plan's state changes.
func (x *planRun) recordWait(ctx context.Context, s topo.PlanState, reason, progress string) (bool, error) {
	p := &x.plan.value
	now := x.c.opt.Clock.Now()
	if p.Reason == reason && p.Progress == progress && p.State == s {
		return false, nil
	}
	if p.State == s && now.Sub(x.w.lastProgressWrite) < x.c.opt.Limits.ProgressEvery {
		return false, nil
	}
	if p.State != s {
		if s == topo.PlanHeld {
			plansHeld.Inc()
		}
		x.log("plan waits", zap.String("state", string(s)), zap.String("reason", reason))
	}
	x.w.lastProgressWrite = now
	p.Reason, p.Progress = reason, progress
	_, err := x.save(ctx, s)
	return false, err
}

func (x *planRun) log(event string, f ...zap.Field) {
	x.c.opt.Logger.Info(event, append(f, zap.String("plan", x.plan.value.Name), zap.Uint64("fencing", x.token.Fencing))...)
}

// updateConfiguration changes the configuration unless another holder has taken the plan over. The plan is read after the head
// that the change is based on: a successor changes first the plan and then the head, so that the conditional write of
// a former holder fails.
func (x *planRun) updateConfiguration(ctx context.Context, change func(*topo.Configuration) (*topo.Configuration, bool, error)) (uint64, error) {
	var current uint64
	author := "plan " + x.plan.value.Name + " (" + x.plan.value.ConfirmedBy + ")"
	revision, err := x.c.opt.Configurations.Update(ctx, author, func(now *topo.Configuration) error {
		r, err := x.c.plans.get(ctx, x.plan.value.Name)
		if err != nil {
			return err
		}
		if r.version != x.plan.version {
			return result.New(result.StoreConflict, "plan %s has moved on", x.plan.value.Name)
		}
		next, differs, err := change(now)
		if err != nil {
			return err
		}
		if !differs {
			current = now.Revision
			return errReadOnly
		}
		*now = *next
		return nil
	})
	if err != nil && current != 0 {
		return current, nil
	}
	return revision, err
}
