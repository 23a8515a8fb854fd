// Package routing picks the upstream for a request.
//
// Invariants: a choice is an accepting upstream that serves the request; Route allocates no memory; its cost grows with
// the number of sampled candidates, not with prefix lookups over the whole fleet.
package routing

import (
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

func init() {
	kernel.Register(&RoundRobin{})
	kernel.Register(&PrefixAffinity{})
}

// RoundRobin uses the accepting upstreams in turn. It is the naive baseline.
type RoundRobin struct {
	next map[string]int
}

// ModuleInfo implements kernel.Module.
func (*RoundRobin) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "routing.round_robin", New: func() kernel.Module { return &RoundRobin{} }}
}

// Provision implements kernel.Provisioner.
func (p *RoundRobin) Provision() error {
	p.next = map[string]int{}
	return nil
}

// Route implements policy.Router.
func (p *RoundRobin) Route(_ time.Duration, r *policy.Request, f *policy.Fleet) policy.Choice {
	list := f.Candidates(r)
	c := policy.Choice{Prefill: p.nextUpstream(r.Model+r.Service, topo.RoleDecode, r, list, f)}
	c.Decode = c.Prefill
	if c.Prefill == policy.None || f.Upstreams[c.Prefill].Role != topo.RolePrefill {
		return c
	}
	if c.Decode = p.nextUpstream("decode:"+r.Model, topo.RolePrefill, r, list, f); c.Decode == policy.None {
		c.Prefill = policy.None
	}
	return c
}

// nextUpstream returns the next upstream of the list that takes r and whose role is not excludedRole.
func (p *RoundRobin) nextUpstream(key string, excludedRole topo.Role, r *policy.Request, list []int, f *policy.Fleet) int {
	for range list {
		i := list[p.next[key]%len(list)]
		p.next[key]++
		if u := f.Upstreams[i]; u.CanTake(r) && u.Role != excludedRole {
			return i
		}
	}
	return policy.None
}
