package routing

import (
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

func init() { kernel.Register(&Measured{}) }

// Measured places prompts by the rate at which each engine has been seen to compute prompts. It needs no figures from a
// specification.
//
// An engine for prompts computes them fast and hands the KV cache over; an engine for generation computes them slowly beside its
// streams, but needs no hand-over. A prompt goes where its first token is expected first, with a charge for the engine time that it
// takes from others. Shared pieces that another engine holds are fetched when that is quicker than computing them.
//
// Load it answers: long shared prompts whose reading fills the engines, under swings between long prompts and long answers.
type Measured struct {
	Seed          uint64  `json:"seed"`
	PrefillRate   float64 `json:"prefill_rate"`     // tokens a second that an engine for prompts is taken to compute before it is measured
	DecodeRate    float64 `json:"decode_rate"`      // the same for an engine for generation
	OverheadMS    float64 `json:"overhead_ms"`      // of a prompt beside its computing
	HandOverMS    float64 `json:"hand_over_ms"`     // of moving a prompt's KV cache, beside its bytes
	FetchMS       float64 `json:"fetch_ms"`         // of fetching cached pieces, beside their bytes
	StreamMS      float64 `json:"stream_ms"`        // expected delay by each stream that an engine generates
	TokenMS       float64 `json:"token_ms"`         // of one output token, before it is measured
	WorkWeight    float64 `json:"work_weight"`      // of the engine time taken from others, in the score
	AwayMS        float64 `json:"away_ms"`          // charge for a prompt that no engine holds and that does not go to its home
	DistanceMS    float64 `json:"distance_ms"`      // charge for each 1,000 tokens of a prompt that is sent to another data centre
	MaxBacklogMS  float64 `json:"max_backlog_ms"`   // expected wait above which work stays in the entry VM
	RiseWeight    float64 `json:"rise_weight"`      // of a measurement above the known rate
	FallWeight    float64 `json:"fall_weight"`      // of one below it: mostly a wait that was not known of
	FullWork      float64 `json:"full_work"`        // tokens from which a measurement has its full weight
	Oversubscribe float64 `json:"oversubscribe"`    // streams per slot above which work stays in the entry VM
	MoveBytesPerS float64 `json:"move_bytes_per_s"` // of an engine's link, for KV cache
	TokenBytes    float64 `json:"token_bytes"`      // KV cache of one token
	DataCentre    string  `json:"data_centre"`      // of this entry VM; empty: distances are not charged

	state uint64
	rates []engineRate
	typic [2]float64 // smoothed rate of all engines, for prompts and for generation
	token float64    // smoothed seconds of one output token
}

type engineRate struct {
	hash  uint64  // of the engine that it was measured at, since slots are used again
	value float64 // tokens a second
	n     int
	at    time.Duration
}

// ModuleInfo implements kernel.Module.
func (*Measured) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "routing.measured", New: func() kernel.Module {
		return &Measured{
			Seed: 1, PrefillRate: 60000, DecodeRate: 25000, OverheadMS: 35, HandOverMS: 30, FetchMS: 20, StreamMS: 0.3, TokenMS: 6,
			WorkWeight: 1, AwayMS: 40, DistanceMS: 2, MaxBacklogMS: 400, RiseWeight: 0.35, FallWeight: 0.1, FullWork: 4000, Oversubscribe: 1, MoveBytesPerS: 12e9, TokenBytes: 20000,
		}
	}}
}

// Provision implements kernel.Provisioner.
func (p *Measured) Provision() error {
	p.state = policy.Spread(p.Seed + 0x9e3779b97f4a7c15)
	p.typic = [2]float64{p.PrefillRate, p.DecodeRate}
	p.token = p.TokenMS / 1000
	return nil
}

// Validate implements kernel.Validator.
func (p *Measured) Validate() error {
	if p.PrefillRate <= 0 || p.DecodeRate <= 0 || p.MaxBacklogMS <= 0 || p.RiseWeight <= 0 || p.FallWeight <= 0 || p.FullWork <= 0 || p.MoveBytesPerS <= 0 {
		return errors.New("prefill_rate, decode_rate, max_backlog_ms, rise_weight, fall_weight, full_work and move_bytes_per_s must be positive")
	}
	return nil
}

const (
	maxStep = 1.0   // of one measurement, in powers of e
	minRate = 500.0 // tokens a second; slower engines are avoided all the same
	// rateLife is the age from which a measured rate drifts back to the typical one, so that an engine that was slow for a while
	// is tried again.
	rateLife = 4 * time.Second
	// noticeableWork is the least prompt from which a rate is learned; below it the overhead decides.
	noticeableWork = 400.0
)

func kindOf(u *policy.Upstream) int {
	if u.Role == topo.RolePrefill {
		return 0
	}
	return 1
}

// rate is the prompt tokens a second that u is expected to compute.
func (p *Measured) rate(now time.Duration, u *policy.Upstream) float64 {
	typical := p.typic[kindOf(u)]
	if u.Index >= len(p.rates) {
		return typical
	}
	r := &p.rates[u.Index]
	if r.n == 0 || r.hash != u.Hash {
		return typical
	}
	if age := now - r.at; age > rateLife {
		f := math.Exp2(-float64(age-rateLife) / float64(rateLife))
		return typical + f*(r.value-typical)
	}
	return r.value
}

// Learn implements policy.Learner. The time of a prompt covers those that were ahead of it. Waits behind prompts of other entry VMs
// that were not known of make an engine look slow, so a rate rises faster than it falls.
func (p *Measured) Learn(now time.Duration, r *policy.Request, f *policy.Fleet, took time.Duration, done bool) {
	u := f.Upstreams[r.Prefill]
	work := r.Work(r.Cached) + r.Backlog
	if work < noticeableWork {
		return
	}
	spent := max(took.Seconds()-p.OverheadMS/1000, 0.002)
	sample := max(work/spent, minRate)
	known := p.rate(now, u)
	if !done && sample >= known {
		return // not late yet
	}
	for len(p.rates) <= u.Index {
		p.rates = append(p.rates, engineRate{})
	}
	e := &p.rates[u.Index]
	if e.hash != u.Hash {
		*e = engineRate{hash: u.Hash}
	}
	weight := p.FallWeight
	if sample > known {
		weight = p.RiseWeight
	}
	weight *= min(work/p.FullWork, 1)
	step := weight * min(max(math.Log(sample/known), -maxStep), maxStep)
	e.value = known * math.Exp(step)
	e.n++
	e.at = now
	const typicalPart = 0.2 // a fleet changes more slowly than an engine
	p.typic[kindOf(u)] *= math.Exp(typicalPart * step)
}

// plan is one way to run a request.
type plan struct {
	prefill, decode *policy.Upstream
	source          *policy.Upstream
	cached          int
	backlog         float64
	first           float64 // seconds to the first token
	wait            float64 // of it, for prompts ahead
	score           float64
	full            bool
}

// Route implements policy.Router.
func (p *Measured) Route(now time.Duration, r *policy.Request, f *policy.Fleet) policy.Choice {
	list := f.Candidates(r)
	if r.Service != "" {
		return p.service(now, r, f, list)
	}
	var best plan
	for loose := range 2 {
		best = p.best(now, r, f, list, loose == 1)
		if best.prefill != nil {
			break
		}
	}
	if best.prefill == nil {
		return policy.Choice{Prefill: policy.None, Decode: policy.None}
	}
	output := max(r.ExpectedOutput-float64(r.Generated), 1) * p.token
	return policy.Choice{
		Prefill: best.prefill.Index, Decode: best.decode.Index, Cached: best.cached, Backlog: best.backlog, Source: best.source,
		FirstToken: seconds(best.first), Finish: seconds(best.first + output),
		Defer: best.full || best.wait > p.MaxBacklogMS/1000,
	}
}

func (p *Measured) best(now time.Duration, r *policy.Request, f *policy.Fleet, list []int, loose bool) plan {
	best := plan{score: math.Inf(1)}
	holder, held := p.holder(r, f, list)
	home := p.home(r, f, list)
	decoder := p.decoder(now, r, f, list, loose)
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.Takes(r) || !loose && (r.Avoids(i) || f.Health.Excluded(now, i)) {
			continue
		}
		q := p.direct(now, r, f, u)
		if u.Role == topo.RolePrefill {
			if decoder == nil {
				continue
			}
			q.decode = decoder
			q.first += p.handOver(r, u, decoder)
			q.full = p.full(r, decoder)
		} else {
			q.full = p.full(r, u)
		}
		if held > q.cached && holder != u {
			if fetched := p.fetched(now, r, u, q, holder, held); fetched.first < q.first {
				q = fetched
			}
		}
		q.score = q.first + p.WorkWeight*r.Work(q.cached)/p.rate(now, u) + p.tieBreak() + p.distance(r, u)
		if q.decode != u {
			q.score += p.distance(r, q.decode)
		}
		if held == 0 && len(r.Prefix) > 0 && u != home {
			q.score += p.AwayMS / 1000
		}
		if q.full {
			q.score += 1
		}
		if q.score < best.score {
			best = q
		}
	}
	return best
}

// tieBreak spreads equal choices of several entry VMs.
func (p *Measured) tieBreak() float64 {
	const spread = 0.002 // seconds
	p.state += 0x9e3779b97f4a7c15
	return spread * float64(policy.Spread(p.state)>>40) / (1 << 24)
}

// distance is the charge for sending r to u. Bytes between data centres are dear, and a prompt's text is most of them.
func (p *Measured) distance(r *policy.Request, u *policy.Upstream) float64 {
	if p.DataCentre == "" || u.Spec.DataCentre == p.DataCentre {
		return 0
	}
	return p.DistanceMS / 1000 * float64(r.PromptTokens) / 1000
}

// direct is the plan to compute the prompt at u with what u holds.
func (p *Measured) direct(now time.Duration, r *policy.Request, f *policy.Fleet, u *policy.Upstream) plan {
	q := plan{prefill: u, decode: u}
	if u.Cache != nil && len(r.Prefix) > 0 {
		q.cached = u.Cache.Match(r.Prefix)
	}
	rate := p.rate(now, u)
	q.backlog = ahead(u, r.Priority)
	q.wait = q.backlog / rate
	q.first = p.OverheadMS/1000 + q.wait + r.Work(q.cached)/rate + float64(u.OwnRunning+u.OtherRunning())*p.StreamMS/1000
	return q
}

// fetched is q with the pieces that holder has.
func (p *Measured) fetched(now time.Duration, r *policy.Request, u *policy.Upstream, q plan, holder *policy.Upstream, held int) plan {
	rate := p.rate(now, u)
	q.first -= (r.Work(q.cached) - r.Work(held)) / rate
	q.first += p.FetchMS/1000 + p.moveTime(float64((held-q.cached)*policy.PieceTokens), holder, u)
	q.cached, q.source = held, holder
	return q
}

// moveTime is the time to move the KV cache of some tokens between two engines.
func (p *Measured) moveTime(tokens float64, from, to *policy.Upstream) float64 {
	t := tokens * p.TokenBytes / p.MoveBytesPerS
	if from.Spec.DataCentre != to.Spec.DataCentre {
		t *= 2
	}
	return t
}

func (p *Measured) handOver(r *policy.Request, from, to *policy.Upstream) float64 {
	return p.HandOverMS/1000 + p.moveTime(float64(r.PromptTokens), from, to)
}

// holder is the accepting engine that holds most of the prompt.
func (p *Measured) holder(r *policy.Request, f *policy.Fleet, list []int) (best *policy.Upstream, held int) {
	if len(r.Prefix) == 0 {
		return nil, 0
	}
	for _, i := range list {
		u := f.Upstreams[i]
		if u.Cache == nil || !u.Accepting || u.Computing[r.Prefix[0]] > 0 {
			continue
		}
		if n := u.Cache.Match(r.Prefix); n > held {
			best, held = u, n
		}
	}
	return best, held
}

// home is the engine that all entry VMs take for a prompt that no engine holds, so that requests that meet at several entry VMs
// compute its shared parts once. Engines for prompts are preferred.
func (p *Measured) home(r *policy.Request, f *policy.Fleet, list []int) *policy.Upstream {
	if len(r.Prefix) == 0 {
		return nil
	}
	var best *policy.Upstream
	most := uint64(0)
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.Accepting {
			continue
		}
		if best != nil && kindOf(best) < kindOf(u) {
			continue
		}
		h := policy.Spread(u.Hash ^ r.Prefix[0])
		if best == nil || kindOf(u) < kindOf(best) || h > most {
			best, most = u, h
		}
	}
	return best
}

// decoder is the engine that takes over a prompt computed elsewhere.
func (p *Measured) decoder(now time.Duration, r *policy.Request, f *policy.Fleet, list []int, loose bool) *policy.Upstream {
	var best *policy.Upstream
	least := math.Inf(1)
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.Takes(r) || u.Role == topo.RolePrefill || !loose && (r.Avoids(i) || f.Health.Excluded(now, i)) {
			continue
		}
		load := p.load(now, u) + p.tieBreak() + p.distance(r, u)
		if p.full(r, u) {
			load += 1
		}
		if load < least {
			best, least = u, load
		}
	}
	return best
}

// PickDecoder implements policy.DecoderPicker.
func (p *Measured) PickDecoder(now time.Duration, r *policy.Request, f *policy.Fleet) int {
	list := f.Candidates(r)
	for loose := range 2 {
		if u := p.decoder(now, r, f, list, loose == 1); u != nil {
			return u.Index
		}
	}
	return policy.None
}

// load is the expected slowing of a stream at u, in seconds.
func (p *Measured) load(now time.Duration, u *policy.Upstream) float64 {
	rate := p.rate(now, u)
	streams := float64(u.OwnRunning + u.OtherRunning())
	return (u.OwnPrefill+u.OtherPrefill())/rate + streams*p.StreamMS/1000*p.DecodeRate/rate
}

// full says that u has no slot left for r.
func (p *Measured) full(r *policy.Request, u *policy.Upstream) bool {
	limit := p.Oversubscribe * float64(max(u.Spec.MaxBatch, 1))
	if r.Priority > 0 {
		limit *= lowerShare
	}
	return float64(u.OwnRunning+u.OtherRunning()) >= limit
}

// service places a call of a plain service at the server with the least load for its speed. A server in the own data centre
// goes first among idle ones.
func (p *Measured) service(now time.Duration, r *policy.Request, f *policy.Fleet, list []int) policy.Choice {
	best, least := (*policy.Upstream)(nil), math.Inf(1)
	for loose := range 2 {
		for _, i := range list {
			u := f.Upstreams[i]
			if !u.Takes(r) || loose == 0 && (r.Avoids(i) || f.Health.Excluded(now, i)) {
				continue
			}
			if t := serviceEstimate(u, f.Health.Factor(i)).first + p.tieBreak(); t < least {
				best, least = u, t
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return policy.Choice{Prefill: policy.None, Decode: policy.None}
	}
	full := float64(best.OwnRunning+best.OtherRunning()) >= p.Oversubscribe*float64(max(best.Spec.MaxBatch, 1))
	return policy.Choice{
		Prefill: best.Index, Decode: best.Index, FirstToken: seconds(least), Finish: seconds(least), Defer: full,
	}
}
