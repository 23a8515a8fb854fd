package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

func engines(roles ...topo.Role) []policy.EngineRole {
	var out []policy.EngineRole
	for i, r := range roles {
		out = append(out, policy.EngineRole{Name: fmt.Sprint("e", i), Role: r, Spec: topo.Upstream{
			PrefillTokensPerSecond: 10000, DecodeTokensPerSecond: 1000, RoleChangeMS: 7000,
		}})
	}
	return out
}

func newMix(t testing.TB) policy.RolePlanner {
	t.Helper()
	p, err := kernel.Load[policy.RolePlanner]("roles.mix", nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// loadOf returns the load that keeps this many engines of each phase busy.
func loadOf(prefill, decode float64) policy.Mix {
	return policy.Mix{PrefillTokensPerSecond: prefill * 10000, DecodeTokensPerSecond: decode * 1000}
}

const (
	prefillOnly = topo.RolePrefill
	decodeOnly  = topo.RoleDecode
	bothPhases  = topo.RoleBoth
)

// Guards against a plan that leaves a phase without an engine.
func TestPlanKeepsBothPhases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := engines(rapid.SliceOfN(rapid.SampledFrom([]topo.Role{prefillOnly, decodeOnly, bothPhases}), 2, 12).Draw(rt, "roles")...)
		covered := func(not topo.Role) bool {
			for _, e := range list {
				if e.Role != not {
					return true
				}
			}
			return false
		}
		before := [2]bool{covered(decodeOnly), covered(prefillOnly)}
		plan := newMix(t)
		for step := range 120 {
			load := rapid.Float64Range(0, 12).Draw(rt, "prefill")
			for _, c := range plan.Plan(time.Duration(step+1)*time.Second, loadOf(load, 12-load), list) {
				for i := range list {
					if list[i].Name == c.Engine {
						list[i].Role = c.Role
					}
				}
			}
			if before[0] && !covered(decodeOnly) || before[1] && !covered(prefillOnly) {
				rt.Fatalf("a phase has no engine: %+v", list)
			}
		}
	})
}

// Guards against role changes for a swing of the load that ends before they pay back, and against none for a lasting shift.
func TestOnlyALastingShiftChangesRoles(t *testing.T) {
	is := is.New(t)
	plan, list := newMix(t), engines(prefillOnly, prefillOnly, bothPhases, bothPhases, decodeOnly, decodeOnly, decodeOnly, decodeOnly, decodeOnly)
	changes := 0
	for s := 1; s <= 200; s++ {
		m := loadOf(1.5, 6)
		if s > 60 && s <= 75 || s > 120 {
			m = loadOf(5, 2.7)
		}
		n := len(plan.Plan(time.Duration(s)*time.Second, m, list))
		if s <= 120 {
			is.Equal(n, 0) // during the swing
		}
		changes += n
		if n > 0 {
			break
		}
	}
	is.True(changes >= 1 && changes <= 2) // after the shift
}
