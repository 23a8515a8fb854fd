package spill

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

func newGain(t *testing.T, delay time.Duration) *Gain {
	p := (*Gain)(nil).ModuleInfo().New().(*Gain)
	p.ReportDelayMS = float64(delay.Milliseconds())
	is := is.New(t)
	is.NoErr(p.Validate())
	is.NoErr(p.Provision())
	return p
}

// play runs data centres of one engine-second per second each with the given demand. The VMs of each know the waits as they were some
// time ago, between delay and twice that. It calls look with the shares of dc0's demand that its VMs move, after each step.
func play(t *testing.T, delay, length time.Duration, demand func(now time.Duration, dc int) float64, look func(now time.Duration, moved []float64)) {
	const dcs, vms, step = 3, 8, 10 * time.Millisecond
	var policies [dcs][vms]*Gain
	for dc := range dcs {
		for v := range vms {
			policies[dc][v] = newGain(t, delay)
		}
	}
	name := func(dc int) string { return fmt.Sprint("dc", dc) }
	var waits [dcs]float64
	var past [][dcs]float64
	for now := step; now < length; now += step {
		past = append(past, waits)
		var inflow [dcs]float64
		moved := make([]float64, vms)
		for dc := range dcs {
			inflow[dc] += demand(now, dc)
			for v, p := range policies[dc] {
				late := int(delay/step) * (vms + v) / vms
				var loads []policy.DataCentreLoad
				for other, w := range past[max(len(past)-1-late, 0)] {
					loads = append(loads, policy.DataCentreLoad{DataCentre: name(other), Engines: 10, Wait: w, Heard: true})
				}
				p.Plan(now, "m", name(dc), loads, false)
				for other := range dcs {
					share := p.Share("m", name(other))
					part := share * demand(now, dc) / vms
					inflow[dc] -= part
					inflow[other] += part
					if dc == 0 {
						moved[v] += share
					}
				}
			}
		}
		for dc := range dcs {
			waits[dc] = max(waits[dc]+(inflow[dc]-1)*step.Seconds(), 0)
		}
		look(now, moved)
	}
}

// Guards against a share that does not follow the lack of capacity, that swings when reports are late, or that stays when the lack is
// over, and against VMs of one data centre that move different shares.
func TestSharesFollowTheLackAndReturn(t *testing.T) {
	for _, delay := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		is := is.New(t)
		const busy, end = 15 * time.Second, 25 * time.Second
		demand := func(now time.Duration, dc int) float64 {
			if dc == 0 && now < busy {
				return 1.5
			}
			return 0.5
		}
		low, high, apart, left := 1.0, 0.0, 0.0, 0.0
		play(t, delay, end, demand, func(now time.Duration, moved []float64) {
			least, most := moved[0], moved[0]
			for _, m := range moved {
				least, most = min(least, m), max(most, m)
			}
			switch {
			case now > 10*time.Second && now < busy:
				low, high, apart = min(low, least), max(high, most), max(apart, most-least)
			case now > busy+5*time.Second:
				left = max(left, most)
			}
		})
		lack := 1 - 1/1.5 // of dc0's demand
		t.Logf("delay %v: lack %.3f, moved %.3f to %.3f, VMs apart by %.3f, %.3f left", delay, lack, low, high, apart, left)
		is.True(low > 0.9*lack && high < 1.1*lack)
		is.True(apart < 0.1*lack)
		is.Equal(left, 0.0)
	}
}

// Guards against demand that is moved although nothing is gained, because all data centres are as busy.
func TestABurstEverywhereMovesNothing(t *testing.T) {
	demand := func(now time.Duration, _ int) float64 {
		if now > time.Second && now < 6*time.Second {
			return 1.8
		}
		return 0.7
	}
	play(t, 100*time.Millisecond, 15*time.Second, demand, func(now time.Duration, moved []float64) {
		for _, m := range moved {
			if m > 0 {
				t.Fatalf("%v: %.3f of the demand is moved", now, m)
			}
		}
	})
}

// Guards against shares for a data centre that is cut off or has no engine, against shares that grow by reports that are out of date,
// and against a VM without peers, or without engines of its own data centre, that sends nothing elsewhere.
func TestUnusualFleets(t *testing.T) {
	is := is.New(t)
	loads := func(here, there float64) []policy.DataCentreLoad {
		return []policy.DataCentreLoad{{DataCentre: "a", Engines: 1, Wait: here, Heard: true}, {DataCentre: "b", Engines: 5, Wait: there, Heard: true}}
	}
	plan := func(p *Gain, l []policy.DataCentreLoad, alone bool) float64 {
		for i := range 200 {
			p.Plan(time.Duration(i)*20*time.Millisecond, "m", "a", l, alone)
		}
		return p.Share("m", "b")
	}
	is.True(plan(newGain(t, 0), loads(5, 0), false) > 0.99) // one engine is left here
	changes := 0
	p := newGain(t, 0)
	p.OnChange = func(string, string, string, float64, float64) { changes++ }
	is.True(plan(p, loads(5, 0), false) > 0.99)
	is.True(changes >= 2 && changes <= 5) // one a second at most
	sent := ""
	p.OnSent = func(from, to, reason string, bytes int) { sent = fmt.Sprint(from, to, reason, bytes) }
	p.Sent(&policy.Request{PromptTokens: 100}, "a", "b", policy.SpillShortage)
	is.Equal(sent, "abshortage400") // for the metrics
	cut := loads(5, 0)
	cut[1].Heard = false
	is.Equal(plan(p, cut, false), 0.0)
	is.Equal(plan(p, loads(5, 0)[:1], false), 0.0)
	none := loads(0, 3)
	none[0].Engines = 0
	is.Equal(plan(p, none, false), 1.0)
	stale := loads(5, 0)
	stale[1].Age = 2 * time.Second
	is.Equal(plan(newGain(t, 0), stale, false), 0.0)
	is.Equal(plan(newGain(t, 0), loads(0, 0), true), 1.0) // alone: each request by its own gain
}

// Guards against requests that go for less than their bytes and delay, and against requests at one VM that are not moved in the
// share's proportion or change their assignment while they wait.
func TestRequestsGoForTheirGain(t *testing.T) {
	is := is.New(t)
	p := newGain(t, 0)
	p.Plan(0, "m", "a", nil, false)
	p.models["m"].to = []share{{dataCentre: "b", share: 0.3}, {dataCentre: "c", share: 0.1}}
	counts := map[string]float64{}
	const n = 20000
	var b *policy.Request
	for id := range uint64(n) {
		r := &policy.Request{ID: id, Model: "m", PromptTokens: 10000}
		to := p.Target(r)
		counts[to]++
		is.Equal(p.Target(r), to)
		if to == "b" {
			b = r
		}
	}
	is.True(math.Abs(counts["b"]/n-0.3) < 0.02 && math.Abs(counts["c"]/n-0.1) < 0.02)
	charge := p.Charge(b, 0)
	is.Equal(charge, 0.028)
	is.Equal(p.Goes(b, policy.SpillOffer{To: "b", Here: 1, There: 1 - charge/2}), policy.SpillNone)
	is.Equal(p.Goes(b, policy.SpillOffer{To: "b", Here: 1, There: 1 - charge*2}), policy.SpillShortage)
	is.Equal(p.Goes(b, policy.SpillOffer{To: "b", Here: 1, There: 1 - charge*2, KVBytes: 20e9}), policy.SpillNone)
	is.Equal(p.Goes(b, policy.SpillOffer{To: "c", Here: 1, There: 0.5}), policy.SpillNone) // not assigned there
	is.Equal(p.Goes(b, policy.SpillOffer{To: "c", Here: 1, There: 0.5, Prefix: true}), policy.SpillPrefix)
	is.Equal(p.Goes(b, policy.SpillOffer{To: "c", Only: true}), policy.SpillOnly)
}
