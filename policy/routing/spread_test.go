package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

const (
	herdVMs, herdPrefill, herdDecode = 70, 27, 21
	herdReportAge                    = 30 * time.Millisecond
	herdStep                         = time.Millisecond
)

var herdSpeeds = []float64{0.6, 1, 1.6}

// herd plays many deciders with late reports against engines of different speeds.
type herd struct {
	routers []*Measured
	fleets  []*policy.Fleet
	free    []time.Duration                              // when an engine has computed its prompts
	caches  []policy.PrefixIndex                         // what the engines really hold
	due     map[time.Duration][]func()                   // events by time, in steps
	past    [][]float64                                  // prompt tokens in hand by engine, in steps
	pastOwn [][herdVMs][herdPrefill + herdDecode]float64 // the part of each VM
	tokens  []float64                                    // computed by engine
	arrived []float64                                    // prompts by engine
	late, n int
}

func (h *herd) speed(i int) float64 { return herdSpeeds[i%len(herdSpeeds)] }

func newHerd(t *testing.T, configure func(*Measured)) *herd {
	const engines = herdPrefill + herdDecode
	h := &herd{free: make([]time.Duration, engines), due: map[time.Duration][]func(){}, tokens: make([]float64, engines), arrived: make([]float64, engines)}
	for range engines {
		h.caches = append(h.caches, NewIndex(385))
	}
	for v := range herdVMs {
		p := newMeasured(t)
		p.Seed = uint64(v) + 1
		configure(p)
		if err := p.Provision(); err != nil {
			t.Fatal(err)
		}
		f := measuredFleet(herdPrefill, herdDecode)
		for _, u := range f.Upstreams {
			u.Cache, u.Computing = NewIndex(385), map[uint64]int{}
		}
		h.routers, h.fleets = append(h.routers, p), append(h.fleets, f)
	}
	return h
}

// observe gives each VM the load of the others as it was herdReportAge ago.
func (h *herd) observe(now time.Duration) {
	const engines, steps = herdPrefill + herdDecode, int(herdReportAge / herdStep)
	total, own := make([]float64, engines), [herdVMs][engines]float64{}
	for v, f := range h.fleets {
		for i, u := range f.Upstreams {
			own[v][i] = u.OwnPrefill
			total[i] += u.OwnPrefill
		}
	}
	h.past, h.pastOwn = append(h.past, total), append(h.pastOwn, own)
	if len(h.past) <= steps {
		return
	}
	for v, f := range h.fleets {
		for i, u := range f.Upstreams {
			u.Report.PrefillTokens = h.past[0][i] - h.pastOwn[0][v][i]
			u.ReportReceived = now
		}
	}
	h.past, h.pastOwn = h.past[1:], h.pastOwn[1:]
}

func (h *herd) at(t time.Duration, f func()) {
	t = t.Truncate(herdStep) + herdStep
	h.due[t] = append(h.due[t], f)
}

// offer routes r at VM v, again after a while if it has to wait there.
func (h *herd) offer(now time.Duration, v int, r *policy.Request) {
	p, f := h.routers[v], h.fleets[v]
	c := p.Route(now, r, f)
	if c.Prefill == policy.None || c.Defer {
		if now < r.FirstTokenTarget {
			h.at(now+10*time.Millisecond, func() { h.offer(now+11*time.Millisecond, v, r) })
		} else {
			h.late++
		}
		return
	}
	u := f.Upstreams[c.Prefill]
	r.Prefill, r.Backlog, r.Cached = c.Prefill, c.Backlog, c.Cached
	work := r.Work(c.Cached)
	u.OwnPrefill += work
	u.OwnPrefillBy[0] += work
	u.Cache.Insert(now, r.Prefix)
	if len(r.Prefix) > 0 {
		u.Computing[r.Prefix[0]]++
	}
	h.arrived[c.Prefill]++
	real := r.Work(h.caches[c.Prefill].Match(r.Prefix))
	if c.Source != nil {
		real = r.Work(max(c.Cached, h.caches[c.Prefill].Match(r.Prefix)))
	}
	rate := p.PrefillRate
	if u.Role != topo.RolePrefill {
		rate = p.DecodeRate
	}
	h.free[c.Prefill] = max(h.free[c.Prefill], now) + seconds(real/(rate*h.speed(c.Prefill)))
	h.tokens[c.Prefill] += real
	h.caches[c.Prefill].Insert(now, r.Prefix)
	end := h.free[c.Prefill] + seconds(p.OverheadMS/1000)
	if end > r.FirstTokenTarget {
		h.late++
	}
	h.at(end, func() {
		p.Learn(end, r, f, end-now, true)
		u.OwnPrefill -= work
		u.OwnPrefillBy[0] -= work
		if len(r.Prefix) > 0 {
			u.Computing[r.Prefix[0]]--
		}
		h.at(end+herdReportAge, func() {
			for _, other := range h.fleets {
				other.Upstreams[c.Prefill].Cache.Insert(end, r.Prefix)
			}
		})
	})
}

// play offers prompts of three classes for the given time and returns the busiest prefill engine's share of arrivals, in relation to the
// mean, and its share of work in relation to its speed's part, and the share of answers after their target.
func (h *herd) play(seed uint64, perSecond float64, length time.Duration) (arrivals, work, late float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for now := herdStep; now < length+3*time.Second; now += herdStep {
		for _, f := range h.due[now] {
			f()
		}
		delete(h.due, now)
		h.observe(now)
		wave := 1 + 0.3*math.Sin(2*math.Pi*now.Seconds()/12)
		for next := rng.ExpFloat64(); now < length && next < perSecond*wave*herdStep.Seconds(); next += rng.ExpFloat64() {
			r := &policy.Request{Model: "m", ExpectedOutput: 100, Avoid: policy.None, AvoidDecode: policy.None, Arrival: now, ID: uint64(h.n)}
			h.n++
			switch x := rng.Float64(); {
			case x < 0.15:
				r.PromptTokens, r.FirstTokenTarget = 17000, now+1200*time.Millisecond
				r.Prefix = policy.PrefixPieces([]policy.Part{{ID: 100 + uint64(rng.ExpFloat64()*8), Tokens: 13000}})
			case x < 0.4:
				r.PromptTokens, r.FirstTokenTarget = 9200, now+600*time.Millisecond
				r.Prefix = policy.PrefixPieces([]policy.Part{{ID: 200 + uint64(rng.ExpFloat64()*8), Tokens: 7000}})
			default:
				r.PromptTokens, r.FirstTokenTarget = 1460, now+300*time.Millisecond
			}
			h.offer(now, rng.IntN(herdVMs), r)
		}
	}
	mean, tokens, speeds := 0.0, 0.0, 0.0
	for i := range herdPrefill {
		mean += h.arrived[i] / herdPrefill
		tokens += h.tokens[i]
		speeds += h.speed(i)
	}
	for i := range herdPrefill {
		work = max(work, h.tokens[i]/tokens/(h.speed(i)/speeds))
	}
	return slices.Max(h.arrived[:herdPrefill]) / mean, work, float64(h.late) / float64(h.n)
}

// Guards against entry VMs that crowd at the same engines because they compare all by late reports: the busiest of 140 engines got
// twice the mean number of arrivals. A few random candidates have to halve the late answers, and the busiest engine's share must fall.
func TestRandomCandidatesSpreadPrompts(t *testing.T) {
	is := is.New(t)
	const seed, perSecond, length = 1, 500, 4 * time.Second
	play := func(choices int) (arrivals, late float64) {
		arrivals, work, late := newHerd(t, func(p *Measured) { p.SpreadChoices = choices }).play(seed, perSecond, length)
		t.Logf("seed %d, %d choices: the busiest engine gets %.2f of the mean arrivals and %.2f of its part of the work; late %.4f", seed, choices, arrivals, work, late)
		return arrivals, late
	}
	arrivals, late := play(0)
	arrivalsSampled, lateSampled := play(3)
	is.True(lateSampled < late/2)
	is.True(arrivalsSampled < arrivals)
}

// Guards against random candidates that are full while another engine has a free slot.
func TestRandomCandidatesHaveRoom(t *testing.T) {
	is := is.New(t)
	p, f := newMeasured(t), measuredFleet(5, 20)
	p.SpreadChoices = 2
	r := longPrompt(1)
	for i := 5; i < 24; i++ {
		f.Upstreams[i].OwnRunning = 64
	}
	for range 50 {
		is.Equal(p.Route(0, r, f).Decode, 24)
		is.Equal(p.PickDecoder(0, r, f), 24)
	}
	f.Upstreams[24].OwnRunning = 64
	is.True(p.PickDecoder(0, r, f) != policy.None)
}
