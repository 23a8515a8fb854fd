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

// Measured routes prompts by the measured prefill rate of each engine. It needs no figures from a specification.
//
// A prefill engine computes prompts fast and hands the KV cache over; a decode engine computes them slowly beside its streams,
// but needs no hand-over. A prompt goes to the engine with the earliest expected first token, after a charge for the engine
// time that it takes from other requests. Shared pieces cached at another engine are fetched when that is faster than
// computing them.
//
// It suits loads of long shared prompts whose prefill saturates the engines, with swings between long prompts and long answers.
type Measured struct {
	Seed          uint64  `json:"seed"`
	PrefillRate   float64 `json:"prefill_rate"`     // prompt tokens per second assumed of a prefill engine before it is measured
	DecodeRate    float64 `json:"decode_rate"`      // prompt tokens per second assumed of a decode engine before it is measured
	OverheadMS    float64 `json:"overhead_ms"`      // fixed time of each prompt
	HandOverMS    float64 `json:"hand_over_ms"`     // fixed time to move a prompt's KV cache
	FetchMS       float64 `json:"fetch_ms"`         // fixed time to fetch cached pieces
	StreamMS      float64 `json:"stream_ms"`        // expected delay of a first token by each stream on the engine
	TokenMS       float64 `json:"token_ms"`         // time of one output token
	WorkWeight    float64 `json:"work_weight"`      // weight of the engine time taken from other requests, in the score
	DelayWeight   float64 `json:"delay_weight"`     // weight of the time for which a prompt delays the streams on its engine, where their pace is strict
	AwayMS        float64 `json:"away_ms"`          // charge for a prompt that no engine has cached and that does not go to its home engine
	DistanceMS    float64 `json:"distance_ms"`      // charge per 1,000 prompt tokens sent to another data centre
	MaxBacklogMS  float64 `json:"max_backlog_ms"`   // expected wait above which requests wait in the entry VM
	RiseWeight    float64 `json:"rise_weight"`      // weight of a measurement above the current rate
	FallWeight    float64 `json:"fall_weight"`      // weight of a measurement below it, which mostly reflects an unreported wait
	FullWork      float64 `json:"full_work"`        // prompt tokens from which a measurement has its full weight
	Oversubscribe float64 `json:"oversubscribe"`    // streams per batch slot above which requests wait in the entry VM
	MoveBytesPerS float64 `json:"move_bytes_per_s"` // bandwidth of an engine's link for KV cache
	TokenBytes    float64 `json:"token_bytes"`      // bytes of KV cache per token
	UseFigures    bool    `json:"use_figures"`      // the specification's figures, where stated, replace move_bytes_per_s and token_bytes
	CountMemory   bool    `json:"count_memory"`     // an engine is also full if its KV cache has no room for the request beside those that run
	DataCentre    string  `json:"data_centre"`      // of this entry VM; empty: distances are not charged
	SpreadChoices int     `json:"spread_choices"`   // random engines of each role that are compared, beside home and holder; 0: all

	// StrictPaceOnly restricts SpreadChoices and Spill to engines whose streams leave little time for a token.
	StrictPaceOnly bool `json:"strict_pace_only"`
	// Spill decides which requests go to another data centre, in place of DistanceMS; nil: DistanceMS applies.
	Spill policy.Spill `json:"-"`
	// Heard returns the data centres whose entry VMs have been heard from recently, and whether no other VM has; nil: all are. The
	// router keeps the answer for heardInterval.
	Heard func() (dataCentres map[string]bool, alone bool) `json:"-"`

	state        uint64
	rates        []engineRate
	typicalRates [2]float64 // smoothed rates of all engines, by rateClass
	meanHeld     float64    // smoothed tokens of KV cache that a request needs
	tokenSeconds float64    // time of one output token
	spill        spillState
	strictPace   bool // of the engines of the request in hand
	sample       sampleState
	inspector    policy.Inspector // of a preview; otherwise nil
}

type engineRate struct {
	hash            uint64 // of the measured engine, since upstream indexes are reused
	tokensPerSecond float64
	samples         int
	measuredAt      time.Duration
}

// ModuleInfo implements kernel.Module.
func (*Measured) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "routing.measured", New: func() kernel.Module {
		return &Measured{
			Seed: 1, PrefillRate: 60000, DecodeRate: 25000, OverheadMS: 35, HandOverMS: 30, FetchMS: 20, StreamMS: 0.3, TokenMS: 6,
			WorkWeight: 1, DelayWeight: 1, AwayMS: 40, DistanceMS: 2, MaxBacklogMS: 400, RiseWeight: 0.35, FallWeight: 0.1, FullWork: 4000, Oversubscribe: 1, MoveBytesPerS: 12e9, TokenBytes: 20000,
		}
	}}
}

// Provision implements kernel.Provisioner.
func (p *Measured) Provision() error {
	p.state = policy.Mix64(p.Seed + 0x9e3779b97f4a7c15)
	p.typicalRates = [2]float64{p.PrefillRate, p.DecodeRate}
	p.tokenSeconds = p.TokenMS / 1000
	return nil
}

// Validate implements kernel.Validator.
func (p *Measured) Validate() error {
	if p.PrefillRate <= 0 || p.DecodeRate <= 0 || p.MaxBacklogMS <= 0 || p.SpreadChoices < 0 || p.RiseWeight <= 0 || p.FallWeight <= 0 || p.FullWork <= 0 || p.MoveBytesPerS <= 0 {
		return errors.New("prefill_rate, decode_rate, max_backlog_ms, rise_weight, fall_weight, full_work and move_bytes_per_s must be positive, spread_choices not negative")
	}
	return nil
}

const (
	maxLogStep = 1.0   // largest change of a rate's logarithm by one measurement
	minRate    = 500.0 // prompt tokens per second; the lower bound of a measurement, since slower engines are avoided anyway
	// rateHalfLife is the age from which a measured rate returns to the typical one, and the half-life of that return. An engine
	// that was slow for a while is thus tried again.
	rateHalfLife = 4 * time.Second
	// minLearnedTokens is the smallest prompt from which a rate is learned; the overhead dominates the time of smaller ones.
	minLearnedTokens = 400.0
)

// rateClass returns the index of u in typicalRates: 0 for prefill engines, 1 for others.
func rateClass(u *policy.Upstream) int {
	if u.Role == topo.RolePrefill {
		return 0
	}
	return 1
}

// rate returns the prompt tokens per second that u is expected to compute.
func (p *Measured) rate(now time.Duration, u *policy.Upstream) float64 {
	typical := p.typicalRates[rateClass(u)]
	if u.Index >= len(p.rates) {
		return typical
	}
	r := &p.rates[u.Index]
	if r.samples == 0 || r.hash != u.Hash {
		return typical
	}
	if age := now - r.measuredAt; age > rateHalfLife {
		f := math.Exp2(-float64(age-rateHalfLife) / float64(rateHalfLife))
		return typical + f*(r.tokensPerSecond-typical)
	}
	return r.tokensPerSecond
}

// Learn implements policy.Learner. The measured time includes the prompts known to be ahead. Prompts of other entry VMs that
// were not reported yet make an engine look slow, so a rate rises faster than it falls.
func (p *Measured) Learn(now time.Duration, r *policy.Request, f *policy.Fleet, took time.Duration, done bool) {
	u := f.Upstreams[r.Prefill]
	if done {
		p.noteSent(r, u)
	}
	work := r.Work(r.Cached) + r.Backlog
	if work < minLearnedTokens {
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
	step := weight * min(max(math.Log(sample/known), -maxLogStep), maxLogStep)
	e.tokensPerSecond = known * math.Exp(step)
	e.samples++
	e.measuredAt = now
	const typicalWeight = 0.2 // a fleet changes more slowly than an engine
	p.typicalRates[rateClass(u)] *= math.Exp(typicalWeight * step)
}

// plan is one assignment of a request to engines, with its expected times.
type plan struct {
	prefill, decode *policy.Upstream
	source          *policy.Upstream
	cached          int
	backlog         float64
	firstToken      float64 // seconds to the first token
	wait            float64 // part of firstToken that is spent on prompts ahead
	score           float64
	full            bool
}

// Route implements policy.Router.
func (p *Measured) Route(now time.Duration, r *policy.Request, f *policy.Fleet) policy.Choice {
	list := f.Candidates(r)
	if r.Service != "" {
		return p.routeService(now, r, f, list)
	}
	p.noteEngines(f, list)
	if r.Attempts == 0 {
		p.learnHeld(r)
	}
	var best plan
	var withPermit *policy.Upstream
	for relaxed := range 2 {
		if p.spills(r) {
			best, withPermit = p.bestPlanWithSpill(now, r, f, list, relaxed == 1)
		} else {
			best, withPermit = p.bestPlan(now, r, f, list, list, relaxed == 1)
		}
		if best.prefill != nil {
			break
		}
	}
	if best.prefill == nil {
		return policy.Choice{Prefill: policy.None, Decode: policy.None, WithPermit: withPermit}
	}
	output := max(r.ExpectedOutput-float64(r.Generated), 1) * p.tokenSeconds
	return policy.Choice{
		Prefill: best.prefill.Index, Decode: best.decode.Index, Cached: best.cached, Backlog: best.backlog, Source: best.source,
		WithPermit: withPermit, FirstToken: seconds(best.firstToken), Finish: seconds(best.firstToken + output),
		Defer: best.full || best.wait > p.MaxBacklogMS/1000,
	}
}

// noteEngines sets what the engines of a request have in common.
func (p *Measured) noteEngines(f *policy.Fleet, list []int) {
	p.strictPace = len(list) > 0 && f.Upstreams[list[0]].Spec.StrictPace
}

// applies reports whether SpreadChoices and Spill apply to the request in hand.
func (p *Measured) applies() bool { return p.strictPace || !p.StrictPaceOnly }

// bestPlan returns the plan with the least score, without a prefill engine if there is none, and the limited engine of a
// better plan that lacks only a permit, or nil. Cached pieces may be fetched from all engines in sources, which contains list.
func (p *Measured) bestPlan(now time.Duration, r *policy.Request, f *policy.Fleet, list, sources []int, relaxed bool) (best plan, withPermit *policy.Upstream) {
	best = plan{score: math.Inf(1)}
	leastWithPermit := math.Inf(1)
	holder, held := p.cacheHolder(r, f, list)
	if len(sources) > len(list) {
		if h, n := p.cacheHolder(r, f, sources); n > held {
			holder, held = h, n
		}
	}
	home := p.homeEngine(r, f, list)
	decoder, decoderWithPermit := p.bestDecoder(now, r, f, list, relaxed)
	for _, i := range p.compared(now, f, r, list, holder, home, relaxed) {
		u := f.Upstreams[i]
		lacksPermit := u.LacksPermit(r)
		if !lacksPermit && !u.CanTake(r) || !relaxed && (r.Avoids(i) || f.Health.Excluded(now, i)) {
			continue
		}
		q := p.planAt(now, r, f, u)
		if u.Role == topo.RolePrefill {
			if decoder == nil {
				continue
			}
			q.decode = decoder
			q.firstToken += p.handOverSeconds(r, u, decoder)
			q.full = p.isFull(r, decoder)
		} else {
			q.full = p.isFull(r, u)
		}
		if held > q.cached && holder != u {
			if fetched := p.planWithFetch(now, r, u, q, holder, held); fetched.firstToken+p.fetchCharge(r, fetched) < q.firstToken {
				q = fetched
			}
		}
		q.score = q.firstToken + p.fetchCharge(r, q) + p.WorkWeight*r.Work(q.cached)/p.rate(now, u) + p.tieBreak() + p.distanceCharge(r, u)
		if q.decode != u {
			q.score += p.distanceCharge(r, q.decode)
		}
		if held == 0 && len(r.Prefix) > 0 && u != home {
			q.score += p.AwayMS / 1000
		}
		if p.strictPace && u.Role != topo.RolePrefill {
			q.score += p.DelayWeight * float64(u.OwnRunning+u.OtherRunning()) * r.Work(q.cached) / p.rate(now, u)
		}
		if q.full {
			q.score += 1
		}
		q.score -= permitBonus(u)
		if p.inspector != nil && !lacksPermit {
			p.inspector.Compared(p.costOf(now, r, q))
		}
		switch {
		case lacksPermit && q.score < leastWithPermit:
			withPermit, leastWithPermit = u, q.score
		case !lacksPermit && q.score < best.score:
			best = q
		}
	}
	if leastWithPermit >= best.score {
		withPermit = nil
		if best.decode != best.prefill || best.prefill == nil {
			withPermit = decoderWithPermit
		}
	}
	return best, withPermit
}

// tieBreak returns a small random charge, so that entry VMs with equal choices pick different engines.
func (p *Measured) tieBreak() float64 {
	const spread = 0.002 // seconds
	p.state += 0x9e3779b97f4a7c15
	return spread * float64(policy.Mix64(p.state)>>40) / (1 << 24)
}

// permitBonus returns the preference for a limited upstream, in seconds. A permit that is not used is capacity lost, while the
// other upstreams stay free for later requests. One whose limit is unconfirmed is asked even if others are faster, as it would
// otherwise get no work after its limit has ended.
func permitBonus(u *policy.Upstream) float64 {
	const (
		bonus            = 0.02
		unconfirmedBonus = 0.5
	)
	switch {
	case u.LimitUnconfirmed && u.Permits > 0:
		return unconfirmedBonus
	case u.Limited:
		return bonus
	}
	return 0
}

// distanceCharge returns the charge for sending r to u. Traffic between data centres is expensive, and most of it is prompts.
func (p *Measured) distanceCharge(r *policy.Request, u *policy.Upstream) float64 {
	if p.DataCentre == "" || u.Spec.DataCentre == p.DataCentre {
		return 0
	}
	if p.spills(r) {
		return p.spillCharge(r)
	}
	return p.DistanceMS / 1000 * float64(r.PromptTokens) / 1000
}

// planAt returns the plan to compute the prompt at u with the pieces cached there.
func (p *Measured) planAt(now time.Duration, r *policy.Request, f *policy.Fleet, u *policy.Upstream) plan {
	q := plan{prefill: u, decode: u}
	if u.Cache != nil && len(r.Prefix) > 0 {
		q.cached = u.Cache.Match(r.Prefix)
	}
	rate := p.rate(now, u)
	q.backlog = prefillAhead(u, r.Priority)
	q.wait = q.backlog / rate
	q.firstToken = p.OverheadMS/1000 + q.wait + r.Work(q.cached)/rate + float64(u.OwnRunning+u.OtherRunning())*p.StreamMS/1000
	return q
}

// planWithFetch returns q changed to fetch the pieces that holder has cached.
func (p *Measured) planWithFetch(now time.Duration, r *policy.Request, u *policy.Upstream, q plan, holder *policy.Upstream, held int) plan {
	rate := p.rate(now, u)
	q.firstToken -= (r.Work(q.cached) - r.Work(held)) / rate
	q.firstToken += p.fetchSeconds(held-q.cached, holder, u)
	q.cached, q.source = held, holder
	return q
}

func (p *Measured) handOverSeconds(r *policy.Request, from, to *policy.Upstream) float64 {
	return p.HandOverMS/1000 + p.moveSeconds(float64(r.PromptTokens), from, to)
}

// cacheHolder returns the accepting engine that has cached the most pieces of the prompt, and their number. Limited engines
// are left out, since a fetch is another request to them.
func (p *Measured) cacheHolder(r *policy.Request, f *policy.Fleet, list []int) (best *policy.Upstream, held int) {
	if len(r.Prefix) == 0 {
		return nil, 0
	}
	for _, i := range list {
		u := f.Upstreams[i]
		if u.Cache == nil || !u.Accepting || u.Limited || u.Computing[r.Prefix[0]] > 0 {
			continue
		}
		if n := u.Cache.Match(r.Prefix); n > held {
			best, held = u, n
		}
	}
	return best, held
}

// homeEngine returns the engine that all entry VMs prefer for a prompt that no engine has cached, so that the shared parts of
// requests at several entry VMs are computed once. Prefill engines are preferred.
func (p *Measured) homeEngine(r *policy.Request, f *policy.Fleet, list []int) *policy.Upstream {
	if len(r.Prefix) == 0 {
		return nil
	}
	var best *policy.Upstream
	most := uint64(0)
	for _, i := range list {
		u := f.Upstreams[i]
		if !u.Accepting || u.Limited {
			continue
		}
		if best != nil && rateClass(best) < rateClass(u) {
			continue
		}
		h := policy.Mix64(u.Hash ^ r.Prefix[0])
		if best == nil || rateClass(u) < rateClass(best) || h > most {
			best, most = u, h
		}
	}
	return best
}

// bestDecoder returns the engine that takes over a prompt computed elsewhere, or nil, and the limited engine that would if a
// permit were at hand, or nil.
func (p *Measured) bestDecoder(now time.Duration, r *policy.Request, f *policy.Fleet, list []int, relaxed bool) (best, withPermit *policy.Upstream) {
	least, leastWithPermit := math.Inf(1), math.Inf(1)
	for _, i := range p.compared(now, f, r, list, nil, nil, relaxed) {
		u := f.Upstreams[i]
		lacksPermit := u.LacksPermit(r)
		if !lacksPermit && !u.CanTake(r) || u.Role == topo.RolePrefill || !relaxed && (r.Avoids(i) || f.Health.Excluded(now, i)) {
			continue
		}
		load := p.streamSlowdown(now, u) + p.tieBreak() + p.distanceCharge(r, u) - permitBonus(u)
		if p.isFull(r, u) {
			load += 1
		}
		switch {
		case lacksPermit && load < leastWithPermit:
			withPermit, leastWithPermit = u, load
		case !lacksPermit && load < least:
			best, least = u, load
		}
	}
	if leastWithPermit >= least {
		withPermit = nil
	}
	return best, withPermit
}

// PickDecoder implements policy.DecoderPicker.
func (p *Measured) PickDecoder(now time.Duration, r *policy.Request, f *policy.Fleet) int {
	list := f.Candidates(r)
	p.noteEngines(f, list)
	if u := p.decoderBeside(now, r, f, list); u != nil {
		return u.Index
	}
	for relaxed := range 2 {
		if u, _ := p.bestDecoder(now, r, f, list, relaxed == 1); u != nil {
			return u.Index
		}
	}
	return policy.None
}

// streamSlowdown returns the expected delay of a stream at u, in seconds.
func (p *Measured) streamSlowdown(now time.Duration, u *policy.Upstream) float64 {
	rate := p.rate(now, u)
	streams := float64(u.OwnRunning + u.OtherRunning())
	return (u.OwnPrefill+u.OtherPrefill())/rate + streams*p.StreamMS/1000*p.DecodeRate/rate
}

// isFull reports whether u has no slot left for r.
func (p *Measured) isFull(r *policy.Request, u *policy.Upstream) bool {
	limit := p.Oversubscribe * float64(max(u.Spec.MaxBatch, 1))
	if r.Priority > 0 {
		limit *= lowPrioritySlotShare
	}
	if p.CountMemory && u.Spec.KVPieces > 0 {
		need := float64(r.PromptTokens) + r.ExpectedOutput
		if u.OwnHeld+float64(u.OtherRunning())*p.meanHeld+need > float64(u.Spec.KVPieces*policy.PieceTokens) {
			return true
		}
	}
	return float64(u.OwnRunning+u.OtherRunning()) >= limit
}

// learnHeld updates the mean need of a request for KV cache, which is assumed for the requests of other entry VMs.
func (p *Measured) learnHeld(r *policy.Request) {
	const smoothing = 0.02
	need := float64(r.PromptTokens) + r.ExpectedOutput
	if p.meanHeld == 0 {
		p.meanHeld = need
	}
	p.meanHeld += smoothing * (need - p.meanHeld)
}
