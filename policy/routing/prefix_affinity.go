package routing

import (
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// PrefixAffinity picks the engine with the lowest expected time to the first token among random candidates and the home
// engines of the request's prefix, and then the engine with the shortest expected generation. Home engines follow from
// consistent hashing of the first piece, so all entry VMs agree on them without communication.
//
// The lowest-ranked engines for both phases form the decode pool, which generates and computes only light prompts. Heavy
// prompts are computed by the other engines, and their streams move to the decode pool by KV export.
type PrefixAffinity struct {
	Seed          uint64  `json:"seed"`
	Samples       int     `json:"samples"`        // random candidates compared
	LightTokens   int     `json:"light_tokens"`   // prompts with less to compute may run in the decode pool
	MaxBacklogMS  int     `json:"max_backlog_ms"` // prefill backlog of an engine above which requests wait in the entry VM
	Oversubscribe float64 `json:"oversubscribe"`  // streams per batch slot above which requests wait in the entry VM
	DecodeWeight  float64 `json:"decode_weight"`  // weight of the expected generation time in the score
	ReuseWeight   float64 `json:"reuse_weight"`   // additional weight in the score of the engine time that cached pieces save
	RaiseFill     float64 `json:"raise_fill"`     // occupied share of the decode slots above which one more engine joins the decode pool
	// LowerFill times RaiseFill is the occupied share below which one engine less suffices. LowerFill replaces RaiseFill
	// while prompts are few.
	LowerFill float64 `json:"lower_fill"`

	state uint64
	pools map[string]*decodePool
}

// decodePool is the state of one model's decode pool.
type decodePool struct {
	size             int
	started          bool
	streams          float64 // smoothed number of streams that need a slot
	prefillBusyShare float64 // smoothed share of the other engines that are busy with prompts
	changedAt        time.Duration
	checkedAt        time.Duration
	priorityShare    [policy.Priorities]float64 // smoothed share of the own requests with this priority or a higher one
}

// ModuleInfo implements kernel.Module.
func (*PrefixAffinity) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "routing.prefix_affinity", New: func() kernel.Module {
		return &PrefixAffinity{
			Seed: 1, Samples: 6, LightTokens: 1000, MaxBacklogMS: 1500, Oversubscribe: 1.3, DecodeWeight: 0.3, ReuseWeight: 2,
			RaiseFill: 0.92, LowerFill: 0.75,
		}
	}}
}

// Provision implements kernel.Provisioner.
func (p *PrefixAffinity) Provision() error {
	p.state = policy.Mix64(p.Seed + 0x9e3779b97f4a7c15)
	p.pools = map[string]*decodePool{}
	return nil
}

// Validate implements kernel.Validator.
func (p *PrefixAffinity) Validate() error {
	if p.Samples < 2 || p.LightTokens < 1 || p.MaxBacklogMS < 1 || p.Oversubscribe <= 0 || p.DecodeWeight < 0 {
		return errors.New("samples must be at least 2, light_tokens, max_backlog_ms and oversubscribe positive")
	}
	if p.LowerFill >= p.RaiseFill {
		return errors.New("lower_fill must be less than raise_fill")
	}
	return nil
}

// randomBelow returns a random number in [0, n).
func (p *PrefixAffinity) randomBelow(n int) int {
	p.state += 0x9e3779b97f4a7c15
	return int((policy.Mix64(p.state) >> 32) * uint64(n) >> 32)
}

// search is the state of one Route call.
type search struct {
	now              time.Duration
	r                *policy.Request
	f                *policy.Fleet
	candidates       []int
	poolSize         int     // engines with a lower rank are in the decode pool
	prefillBusyShare float64 // share of the engines outside the pool that are busy with prompts
	priorityShare    float64 // share of other entry VMs' requests with r's priority or a higher one
	relaxed          bool    // exclusions, avoided upstreams and the limit to light prompts no longer count
	best             int
	bestScore        float64
	bestEstimate     estimate
}

// Route implements policy.Router.
func (p *PrefixAffinity) Route(now time.Duration, r *policy.Request, f *policy.Fleet) policy.Choice {
	s := search{now: now, r: r, f: f, candidates: f.Candidates(r), best: policy.None, bestScore: math.Inf(1), priorityShare: 1}
	if len(s.candidates) == 0 {
		return policy.Choice{Prefill: policy.None, Decode: policy.None}
	}
	if r.Service == "" {
		s.poolSize = p.decodePoolSize(&s)
	}
	p.considerSample(&s, p.considerHomes(&s))
	if s.best == policy.None {
		p.considerAll(&s)
	}
	if s.best == policy.None {
		s.relaxed = true
		p.considerAll(&s)
	}
	return p.choice(&s)
}

// fullScanLimit is the number of engines up to which candidates are drawn from all eligible ones. Longer lists hold enough
// engines inside and outside the pool, and candidates are drawn without a check of their eligibility.
const fullScanLimit = 16

// considerSample considers a few random candidates. Comparing all engines would make every entry VM pick the same one until
// the next reports; two random choices keep the load balanced even with reports that are seconds old.
func (p *PrefixAffinity) considerSample(s *search, homes int) {
	n := len(s.candidates)
	if n > fullScanLimit {
		for range p.Samples {
			p.consider(s, s.candidates[p.randomBelow(n)])
		}
		return
	}
	light := s.r.PromptTokens < p.LightTokens
	var pool, other randomPair
	for _, i := range s.candidates {
		u := s.f.Upstreams[i]
		switch {
		case !u.CanTake(s.r) || u.Role == topo.RoleDecode || s.r.Avoids(i) || s.f.Health.Excluded(s.now, i):
		case s.inDecodePool(u):
			pool.add(p, i)
		default:
			other.add(p, i)
		}
	}
	if light {
		pool.consider(p, s)
	}
	// Outside the pool, a light prompt waits for the current chunk of another prompt, which is many times its size.
	// The two home engines of an uncached prefix already are random candidates.
	homesSuffice := homes >= 2 && s.best != policy.None && s.bestEstimate.cached == 0 && !s.bestEstimate.isFull
	if s.best == policy.None || s.bestEstimate.isFull || !light && !homesSuffice {
		other.consider(p, s)
	}
	if s.best == policy.None {
		pool.consider(p, s)
	}
}

// randomPair is a reservoir sample of two of the added indices; each pair has the same probability.
type randomPair struct {
	n      int
	picked [2]int
}

func (d *randomPair) add(p *PrefixAffinity, i int) {
	d.n++
	if d.n <= len(d.picked) {
		d.picked[d.n-1] = i
		return
	}
	if k := p.randomBelow(d.n); k < len(d.picked) {
		d.picked[k] = i
	}
}

func (d *randomPair) consider(p *PrefixAffinity, s *search) {
	for _, i := range d.picked[:min(d.n, len(d.picked))] {
		p.consider(s, i)
	}
}

func (p *PrefixAffinity) considerAll(s *search) {
	n := len(s.candidates)
	start := p.randomBelow(n)
	for k := range n {
		p.consider(s, s.candidates[(start+k)%n])
	}
}

// maxHomeSteps bounds the walk along the hash ring past engines that can't take the prompt.
const maxHomeSteps = 48

// considerHomes considers the first two eligible engines on the hash ring from the prefix's position, and returns how many
// it found.
func (p *PrefixAffinity) considerHomes(s *search) int {
	points := s.f.Rings[s.r.Model]
	if len(s.r.Prefix) == 0 || len(points) == 0 {
		return 0
	}
	key := policy.Mix64(s.r.Prefix[0])
	lo, hi := 0, len(points)
	for lo < hi {
		if mid := (lo + hi) / 2; points[mid].Hash < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	first := policy.None
	for k := range min(maxHomeSteps, len(points)) {
		i := points[(lo+k)%len(points)].Index
		u := s.f.Upstreams[i]
		if i == first || !u.CanTake(s.r) || u.Role == topo.RoleDecode || s.inDecodePool(u) || s.f.Health.Excluded(s.now, i) {
			continue
		}
		p.consider(s, i)
		if first != policy.None {
			return 2
		}
		first = i
	}
	if first == policy.None {
		return 0
	}
	return 1
}

func (s *search) inDecodePool(u *policy.Upstream) bool { return u.Rank >= 0 && u.Rank < s.poolSize }

// consider makes upstream i the best candidate if its score is lower than that of the best so far.
func (p *PrefixAffinity) consider(s *search, i int) {
	u := s.f.Upstreams[i]
	if i == s.best || !u.CanTake(s.r) || u.Role == topo.RoleDecode {
		return
	}
	if !s.relaxed && (s.r.Avoids(i) || s.f.Health.Excluded(s.now, i)) {
		return
	}
	e := p.estimateAt(s, u, s.f.Health.Factor(i))
	if !s.relaxed && e.work >= float64(p.LightTokens) && s.inDecodePool(u) {
		return
	}
	if s.r.Avoids(i) {
		e.firstToken *= 2
	}
	if score := e.firstToken - p.ReuseWeight*e.saved + p.DecodeWeight*e.decode; score < s.bestScore {
		s.best, s.bestScore, s.bestEstimate = i, score, e
	}
}

func (p *PrefixAffinity) choice(s *search) policy.Choice {
	c := policy.Choice{Prefill: s.best, Decode: s.best}
	if s.best == policy.None {
		return c
	}
	e := s.bestEstimate
	if u := s.f.Upstreams[s.best]; u.Spec.Kind == topo.KindEngine && !s.inDecodePool(u) {
		if c.Decode = p.bestDecoder(s, &e); c.Decode == policy.None {
			return policy.Choice{Prefill: policy.None, Decode: policy.None}
		}
	}
	c.Cached = e.cached
	c.FirstToken = seconds(e.firstToken)
	c.Finish = seconds(e.firstToken + e.decode)
	c.Defer = e.backlog > float64(p.MaxBacklogMS)/1000 || e.isFull
	return c
}

// bestDecoder returns the engine that generates: one that takes no heavy prompts, unless those are full or there are none. A
// single stream beside heavy prompts cuts them into small chunks and costs the engine a third of its prefill rate.
func (p *PrefixAffinity) bestDecoder(s *search, e *estimate) int {
	prefill := s.f.Upstreams[s.best]
	if prefill.Role != topo.RolePrefill && s.r.PromptTokens < p.LightTokens && prefill.OwnPrefill+prefill.OtherPrefill() < chunkTokens {
		// Moving a light prompt's pieces takes three more calls, and this engine has no heavy prompt that the stream would slow.
		return s.best
	}
	best, least := policy.None, math.Inf(1)
	moveSeconds := float64(s.r.PromptTokens/policy.PieceTokens+1) * transferSeconds
	d := p.sampleDecoders(s, false)
	if d.n == 0 && prefill.Role == topo.RolePrefill {
		d = p.sampleDecoders(s, true)
	}
	for _, i := range d.picked[:min(d.n, len(d.picked))] {
		if t := p.decodeSeconds(s, s.f.Upstreams[i], s.f.Health.Factor(i)) + moveSeconds; t < least {
			best, least = i, t
		}
	}
	if prefill.Role != topo.RolePrefill && (best == policy.None || p.isFull(s, s.f.Upstreams[best]) && e.decode < least) {
		return s.best
	}
	if best != policy.None {
		e.decode, e.isFull = least, p.isFull(s, s.f.Upstreams[best])
	}
	return best
}

func (p *PrefixAffinity) sampleDecoders(s *search, includeExcluded bool) randomPair {
	var d randomPair
	n := len(s.candidates)
	start := p.randomBelow(n)
	for k := range n {
		if n > fullScanLimit && k >= p.Samples && d.n >= len(d.picked) {
			break
		}
		i := s.candidates[(start+k)%n]
		u := s.f.Upstreams[i]
		if i != s.best && u.CanTake(s.r) && s.generates(u) && (includeExcluded || !s.f.Health.Excluded(s.now, i) && (s.relaxed || !s.r.Avoids(i))) {
			d.add(p, i)
		}
	}
	return d
}

// generates reports whether u takes streams whose prompts were computed elsewhere.
func (s *search) generates(u *policy.Upstream) bool {
	return u.Role == topo.RoleDecode || s.inDecodePool(u) || s.poolSize == 0 && u.Role == topo.RoleBoth
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
