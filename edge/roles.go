package edge

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/roles"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
)

// buildRoles creates the controller of the engines' roles.
func (e *Edge) buildRoles() *roles.Controller {
	orders := platform.OrderClient{Pool: e.pool, OnAnswer: e.front.ApplyAvailability}
	control := roles.New(roles.Options{
		Lease: e.duties.lease, Group: dutyGroup, Holder: e.settings.VM, Engines: e.engines, Inspect: orders.Inspect, Send: orders.Send,
		Clock: store.BootClock{}, Log: e.log, HandOverPause: e.handOverPause(),
	})
	e.addActor("roles", control.Run)
	return control
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
			Limited: limited[u.Name], StrictPace: u.StrictPace, Load: loads[u.Name], Group: reclaimGroup(&s, x),
		})
	}
	return out
}
