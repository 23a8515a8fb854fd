package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/health"
	"bergamotcroft.example/bergamot/topo"
)

func newFleet(n int) *policy.Fleet {
	f := &policy.Fleet{ByModel: map[string][]int{}, Health: &health.None{}}
	for i := range n {
		u := &policy.Upstream{Index: i, Accepting: true, Role: topo.RoleBoth, Rank: i, Cache: NewIndex(400)}
		u.Spec = topo.Upstream{
			Name: fmt.Sprintf("e%d", i), Kind: topo.KindEngine, PrefillTokensPerSecond: 10000, DecodeTokensPerSecond: 1000,
			MaxBatch: 32, KVPieces: 400,
		}
		u.Hash = xxhash.Sum64String(u.Spec.Name)
		u.Report.Running = i * 7 % 32
		f.Upstreams = append(f.Upstreams, u)
		f.ByModel["m"] = append(f.ByModel["m"], i)
	}
	f.BuildRings()
	return f
}

func newRequest(id uint64) *policy.Request {
	r := &policy.Request{Model: "m", PromptTokens: 12300, Priority: 1, ExpectedOutput: 200, Avoid: policy.None, Deadline: time.Hour}
	for i := range uint64(12) {
		r.Prefix = append(r.Prefix, policy.Mix64(id%50*1000+i))
	}
	return r
}

func loadRouter(t testing.TB, id string) policy.Router {
	t.Helper()
	p, err := kernel.Load[policy.Router](id, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a route to an upstream that does not accept work or has the wrong role, and against finding none where
// round robin finds one.
func TestRouteKeepsToAcceptingUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(rt, "engines"))
		for _, u := range f.Upstreams {
			u.Accepting = rapid.IntRange(0, 3).Draw(rt, "accepting") > 0
			u.Role = rapid.SampledFrom([]topo.Role{topo.RoleBoth, topo.RolePrefill, topo.RoleDecode}).Draw(rt, "role")
			if u.Rank = policy.None; u.Role == topo.RoleBoth && u.Accepting {
				u.Rank = u.Index
			}
			u.Report.Running = rapid.IntRange(0, 64).Draw(rt, "running")
			u.Report.PrefillTokens = float64(rapid.IntRange(0, 50000).Draw(rt, "prefill"))
		}
		p, naive := loadRouter(t, "routing.prefix_affinity"), loadRouter(t, "routing.round_robin")
		r := newRequest(rapid.Uint64().Draw(rt, "id"))
		r.PromptTokens = rapid.IntRange(1, 30000).Draw(rt, "prompt")
		c, n := p.Route(time.Second, r, f), naive.Route(time.Second, r, f)
		if (c.Prefill == policy.None) != (n.Prefill == policy.None) {
			rt.Fatalf("policy %+v, naive %+v", c, n)
		}
		if c.Prefill == policy.None {
			return
		}
		a, b := f.Upstreams[c.Prefill], f.Upstreams[c.Decode]
		if !a.Accepting || !b.Accepting || a.Role == topo.RoleDecode || b.Role == topo.RolePrefill {
			rt.Fatalf("routed to %+v and %+v", a, b)
		}
	})
}

// Guards against an index that outgrows the engine's memory or still matches removed pieces.
func TestIndexIsBoundedAndForgets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := NewIndex(30).(*Index)
		var chains [][]uint64
		for id := range uint64(8) {
			chains = append(chains, newRequest(id).Prefix)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			c := chains[rapid.IntRange(0, 7).Draw(rt, "chain")]
			cut := rapid.IntRange(0, len(c)).Draw(rt, "cut")
			if rapid.Bool().Draw(rt, "insert") {
				x.Insert(0, c[:cut])
				if x.Match(c) < cut {
					rt.Fatalf("inserted %d, matched %d", cut, x.Match(c))
				}
			} else {
				x.Remove(c[cut:])
				if x.Match(c) > cut {
					rt.Fatalf("removed from %d, matched %d", cut, x.Match(c))
				}
			}
			if len(x.byHash) > 30 {
				rt.Fatalf("%d pieces held", len(x.byHash))
			}
		}
	})
}

// Guards against memory allocation on each routed request.
func TestRouteAllocatesNothing(t *testing.T) {
	is := is.New(t)
	f, p, r := newFleet(128), loadRouter(t, "routing.prefix_affinity"), newRequest(3)
	f.Upstreams[5].Cache.Insert(0, r.Prefix)
	p.Route(0, r, f)
	is.Equal(testing.AllocsPerRun(200, func() { p.Route(time.Second, r, f) }), 0.0)
}

func BenchmarkRoute(b *testing.B) {
	for _, id := range []string{"routing.prefix_affinity", "routing.round_robin"} {
		for _, n := range []int{16, 128, 1024} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", id, n), func(b *testing.B) {
				f, p := newFleet(n), loadRouter(b, id)
				var reqs []*policy.Request
				for i := range uint64(64) {
					reqs = append(reqs, newRequest(i))
					f.Upstreams[int(i)%n].Cache.Insert(0, reqs[i].Prefix)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					p.Route(time.Duration(i)*100*time.Microsecond, reqs[i%64], f)
				}
			})
		}
	}
}
