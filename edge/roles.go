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
	// leaseTerm is above the platform's lease bound, within which the holder must not change: 3 s in current
	// deployments.
	leaseTerm = 10 * time.Second
	// roleGroup is the only lease group: one entry VM sends all orders.
	roleGroup = 0
	// handOverMargin covers an order of the previous holder that was still in flight.
	handOverMargin = time.Second
	// leaseCandidates is the number of entry VMs that watch the lease in addition to its holder.
	leaseCandidates = 2
)

// buildRoles creates the lease, and the controllers of the engines' roles and of the number of servers.
func (e *Edge) buildRoles() error {
	clock := store.BootClock{}
	leases := lease.New(lease.Options{
		Store: e.objects, Members: e.list, Name: e.settings.VM, Incarnation: e.boot, Groups: 1, Term: max(leaseTerm, 3*e.settings.Bounds.Lease),
		Candidates: leaseCandidates, Era: e.objects.Era, Clock: clock, Logger: e.log,
	})
	orders := platform.OrderClient{Pool: e.pool, OnAnswer: e.front.ApplyAvailability}
	control := roles.New(roles.Options{
		Lease: leases, Group: roleGroup, Holder: e.settings.VM, Engines: e.engines, Inspect: orders.Inspect, Send: orders.Send,
		Clock: clock, Log: e.log, HandOverPause: e.settings.Bounds.Lease + handOverMargin,
	})
	e.addActor("lease", leases.Run)
	e.addActor("roles", control.Run)
	return e.buildScaling(leases, roleGroup, e.settings.Bounds.Lease+handOverMargin)
}

// engines returns the engines with their load, or nil if the gateway has stopped.
func (e *Edge) engines() []roles.Engine {
	s := e.catalog.State()
	loads, quiet, limited := map[string]float64{}, map[string]bool{}, map[string]bool{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.gateway.Do(ctx, func(_ time.Duration, sched *scheduler.Scheduler) {
		for _, u := range sched.Fleet().Upstreams {
			loads[u.Spec.Name] = float64(u.OwnRunning + u.OtherRunning())
			quiet[u.Spec.Name], limited[u.Spec.Name] = u.Quiet, u.Limited
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
			Limited: limited[u.Name], Load: loads[u.Name], Group: reclaimGroup(&s, x),
		})
	}
	return out
}
