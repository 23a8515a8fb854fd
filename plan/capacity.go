package plan

import (
	"fmt"
	"slices"

	"bergamotcroft.example/bergamot/topo"
)

// NoCapacity is the load share of a pool that has load but no capacity, and the upper bound of all load shares.
const NoCapacity = 1000

// MaxLoadShare is the load share up to which a load fits. The remaining capacity absorbs swings within seconds.
const MaxLoadShare = 0.9

// maxBacklogSeconds is the time within which the remaining engines must be able to compute the waiting prompt tokens.
const maxBacklogSeconds = 2

// Use is the load of one pool (a model or a service) relative to its remaining capacity.
type Use struct {
	Pool     string
	Resource string  // the scarcest one: streams, kv, prefill or decode
	Share    float64 // load divided by capacity, at most NoCapacity
	Engines  int     // remaining
}

func (u Use) String() string {
	if u.Engines == 0 {
		return fmt.Sprintf("nothing remains to serve %s", u.Pool)
	}
	return fmt.Sprintf("%s: %.0f %% of the remaining %s capacity is needed", u.Pool, 100*u.Share, u.Resource)
}

// resources are the load or the capacity of a pool.
type resources struct {
	streams, kv, prefill, decode float64
	engines                      int
}

var resourceNames = []string{"streams", "kv", "prefill", "decode"}

func (r resources) values() []float64 { return []float64{r.streams, r.kv, r.prefill, r.decode} }

// capacityOf returns the capacity that an upstream adds to its pool. An engine with a single role adds only the resources of
// this role.
func capacityOf(u *topo.Upstream) resources {
	r := resources{engines: 1, streams: float64(u.MaxBatch), kv: float64(u.KVPieces)}
	r.prefill, r.decode = maxBacklogSeconds*u.PrefillTokensPerSecond, u.DecodeTokensPerSecond
	switch RoleOf(u) {
	case topo.RolePrefill:
		r.streams, r.kv, r.decode = 0, 0, 0
	case topo.RoleDecode:
		r.prefill = 0
	}
	return r
}

func (r resources) add(o resources) resources {
	return resources{r.streams + o.streams, r.kv + o.kv, r.prefill + o.prefill, r.decode + o.decode, r.engines + o.engines}
}

// WorstUse returns the use of the pool with the highest load share among the pools of the named upstreams, if the active and
// reachable upstreams of c carry the current load.
func WorstUse(c *topo.Configuration, loads map[string]Load, names []string) Use {
	var worst Use
	for _, pool := range poolsOf(c, names) {
		if u := poolUse(c, loads, pool); worst.Pool == "" || u.Share > worst.Share {
			worst = u
		}
	}
	return worst
}

func poolsOf(c *topo.Configuration, names []string) []string {
	var all []string
	for _, n := range names {
		u := Find(c, n)
		if u == nil {
			continue
		}
		for _, p := range pools(u) {
			if !slices.Contains(all, p) {
				all = append(all, p)
			}
		}
	}
	return all
}

// poolUse compares the load of a pool with its capacity. KV memory counts only for running work: cached prefixes of finished
// requests are evicted when space is needed. Load reports do not separate the two, so loadOf estimates the part of the
// running work.
func poolUse(c *topo.Configuration, loads map[string]Load, pool string) Use {
	var load, remaining resources
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if !inPool(u, pool) {
			continue
		}
		l := loads[u.Name]
		load = load.add(loadOf(u, l))
		if l.Reachable && StateOf(u) == topo.UpstreamActive {
			remaining = remaining.add(capacityOf(u))
		}
	}
	use := Use{Pool: pool, Engines: remaining.engines}
	capacity := remaining.values()
	for i, l := range load.values() {
		if s := loadShare(l, capacity[i]); s > use.Share || use.Resource == "" {
			use.Share, use.Resource = s, resourceNames[i]
		}
	}
	return use
}

func loadOf(u *topo.Upstream, l Load) resources {
	if !l.Reachable {
		return resources{}
	}
	r := resources{streams: float64(l.Running + l.Queued), prefill: l.PrefillTokens}
	if u.Kind == topo.KindService || u.MaxBatch == 0 {
		return r
	}
	if RoleOf(u) == topo.RolePrefill {
		r.streams = 0 // its requests generate at other engines and are counted there
	}
	batch := r.streams / float64(u.MaxBatch)
	// The measured output rate reflects what the engine can generate with its current batch, not the demand. The demand follows
	// from the share of the batch in use, which represents more tokens on a fast engine.
	r.decode = batch * u.DecodeTokensPerSecond
	// The pieces in use include cached prefixes; running work is assumed to need at most its share of the batch.
	r.kv = min(float64(l.KVPieces), batch*float64(u.KVPieces))
	return r
}

func loadShare(load, capacity float64) float64 {
	if load <= 0 {
		return 0
	}
	if capacity <= 0 {
		return NoCapacity
	}
	return min(load/capacity, NoCapacity)
}

// capacityLost returns the largest fraction of a resource of a pool that c lacks relative to full, over the pools of the
// named upstreams.
func capacityLost(full, c *topo.Configuration, loads map[string]Load, names []string) float64 {
	lost := 0.0
	for _, pool := range poolsOf(full, names) {
		before, after := poolCapacity(full, loads, pool).values(), poolCapacity(c, loads, pool).values()
		for i, b := range before {
			if b > 0 {
				lost = max(lost, 1-after[i]/b)
			}
		}
	}
	return lost
}

func poolCapacity(c *topo.Configuration, loads map[string]Load, pool string) resources {
	var sum resources
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if inPool(u, pool) && StateOf(u) == topo.UpstreamActive && loads[u.Name].Reachable {
			sum = sum.add(capacityOf(u))
		}
	}
	return sum
}

// EmptiedPool returns the first pool in use that would have no active upstream without the named one, or "".
func EmptiedPool(c *topo.Configuration, name string) string {
	u := Find(c, name)
	if u == nil || StateOf(u) != topo.UpstreamActive {
		return ""
	}
	for _, pool := range pools(u) {
		if inUse(c, pool) && !othersRemain(c, pool, name) {
			return pool
		}
	}
	return ""
}

func othersRemain(c *topo.Configuration, pool, without string) bool {
	return slices.ContainsFunc(c.Upstreams, func(o topo.Upstream) bool {
		return o.Name != without && inPool(&o, pool) && StateOf(&o) == topo.UpstreamActive
	})
}

// inUse reports whether any account may use a pool.
func inUse(c *topo.Configuration, pool string) bool {
	if name, ok := serviceOfPool(pool); ok {
		return slices.ContainsFunc(c.Accounts, func(a topo.Account) bool {
			return len(a.Services) == 0 || slices.Contains(a.Services, name)
		})
	}
	if !slices.ContainsFunc(c.Models, func(m topo.Model) bool { return m.Name == pool }) {
		return false
	}
	return slices.ContainsFunc(c.Accounts, func(a topo.Account) bool {
		return len(a.Models) == 0 || slices.Contains(a.Models, pool)
	})
}

// Replacement returns the reachable active upstream with the lowest load that belongs to all pools of the named one, or nil.
func Replacement(c *topo.Configuration, name string, loads map[string]Load) *topo.Upstream {
	from := Find(c, name)
	var best *topo.Upstream
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if u.Name == name || StateOf(u) != topo.UpstreamActive || !loads[u.Name].Reachable {
			continue
		}
		if slices.ContainsFunc(pools(from), func(p string) bool { return !inPool(u, p) }) {
			continue
		}
		if best == nil || compareLoad(Snapshot{Configuration: c, Loads: loads}, u.Name, best.Name) < 0 {
			best = u
		}
	}
	return best
}
