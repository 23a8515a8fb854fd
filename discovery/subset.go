package discovery

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/topo"
)

// Subset returns the upstreams that an entry VM uses, in the order of the list: for each model and role and each service
// the perGroup upstreams with the highest hash of VM and upstream (rendezvous hashing). A perGroup of 0 means all. The
// result does not depend on other entry VMs, and adding or removing an upstream changes at most one upstream of a group.
func Subset(vm string, list []topo.Upstream, perGroup int) []topo.Upstream {
	if perGroup <= 0 || len(list) <= perGroup {
		return list
	}
	groups := map[string][]ranked{}
	for i, u := range list {
		r := ranked{i, xxhash.Sum64String(vm + "\x00" + u.Name)}
		for _, g := range groupsOf(u) {
			groups[g] = append(groups[g], r)
		}
	}
	chosen := make([]bool, len(list))
	for _, g := range groups {
		slices.SortFunc(g, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
		for _, r := range g[:min(perGroup, len(g))] {
			chosen[r.index] = true
		}
	}
	var out []topo.Upstream
	for i, u := range list {
		if chosen[i] {
			out = append(out, u)
		}
	}
	return out
}

// ranked is the index of an upstream with its hash.
type ranked struct {
	index int
	hash  uint64
}

// groupsOf returns the sets of interchangeable upstreams to which u belongs. A withdrawn upstream belongs to none, so that
// it does not displace another one from the subset.
func groupsOf(u topo.Upstream) []string {
	if u.State == topo.UpstreamWithdrawn {
		return nil
	}
	if u.Kind == topo.KindService {
		return []string{"s:" + u.Service}
	}
	var out []string
	for _, m := range u.Models {
		out = append(out, "m:"+m+":"+string(u.Role))
	}
	return out
}
