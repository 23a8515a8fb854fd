package routing

import (
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// estimate holds the expected times of a request at one upstream, in seconds, and the figures behind them.
type estimate struct {
	firstToken float64 // until the first token
	decode     float64 // from the first token to the end
	backlog    float64 // prefill work ahead at the same or a higher priority
	work       float64 // prompt tokens to compute
	saved      float64 // engine time that cached pieces save
	isFull     bool    // no batch slot is free
	cached     int     // pieces of the prefix believed cached
}

// Assumptions about engines. Engines are only compared with each other, so a common error cancels out.
const (
	singleStreamStepShare = 0.5   // time of a decode step with one stream relative to a full batch; each step reads the weights once
	mixedPrefillFactor    = 1.15  // slowdown of prompts computed beside streams
	chunkTokens           = 512   // prompt tokens between two decode steps
	transferSeconds       = 0.004 // time to move one piece of KV cache
)

// estimateAt computes the expected times of the request at u.
func (p *PrefixAffinity) estimateAt(s *search, u *policy.Upstream, slowdown float64) estimate {
	if u.Spec.Kind == topo.KindService {
		return serviceEstimate(u, slowdown)
	}
	r := s.r
	e := estimate{isFull: p.isFull(s, u)}
	if u.Cache != nil && len(r.Prefix) > 0 {
		e.cached = u.Cache.Match(r.Prefix)
	}
	e.work = r.Work(e.cached)
	rate := max(u.Spec.PrefillTokensPerSecond, 1)
	decoding := 0.0
	if s.generates(u) || s.poolSize == 0 && u.Role == topo.RoleBoth {
		decoding = float64(u.OwnRunning + u.OtherRunning())
	}
	if decoding > 0 {
		// Each chunk of the prompt shares an engine step with the streams.
		step := p.stepSeconds(u, decoding)
		rate = chunkTokens / (step + chunkTokens*mixedPrefillFactor/rate)
		e.firstToken = step / 2
	}
	if s.takesHeavyPrompts(u) {
		// A light prompt waits for the current step, which is likely to include a chunk of another prompt.
		e.firstToken += s.prefillBusyShare * slowdown * chunkTokens * mixedPrefillFactor / u.Spec.PrefillTokensPerSecond
	}
	e.backlog = slowdown * prefillAhead(u, r.Priority) / rate
	e.firstToken += e.backlog + slowdown*e.work/rate
	e.saved = float64(e.cached*policy.PieceTokens) / rate
	if e.isFull {
		excess := s.occupiedSlots(u) - p.Oversubscribe*float64(u.Spec.MaxBatch) + 1
		e.firstToken += slowdown * max(excess, 1) * p.stepSeconds(u, float64(u.Spec.MaxBatch)) * max(r.ExpectedOutput, 1) / float64(max(u.Spec.MaxBatch, 1))
	}
	e.decode = p.decodeSeconds(s, u, slowdown)
	return e
}

func serviceEstimate(u *policy.Upstream, slowdown float64) estimate {
	const call = 0.05 // seconds of a typical call; only the comparison between servers matters
	slots := float64(max(u.Spec.MaxBatch, 1))
	busy := float64(u.OwnRunning+u.OtherRunning()) / slots
	return estimate{firstToken: slowdown * call * (1 + busy), isFull: busy >= 2}
}

// prefillAhead returns the prompt tokens that u computes before a new request of this priority. Load reports do not split
// other entry VMs' tokens by priority; the same split as for the own tokens is assumed.
func prefillAhead(u *policy.Upstream, priority int) float64 {
	own := 0.0
	for i := 0; i <= min(max(priority, 0), policy.Priorities-1); i++ {
		own += u.OwnPrefillBy[i]
	}
	share := 1.0
	if u.OwnPrefill > 0 {
		share = min(own/u.OwnPrefill, 1)
	} else if priority == 0 {
		share = 0.5
	}
	return own + share*u.OtherPrefill()
}

// stepSeconds returns the time of one decode step with this many streams.
func (p *PrefixAffinity) stepSeconds(u *policy.Upstream, streams float64) float64 {
	if u.Spec.DecodeTokensPerSecond <= 0 {
		return 0
	}
	batch := float64(max(u.Spec.MaxBatch, 1))
	return batch / u.Spec.DecodeTokensPerSecond * (singleStreamStepShare + (1-singleStreamStepShare)*min(streams/batch, 1))
}

// decodeSeconds returns the expected time to generate the output at u. Prompts computed meanwhile lengthen it: an engine
// that takes heavy prompts is busy with them for a share of the time, now or later.
func (p *PrefixAffinity) decodeSeconds(s *search, u *policy.Upstream, slowdown float64) float64 {
	tokens := max(s.r.ExpectedOutput-float64(s.r.Generated), 1)
	t := p.stepSeconds(u, float64(u.OwnRunning+u.OtherRunning()+1))
	if u.Role == topo.RoleDecode || u.Spec.PrefillTokensPerSecond <= 0 {
		return slowdown * t * tokens
	}
	rate := u.Spec.PrefillTokensPerSecond / mixedPrefillFactor
	if s.takesHeavyPrompts(u) {
		return slowdown * (t + s.prefillBusyShare*chunkTokens/rate) * tokens
	}
	return slowdown * (t*tokens + (u.OwnPrefill+u.OtherPrefill())/rate)
}

// takesHeavyPrompts reports whether u computes heavy prompts beside streams.
func (s *search) takesHeavyPrompts(u *policy.Upstream) bool {
	return u.Role == topo.RoleBoth && !s.inDecodePool(u)
}

// lowPrioritySlotShare is the share of the slots open to requests below the top priority. Each preempted stream is moved to
// host memory and back, and a step waits for the move.
const lowPrioritySlotShare = 0.75

// occupiedSlots returns the number of u's batch slots that the request can't take. Engines preempt streams of a lower
// priority, so those do not count.
func (s *search) occupiedSlots(u *policy.Upstream) float64 {
	own := 0
	for i := 0; i <= min(max(s.r.Priority, 0), policy.Priorities-1); i++ {
		own += u.OwnRunningBy[i]
	}
	return float64(own) + s.priorityShare*float64(u.OtherRunning())
}

func (p *PrefixAffinity) isFull(s *search, u *policy.Upstream) bool {
	limit := p.Oversubscribe
	if s.r.Priority > 0 {
		limit *= lowPrioritySlotShare
	}
	return s.occupiedSlots(u) >= limit*float64(max(u.Spec.MaxBatch, 1))
}
