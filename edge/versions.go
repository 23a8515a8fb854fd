package edge

import (
	"maps"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/versions"
)

// buildVersions creates the keeper of the plans for software versions.
func (e *Edge) buildVersions() {
	e.versions = versions.New(versions.Options{
		Store: e.objects, Rank: e.planRank, OnStart: func(s versions.Start) { e.loads.QueueStart(s) }, OnPlans: e.catalog.SetPlans,
		InMajority: e.inMajority, LostWithin: e.lostWithin, Confirmed: func(revision uint64) bool { return e.loads.PlansConfirmed(revision) }, AwaitEraChange: e.objects.AwaitEraChange, Clock: store.BootClock{}, Log: e.log,
	})
	e.addActor("versions", e.versions.Run)
}

// inMajority reports whether this entry VM has lost the store and still reaches more than half of the entry VMs.
func (e *Edge) inMajority() bool {
	reachable, known := e.list.Reachable()
	return e.catalog.StoreLost() && 2*reachable > known
}

// lostWithin reports whether an entry VM has been lost in this time and is not reached again.
func (e *Edge) lostWithin(d time.Duration) bool {
	return slices.ContainsFunc(e.list.Members(), func(m membership.Member) bool {
		return (m.State == membership.Uncertain || m.Suspect) && time.Since(m.Since) < d
	})
}

// planRank returns the position of this entry VM among those that may write the plans for versions. VMs that get their state
// from a watcher get the plans from it, too.
func (e *Edge) planRank() int {
	if e.catalog.Following() {
		return -1
	}
	rank := 0
	for _, m := range e.list.Members() {
		if m.State == membership.Alive && !m.Suspect && m.Name < e.settings.VM {
			rank++
		}
	}
	return rank
}

// streamLifetimeFactor is the longest time for which a stream can be taken up, in time limits of its route: an attempt that
// takes it up begins within the time limit of the first one.
const streamLifetimeFactor = 2

// streamServices returns what the keeper of plans has to know of the services with resumable streams.
func streamServices(s *catalog.State) map[string]versions.Service {
	if s.Table == nil {
		return nil
	}
	out := map[string]versions.Service{}
	for i := range s.Table.Routes {
		r := &s.Table.Routes[i]
		if r.Kind != routes.Stream || !r.Resumable {
			continue
		}
		for _, split := range r.Splits {
			v := out[split.Service]
			v.Lifetime = max(v.Lifetime, streamLifetimeFactor*r.Timeout)
			out[split.Service] = v
		}
	}
	for name, v := range out {
		v.Serving, v.Unversioned = servingByVersion(s, name)
		out[name] = v
	}
	return out
}

// servingByVersion counts the upstreams of a service by version that are not leaving. Versions of which no upstream generates
// output are left out, unless none does.
func servingByVersion(s *catalog.State, service string) (serving map[string]int, unversioned int) {
	serving = map[string]int{}
	generates := map[string]bool{}
	for i := range s.Entries {
		x := &s.Entries[i]
		if x.Service != service || x.Leaving {
			continue
		}
		if x.Role != topo.RolePrefill {
			generates[x.Version] = true
		}
		if x.Version == "" {
			unversioned++
			continue
		}
		serving[x.Version]++
	}
	if len(generates) > 0 {
		maps.DeleteFunc(serving, func(version string, _ int) bool { return !generates[version] })
	}
	return serving, unversioned
}
