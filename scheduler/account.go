package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// attempt is one placement of a request.
type attempt struct {
	prefill, decode, cached int
}

func current(r *policy.Request) attempt { return attempt{r.Prefill, r.Decode, r.Cached} }
func hedge(r *policy.Request) attempt   { return attempt{r.HedgePrefill, r.HedgeDecode, r.HedgeCached} }

func remaining(r *policy.Request) float64 { return max(r.ExpectedOutput-float64(r.Generated), 0) }

// promptWork is the prompt that the attempt has to compute. Generated tokens of an earlier attempt are part of it, so the
// value is fixed at dispatch by r.Resumed.
func promptWork(r *policy.Request, a attempt) float64 {
	return max(float64(r.PromptTokens+r.Resumed-a.cached*policy.PieceTokens), 1)
}

// account adds an attempt to its upstreams.
func (s *Scheduler) account(r *policy.Request, a attempt) {
	p := s.fleet.Upstreams[a.prefill]
	addRunning(p, r, 1)
	s.addPrefill(p, r, promptWork(r, a))
	d := s.fleet.Upstreams[a.decode]
	if a.decode != a.prefill {
		addRunning(d, r, 1)
	}
	d.OwnRemaining += remaining(r)
	if len(r.Prefix) > 0 && r.Counted == nil && a.cached < len(r.Prefix) {
		if p.Computing == nil {
			p.Computing = map[uint64]int{}
		}
		p.Computing[r.Prefix[0]]++
		r.Counted = p
	}
}

// computed takes r's shared pieces off the list of those that are not computed yet.
func computed(p *policy.Upstream, r *policy.Request) {
	if r.Counted != p { // counted at the other of two attempts, or nowhere
		return
	}
	r.Counted = nil
	if p.Computing[r.Prefix[0]]--; p.Computing[r.Prefix[0]] <= 0 {
		delete(p.Computing, r.Prefix[0])
	}
}

func addRunning(u *policy.Upstream, r *policy.Request, n int) {
	u.OwnRunning += n
	u.OwnRunningBy[level(r)] += n
	if r.Suspect {
		u.OwnSuspects += n
	}
}

func (s *Scheduler) addPrefill(p *policy.Upstream, r *policy.Request, work float64) {
	by := &p.OwnPrefillBy[level(r)]
	p.OwnPrefill = max(p.OwnPrefill+work, 0)
	*by = max(*by+work, 0)
}

// settlePrefill takes the prompt off the prefill engine's account once the first token is there.
func (s *Scheduler) settlePrefill(r *policy.Request, a attempt) {
	p := s.fleet.Upstreams[a.prefill]
	s.addPrefill(p, r, -promptWork(r, a))
	computed(p, r)
	if a.decode != a.prefill {
		addRunning(p, r, -1)
		clearIdle(p)
	}
}

// release takes an attempt off its upstreams' accounts.
func (s *Scheduler) release(r *policy.Request, a attempt) {
	if r.FirstAt == 0 && !r.PromptDone {
		s.settlePrefill(r, a)
	}
	d := s.fleet.Upstreams[a.decode]
	addRunning(d, r, -1)
	d.OwnRemaining = max(d.OwnRemaining-remaining(r), 0)
	clearIdle(d)
}

// clearIdle removes rounding errors once nothing runs.
func clearIdle(u *policy.Upstream) {
	if u.OwnRunning == 0 {
		u.OwnRemaining, u.OwnPrefill, u.OwnPrefillBy = 0, 0, [policy.Priorities]float64{}
	}
}

// enter and leave keep the list of requests in flight, in an order that depends on nothing but the events.
func (s *Scheduler) enter(r *policy.Request) {
	r.Slot = len(s.running)
	s.running = append(s.running, r)
}

func (s *Scheduler) leave(r *policy.Request) {
	n := len(s.running) - 1
	last := s.running[n]
	s.running[r.Slot] = last
	last.Slot = r.Slot
	s.running[n] = nil
	s.running = s.running[:n]
	r.Slot = policy.None
}

func (s *Scheduler) inFlight(r *policy.Request) bool {
	return r.Slot >= 0 && r.Slot < len(s.running) && s.running[r.Slot] == r
}

func (s *Scheduler) observeEnd(now time.Duration, r *policy.Request, o policy.Outcome) {
	at := r.Prefill
	if r.FirstAt != 0 || r.PromptDone {
		at = r.Decode
	}
	switch o {
	case policy.Cancelled, policy.RefusedNotRun:
		return
	case policy.Completed:
	default:
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: at, Kind: policy.ObservedCall, Failed: true, Unreachable: o == policy.FailedBeforeSend,
		})
		return
	}
	if u := s.fleet.Upstreams[r.Decode]; u.Spec.Kind == topo.KindService {
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: r.Decode, Kind: policy.ObservedCall, Measured: now - r.Dispatched, Expected: s.expectedCall(r.Service),
		})
	}
}

// expectedCall is the moving mean time of a service's calls, against which one server is compared.
func (s *Scheduler) expectedCall(service string) time.Duration {
	if e, ok := s.calls[service]; ok {
		return time.Duration(e.mean)
	}
	return 0
}

func (s *Scheduler) learnCall(now time.Duration, r *policy.Request) {
	e, ok := s.calls[r.Service]
	if !ok {
		e = &estimate{}
		s.calls[r.Service] = e
	}
	e.add(now, float64(now-r.Dispatched))
}

// measureEvery is the number of output tokens between two measurements of a stream.
const measureEvery = 8

// observeDecode measures the stream of r against the upstream's specification under its known load.
func (s *Scheduler) observeDecode(now time.Duration, r *policy.Request) {
	n := r.Generated - r.MeasuredTokens
	if n < measureEvery || r.FirstAt == 0 {
		return
	}
	s.measured(r.Decode, measurement{kind: policy.ObservedDecode, from: r.MeasuredAt, to: now, tokens: n})
	r.MeasuredAt, r.MeasuredTokens = now, r.Generated
}

// chunkTokens is the prompt part that engines compute between two decode steps.
const chunkTokens = 512

// decodeTime is the time that u needs for n tokens of one stream with the batch that it is known to have.
func decodeTime(u *policy.Upstream, n int) time.Duration {
	if u.Spec.DecodeTokensPerSecond <= 0 {
		return 0
	}
	batch := float64(max(u.Spec.MaxBatch, 1))
	fill := min(float64(u.OwnRunning+u.OtherRunning())/batch, 1)
	step := batch / u.Spec.DecodeTokensPerSecond * (0.5 + 0.5*fill)
	if u.OwnPrefill+u.OtherPrefill() > 0 && u.Spec.PrefillTokensPerSecond > 0 {
		step += chunkTokens / u.Spec.PrefillTokensPerSecond
	}
	return seconds(float64(n) * step)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
