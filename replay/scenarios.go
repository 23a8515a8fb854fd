package replay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/examples"
)

// scenario is one of the scenarios of docs/design.md.
type scenario struct {
	name     string
	fleet    string
	generate func(f *Fleet, seed uint64, scale float64) Trace
	measure  func(c *caseRun) error
}

// scenarios lists all scenarios in the order of the suite.
var scenarios = []scenario{
	{"vairogs-shift", "vairogs", generateShift, measureShift},
	{"ruheraum-blocking", "ruheraum", generateBlocking, measureBlocking},
	{"crest", "ruheraum", generateCrest, measureCrest},
	{"slowed", "ruheraum", generateSlowed, measureSlowed},
	{"stragglers", "ruheraum", generateStragglers, measureStragglers},
	{"prefix", "vairogs", generatePrefix, measurePrefix},
	{"faults", "vairogs", generateFaults, measureFaults},
}

// ScenarioNames returns the scenario names that the gen and suite commands accept.
func ScenarioNames() []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, s.name)
	}
	return out
}

func scenarioNamed(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, trace.BadParameter("unknown scenario %q; known: %v", name, ScenarioNames())
}

// ExampleFleet returns the fleet of one of the example deployments.
func ExampleFleet(name string) (*Fleet, error) {
	b, err := examples.Files.ReadFile(name + "/fleet.jsonc")
	if err != nil {
		return nil, trace.NotFound("no example fleet %q", name)
	}
	return ReadFleet(b)
}

// Generate returns the full-length trace of a scenario.
func Generate(name string, seed uint64) (Trace, error) {
	s, err := scenarioNamed(name)
	if err != nil {
		return nil, err
	}
	f, err := ExampleFleet(s.fleet)
	if err != nil {
		return nil, err
	}
	return s.generate(f, seed, 1), nil
}

func scaledTime(seconds, scale float64) time.Duration {
	return time.Duration(seconds * scale * float64(time.Second))
}

// Scenario vairogs-shift: prompts take 20 % of the engine time with a short swing to 65 %, then 65 %, then 15 %, each
// at 85 % of the fleet's capacity for that mix. Times are in seconds.
const (
	shiftLoad  = 0.85
	swingFrom  = 100
	swingTo    = 115
	shiftOne   = 200
	shiftTwo   = 400
	shiftEnd   = 600
	shareFirst = 0.20
	shareHigh  = 0.65
	shareLow   = 0.15
)

func generateShift(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	phase := func(from, to, share float64) {
		mix := f.mixByPrefillShare(proof, draft, share)
		g.addLoad(scaledTime(from, scale), scaledTime(to, scale), shiftLoad*f.capacity(mix), mix)
	}
	phase(0, swingFrom, shareFirst)
	phase(swingFrom, swingTo, shareHigh)
	phase(swingTo, shiftOne, shareFirst)
	phase(shiftOne, shiftTwo, shareHigh)
	phase(shiftTwo, shiftEnd, shareLow)
	return g.sortedTrace()
}

// Scenario ruheraum-blocking: site logs at 80 % of capacity, and questions. Each class has its own random stream, so
// that its requests are the same whether the other class is replayed or not.
const (
	blockingLoad = 0.80
	blockingRate = 3 // questions a second
	blockingTime = 300
)

func generateBlocking(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	logs := []classShare{{class: siteLog, share: 1}}
	g.addLoad(0, scaledTime(blockingTime, scale), blockingLoad*f.capacity(logs), logs)
	q := newGenerator(seed + 1<<32)
	q.addLoad(0, scaledTime(blockingTime, scale), blockingRate, []classShare{{class: question, share: 1}})
	g.trace = append(g.trace, q.trace...)
	return g.sortedTrace()
}

// Scenario crest: three classes at 60 % of capacity, with a peak of 180 % for a minute.
const (
	calmLoad  = 0.6
	crestLoad = 1.8
	crestFrom = 40
	crestTo   = 100
	crestEnd  = 150
)

var crestMix = []classShare{{class: question, share: 0.5}, {class: incident, share: 0.35}, {class: siteLog, share: 0.15}}

func generateCrest(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	rate := f.capacity(crestMix)
	g.addLoad(0, scaledTime(crestFrom, scale), calmLoad*rate, crestMix)
	g.addLoad(scaledTime(crestFrom, scale), scaledTime(crestTo, scale), crestLoad*rate, crestMix)
	g.addLoad(scaledTime(crestTo, scale), scaledTime(crestEnd, scale), calmLoad*rate, crestMix)
	return g.sortedTrace()
}

// Scenario slowed: questions and incidents at 55 % of capacity; two engines run six times slower for most of the
// time, and load reports are late.
const (
	slowedLoad = 0.55
	slowedFrom = 20
	slowedTo   = 140
	slowedEnd  = 160
	slowFactor = 6
	slowLagMS  = 3000
)

var shortMix = []classShare{{class: question, share: 0.6}, {class: incident, share: 0.4}}

func generateSlowed(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	g.addLoad(0, scaledTime(slowedEnd, scale), slowedLoad*f.capacity(shortMix), shortMix)
	g.addEvent(0, Line{Event: "delay_reports", LagMS: slowLagMS, ForMS: scaledTime(slowedEnd, scale).Milliseconds()})
	engines := f.engines()
	for k := range 2 {
		u := engines[(int(seed)*2+k*5)%len(engines)].Name
		durationMS := scaledTime(slowedTo-slowedFrom, scale).Milliseconds()
		g.addEvent(scaledTime(slowedFrom, scale), Line{Event: "slow_upstream", Upstream: u, Factor: slowFactor, ForMS: durationMS})
	}
	return g.sortedTrace()
}

// Scenario stragglers: one request in a hundred generates 20 times as many tokens.
const (
	stragglerLoad   = 0.55
	stragglerTime   = 200
	stragglerEvery  = 100
	stragglerFactor = 20
)

func generateStragglers(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	g.addLoad(0, scaledTime(stragglerTime, scale), stragglerLoad*f.capacity(shortMix), shortMix)
	t := g.sortedTrace()
	for i := int(seed) % stragglerEvery; i < len(t); i += stragglerEvery {
		t[i].OutputTokens *= stragglerFactor
		t[i].DeadlineMS *= stragglerFactor
	}
	return t
}

// Scenario prefix: many requests share long prefixes, at 60 % of the capacity with a warm cache.
const (
	prefixLoad   = 0.6
	prefixTime   = 240
	prefixCached = 10000 // tokens of a mean prompt expected in the cache
)

func generatePrefix(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	rate := prefixLoad * f.capacity([]classShare{{class: guided, share: 1, cached: prefixCached}})
	g.arrivals(0, scaledTime(prefixTime, scale), rate, g.addGuided)
	return g.sortedTrace()
}

// Scenario faults: 50 % of capacity, orders that must run at most once, and every kind of fault, some at the same time.
const (
	faultsLoad = 0.5
	faultsTime = 150
	orderRate  = 6 // a second
)

func generateFaults(f *Fleet, seed uint64, scale float64) Trace {
	g := newGenerator(seed)
	mix := f.mixByPrefillShare(proof, draft, 0.25)
	end := scaledTime(faultsTime, scale)
	g.addLoad(0, end, faultsLoad*f.capacity(mix), mix)
	n := 0
	g.arrivals(0, end, orderRate, func(t time.Duration) {
		n++
		l := Line{
			AtMS: t.Milliseconds(), Caller: "c" + strconv.Itoa(g.rng.IntN(callerCount)), Class: "order", Service: "orders",
			ServiceMS: int64(g.randomSize(40)), DeadlineMS: 5000, Idempotent: n%4 == 0,
		}
		if !l.Idempotent {
			l.Key = fmt.Sprintf("o-%d", n)
		}
		g.trace = append(g.trace, l)
	})
	g.addFaults(scale, f)
	return g.sortedTrace()
}

func (g *generator) addFaults(scale float64, f *Fleet) {
	add := func(s float64, l Line) { g.addEvent(scaledTime(s, scale), l) }
	e := f.engines()
	add(10, Line{Event: "kill_upstream", Upstream: e[2].Name, ForMS: 8000})
	add(15, Line{Event: "lose_answers", Upstream: "d1", ForMS: 4000})
	add(20, Line{Event: "store_slow", DelayMS: 400, ForMS: 10000})
	add(25, Line{Event: "kill_upstream", Upstream: "d2", ForMS: 5000})
	add(30, Line{Event: "lose_answers", Upstream: e[4].Name, ForMS: 3000})
	add(35, Line{Event: "delay_reports", LagMS: 3000, ForMS: 20000})
	add(40, Line{Event: "store_down", ForMS: 15000})
	add(45, Line{Event: "kill_upstream", Upstream: e[3].Name, ForMS: 6000})
	add(46, Line{Event: "kill_upstream", Upstream: "d1", ForMS: 3000})
	add(60, Line{Event: "leave_upstream", Upstream: e[8].Name})
	add(70, Line{Event: "slow_upstream", Upstream: e[5].Name, Factor: 6, ForMS: 10000})
	add(80, Line{Event: "withdraw_upstream", Upstream: "d3"})
	add(85, Line{Event: "kill_upstream", Upstream: e[0].Name, ForMS: 5000})
	add(86, Line{Event: "store_down", ForMS: 4000})
	for _, s := range []float64{55, 100} {
		l := g.addRequest(scaledTime(s, scale), proof)
		l.CrashesUpstream = true
	}
	add(120, Line{Event: "kill_upstream", Upstream: e[6].Name, ForMS: 5000})
	add(120, Line{Event: "kill_upstream", Upstream: e[7].Name, ForMS: 5000})
}
