// Package roles plans which engines compute prompts, which generate, and which do both.
//
// Invariant: a plan never leaves a model without an engine for either phase.
package roles

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

func init() {
	kernel.Register(&Fixed{})
	kernel.Register(&Mix{})
}

// Fixed never changes a role. It is the naive baseline.
type Fixed struct{}

// ModuleInfo implements kernel.Module.
func (*Fixed) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "roles.fixed", New: func() kernel.Module { return &Fixed{} }}
}

// Plan implements policy.RolePlanner.
func (*Fixed) Plan(time.Duration, policy.Mix, []policy.EngineRole) []policy.RoleChange { return nil }

// Mix follows the smoothed mix of prefill and decode load. An engine for both phases takes work of either kind, so a shortage
// of one phase turns engines of the other phase into engines for both. A hold time and a pay-back time prevent role changes
// for short swings of the load.
type Mix struct {
	SmoothMS    int     `json:"smooth_ms"`   // time constant of the mix
	HoldMS      int     `json:"hold_ms"`     // how long a shortage must last before a change
	Shortage    float64 `json:"shortage"`    // utilisation of a phase above which it lacks capacity
	MaxAtOnce   int     `json:"max_at_once"` // most engines that change at the same time
	PaybackMS   int     `json:"payback_ms"`  // time within which a change must make up for its outage
	lastPlan    time.Duration
	prefillRate float64
	decodeRate  float64
	shortSince  time.Duration
	shortPhase  topo.Role // phase that lacks capacity now, or empty
}

// ModuleInfo implements kernel.Module.
func (*Mix) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "roles.mix", New: func() kernel.Module {
		return &Mix{SmoothMS: 5000, HoldMS: 20000, Shortage: 0.97, MaxAtOnce: 2, PaybackMS: 60000}
	}}
}

// Validate implements kernel.Validator.
func (p *Mix) Validate() error {
	if p.SmoothMS <= 0 || p.HoldMS < 0 || p.Shortage <= 0 || p.MaxAtOnce < 1 || p.PaybackMS <= 0 {
		return errors.New("smooth_ms, shortage, max_at_once and payback_ms must be positive, hold_ms not negative")
	}
	return nil
}

// capacity is the capacity of the engines of one model, in engines of mean speed.
type capacity struct {
	prefillOnly, decodeOnly, both   float64
	meanPrefillRate, meanDecodeRate float64 // tokens per second of an engine of mean speed
	changing                        int
	meanChangeMS                    float64
}

func capacityOf(engines []policy.EngineRole) capacity {
	var c capacity
	for i := range engines {
		c.meanPrefillRate += engines[i].Spec.PrefillTokensPerSecond
		c.meanDecodeRate += engines[i].Spec.DecodeTokensPerSecond
	}
	n := float64(max(len(engines), 1))
	c.meanPrefillRate, c.meanDecodeRate = c.meanPrefillRate/n, c.meanDecodeRate/n
	for i := range engines {
		e := &engines[i]
		if e.Changing {
			c.changing++
		}
		c.meanChangeMS += float64(e.Spec.RoleChangeMS) / n
		switch speed := relativeSpeed(e, c); e.Role {
		case topo.RolePrefill:
			c.prefillOnly += speed
		case topo.RoleDecode:
			c.decodeOnly += speed
		default:
			c.both += speed
		}
	}
	return c
}

// relativeSpeed returns an engine's speed relative to the mean.
func relativeSpeed(e *policy.EngineRole, c capacity) float64 {
	if c.meanPrefillRate <= 0 || c.meanDecodeRate <= 0 {
		return 1
	}
	return (e.Spec.PrefillTokensPerSecond/c.meanPrefillRate + e.Spec.DecodeTokensPerSecond/c.meanDecodeRate) / 2 / max(e.Slowdown, 1)
}

func (p *Mix) updateAverages(now time.Duration, m policy.Mix) {
	if p.lastPlan == 0 {
		p.prefillRate, p.decodeRate = m.PrefillTokensPerSecond, m.DecodeTokensPerSecond
	}
	f := 1 - math.Exp(-float64(now-p.lastPlan)/float64(time.Duration(p.SmoothMS)*time.Millisecond))
	p.lastPlan = now
	p.prefillRate += f * (m.PrefillTokensPerSecond - p.prefillRate)
	p.decodeRate += f * (m.DecodeTokensPerSecond - p.decodeRate)
}

// Plan implements policy.RolePlanner.
func (p *Mix) Plan(now time.Duration, m policy.Mix, engines []policy.EngineRole) []policy.RoleChange {
	p.updateAverages(now, m)
	c := capacityOf(engines)
	if c.meanPrefillRate <= 0 || c.meanDecodeRate <= 0 {
		return nil
	}
	prefillLoad, decodeLoad := p.prefillRate/c.meanPrefillRate, p.decodeRate/c.meanDecodeRate
	need, phase := p.shortage(prefillLoad, decodeLoad, c)
	if phase == "" || phase != p.shortPhase {
		p.shortPhase, p.shortSince = phase, now
		return nil
	}
	if c.changing > 0 || now-p.shortSince < time.Duration(p.HoldMS)*time.Millisecond {
		return nil
	}
	if need*float64(p.PaybackMS) < c.meanChangeMS {
		return nil
	}
	p.shortSince = now
	return p.pickEngines(phase, need, engines)
}

// shortage returns the phase that lacks capacity and the number of engines that it lacks. A load above the capacity of the
// whole fleet is scaled down in proportion.
func (p *Mix) shortage(prefillLoad, decodeLoad float64, c capacity) (float64, topo.Role) {
	total := c.prefillOnly + c.decodeOnly + c.both
	if load := prefillLoad + decodeLoad; load > p.Shortage*total {
		prefillLoad, decodeLoad = prefillLoad*p.Shortage*total/load, decodeLoad*p.Shortage*total/load
	}
	freePrefill := c.prefillOnly + c.both - max(decodeLoad-c.decodeOnly, 0)
	freeDecode := c.decodeOnly + c.both - max(prefillLoad-c.prefillOnly, 0)
	needPrefill, needDecode := prefillLoad/p.Shortage-freePrefill, decodeLoad/p.Shortage-freeDecode
	const tolerance = 0.2 // engines; a smaller shortage is not worth an outage
	switch {
	case needPrefill > tolerance && needPrefill >= needDecode && c.decodeOnly > 0:
		return needPrefill, topo.RolePrefill
	case needDecode > tolerance && c.prefillOnly > 0:
		return needDecode, topo.RoleDecode
	}
	return 0, ""
}

// pickEngines returns the changes that turn the least busy engines of the other phase into engines for both.
func (p *Mix) pickEngines(phase topo.Role, need float64, engines []policy.EngineRole) []policy.RoleChange {
	from := topo.RoleDecode
	if phase == topo.RoleDecode {
		from = topo.RolePrefill
	}
	count := min(int(math.Ceil(need)), p.MaxAtOnce)
	var out []policy.RoleChange
	taken := map[string]bool{}
	for range count {
		best := -1
		for i := range engines {
			if e := &engines[i]; e.Role == from && !e.Changing && !taken[e.Name] && (best < 0 || e.Running < engines[best].Running) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		taken[engines[best].Name] = true
		out = append(out, policy.RoleChange{
			Engine: engines[best].Name, Role: topo.RoleBoth,
			Reason: fmt.Sprintf("%s lacks %.1f engines", phase, need),
		})
	}
	return out
}
