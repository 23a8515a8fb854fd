// Package scheduler composes the policies of one entry VM into one state machine, which decides for each request
// whether to dispatch, queue, retry or refuse it.
//
// A Scheduler is driven by events with the time as an argument and returns actions. It does no I/O, starts no goroutine
// and reads no clock. It is not safe for concurrent use: the gateway runs it in one goroutine, and package replay
// drives it in virtual time.
//
// Invariants: a request is in exactly one state (queued, in flight or done); each offered request gets exactly one
// final outcome; a request is refused as not run only if no attempt was dispatched or every attempt certainly did
// not run.
package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// Options configures a Scheduler. All policies are required.
type Options struct {
	Router        policy.Router
	Admitter      policy.Admitter
	Health        policy.HealthTracker
	Retry         policy.RetryPolicy
	QueueCapacity int // maximum number of requests that wait in the entry VM
	// NewCache creates the prefix index of one engine.
	NewCache func(kvPieces int) policy.PrefixIndex
	NoYield  bool // do not preempt long jobs while other requests wait
	NoRescue bool // do not move streams away from slow upstreams
	// CachesImports is set if engines cache the KV pieces that they import like those that they compute.
	CachesImports bool
	// MoveOverduePrompts gives a request to another engine if the call for its prompt has no answer for long; see overdue.go.
	MoveOverduePrompts bool
}

// Scheduler is the state machine of one entry VM.
type Scheduler struct {
	opts           Options
	policies       policies
	fleet          policy.Fleet
	byName         map[string]int
	queues         map[string]*queue
	sortedQueues   []*queue // by key; draining in map order would not be reproducible
	queued         int
	running        []*policy.Request      // dispatched and not finished
	notAccepting   map[string]bool        // names of upstreams for which SetAccepting was last called with false
	mayHaveRun     map[uint64]bool        // requests with an attempt that may have run
	callTimes      map[string]*estimate   // by service
	outputTokens   map[string]*estimate   // by request class
	mixMeters      map[string]*mixMeter   // by model
	actions        []Action               // returned by the event methods; reused by each call
	requeue        []*policy.Request      // buffer of drainQueue
	histories      []history              // by upstream index
	quietUpstreams []*policy.Upstream     // quiet, or back with an allowance that still limits them
	capacityLost   bool                   // an upstream stopped accepting work or lowered its limit after the last refuseHopeless
	limits         map[uint64]*limitState // by the hash of the upstream's name
	silence        policy.SilenceTracker  // nil: overdue prompts are not moved, or Health does not track silence
	ranker         policy.OrderChanger    // the admitter, if it is one; otherwise nil
	answeredAt     []time.Duration        // by upstream index: last answer to this entry VM; only if overdue prompts are moved
	moveSearches   int                    // by the current tick
	ends           map[int]time.Duration  // by upstream index: when the platform may end it
	nextReview     time.Duration          // of the requests that wait for limited upstreams
}

// New returns a Scheduler without upstreams.
func New(o Options) *Scheduler {
	s := &Scheduler{
		opts:         o,
		byName:       map[string]int{},
		queues:       map[string]*queue{},
		notAccepting: map[string]bool{},
		callTimes:    map[string]*estimate{},
		mayHaveRun:   map[uint64]bool{},
		outputTokens: map[string]*estimate{},
		mixMeters:    map[string]*mixMeter{},
		limits:       map[uint64]*limitState{},
	}
	s.fleet.Health = o.Health
	s.policies = policies{fleet: &s.fleet, router: o.Router, admitter: o.Admitter}
	s.ranker, _ = o.Admitter.(policy.OrderChanger)
	if o.MoveOverduePrompts {
		s.silence, _ = o.Health.(policy.SilenceTracker)
	}
	return s
}

// Fleet returns the scheduler's view of the upstreams. The caller must not modify it.
func (s *Scheduler) Fleet() *policy.Fleet { return &s.fleet }

// Queued returns the number of requests that wait in the entry VM.
func (s *Scheduler) Queued() int { return s.queued }

// InFlight returns the number of requests that are dispatched and not finished.
func (s *Scheduler) InFlight() int { return len(s.running) }

// Offer accepts a new request. The returned actions are valid until the next call.
func (s *Scheduler) Offer(now time.Duration, r *policy.Request) []Action {
	s.actions = s.actions[:0]
	s.endQuiet(now)
	s.expirePermits(now)
	s.prepare(now, r)
	if r.UnknownModel && len(s.fleet.ByModel[r.Model]) == 0 {
		s.actions = append(s.actions, Action{Kind: Refuse, Request: r, Code: result.NoUpstream, RetryAfter: unknownModelRetryAfter})
		return s.actions
	}
	s.opts.Retry.Arrived(now, r)
	s.place(now, r, 0)
	s.mixMeterFor(r.Model).addOffered(now, r)
	return s.actions
}

// unknownModelRetryAfter is what the admitter states for a model without upstreams. The name may be that of a new configuration.
const unknownModelRetryAfter = time.Second

// prepare sets the fields of a new request that the scheduler keeps.
func (s *Scheduler) prepare(now time.Duration, r *policy.Request) {
	r.Prefill, r.Decode, r.Avoid, r.InFlightIndex = policy.None, policy.None, policy.None, policy.None
	r.AvoidDecode, r.HedgePrefill, r.HedgeDecode = policy.None, policy.None, policy.None
	s.expectOutput(now, r)
}

// policies are what decides on a request: the scheduler's policies, or previews of them.
type policies struct {
	fleet    *policy.Fleet
	router   policy.Router
	admitter interface {
		Admit(time.Duration, *policy.Request, *policy.Fleet, policy.Choice, policy.QueueView) policy.Verdict
	}
}

// judge returns the choice of upstreams for r, which is not queued, and the verdict on it.
func (s *Scheduler) judge(now time.Duration, q *queue, r *policy.Request, p *policies) (policy.Choice, policy.QueueView, policy.Verdict) {
	c := p.router.Route(now, r, p.fleet)
	r.Cached = c.Cached
	view := s.queueView(now, q, r, s.aheadOf(q, r))
	return c, view, s.admit(now, r, c, view, p)
}

// step is what is done with an admitted request.
type step int

const (
	dispatchNow step = iota
	wait
	refuseQueueFull
)

// nextStep returns what is done with r, which has been admitted and ranked, for a choice of upstreams.
func (s *Scheduler) nextStep(q *queue, r *policy.Request, c policy.Choice) step {
	switch {
	case s.mayGo(r, c) && !q.hasRequestBefore(r):
		return dispatchNow
	case s.queued >= s.opts.QueueCapacity && r.Generated == 0 && !r.Suspect:
		return refuseQueueFull
	}
	return wait
}

// place dispatches, queues or refuses r.
func (s *Scheduler) place(now time.Duration, r *policy.Request, delay time.Duration) {
	if now >= r.GiveUpAt() && r.Generated == 0 {
		s.refuse(now, r, result.DeadlineExceeded, 0)
		return
	}
	q := s.queueFor(r)
	q.rerank(now)
	if now < r.HoldUntil {
		q.push(now, r)
		s.queued++
		return
	}
	choice, view, v := s.judge(now, q, r, &s.policies)
	s.recordMissed(now, choice)
	if !v.Admit {
		s.refuseQueued(now, q, r, v, view)
		return
	}
	q.rank(now, r)
	switch s.nextStep(q, r, choice) {
	case dispatchNow:
		s.dispatch(now, r, choice, delay)
		return
	case refuseQueueFull:
		s.refuse(now, r, result.Overloaded, s.retryAfter(view))
		return
	}
	q.push(now, r)
	if len(s.limits) > 0 {
		q.fair.queued(r)
		s.updateOrder(q)
	}
	s.queued++
	if s.mayGo(r, choice) {
		s.drainQueue(now, q)
	}
}

// mayGo reports whether r may be sent to the upstreams of a choice, but for the order of the queue.
func (s *Scheduler) mayGo(r *policy.Request, c policy.Choice) bool {
	return c.Prefill != policy.None && !s.shouldWait(r, c)
}

// shouldWait reports whether r stays in the queue although an upstream could take it. A request whose answer has begun
// does not wait for the load to fall, unless it was preempted in favour of other requests.
func (s *Scheduler) shouldWait(r *policy.Request, c policy.Choice) bool {
	return c.Defer && (r.Generated == 0 || r.Yielded) || s.ranker != nil && !r.Suspect && s.ranker.Hold(r, c)
}

// admit asks the admitter for a verdict. It always admits requests whose answer has begun, since a refusal would cut
// the answer, and suspects, which were admitted before the crash. An answer that can't go on, as no upstream of its version
// serves, is cut at once.
func (s *Scheduler) admit(now time.Duration, r *policy.Request, c policy.Choice, v policy.QueueView, p *policies) policy.Verdict {
	if r.Version != "" && r.Generated > 0 && !s.fleet.AnyServing(r) {
		return policy.Verdict{Code: result.AnswerIncomplete}
	}
	if r.Generated > 0 || r.Suspect {
		return policy.Verdict{Admit: true}
	}
	return p.admitter.Admit(now, r, p.fleet, c, v)
}

func (s *Scheduler) dispatch(now time.Duration, r *policy.Request, c policy.Choice, delay time.Duration) {
	s.recordDispatch(now, &c)
	s.dropSource(now, &c, s.opts.Health)
	r.Prefill, r.Decode = c.Prefill, c.Decode
	r.Cached, r.Backlog, r.PromptDone = s.cachedOrFetched(r, &c), c.Backlog, false
	r.Dispatched = now + delay
	r.ExpectedFirst, r.ExpectedFinish = c.FirstToken, c.Finish
	r.NominalFirst = time.Duration(float64(c.FirstToken) / max(s.opts.Health.Factor(c.Prefill), 1))
	r.FirstAt, r.OverdueCount, r.Resumed, r.PromptSentAt, r.HedgeNotStarted = 0, 0, r.Generated, 0, false
	r.Attempts++
	r.Split = c.Decode != c.Prefill
	if s.ranker != nil {
		s.ranker.Dispatched(now, r)
	}
	s.addInFlight(r)
	s.usePermits(now, r, currentAttempt(r))
	s.addLoad(r, currentAttempt(r))
	s.insertPrefix(now, r, c.Prefill)
	s.actions = append(s.actions, Action{Kind: Dispatch, Request: r, Prefill: c.Prefill, Decode: c.Decode, Source: c.Source, Delay: delay})
	s.probe(now, r)
}

func (s *Scheduler) refuse(now time.Duration, r *policy.Request, code result.Code, after time.Duration) {
	ran := s.mayHaveRun[r.ID]
	delete(s.mayHaveRun, r.ID)
	s.mixMeterFor(r.Model).addRefused(now)
	s.opts.Admitter.Done(now, r, 0)
	s.actions = append(s.actions, Action{Kind: Refuse, Request: r, Code: code, RetryAfter: after, Ran: ran})
}

// FirstToken records the arrival of the first output token of r.
func (s *Scheduler) FirstToken(now time.Duration, r *policy.Request) {
	if !s.inFlight(r) || r.FirstAt != 0 {
		return
	}
	s.HedgeSettled(now, r, false)
	s.promptDone(now, r)
	s.answered(now, r.Decode)
	r.FirstAt = max(now, 1) // 0 means no token yet
	r.Version = s.fleet.Upstreams[r.Decode].Spec.Version
	if s.opts.CachesImports && r.Decode != r.Prefill {
		s.insertPrefix(now, r, r.Decode) // not earlier: the decoder may change until the first token arrives
	}
	r.MeasuredAt, r.MeasuredTokens = now, r.Generated
}

// PromptComputed records that a prefill-only engine has computed the prompt of r. It picks the decoder again, since the
// one chosen at dispatch, possibly seconds ago, may be leaving, and returns it, or None if no engine takes the prompt.
func (s *Scheduler) PromptComputed(now time.Duration, r *policy.Request) (int, []Action) {
	s.actions = s.actions[:0]
	if !s.inFlight(r) || r.FirstAt != 0 {
		return policy.None, s.actions
	}
	s.promptDone(now, r)
	decode := s.repickDecoder(now, r)
	s.drain(now)
	return decode, s.actions
}

// repickDecoder asks the router for a decoder again, moves r's load to it and returns it, or None.
func (s *Scheduler) repickDecoder(now time.Duration, r *policy.Request) int {
	s.releaseDecodePermit(now, r)
	decode := r.Decode
	if p, ok := s.opts.Router.(policy.DecoderPicker); ok {
		decode = p.PickDecoder(now, r, &s.fleet)
	}
	if decode == policy.None {
		return policy.None
	}
	if u := s.fleet.Upstreams[decode]; !u.Accepting || u.Limited && u.Permits == 0 {
		return policy.None
	}
	s.usePermit(now, decode)
	if decode == r.Decode {
		return decode
	}
	old, next := s.fleet.Upstreams[r.Decode], s.fleet.Upstreams[decode]
	changeDecodeLoad(old, r, -1)
	changeDecodeLoad(next, r, 1)
	r.Decode = decode
	return decode
}

func (s *Scheduler) promptDone(now time.Duration, r *policy.Request) {
	if r.PromptDone {
		return
	}
	s.answered(now, r.Prefill)
	s.measureFirst(now, r)
	s.learnPromptTime(now, r, true)
	s.removePrefillLoad(r, currentAttempt(r))
	r.PromptDone = true
}

// learnPromptTime passes the time that r's prompt took to the router, or the time so far if done is false.
func (s *Scheduler) learnPromptTime(now time.Duration, r *policy.Request, done bool) {
	if l, ok := s.opts.Router.(policy.Learner); ok && r.Model != "" {
		l.Learn(now, r, &s.fleet, now-r.Dispatched, done)
	}
}

// RetryHandOver records that the decoder has not taken r's computed prompt: it refused it, or could not be reached. It
// returns another decoder if the retry budget allows one and an engine accepts work, otherwise None. The prompt is not
// computed again.
func (s *Scheduler) RetryHandOver(now time.Duration, r *policy.Request, o policy.Outcome) int {
	if !s.inFlight(r) || r.FirstAt != 0 || !r.PromptDone || now >= r.GiveUpAt() {
		return policy.None
	}
	if o == policy.FailedBeforeSend {
		s.observeEnd(now, r, o)
	} else {
		s.opts.Health.Observe(now, policy.Observation{Upstream: r.Decode, Kind: policy.ObservedFirstToken, Stalled: true})
	}
	r.Avoid, r.AvoidDecode = policy.None, r.Decode
	r.Split = false
	if ok, _ := s.opts.Retry.Retry(now, r, o); !ok {
		return policy.None
	}
	r.Attempts++
	if o == policy.FailedBeforeSend {
		r.UnsentAttempts++
	}
	return s.repickDecoder(now, r)
}

// Progress records n more output tokens of r.
func (s *Scheduler) Progress(now time.Duration, r *policy.Request, n int) {
	before := remaining(r)
	r.Generated += n
	s.clearSuspicion(r)
	if s.inFlight(r) && r.Decode != policy.None {
		u := s.fleet.Upstreams[r.Decode]
		u.OwnRemaining = max(u.OwnRemaining-(before-remaining(r)), 0)
		s.observeDecode(now, r)
	}
}

// Finished records the end of the current attempt of r: the request is done, retried or refused.
func (s *Scheduler) Finished(now time.Duration, r *policy.Request, o policy.Outcome) []Action {
	s.actions = s.actions[:0]
	if !s.inFlight(r) {
		return nil
	}
	s.HedgeSettled(now, r, false)
	s.releaseDecodePermit(now, r)
	s.observeEnd(now, r, o)
	s.removeLoad(r, currentAttempt(r))
	s.removeInFlight(r)
	switch o {
	case policy.Completed:
		s.learn(now, r)
		s.done(now, r)
	case policy.Cancelled:
		s.done(now, r)
	default:
		s.retryOrRefuse(now, r, o)
	}
	s.drain(now)
	return s.actions
}

func (s *Scheduler) done(now time.Duration, r *policy.Request) {
	delete(s.mayHaveRun, r.ID)
	s.opts.Admitter.Done(now, r, float64(r.PromptTokens+r.Generated))
}

// maxResumes limits the attempts of a request whose answer has begun. Such a request is retried without retry budget,
// since giving it up would cut its answer.
const maxResumes = 16

// minResumeDelay is the initial delay before an attempt without retry budget; it doubles with each attempt. Without a
// delay, several dead upstreams that have not been detected yet would use up maxResumes within milliseconds.
const minResumeDelay = 5 * time.Millisecond

// retryOrRefuse retries r after a failed attempt if that is safe, and refuses it otherwise.
func (s *Scheduler) retryOrRefuse(now time.Duration, r *policy.Request, o policy.Outcome) {
	mayHaveRun := !o.CertainlyNotRun()
	if o == policy.RefusedNotRun { // the upstream is full or being reconfigured and would refuse further requests
		at := r.Prefill
		if r.PromptDone {
			at = r.Decode
		}
		s.opts.Health.Observe(now, policy.Observation{Upstream: at, Kind: policy.ObservedFirstToken, Stalled: true})
	}
	if mayHaveRun {
		s.mayHaveRun[r.ID] = true
		r.PossibleRuns++
	}
	if o == policy.FailedBeforeSend {
		if r.PromptDone {
			o = policy.RefusedNotRun // another engine has read the prompt, so the attempt was sent
		} else {
			r.UnsentAttempts++
		}
	}
	r.Avoid, r.AvoidDecode = r.Prefill, r.Decode
	r.Prefill, r.Decode = policy.None, policy.None
	if mayHaveRun && !r.Idempotent {
		s.refuse(now, r, result.KeyOutcomeUnknown, 0)
		return
	}
	if o == policy.Crashed && s.recordCrash(now, r) {
		s.refuse(now, r, result.Quarantined, 0)
		return
	}
	ok, delay := s.opts.Retry.Retry(now, r, o)
	if r.ResendsLimited && r.PossibleRuns > r.MaxResends {
		ok = false
	}
	if !ok && (r.Generated == 0 || r.ResendsLimited || r.Attempts >= maxResumes) {
		s.refuse(now, r, result.RetryBudgetUsed, time.Second)
		return
	}
	if !ok {
		delay = min(minResumeDelay<<min(r.Attempts, 8), time.Second)
	}
	s.place(now, r, delay)
}

// Cancel removes r from the queue and reports whether it was queued.
func (s *Scheduler) Cancel(now time.Duration, r *policy.Request) bool {
	q, ok := s.queues[queueKey(r)]
	if !ok || !q.remove(r) {
		return false
	}
	s.queued--
	s.done(now, r)
	return true
}

// Tick does the periodic work: it dispatches queued requests, refuses those whose deadline has passed, starts hedges
// and preempts streams. A refused request may be in flight; the driver then cancels its attempts.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.actions = s.actions[:0]
	s.expireReports(now)
	s.endQuiet(now)
	s.expirePermits(now)
	s.refuseHopeless(now)
	s.checkInFlight(now)
	s.moveFromEnding(now)
	s.rescue(now)
	s.yield(now)
	s.drain(now)
	return s.actions
}
