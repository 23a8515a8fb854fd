package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// RoleOperator is the operator name in plans of the role controller.
const RoleOperator = "role-controller"

// LoadMixSource returns the recent load of a model across the fleet, or false when it is unknown.
type LoadMixSource interface {
	Mix(model string) (policy.Mix, bool)
}

// SlowdownSource returns an upstream's slowdown relative to its specification; 1 is normal.
type SlowdownSource interface {
	Slowdown(upstream string) float64
}

// Roles changes the roles of engines as its planners request. Each model has one controller: the holder of the lease of the
// group that the model's name hashes to. A change is a plan like an operator's, bound to the versions of the objects that
// it was computed from, so that a former controller's plan is refused.
type Roles struct {
	opt        Options
	plans      *Plans
	mix        LoadMixSource
	slow       SlowdownSource // may be nil
	newPlanner func() policy.RolePlanner
	models     map[string]*modelController
}

type modelController struct {
	planner   policy.RolePlanner
	fencing   uint64
	since     time.Time // when this process became the model's controller
	pending   []policy.RoleChange
	requested time.Time // when the planner requested the pending changes
}

// NewRoles returns a Roles. planner returns a new planner for one model.
func NewRoles(o Options, mix LoadMixSource, slow SlowdownSource, planner func() policy.RolePlanner) *Roles {
	o.fill()
	return &Roles{opt: o, plans: NewPlans(o), mix: mix, slow: slow, newPlanner: planner, models: map[string]*modelController{}}
}

// Run plans role changes until ctx ends.
func (r *Roles) Run(ctx context.Context, source func() *topo.Configuration) error {
	t := time.NewTicker(r.opt.Limits.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if c := source(); c != nil {
			r.Tick(ctx, c)
		}
	}
}

// Tick plans the role changes of each model in the configuration once.
func (r *Roles) Tick(ctx context.Context, c *topo.Configuration) {
	for _, m := range c.Models {
		if err := r.planModel(ctx, c, m.Name); err != nil {
			r.opt.Logger.Warn("role change not made", zap.String("model", m.Name), zap.Error(err))
		}
	}
}

// ModelLeaseKey returns the lease key of a model: the holder of the lease of this key's group is the model's role controller.
func ModelLeaseKey(model string) string { return "model/" + model }

func (r *Roles) planModel(ctx context.Context, c *topo.Configuration, model string) error {
	token, err := r.opt.Authority.Check(r.opt.Authority.GroupOf(ModelLeaseKey(model)), r.opt.Limits.LeaseMargin)
	if err != nil {
		delete(r.models, model)
		return nil
	}
	now := r.opt.Clock.Now()
	m := r.models[model]
	if m == nil || m.fencing != token.Fencing {
		m = &modelController{planner: r.newPlanner(), fencing: token.Fencing, since: now}
		r.models[model] = m
	}
	mix, known := r.mix.Mix(model)
	if !known {
		return nil
	}
	active, err := r.opt.readConfirmations(ctx)
	if err != nil {
		return err
	}
	engines, changing := r.engineRoles(ctx, c, model, active.value)
	if changes := m.planner.Plan(now.Sub(m.since), mix, engines); len(changes) > 0 {
		m.pending, m.requested = changes, now
	}
	if now.Sub(m.since) < r.opt.Limits.RoleSettle || now.Sub(m.requested) >= r.opt.Limits.RoleSettle {
		// A new controller does not know when its predecessor last changed a role, so it makes no changes for the time in which a
		// change must pay back. A pending change that has waited for that long may no longer be needed.
		m.pending = nil
	}
	if changing || len(m.pending) == 0 {
		return nil
	}
	next := m.pending[0] // one at a time: each change modifies the base of the others
	m.pending = m.pending[1:]
	return r.confirmChange(ctx, model, next)
}

// engineRoles returns the planner's input for the model's engines, and whether a confirmed plan holds one of them.
func (r *Roles) engineRoles(ctx context.Context, c *topo.Configuration, model string, active topo.Confirmations) ([]policy.EngineRole, bool) {
	var names []string
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if u.Kind != topo.KindService && slices.ContainsFunc(u.Models, func(m string) bool { return plan.ModelName(m) == model }) {
			names = append(names, u.Name)
		}
	}
	held, _ := findHolder(active, names)
	loads := r.opt.loads(ctx, c, names)
	var engines []policy.EngineRole
	for _, n := range names {
		u := plan.Find(c, n)
		if plan.StateOf(u) != topo.UpstreamActive || !loads[n].Reachable {
			continue
		}
		e := policy.EngineRole{Name: n, Spec: *u, Role: plan.RoleOf(u), Running: loads[n].Running, Slowdown: 1}
		if r.slow != nil {
			e.Slowdown = r.slow.Slowdown(n)
		}
		e.Changing = held != nil && slices.Contains(held.Upstreams, n)
		engines = append(engines, e)
	}
	return engines, held != nil
}

// confirmChange proposes and confirms the plan of one role change.
func (r *Roles) confirmChange(ctx context.Context, model string, ch policy.RoleChange) error {
	p, err := r.plans.Propose(ctx, topo.Intent{
		Name: fmt.Sprintf("role-%s-%s", model, ch.Engine), Action: topo.ActionRole, Upstream: ch.Engine, Role: ch.Role, Operator: RoleOperator,
	})
	if err != nil {
		return err
	}
	if !p.Cost.Fits {
		_, err := r.plans.Cancel(ctx, p.Name, RoleOperator) // the planner requests the change again if it is still needed
		return err
	}
	if _, err := r.opt.Authority.Check(r.opt.Authority.GroupOf(ModelLeaseKey(model)), r.opt.Limits.LeaseMargin); err != nil {
		return err
	}
	_, err = r.plans.Confirm(ctx, p.Name, RoleOperator)
	if err == nil {
		r.opt.Logger.Info("role change", zap.String("plan", p.Name), zap.String("engine", ch.Engine), zap.String("role", string(ch.Role)), zap.String("reason", ch.Reason))
	}
	return err
}
