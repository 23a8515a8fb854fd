package edge

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/roles"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
)

const (
	// leaseTerm is above the time within which holders must not take turns, which is 3 s on today's deployments.
	leaseTerm = 10 * time.Second
	// roleGroup is the only lease: one entry VM gives all orders.
	roleGroup = 0
	// turnMargin covers an order of the last holder that was under way.
	turnMargin = time.Second
	// leaseCandidates watch the lease beside its holder.
	leaseCandidates = 2
)

// buildRoles makes the control of engines' roles.
func (e *Edge) buildRoles() {
	clock := store.BootClock{}
	leases := lease.New(lease.Options{
		Store: e.objects, Members: e.list, Name: e.set.VM, Incarnation: e.boot, Groups: 1, Term: max(leaseTerm, 3*e.set.Bounds.Lease),
		Candidates: leaseCandidates, Clock: clock, Logger: e.log,
	})
	orders := platform.Orders{Pool: e.pool, Heard: e.front.ApplyAvailability}
	control := roles.New(roles.Options{
		Lease: leases, Group: roleGroup, Holder: e.set.VM, Engines: e.engines, Inspect: orders.Inspect, Send: orders.Send,
		Clock: clock, Log: e.log, TurnPause: e.set.Bounds.Lease + turnMargin,
	})
	e.addContext("lease", leases.Run)
	e.addContext("roles", control.Run)
}

// engines lists the engines with their load.
func (e *Edge) engines() []roles.Engine {
	s := e.catalog.State()
	loads, quiet := map[string]float64{}, map[string]bool{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.gateway.Do(ctx, func(_ time.Duration, sched *scheduler.Scheduler) {
		for _, u := range sched.Fleet().Upstreams {
			loads[u.Spec.Name], quiet[u.Spec.Name] = float64(u.OwnRunning+u.OtherRunning()), u.Quiet
		}
	})
	if err != nil {
		return nil // the gateway has stopped
	}
	var out []roles.Engine
	for i := range s.Entries {
		x := &s.Entries[i]
		u, ok := upstreamOf(&s, x)
		if !ok || len(u.Models) == 0 {
			continue
		}
		out = append(out, roles.Engine{
			Name: u.Name, Set: x.Service, Address: x.Address, Instance: x.ID, Role: x.Role, Leaving: x.Leaving || quiet[u.Name],
			Load: loads[u.Name],
		})
	}
	return out
}
