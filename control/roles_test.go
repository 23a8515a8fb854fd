package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// flippingPlanner requests the opposite role for the first engine on each call.
type flippingPlanner struct{}

func (flippingPlanner) Plan(_ time.Duration, _ policy.Mix, engines []policy.EngineRole) []policy.RoleChange {
	if engines[0].Role == topo.RoleBoth {
		return []policy.RoleChange{{Engine: engines[0].Name, Role: topo.RoleDecode}}
	}
	return []policy.RoleChange{{Engine: engines[0].Name, Role: topo.RoleBoth}}
}

type knownMix struct{}

func (knownMix) Mix(string) (policy.Mix, bool) { return policy.Mix{}, true }

// Guards against two role controllers that alternately reverse each other's changes: only the holder of the model's lease may
// act, a new holder first makes no changes, and one change ends before the next begins.
func TestRoleControllersDoNotFlap(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	var roles []*Roles
	for _, v := range w.vms {
		roles = append(roles, NewRoles(v.controller.opt, knownMix{}, nil, func() policy.RolePlanner { return flippingPlanner{} }))
	}
	group := &w.leases[vmLease{}.GroupOf(ModelLeaseKey("m1"))]
	run := func(seconds int) {
		for range seconds {
			w.ticks(1, time.Second)
			for _, r := range roles {
				r.Tick(background, w.store.head())
			}
			is.True(len(w.confirmedPlans().Active) <= 1)
		}
	}
	run(59)
	is.Equal(len(w.planNames()), 0) // the new controller makes no changes yet
	run(5)
	is.Equal(len(w.planNames()), 1)
	is.Equal(w.planObject(w.planNames()[0]).Operator, RoleOperator)
	w.runToEnd()
	made := len(w.planNames())
	group.holder, group.fencing = w.vms[4], group.fencing+1
	run(50)
	is.Equal(len(w.planNames()), made) // the next holder makes no changes yet
}

// twoChangePlanner requests two changes once.
type twoChangePlanner struct{ asked *bool }

func (p twoChangePlanner) Plan(now time.Duration, _ policy.Mix, _ []policy.EngineRole) []policy.RoleChange {
	if *p.asked || now < DefaultLimits.RoleSettle {
		return nil
	}
	*p.asked = true
	return []policy.RoleChange{{Engine: "e1", Role: topo.RoleDecode}, {Engine: "e2", Role: topo.RoleDecode}}
}

// Two changes that a planner requests together must both be made, one after another.
func TestRoleChangesFollowOneAnother(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t)
	asked := false
	r := NewRoles(w.vms[0].controller.opt, knownMix{}, nil, func() policy.RolePlanner { return twoChangePlanner{&asked} })
	for range 100 {
		w.ticks(1, time.Second)
		r.Tick(background, w.store.head())
		is.True(len(w.confirmedPlans().Active) <= 1)
	}
	is.Equal(plan.RoleOf(&w.store.head().Upstreams[0]), topo.RoleDecode)
	is.Equal(plan.RoleOf(&w.store.head().Upstreams[1]), topo.RoleDecode)
	is.Equal(len(w.planNames()), 2)
}
