package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/health"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against sends that an engine rejects because its KV cache is full although it has slots: 64 slots, but room for 26 prompts of
// 17,000 tokens.
func TestAnEngineWithoutMemoryIsFull(t *testing.T) {
	is := is.New(t)
	for _, count := range []bool{false, true} {
		p, err := kernel.Load[*Measured]("routing.measured", nil)
		is.NoErr(err)
		p.CountMemory = count
		u := &policy.Upstream{
			Accepting: true, Role: topo.RoleBoth, OwnRunning: 10, OwnHeld: 170000, Report: policy.LoadReport{Running: 15},
			Spec: topo.Upstream{Kind: topo.KindEngine, MaxBatch: 64, KVPieces: 453},
		}
		f := &policy.Fleet{Upstreams: []*policy.Upstream{u}, ByModel: map[string][]int{"m": {0}}, Health: &health.None{}}
		r := &policy.Request{Model: "m", PromptTokens: 17000, ExpectedOutput: 100, Avoid: policy.None, AvoidDecode: policy.None}
		is.True(!p.Route(time.Second, r, f).Defer)
		u.Report.Running++
		is.Equal(p.Route(time.Second, r, f).Defer, count)
		r.PromptTokens = 1000
		is.True(!p.Route(time.Second, r, f).Defer)
	}
}
