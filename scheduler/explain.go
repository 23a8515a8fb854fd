package scheduler

import (
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Decision is what would be done with a request that is offered now.
type Decision string

// The decisions.
const (
	Sent    Decision = "sent"
	Queued  Decision = "queued"
	Refused Decision = "refused"
)

// Explanation is what would become of a request that is offered now, with the figures behind it. It refers to no state of the
// scheduler.
type Explanation struct {
	Request policy.Request // with the fields that the scheduler sets

	Queue     string // "m:" and the model, or "s:" and the service
	Waiting   int    // requests in that queue
	Before    int    // requests in that queue that would go first
	QueuedAll int    // requests in all queues
	WaitAhead time.Duration

	Candidates []Candidate // in the order of the comparison
	LeftOut    []LeftOut

	Decision      Decision
	Reason        string        // of Queued
	Code          result.Code   // of Refused
	RetryAfter    time.Duration // of Refused
	Chosen        Candidate     // of Sent
	ExpectedFirst time.Duration // of Sent: from the dispatch to the first output
}

// Candidate is an upstream that could take the request, or a prefill engine and its decoder, with the estimate of the router.
type Candidate struct {
	Prefill, Decode, Source string // names; Source is empty if no cached pieces are fetched
	DataCentre              string // of Prefill
	HealthFactor            float64
	Cost                    policy.Cost // without its pointers
}

// LeftOut is an upstream that could not take the request, or that the router has not compared.
type LeftOut struct {
	Upstream, DataCentre, Reason string
}

// Reasons for which an admitted request would wait.
const (
	waitsForUpstream = "no upstream can take it now"
	waitsForTurn     = "requests that wait go before it"
	waitsForSlot     = "the best upstream is full or has a long backlog"
)

// Explain returns what Offer would do with r now. The policies decide on copies of r and of their own changing state, so that nothing
// changes except what follows from the time alone, as at the next tick: quiet periods and permits that are over end, and the order of
// the queue is brought up to date. related selects the upstreams that are listed in LeftOut though they don't serve r.
func (s *Scheduler) Explain(now time.Duration, r policy.Request, related func(*topo.Upstream) bool) (*Explanation, error) {
	seen := newComparison(len(s.fleet.Upstreams))
	router, ok := s.opts.Router.(policy.RoutePreviewer)
	if !ok {
		return nil, trace.NotImplemented("the router can't be asked without a change to its state")
	}
	preview := router.Preview(seen)
	if preview == nil {
		return nil, trace.NotImplemented("the choice of data centres can't be asked for without a change to its state")
	}
	admitter, ok := s.opts.Admitter.(policy.AdmissionPreviewer)
	if !ok {
		return nil, trace.NotImplemented("the admitter can't be asked without a change to its state")
	}
	exclusions, ok := s.opts.Health.(policy.ExclusionPreviewer)
	if !ok {
		return nil, trace.NotImplemented("the health tracker can't be asked without a change to its state")
	}
	s.endQuiet(now)
	s.expirePermits(now)
	fleet := s.fleet
	fleet.Health = frozenHealth{s.opts.Health, exclusions}
	p := &policies{fleet: &fleet, router: preview, admitter: admitterPreview{admitter}}
	x := &Explanation{Queue: queueKey(&r), QueuedAll: s.queued}
	q, ok := s.queues[x.Queue]
	if !ok {
		q = s.newQueue(x.Queue)
	}
	s.prepare(now, &r)
	q.rerank(now)
	s.explain(now, x, q, &r, p)
	x.Request = r
	x.Waiting = q.Len()
	for _, other := range q.items {
		if q.before(other, &r) {
			x.Before++
		}
	}
	x.list(now, seen, &r, &fleet, related)
	return x, nil
}

// explain sets the decision on r.
func (s *Scheduler) explain(now time.Duration, x *Explanation, q *queue, r *policy.Request, p *policies) {
	if now >= r.GiveUpAt() {
		x.refuse(result.DeadlineExceeded, 0)
		return
	}
	c, view, v := s.judge(now, q, r, p)
	x.WaitAhead = view.WaitAhead
	if !v.Admit {
		x.refuse(v.Code, v.RetryAfter)
		return
	}
	switch s.nextStep(q, r, c) {
	case dispatchNow:
		s.dropSource(now, &c, p.fleet.Health)
		x.Decision, x.ExpectedFirst = Sent, c.FirstToken
		x.Chosen = Candidate{Prefill: s.fleet.Upstreams[c.Prefill].Spec.Name, Decode: s.fleet.Upstreams[c.Decode].Spec.Name}
		x.Chosen.DataCentre, x.Chosen.Cost.Cached = s.fleet.Upstreams[c.Prefill].Spec.DataCentre, s.cachedOrFetched(r, &c)
		if c.Source != nil {
			x.Chosen.Source = c.Source.Spec.Name
		}
	case refuseQueueFull:
		x.refuse(result.Overloaded, s.retryAfter(view))
	default:
		x.Decision, x.Reason = Queued, waitsForTurn
		if c.Prefill == policy.None {
			x.Reason = waitsForUpstream
		} else if s.shouldWait(r, c) {
			x.Reason = waitsForSlot
		}
	}
}

func (x *Explanation) refuse(code result.Code, after time.Duration) {
	x.Decision, x.Code, x.RetryAfter = Refused, code, after
}

// list sets the candidates and the upstreams left out.
func (x *Explanation) list(now time.Duration, seen *comparison, r *policy.Request, f *policy.Fleet, related func(*topo.Upstream) bool) {
	compared := make([]bool, len(f.Upstreams))
	x.Candidates = make([]Candidate, 0, len(seen.costs))
	for i := range seen.costs {
		c := &seen.costs[i]
		// A decoder is no candidate of its own, but it has not been left out.
		compared[c.Prefill.Index], compared[c.Decode.Index] = true, true
		k := Candidate{
			Prefill: c.Prefill.Spec.Name, Decode: c.Decode.Spec.Name, DataCentre: c.Prefill.Spec.DataCentre,
			HealthFactor: f.Health.Factor(c.Prefill.Index), Cost: *c,
		}
		if c.Source != nil {
			k.Source = c.Source.Spec.Name
		}
		k.Cost.Prefill, k.Cost.Decode, k.Cost.Source = nil, nil, nil
		x.Candidates = append(x.Candidates, k)
	}
	serves := make([]bool, len(f.Upstreams))
	for _, i := range f.Candidates(r) {
		serves[i] = true
	}
	var others []LeftOut
	for i, u := range f.Upstreams {
		if u.Spec.State == topo.UpstreamWithdrawn || compared[i] || !serves[i] && !related(&u.Spec) {
			continue
		}
		o := LeftOut{u.Spec.Name, u.Spec.DataCentre, leftOutReason(now, seen, r, f, u, serves[i])}
		if serves[i] {
			x.LeftOut = append(x.LeftOut, o)
		} else {
			others = append(others, o)
		}
	}
	x.LeftOut = append(x.LeftOut, others...) // last, as an answer may have no room for all
}

// leftOutReason returns why u is not among the candidates.
func leftOutReason(now time.Duration, seen *comparison, r *policy.Request, f *policy.Fleet, u *policy.Upstream, serves bool) string {
	switch {
	case !serves && r.Version != "" && u.Spec.Version != r.Version:
		return "version " + u.Spec.Version
	case !serves:
		return "other model"
	case u.Quiet:
		return "quiet: asked for no requests"
	case u.Spec.State == topo.UpstreamDraining:
		return "leaving"
	case !u.Accepting:
		return "not accepting"
	case u.LacksPermit(r):
		return "no permit"
	case !u.CanTake(r):
		return "full: back from a pause, with few requests allowed"
	case f.Health.Excluded(now, u.Index):
		reason := "slow"
		if h, ok := f.Health.(frozenHealth).HealthTracker.(policy.Reasoner); ok {
			reason = h.Reason(now, u.Index)
		}
		return "excluded: " + reason
	case seen.full[u.Index]:
		return "full"
	case u.Role == topo.RolePrefill:
		return "role: no engine can generate for it"
	}
	return "not compared: not among the random choices, or another data centre"
}

// comparison collects what a router compares. It keeps the last estimate for each prefill engine.
type comparison struct {
	costs []policy.Cost
	at    []int // by upstream index: 1 + the index in costs, or 0
	full  []bool
}

func newComparison(upstreams int) *comparison {
	return &comparison{costs: make([]policy.Cost, 0, upstreams), at: make([]int, upstreams), full: make([]bool, upstreams)}
}

// Compared implements policy.Inspector.
func (k *comparison) Compared(c policy.Cost) {
	at := &k.at[c.Prefill.Index]
	if *at > 0 {
		k.costs[*at-1] = c
		return
	}
	k.costs = append(k.costs, c)
	*at = len(k.costs)
}

// SkippedFull implements policy.Inspector.
func (k *comparison) SkippedFull(u *policy.Upstream) {
	k.full[u.Index] = true
}

// admitterPreview is an admitter that changes only the request.
type admitterPreview struct{ policy.AdmissionPreviewer }

// Admit returns the verdict on a new request.
func (a admitterPreview) Admit(now time.Duration, r *policy.Request, f *policy.Fleet, c policy.Choice, v policy.QueueView) policy.Verdict {
	return a.Preview(now, r, f, c, v)
}

// frozenHealth is a HealthTracker whose Excluded changes nothing.
type frozenHealth struct {
	policy.HealthTracker
	exclusions policy.ExclusionPreviewer
}

// Excluded implements policy.HealthTracker.
func (h frozenHealth) Excluded(now time.Duration, i int) bool {
	return h.exclusions.WouldExclude(now, i)
}
