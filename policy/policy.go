// Package policy defines the types and plug-in interfaces of the decisions: routing, admission, upstream health, retries and
// engine roles.
//
// A policy does no I/O, starts no goroutine and reads no clock: the time is an argument. The same code therefore runs in the
// daemon and under replay. Times are durations since the start of the process or of the trace. Policies are not
// safe for concurrent use; package scheduler owns them from one goroutine.
package policy

import (
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// PieceTokens is the number of tokens in one piece of KV cache, the unit in which engines count memory and
// publish cache events.
const PieceTokens = 1000

// None marks the absence of an upstream.
const None = -1

// Priorities is the number of priorities that are accounted for separately; lower ones share the last.
const Priorities = 4

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// PrefixPieces returns the chained hashes of the whole pieces of a prompt that begins with the parts. A piece that lies in two parts
// belongs to the later one. Prompts with the same parts have the same pieces.
func PrefixPieces(parts []Part) []uint64 {
	var out []uint64
	chain, tokens := uint64(0), 0
	for _, p := range parts {
		chain = Spread(chain ^ Spread(p.ID))
		tokens += p.Tokens
		for (len(out)+1)*PieceTokens <= tokens {
			out = append(out, Spread(chain+uint64(len(out))))
		}
	}
	return out
}

// Request is one piece of work as the policies see it. The scheduler owns it from Offer until it is finished or refused.
type Request struct {
	ID       uint64
	Caller   string
	Class    string
	Priority int     // 0 is the highest
	Weight   float64 // fair share of the caller; 0 counts as 1

	Model   string // "model@version" for engines
	Service string // for plain services

	PromptTokens   int
	Prefix         []uint64 // chained hashes of the prompt's pieces, from the start; piece i covers PieceTokens tokens
	Whole          []uint64 // pieces of the whole prompt, which begin with Prefix; empty: only Prefix is known
	MaxOutput      int      // the caller's bound on output tokens; 0: none
	HintOutput     int      // the caller's own estimate of output tokens; 0: none
	OutputGuessed  bool     // ExpectedOutput is a default: too few requests of the class have finished
	ExpectedOutput float64  // estimate of output tokens, set by the scheduler from past requests of the class

	Arrival    time.Duration
	Deadline   time.Duration // absolute; the answer must be whole by then
	FirstToken time.Duration // absolute target for the first token; 0: none
	FirstBy    time.Duration // absolute; the caller leaves without a first token by then; 0: it waits until Deadline
	Idempotent bool
	Split      bool // the attempt in hand computes its prompt at another engine than it generates at, which is two sends
	Resends    int  // attempts beyond the first that may be made where each may run, at most; 0: no bound of its own
	Bounded    bool // Resends holds, also when the answer has begun

	// State of the execution.
	Attempts    int
	Generated   int // output tokens that have reached the caller's side
	Prefill     int // upstream that runs the prompt, or None
	Decode      int // upstream that generates, or None; equal to Prefill unless roles are split
	Dispatched  time.Duration
	FirstAt     time.Duration
	Avoid       int // upstream of the last failed attempt, or None
	AvoidDecode int // upstream that was to generate in the last failed attempt, or None

	// Set at dispatch.
	Cached         int           // pieces believed cached at Prefill, or fetched from Source
	Backlog        float64       // prompt tokens that Prefill was believed to compute before this one
	ComputingAt    *Upstream     // in whose Computing the request is; nil: in none
	PromptDone     bool          // the prompt is computed at Prefill, its first token is not there yet
	PossibleRuns   int           // attempts that may have run
	UnsentAttempts int           // attempts of which nothing was sent
	ExpectedFirst  time.Duration // time to the first token, from dispatch
	ExpectedFinish time.Duration // time to the whole answer, from dispatch
	NominalFirst   time.Duration // ExpectedFirst at an upstream that is not slow
	Resumed        int           // output tokens of earlier attempts, computed again as part of the prompt
	OverdueCount   int           // times that the attempt has counted as late
	HedgePrefill   int           // upstreams of a second attempt, or None
	HedgeDecode    int
	HedgeCached    int
	HedgeAt        time.Duration
	HedgeNominal   time.Duration // expected first token of the second attempt at an upstream that is not slow

	// Set by the admitter on first admission.
	Tagged bool
	Tag    float64 // virtual time of the caller
	Bucket int64   // Tag in quanta

	// Own measurement of generation in hand, kept by the scheduler.
	MeasuredAt     time.Duration
	MeasuredTokens int

	CrashesInAll int           // upstreams that crashed while they ran it
	CrashedAt    int           // Generated at the last crash
	Suspect      bool          // was on a crashed upstream and has made no progress since
	HoldUntil    time.Duration // not dispatched before; set for suspects whose answer has begun
	Cleared      bool          // has made progress since the last crash
	Yielded      bool          // has given way to other work once
	Rescues      int           // times that it was taken off a slow upstream
	Slot         int           // position in the scheduler's list, or None
}

// PiecesAfterPrompt returns the pieces that an engine holds once it has computed the prompt. Those that belong to r alone are of no use to others, but
// push out what is.
func (r *Request) PiecesAfterPrompt() []uint64 {
	if len(r.Whole) > 0 {
		return r.Whole
	}
	return r.Prefix
}

// BudgetKey names the set of upstreams whose load a resend of r adds to.
func (r *Request) BudgetKey() string {
	if r.Service != "" {
		return r.Service
	}
	return r.Model
}

// GiveUpAt is the time from which an answer that has not begun is of no use.
func (r *Request) GiveUpAt() time.Duration {
	if r.FirstBy > 0 && r.Generated == 0 {
		return min(r.FirstBy, r.Deadline)
	}
	return r.Deadline
}

// Avoids reports whether upstream i took part in the last failed attempt.
func (r *Request) Avoids(i int) bool { return i == r.Avoid || i == r.AvoidDecode }

// Work returns the prompt tokens left to compute if cached pieces of the prefix are present.
func (r *Request) Work(cachedPieces int) float64 {
	w := float64(r.PromptTokens + r.Generated - cachedPieces*PieceTokens)
	if w < 1 {
		return 1
	}
	return w
}

// LoadReport is an upstream's own view of its load. It arrives late.
type LoadReport struct {
	At            time.Duration // when the upstream measured it
	Running       int           // requests in the batch or running
	Queued        int
	PrefillTokens float64 // prompt tokens waiting to be computed
	KVPiecesInUse int
	OwnRunning    int // of Running and Queued, requests from this entry VM
	OwnPrefill    float64
	// Speeds that the upstream measured since its last report, over the time that it spent on that phase. 0: none.
	DecodeTokensPS  float64
	PrefillTokensPS float64
	DecodeStreams   float64 // mean streams in the batch over that time; 0: not reported
}

// Upstream is what one entry VM knows of an upstream.
type Upstream struct {
	Index     int
	Spec      topo.Upstream
	Accepting bool // may get new work: active, not leaving, not cut off, not quiet
	// Quiet says that it asked for no requests of this entry VM until QuietUntil, and AcceptsAfterQuiet that it accepts work after that. Allowance
	// bounds the own requests in hand for a while from then on; 0: no bound.
	Quiet, AcceptsAfterQuiet bool
	QuietUntil               time.Duration
	Allowance                int
	Role                     topo.Role
	Hash                     uint64 // of the name; the same at all entry VMs
	Rank                     int    // place among the model's accepting engines for both phases, the same at all entry VMs; None: not one

	// Own requests, known at once.
	OwnRunning   int // dispatched and not finished
	OwnRunningBy [Priorities]int
	OwnPrefill   float64 // prompt tokens dispatched whose first token has not come, without those believed cached
	OwnPrefillBy [Priorities]float64
	OwnRemaining float64 // expected output tokens still to come
	OwnSuspects  int     // own requests under suspicion of crashing upstreams

	// Others' requests, from reports.
	Report     LoadReport
	ReportSeen time.Duration

	Cache PrefixIndex
	// Computing counts the own requests in hand whose shared pieces are not computed yet, by the first piece. Cache has them already.
	Computing map[uint64]int
}

// Takes reports whether u may get r now. At most one own suspect runs on an upstream, so that a crash there convicts the
// right request.
func (u *Upstream) Takes(r *Request) bool {
	return u.Accepting && (!r.Suspect || u.OwnSuspects == 0) && (u.Allowance == 0 || u.OwnRunning < u.Allowance)
}

// OtherRunning estimates the requests of other entry VMs.
func (u *Upstream) OtherRunning() int {
	return max(u.Report.Running+u.Report.Queued-u.Report.OwnRunning, 0)
}

// OtherPrefill estimates the waiting prompt tokens of other entry VMs.
func (u *Upstream) OtherPrefill() float64 {
	return max(u.Report.PrefillTokens-u.Report.OwnPrefill, 0)
}

// PrefixIndex is what an entry VM believes an engine's prefix cache holds.
type PrefixIndex interface {
	// Match returns the number of leading pieces that are believed to be cached.
	Match(prefix []uint64) int
	// Insert notes that the pieces are cached now.
	Insert(now time.Duration, prefix []uint64)
	// Remove notes that the pieces were evicted.
	Remove(pieces []uint64)
	// Reset forgets everything, after a gap in the events or a crash.
	Reset()
}

// Fleet is the set of upstreams of one entry VM. Index i of Upstreams has Index == i. Slots are reused.
type Fleet struct {
	Upstreams []*Upstream
	ByModel   map[string][]int
	ByService map[string][]int
	Points    map[string][]Point // by model, ordered by hash
	Health    HealthTracker
}

// Candidates returns the indices of upstreams that serve r, accepting or not.
func (f *Fleet) Candidates(r *Request) []int {
	if r.Service != "" {
		return f.ByService[r.Service]
	}
	return f.ByModel[r.Model]
}

// AnyAccepting says that an upstream that serves r may get new work.
func (f *Fleet) AnyAccepting(r *Request) bool {
	for _, i := range f.Candidates(r) {
		if f.Upstreams[i].Accepting {
			return true
		}
	}
	return false
}

// EarliestReturn is the time at which the first of the upstreams that serve r and asked for quiet is back. ok is false if there is none.
func (f *Fleet) EarliestReturn(r *Request) (at time.Duration, ok bool) {
	for _, i := range f.Candidates(r) {
		if u := f.Upstreams[i]; u.AcceptsAfterQuiet && (!ok || u.QuietUntil < at) {
			at, ok = u.QuietUntil, true
		}
	}
	return at, ok
}

// Choice is a router's answer.
type Choice struct {
	Prefill    int           // None: no upstream can take it now
	Decode     int           // equal to Prefill unless roles are split
	FirstToken time.Duration // expected, from now
	Finish     time.Duration // expected, from now
	Cached     int           // pieces of the prefix believed cached at Prefill
	Defer      bool          // better to wait in the entry VM's queue than to start now
	Backlog    float64       // prompt tokens that Prefill computes before this request
	Source     *Upstream     // engine from which Prefill fetches cached pieces; nil: none
}

// Router picks an upstream.
type Router interface {
	Route(now time.Duration, r *Request, f *Fleet) Choice
}

// Learner is a Router that learns from what its choices led to.
type Learner interface {
	// Learn is told that r's prompt took the given time from its dispatch to Prefill, or has taken at least that long when it is
	// still under way.
	Learn(now time.Duration, r *Request, f *Fleet, took time.Duration, done bool)
}

// DecoderPicker is a Router that chooses the engine for generation anew once a prompt is computed.
type DecoderPicker interface {
	// PickDecoder returns the engine that takes over r's computed prompt, or None.
	PickDecoder(now time.Duration, r *Request, f *Fleet) int
}

// Verdict is an admitter's answer.
type Verdict struct {
	Admit      bool
	Code       result.Code   // why not
	RetryAfter time.Duration // when to come back
}

// QueueView is what an admitter may know of the entry VM's own queue.
type QueueView struct {
	Len      int
	Capacity int
	// WaitAhead is the expected time until the requests ahead of r have been dispatched.
	WaitAhead time.Duration
}

// Admitter decides who gets in, and the order in which queued requests leave.
type Admitter interface {
	// Admit is asked on arrival and again at times while r waits.
	Admit(now time.Duration, r *Request, f *Fleet, c Choice, q QueueView) Verdict
	// Less orders the queue.
	Less(a, b *Request) bool
	// Done is told of each request that leaves, with the tokens that it used.
	Done(now time.Duration, r *Request, tokens float64)
}

// Observation is one measured attempt at an upstream.
type Observation struct {
	Upstream int
	Kind     ObservationKind
	Expected time.Duration // by the specification and the known load
	Measured time.Duration
	Tokens   int
	Failed   bool // connection error, crash or time out
	// Unreachable says that no connection could be established.
	Unreachable bool
	// Stalled says that an attempt still in hand has shown nothing for much longer than expected.
	Stalled bool
}

// ObservationKind says what was measured.
type ObservationKind int

// Kinds of observations.
const (
	ObservedFirstToken ObservationKind = iota
	ObservedDecode
	ObservedCall
	ReportedDecode  // by the upstream itself
	ReportedPrefill // by the upstream itself
)

// HealthTracker judges upstreams by own measurements.
type HealthTracker interface {
	Observe(now time.Duration, o Observation)
	// Factor is how many times slower than specified the upstream is now; 1 is normal.
	Factor(i int) float64
	// Excluded says that the upstream gets no ordinary work now. Probe says that r, which runs elsewhere, shall have a second
	// attempt at it.
	Excluded(now time.Duration, i int) bool
	Probe(now time.Duration, i int, r *Request) bool
	Reset(i int)
	// Place says which set of upstreams serves the same models or service as i.
	Place(i int, set string)
}

// Reasoner is a HealthTracker that can tell why an upstream is excluded, in a few words for a log line.
type Reasoner interface {
	Reason(now time.Duration, i int) string
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Completed Outcome = iota
	RefusedNotRun
	FailedBeforeSend // certainly did not run
	FailedUnknown    // may have run
	Crashed          // the upstream died while it ran
	CutShort         // answer ended early
	TimedOut
	Cancelled // by the caller or by us
)

// RetryPolicy decides on another attempt.
type RetryPolicy interface {
	// Arrived counts a new request, from which the budget grows.
	Arrived(now time.Duration, r *Request)
	// Retry says if r may be tried again, and after which delay.
	Retry(now time.Duration, r *Request, o Outcome) (bool, time.Duration)
	// Hedge returns the time after dispatch at which a second attempt may start, or 0 for never.
	Hedge(now time.Duration, r *Request) time.Duration
	// Hedged counts a second attempt of r that was started.
	Hedged(now time.Duration, r *Request)
}

// Mix is the recent load of one model as seen by a role planner.
type Mix struct {
	PrefillTokensPerSecond float64 // offered prompt tokens to compute, without cached ones
	DecodeTokensPerSecond  float64 // offered output tokens
	Refused                float64 // share of requests refused for lack of capacity
}

// EngineRole is an engine as seen by a role planner.
type EngineRole struct {
	Name     string
	Spec     topo.Upstream
	Role     topo.Role
	Changing bool
	Running  int
	Slow     float64 // factor, 1 is normal
}

// RoleChange asks for one engine's role to change.
type RoleChange struct {
	Engine string
	Role   topo.Role
	Reason string
}

// RolePlanner follows the mix with role changes.
type RolePlanner interface {
	Plan(now time.Duration, m Mix, engines []EngineRole) []RoleChange
}
