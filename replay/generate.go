package replay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/replay/engine"
	"bergamotcroft.example/bergamot/topo"
)

// class describes one class of requests of the two example deployments.
type class struct {
	name       string
	prompt     int // mean tokens
	output     int // mean tokens
	firstToken time.Duration
	perToken   time.Duration // time for each output token, for the deadline
}

// The classes of the workloads. The deadline of a class is firstToken plus perToken for each token of its longest
// output. Questions have the long-run latency targets of the design; the other classes have more time for their
// longer prompts and for the longer steps of an engine that also computes prompts.
var (
	question = class{"question", 300, 80, 350 * time.Millisecond, 37 * time.Millisecond}
	incident = class{"incident", 4000, 200, 2 * time.Second, 75 * time.Millisecond}
	siteLog  = class{"site_log", 24000, 150, 15 * time.Second, 110 * time.Millisecond}
	proof    = class{"proof", 8000, 60, 8 * time.Second, 110 * time.Millisecond}
	draft    = class{"draft", 800, 500, 3 * time.Second, 75 * time.Millisecond}
	guided   = class{"proof", 12600, 120, 8 * time.Second, 110 * time.Millisecond}
)

// engineSeconds returns the engine time of a mean request: its prompt is computed in steps that also decode, its
// output in a full batch.
func (c class) engineSeconds(u topo.Upstream, cached float64) float64 {
	return c.prefillSeconds(u, cached) + float64(c.output)/u.DecodeTokensPerSecond
}

func (c class) prefillSeconds(u topo.Upstream, cached float64) float64 {
	return (float64(c.prompt) - cached) * engine.MixedFactor / u.PrefillTokensPerSecond
}

// classShare is a class and its share of the requests.
type classShare struct {
	class
	share  float64
	cached float64 // tokens of a mean prompt that the cache is expected to hold
}

// capacity returns how many requests of a mix the fleet's engines can serve in a second by the cost model. If all
// engines serve both phases, they are assumed to be in their steady state: each step computes a chunk of prompts and
// one token for each of the streams that follow from the mix. If some engines serve a single phase, every engine is
// assumed to compute one phase at a time at its full rate.
func (f *Fleet) capacity(mix []classShare) float64 {
	var prompt, output float64
	for _, p := range mix {
		prompt += p.share * (float64(p.prompt) - p.cached)
		output += p.share * float64(p.output)
	}
	rate := 0.0
	mixed := f.allEnginesBothPhases()
	for _, u := range f.engines() {
		if mixed {
			rate += steadyRate(u, prompt, output)
		} else {
			rate += 1 / (prompt/u.PrefillTokensPerSecond + output/u.DecodeTokensPerSecond)
		}
	}
	return rate
}

func (f *Fleet) allEnginesBothPhases() bool {
	for _, u := range f.engines() {
		if u.Role != "" && u.Role != topo.RoleBoth {
			return false
		}
	}
	return true
}

// steadyRate returns the requests a second of an engine that serves both phases of requests of this size.
func steadyRate(u topo.Upstream, prompt, output float64) float64 {
	batch := float64(u.MaxBatch)
	chunk, streams := float64(engine.MixedChunk), engine.MixedChunk*output/prompt
	if streams > batch {
		chunk, streams = batch*prompt/output, batch
	}
	full := batch / u.DecodeTokensPerSecond
	step := engine.StepOverhead.Seconds() + chunk*engine.MixedFactor/u.PrefillTokensPerSecond +
		full*(engine.SingleStreamShare+(1-engine.SingleStreamShare)*streams/batch)
	return chunk / prompt / step
}

// mixByPrefillShare returns the mix of two classes in which prompts take this share of the engine time.
func (f *Fleet) mixByPrefillShare(a, b class, share float64) []classShare {
	u := f.meanEngine()
	lo, hi := 0.0, 1.0 // bounds of the share of a, whose prompts take more engine time
	for range 60 {
		x := (lo + hi) / 2
		p := x*a.prefillSeconds(u, 0) + (1-x)*b.prefillSeconds(u, 0)
		if p/(x*a.engineSeconds(u, 0)+(1-x)*b.engineSeconds(u, 0)) < share {
			lo = x
		} else {
			hi = x
		}
	}
	return []classShare{{class: a, share: lo}, {class: b, share: 1 - lo}}
}

func (f *Fleet) meanEngine() topo.Upstream {
	var u topo.Upstream
	list := f.engines()
	for _, e := range list {
		u.PrefillTokensPerSecond += e.PrefillTokensPerSecond / float64(len(list))
		u.DecodeTokensPerSecond += e.DecodeTokensPerSecond / float64(len(list))
	}
	return u
}

// generator builds a trace.
type generator struct {
	rng   *rand.Rand
	trace Trace
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0x7ace))}
}

// callerCount is the number of distinct callers in generated traffic.
const callerCount = 40

// arrivals calls f at the times of a Poisson process.
func (g *generator) arrivals(from, to time.Duration, perSecond float64, f func(at time.Duration)) {
	if perSecond <= 0 {
		return
	}
	for at := from; ; {
		at += time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		f(at)
	}
}

// Request sizes are drawn uniformly between these multiples of the mean.
const (
	minSizeFactor = 0.6
	maxSizeFactor = 1.4
)

// randomSize draws a size with the given mean.
func (g *generator) randomSize(mean int) int {
	return max(int(float64(mean)*(minSizeFactor+(maxSizeFactor-minSizeFactor)*g.rng.Float64())), 1)
}

// deadline returns the deadline of the class in milliseconds. It is the same for all its requests, since neither
// callers nor operators know the length of an output in advance.
func (c class) deadline() int64 {
	return (c.firstToken + time.Duration(maxSizeFactor*float64(c.output))*c.perToken).Milliseconds()
}

// addRequest adds a request of a class and returns its line of the trace.
func (g *generator) addRequest(at time.Duration, c class) *Line {
	l := Line{
		AtMS: at.Milliseconds(), Caller: "c" + strconv.Itoa(g.rng.IntN(callerCount)), Class: c.name, Model: "m1",
		PromptTokens: g.randomSize(c.prompt), OutputTokens: g.randomSize(c.output), Idempotent: true,
	}
	l.DeadlineMS = c.deadline()
	g.trace = append(g.trace, l)
	return &g.trace[len(g.trace)-1]
}

// addLoad adds requests of a mix.
func (g *generator) addLoad(from, to time.Duration, perSecond float64, mix []classShare) {
	g.arrivals(from, to, perSecond, func(at time.Duration) {
		x := g.rng.Float64()
		for _, p := range mix {
			if x -= p.share; x < 0 || p == mix[len(mix)-1] {
				g.addRequest(at, p.class)
				return
			}
		}
	})
}

func (g *generator) addEvent(at time.Duration, l Line) {
	l.AtMS = at.Milliseconds()
	g.trace = append(g.trace, l)
}

func (g *generator) sortedTrace() Trace {
	g.trace.sort()
	return g.trace
}

// guideCount is the number of brand guides. The shortest have guidePieces pieces; the guides have guideSpread different
// lengths, one piece apart.
const (
	guideCount  = 60
	guidePieces = 10
	guideSpread = 5
)

// addGuided adds a request whose prompt begins with one of the brand guides, some of which are far more popular than
// others.
func (g *generator) addGuided(at time.Duration) {
	l := g.addRequest(at, guided)
	rank := int(math.Exp(g.rng.Float64()*math.Log(guideCount+1))) - 1
	n := min(rank, guideCount-1)
	l.PrefixID = "g" + strconv.Itoa(n)
	l.PrefixTokens = (guidePieces + n%guideSpread) * policy.PieceTokens
	l.PromptTokens = l.PrefixTokens + g.randomSize(600)
}
