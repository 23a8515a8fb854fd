// Package policy defines the data types and interfaces of the policies for routing, admission, upstream health, retries
// and engine roles.
//
// A policy does no I/O, starts no goroutine and reads no clock: the time is an argument. The same code therefore runs
// in the daemon and in replay. Times are durations since the start of the process or of the trace. Policies are not
// safe for concurrent use; package scheduler calls them from one goroutine.
package policy

import (
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// PieceTokens is the number of tokens in one piece of KV cache, the unit in which engines count memory and
// publish cache events.
const PieceTokens = 1000

// None is the index that stands for no upstream.
const None = -1

// Priorities is the number of priorities with separate load sums; all lower priorities share the last one.
const Priorities = 4

// Request is the policies' view of a request. The scheduler owns it from Offer until it is finished or refused.
type Request struct {
	ID       uint64
	Caller   string
	Class    string
	Priority int     // 0 is the highest
	Weight   float64 // fair share of the caller; 0 counts as 1

	Model string // "model@version" for engines
	// UnknownModel is set if the configuration does not have Model. The request is refused, before any state is kept under that name,
	// unless an upstream has the model.
	UnknownModel bool
	Service      string // for plain services
	// Version is the software version of the upstreams that may take the request; empty: any, until the answer has begun.
	Version string

	PromptTokens   int
	Prefix         []uint64 // chained hashes of the prompt's pieces, from the start; piece i covers PieceTokens tokens
	PromptPieces   []uint64 // pieces of the whole prompt, which begin with Prefix; empty: only Prefix is known
	MaxOutput      int      // the caller's limit on output tokens; 0: none
	HintOutput     int      // the caller's own estimate of output tokens; 0: none
	OutputGuessed  bool     // ExpectedOutput is unreliable: too few requests of the class have finished, or none recently
	ExpectedOutput float64  // estimate of output tokens, set by the scheduler from past requests of the class

	Arrival            time.Duration
	Deadline           time.Duration // absolute; the answer must be complete by then
	FirstTokenTarget   time.Duration // absolute target for the first token; 0: none
	FirstTokenDeadline time.Duration // absolute deadline of the first token, at which the caller leaves; 0: Deadline
	Idempotent         bool
	Split              bool        // the current attempt prefills and decodes at different engines, which takes two sends
	Movable            func() bool // whether another upstream can go on with the stream from where it is; nil: none can
	MaxResends         int         // maximum number of attempts that may have run, beyond the first; applies only if ResendsLimited is set
	ResendsLimited     bool        // MaxResends applies, also after the answer has begun

	// State of the execution.
	Attempts    int
	Generated   int // output tokens received so far
	Prefill     int // upstream that computes the prompt, or None
	Decode      int // upstream that generates, or None; equal to Prefill unless roles are split
	Dispatched  time.Duration
	FirstAt     time.Duration
	Avoid       int // upstream of the last failed attempt, or None
	AvoidDecode int // decoder of the last failed attempt, or None

	// Set at dispatch.
	Cached          int           // leading pieces expected to be cached at Prefill, or fetched from another engine
	Backlog         float64       // prompt tokens that Prefill was expected to compute before this request
	ComputingAt     *Upstream     // upstream whose Computing counts the request, or nil
	PromptSentAt    time.Duration // the call for the prompt only was sent to Prefill, which has not run the request; 0: not sent
	NextMove        time.Duration // the call for the prompt only is not abandoned earlier
	PromptDone      bool          // Prefill has computed the prompt; the first token may still be missing
	FairTag         float64       // virtual start time among the classes that wait for limited upstreams, set when it is queued
	DecodePermit    bool          // a permit for Decode, another upstream than Prefill, is reserved until PromptDone
	PossibleRuns    int           // attempts that may have run
	UnsentAttempts  int           // attempts that failed before anything was sent
	ExpectedFirst   time.Duration // time to the first token, from dispatch
	ExpectedFinish  time.Duration // time to the whole answer, from dispatch
	NominalFirst    time.Duration // ExpectedFirst at an upstream of normal speed
	Resumed         int           // output tokens of earlier attempts, computed again as part of the prompt
	OverdueCount    int           // number of times that the attempt was reported as late
	HedgePrefill    int           // upstream of a second attempt, or None
	HedgeDecode     int
	HedgeCached     int
	HedgeAt         time.Duration
	HedgeNominal    time.Duration // NominalFirst of the second attempt
	HedgeNotStarted bool          // the driver has not started a second attempt, and none follows in this attempt
	SpillReason     SpillReason   // reason for the last choice of another data centre

	// Set by the admitter on first admission.
	Tagged bool
	Tag    float64 // the caller's virtual time at the request's arrival
	Bucket int64   // Tag in units of the admitter's quantum

	// Set by an admitter that is an OrderChanger.
	LateAt  time.Duration // time from which the request can't meet its target any more; 0: never
	Late    bool          // as of the last Rank
	Share   float64       // what the caller had used as of the last Rank
	Charged float64       // charged to the caller so far

	// Start of the scheduler's current measurement of the decode speed.
	MeasuredAt     time.Duration
	MeasuredTokens int

	Crashes       int           // upstreams that crashed while they ran the request
	CrashedAt     int           // Generated at the last crash
	Suspect       bool          // ran at an upstream that crashed, without enough progress since
	HoldUntil     time.Duration // not dispatched earlier; set for suspects whose answer has begun
	Cleared       bool          // has made enough progress since the last crash
	Yielded       bool          // was preempted in favour of other requests
	Rescues       int           // number of times that it was moved away from a slow upstream
	InFlightIndex int           // index in the scheduler's list of requests in flight, or None
}

// PiecesAfterPrompt returns the pieces in an engine's cache after it has computed the prompt. They include pieces that no
// other request can use, since these evict shared ones.
func (r *Request) PiecesAfterPrompt() []uint64 {
	if len(r.PromptPieces) > 0 {
		return r.PromptPieces
	}
	return r.Prefix
}

// BudgetKey returns the key of r's retry budget: its service or model, whose upstreams a resend of r loads.
func (r *Request) BudgetKey() string {
	if r.Service != "" {
		return r.Service
	}
	return r.Model
}

// GiveUpAt returns the time from which r's answer is of no use to the caller: its deadline or, until the answer has
// begun, the deadline of the first token.
func (r *Request) GiveUpAt() time.Duration {
	if r.FirstTokenDeadline > 0 && r.Generated == 0 {
		return min(r.FirstTokenDeadline, r.Deadline)
	}
	return r.Deadline
}

// ShareLevels is the number of levels among which the permits of limited upstreams are shared.
const ShareLevels = 2 * Priorities

// ShareLevel returns the level of r: two for each priority, the first for requests that must not be repeated.
func (r *Request) ShareLevel() int {
	level := 2 * min(max(r.Priority, 0), Priorities-1)
	if r.Idempotent {
		level++
	}
	return level
}

// ShareWeight returns the weight of a level. It doubles with the priority, and for requests that must not be repeated, whose
// callers can't send them again without care. A limit counts requests, so that many cheap ones of a high priority would take
// all of it without weights.
func ShareWeight(level int) float64 {
	w := float64(int(1) << (Priorities - 1 - level/2))
	if level%2 == 0 {
		w *= 2
	}
	return w
}

// Avoids reports whether upstream i was the prefill upstream or the decoder of the last failed attempt.
func (r *Request) Avoids(i int) bool { return i == r.Avoid || i == r.AvoidDecode }

// Work returns the number of prompt tokens to compute if cachedPieces leading pieces are cached.
func (r *Request) Work(cachedPieces int) float64 {
	w := float64(r.PromptTokens + r.Generated - cachedPieces*PieceTokens)
	if w < 1 {
		return 1
	}
	return w
}

// LoadReport is the load that an upstream reports of itself. Reports may arrive seconds late.
type LoadReport struct {
	At            time.Duration // when the upstream measured it
	Running       int           // requests in an engine's batch, or running at a server
	Queued        int
	PrefillTokens float64 // prompt tokens waiting to be computed
	KVPiecesInUse int
	OwnRunning    int     // part of Running and Queued that this entry VM sent
	OwnPrefill    float64 // part of PrefillTokens that this entry VM sent
	// Speeds measured by the upstream since its last report, each over the time spent in that phase; 0: not measured.
	DecodeTokensPS  float64
	PrefillTokensPS float64
	DecodeStreams   float64 // mean number of streams in the batch over the time spent decoding; 0: not reported
}

// Upstream is one entry VM's view of an upstream. Own requests are those that this entry VM sent.
type Upstream struct {
	Index     int
	Spec      topo.Upstream
	Accepting bool // may get new work: active, not leaving, not unreachable, not quiet
	// Quiet is set while the upstream has asked for no requests from this entry VM, until QuietUntil; AcceptsAfterQuiet
	// is set if it accepts work after that. Allowance limits the own requests in flight for some time from then on; 0:
	// no limit.
	Quiet, AcceptsAfterQuiet bool
	QuietUntil               time.Duration
	Allowance                int
	// Limited is set while the upstream limits the requests that it takes from all entry VMs together, to Limit per second.
	// It then takes each request for a permit only; Permits is the number at hand.
	Limited bool
	Limit   float64
	Permits int
	// LimitUnconfirmed is set while no answer has confirmed the limit for some time. Only an answer shows its end.
	LimitUnconfirmed bool
	Role             topo.Role
	Hash             uint64 // of the name; the same at all entry VMs
	// Rank is the position among the model's accepting engines for both phases, the same at all entry VMs, or None.
	Rank int

	// Load by own requests, always up to date.
	OwnRunning   int // dispatched and not finished
	OwnRunningBy [Priorities]int
	OwnPrefill   float64 // dispatched prompt tokens that are not computed yet, without those expected to be cached
	OwnPrefillBy [Priorities]float64
	OwnRemaining float64 // expected output tokens that are not generated yet
	OwnHeld      float64 // tokens of KV cache that the own requests need at the end of their output
	OwnSuspects  int     // suspects, see Request.Suspect

	// Load by all entry VMs, as last reported.
	Report         LoadReport
	ReportReceived time.Duration // time of arrival

	Cache PrefixIndex
	// Computing counts the own requests in flight whose shared pieces are not computed yet, by their first piece. Cache
	// already lists these pieces.
	Computing map[uint64]int
}

// CanTake reports whether u may get r now. At most one own suspect runs at an upstream, so that a crash there identifies
// the request that caused it.
func (u *Upstream) CanTake(r *Request) bool {
	return u.canTakeWithPermit(r) && (!u.Limited || u.Permits > 0)
}

// LacksPermit reports whether u could take r but for a permit.
func (u *Upstream) LacksPermit(r *Request) bool {
	return u.Limited && u.Permits == 0 && u.canTakeWithPermit(r)
}

func (u *Upstream) canTakeWithPermit(r *Request) bool {
	return u.Accepting && (r.Version == "" || r.Version == u.Spec.Version) && (!r.Suspect || u.OwnSuspects == 0) && (u.Allowance == 0 || u.OwnRunning < u.Allowance)
}

// OtherRunning estimates the number of requests of other entry VMs that run or wait at u.
func (u *Upstream) OtherRunning() int {
	return max(u.Report.Running+u.Report.Queued-u.Report.OwnRunning, 0)
}

// OtherPrefill estimates the prompt tokens of other entry VMs that wait at u.
func (u *Upstream) OtherPrefill() float64 {
	return max(u.Report.PrefillTokens-u.Report.OwnPrefill, 0)
}

// PrefixIndex is an entry VM's estimate of the contents of an engine's prefix cache.
type PrefixIndex interface {
	// Match returns the number of leading pieces that are expected to be cached.
	Match(prefix []uint64) int
	// Insert records that the pieces are cached now.
	Insert(now time.Duration, prefix []uint64)
	// Remove records that the pieces were evicted.
	Remove(pieces []uint64)
	// Reset removes all pieces, after a gap in the cache events or a crash.
	Reset()
}

// Choice is the result of Router.Route.
type Choice struct {
	Prefill    int           // None: no upstream can take the request now
	Decode     int           // equal to Prefill unless roles are split
	FirstToken time.Duration // expected, from now
	Finish     time.Duration // expected, from now
	Cached     int           // leading pieces expected to be cached at Prefill, or fetched from Source
	Defer      bool          // the request should wait in the entry VM's queue instead of starting now
	Backlog    float64       // prompt tokens that Prefill computes before this request
	Source     *Upstream     // engine from which Prefill fetches cached pieces, or nil
	// WithPermit is the limited upstream that would have been chosen if a permit were at hand, or nil.
	WithPermit *Upstream
}

// Router picks an upstream.
type Router interface {
	Route(now time.Duration, r *Request, f *Fleet) Choice
}

// Learner is a Router that learns from the times that prompts take.
type Learner interface {
	// Learn records the time that r's prompt took after its dispatch to Prefill, or has taken so far if done is false.
	Learn(now time.Duration, r *Request, f *Fleet, took time.Duration, done bool)
}

// DecoderPicker is a Router that chooses the decoder again when a prompt has been computed.
type DecoderPicker interface {
	// PickDecoder returns the engine that generates the output for r's computed prompt, or None.
	PickDecoder(now time.Duration, r *Request, f *Fleet) int
}

// Verdict is the result of Admitter.Admit.
type Verdict struct {
	Admit      bool
	Code       result.Code   // reason for a refusal
	RetryAfter time.Duration // delay after which the caller may retry a refused request
}

// QueueView is an admitter's view of the entry VM's queues. Len and Capacity are for all queues together.
type QueueView struct {
	Len      int
	Capacity int
	// WaitAhead is the expected time until the requests queued ahead of r have been dispatched.
	WaitAhead time.Duration
	// LimitedWait is the expected time until r gets its turn, if all upstreams that accept it are limited. LimitedPatience is
	// the longest such time for which r may wait, besides its deadline.
	LimitedWait, LimitedPatience time.Duration
}

// Admitter decides which requests are admitted, and the order in which queued requests are dispatched.
type Admitter interface {
	// Admit is called on arrival and again whenever the scheduler tries to dispatch a queued request.
	Admit(now time.Duration, r *Request, f *Fleet, c Choice, q QueueView) Verdict
	// Less orders queued requests.
	Less(a, b *Request) bool
	// Done records the end of a request and the tokens that it used.
	Done(now time.Duration, r *Request, tokens float64)
}

// OrderChanger is an Admitter whose order of queued requests changes while they wait. Less reads only what Rank has set, so that a
// heap stays in order between two calls of Rank.
type OrderChanger interface {
	// Dispatched records that r, which was admitted, has been sent to an upstream.
	Dispatched(now time.Duration, r *Request)
	// Rank sets the fields of r that Less compares, as of now, and returns when they change by the passing of time alone.
	Rank(now time.Duration, r *Request) (until time.Duration)
	// Hold reports whether r should stay in the queue although c.Prefill could take it, beside Choice.Defer.
	Hold(r *Request, c Choice) bool
	// Changes counts the other changes that affect the order of queued requests.
	Changes() uint64
}

// Observation is one measurement of an upstream.
type Observation struct {
	Upstream int
	Kind     ObservationKind
	Expected time.Duration // by the specification and the known load
	Measured time.Duration
	Tokens   int
	Failed   bool // connection error, crash or timeout
	// Unreachable is set if no connection could be established.
	Unreachable bool
	// Stalled is set if an attempt in flight has returned nothing for much longer than expected, or if the upstream has
	// refused it.
	Stalled bool
}

// ObservationKind is the kind of an Observation.
type ObservationKind int

// Kinds of observations.
const (
	ObservedFirstToken ObservationKind = iota
	ObservedDecode
	ObservedCall
	ReportedDecode  // from the upstream's load report
	ReportedPrefill // from the upstream's load report
)

// HealthTracker judges upstreams by this entry VM's observations.
type HealthTracker interface {
	Observe(now time.Duration, o Observation)
	// Factor returns how many times slower than specified upstream i is now; 1 is normal.
	Factor(i int) float64
	// Excluded reports whether upstream i gets no ordinary work now.
	Excluded(now time.Duration, i int) bool
	// Probe reports whether r, which runs elsewhere, should get a second attempt at the excluded upstream i as a probe.
	Probe(now time.Duration, i int, r *Request) bool
	// Reset discards all observations of upstream i.
	Reset(i int)
	// SetPeerGroup sets the key of the set of upstreams that serve the same models or service as upstream i.
	SetPeerGroup(i int, set string)
}

// SilenceTracker is a HealthTracker that leaves out upstreams that have not answered an abandoned call until they answer another
// one.
type SilenceTracker interface {
	// Silent records that upstream i has not answered a call that was therefore abandoned.
	Silent(now time.Duration, i int)
	// Sent records that a request is sent to upstream i. Of a silent upstream, this is the only one for some time.
	Sent(now time.Duration, i int)
	// Answered records that upstream i has answered a call, whatever the answer.
	Answered(now time.Duration, i int)
}

// Reasoner is a HealthTracker that returns the reason for an exclusion, in a few words for a log line.
type Reasoner interface {
	Reason(now time.Duration, i int) string
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Completed Outcome = iota
	RefusedNotRun
	FailedBeforeSend // certainly did not run
	FailedUnknown    // may have run
	Crashed          // the upstream crashed while it ran the attempt
	CutShort         // the answer ended early
	TimedOut
	Cancelled // by the caller or by the entry VM
)

// CertainlyNotRun reports whether an attempt with this outcome did not run.
func (o Outcome) CertainlyNotRun() bool { return o == RefusedNotRun || o == FailedBeforeSend }

// RetryPolicy decides on retries and hedges.
type RetryPolicy interface {
	// Arrived records a new request, which increases the budget.
	Arrived(now time.Duration, r *Request)
	// Retry reports whether r may be retried after an attempt with outcome o, and returns the delay before it.
	Retry(now time.Duration, r *Request, o Outcome) (bool, time.Duration)
	// Hedge returns the time after dispatch at which a second attempt of r may start, or 0 for never.
	Hedge(now time.Duration, r *Request) time.Duration
	// Hedged records the start of a second attempt of r.
	Hedged(now time.Duration, r *Request)
}

// Mix is the recent load offered for one model, the input of a role planner.
type Mix struct {
	PrefillTokensPerSecond float64 // offered prompt tokens to compute, without cached ones
	DecodeTokensPerSecond  float64 // offered output tokens
	Refused                float64 // share of requests refused for lack of capacity
}

// EngineRole is a role planner's view of an engine.
type EngineRole struct {
	Name     string
	Spec     topo.Upstream
	Role     topo.Role
	Changing bool // a role change is in progress
	Running  int
	Slowdown float64 // HealthTracker.Factor; 1 is normal
}

// RoleChange is a change of one engine's role.
type RoleChange struct {
	Engine string
	Role   topo.Role
	Reason string
}

// RolePlanner plans role changes that adapt a model's engines to the mix of its load.
type RolePlanner interface {
	Plan(now time.Duration, m Mix, engines []EngineRole) []RoleChange
}
