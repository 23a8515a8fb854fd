// Package forward serves the routes of the operator's configuration: it forwards requests unchanged to an upstream of
// the route's service and returns its answer unchanged.
//
// The gateway's scheduler decides where requests go. This package sends requests, and checks and relays answers.
//
// Invariants: a request that may not be repeated is sent again only after its upstream has stated that it did not run
// it; a refusal states that the request did not run only when no attempt can have run; an answer is complete or its
// connection is broken; no part of a stream is relayed twice or left out.
package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/versions"
)

// Options configures a Front. Gateway, Pool, Codec, Table and ConfigurationConfirmed are required.
type Options struct {
	Gateway *gateway.Gateway
	Pool    *conns.Pool
	Codec   Codec
	Table   func() *routes.Table
	// ConfigurationConfirmed reports whether the configuration is known to be current, so that a path without a route can
	// be refused for good.
	ConfigurationConfirmed func() bool
	Log                    *zap.Logger
	// BodyMemory bounds the total bytes held of request bodies, long prompts' parts and answers of a stated length; 0: a default.
	BodyMemory int64
	// Crashes counts the crashes of requests across all entry VMs; nil: this entry VM only.
	Crashes *quarantine.Ledger
	// Versions keeps each resumable stream at one software version; nil: the upstreams of a service have no versions.
	Versions StreamVersions
	// OnPlaced is called for each prompt with shared parts, with the engines that will hold them.
	OnPlaced func(parts []policy.Part, upstreams ...string)
	// OnSend is called before each send.
	OnSend func()
	// OnLimit is called after an answer that names a limit of its upstream has been passed to the gateway.
	OnLimit func()
	// OnBegan is called once for each request of an account that an upstream has begun to run, or may have, with the time of
	// store.BootClock at which it began: a stream with its first event, another request when it was sent.
	OnBegan func(account string, at time.Time)
	// OnLeaving is called when an upstream states that it takes no new work, or when another upstream has its address.
	OnLeaving func(upstream string)
	// TakenAway reports whether the platform ends an upstream's process about now, so that no request has crashed it; nil: never.
	TakenAway func(upstream string) bool
}

// Front is the HTTP handler for callers.
type Front struct {
	opts    Options
	metrics *metricSet
	bodies  atomic.Int64 // bytes reserved of Options.BodyMemory

	stopPlan           atomic.Pointer[StopPlan] // nil unless the entry VM stops
	waitingEnds        context.Context          // ends when requests that were sent to no upstream are refused
	allEnd             context.Context          // ends when all requests are given up
	endWaiting, endAll context.CancelFunc
}

// New returns a Front.
func New(o Options) *Front {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.BodyMemory <= 0 {
		o.BodyMemory = defaultBodyMemory
	}
	if o.Crashes == nil {
		o.Crashes = quarantine.NewLedger(quarantine.LedgerOptions{})
	}
	if o.OnPlaced == nil {
		o.OnPlaced = func([]policy.Part, ...string) {}
	}
	if o.OnSend == nil {
		o.OnSend = func() {}
	}
	if o.OnLimit == nil {
		o.OnLimit = func() {}
	}
	if o.OnBegan == nil {
		o.OnBegan = func(string, time.Time) {}
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(string) {}
	}
	if o.TakenAway == nil {
		o.TakenAway = func(string) bool { return false }
	}
	f := &Front{opts: o, metrics: newMetricSet()}
	f.waitingEnds, f.endWaiting = context.WithCancel(context.Background())
	f.allEnd, f.endAll = context.WithCancel(context.Background())
	return f
}

const (
	defaultBodyMemory     = 64 << 20 // bytes; a quarter of a VM of 256 MB
	defaultBodyLimitBytes = 4 << 20  // bytes, until a configuration states one
	// maxAnswerBytes bounds an answer with Content-Length; a link of 20 Mbit/s carries that within the usual time
	// limits.
	maxAnswerBytes = 8 << 20
	// maxBufferedBytes bounds an answer that is buffered whole. Longer answers are relayed as they arrive if they have
	// a Content-Length, and fail otherwise.
	maxBufferedBytes = 256 << 10
	relayBufferBytes = 32 << 10
	// minRelayBufferBytes is the size if the memory for requests is used up, and that of an answer that is part of its connection's memory.
	minRelayBufferBytes = 4 << 10
	maxControlBytes     = 64 << 10 // bytes of an answer to a control call of this system
	// maxDiscardBytes of a body are read only so that the connection can be reused. For more, a new connection costs
	// less.
	maxDiscardBytes = 16 << 10
	// discardTimeout bounds the reading of such a body. It is short because the caller or the next attempt waits
	// meanwhile.
	discardTimeout     = 50 * time.Millisecond
	defaultTimeout     = 30 * time.Second // for callers that state no timeout
	bodyReadTimeout    = 5 * time.Second  // for a request body to arrive
	callerWriteTimeout = 10 * time.Second // for a caller to read what is written to it
	// deadlineMargin is how long before the route's time limit a request times out, so that the refusal arrives within
	// the limit. Streams have the whole limit: one that has begun is cut, not refused.
	deadlineMargin = 5 * time.Millisecond
)

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, arrival: time.Now()}
	defer func() { f.bodies.Add(-x.reserved.Load()) }()
	if f.stopPlan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	x.recordEnd(err)
	switch {
	case err == nil:
	case x.begun.Load():
		x.abort()
	default:
		// Also for a caller that has left: it may have closed its sending side only, and net/http would send it an empty 200.
		f.opts.Codec.Refuse(w, err)
	}
}

// exchange is one request of a caller.
type exchange struct {
	f           *Front
	w           http.ResponseWriter
	r           *http.Request
	arrival     time.Time
	query       *Query // nil for a real request
	call        Call
	account     *topo.Account // of the caller when the request arrived; nil: none
	table       *routes.Table
	route       *routes.Route
	service     string
	fingerprint quarantine.Fingerprint
	parts       []quarantine.PartID // shared parts of the prompt
	// knownCrashes are the crashes that the parts were blamed for when the answer began.
	knownCrashes []uint32
	trial        bool // the request tries a refused part
	trialSent    atomic.Bool
	body         []byte
	// reserved is the part of Options.BodyMemory, in bytes, that is held until the request ends, since the body may be
	// sent again and the answer waits for the caller.
	reserved atomic.Int64
	uri      string
	deadline time.Time // the earlier of the caller's deadline and the route's time limit

	stream         versions.StreamID      // of a resumable stream
	plannedVersion string                 // software version at which the stream runs; empty: any
	version        atomic.Pointer[string] // software version of the stream's events; nil before the first

	begun           atomic.Bool // the answer's header has been written to the caller
	position        position    // of the stream; after the first event, only the attempt that won writes it
	movable         atomic.Bool // another upstream can go on with the stream from its position
	mediaType       string      // of the answer that began the stream
	encoding        string      // its Content-Encoding
	events          int
	answer          *bufferedAnswer                // answer that is written to the caller in one piece
	fallback        atomic.Pointer[bufferedAnswer] // an upstream's failure, used if no other attempt succeeds
	sends           atomic.Int32
	counted         atomic.Bool // OnBegan has been called
	firstEventAfter time.Duration
}

// bufferedAnswer is an answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) serve() *result.Error {
	f := x.f
	if x.r.ContentLength != 0 {
		// The deadline also bounds how long net/http reads the body after an early refusal. If unsupported, the
		// server's timeout applies.
		_ = http.NewResponseController(x.w).SetReadDeadline(x.arrival.Add(bodyReadTimeout))
	}
	err := x.receive(x.readBody)
	if err != nil {
		return err
	}
	if err = x.reservePrompt(); err != nil {
		return err
	}
	parts := f.opts.Crashes.Parts()
	x.knownCrashes = parts.Known(x.parts)
	ctx, cancel := x.withDeadline()
	defer cancel()
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	stopWatch := parts.Watch(x.parts, func(refusal *result.Error) {
		if !x.begun.Load() {
			abandon(refusal)
		}
	})
	defer stopWatch()
	if err = x.checkStop(); err != nil {
		return err
	}
	defer x.endWithStop(abandon)()
	if err = x.bindVersion(ctx); err != nil {
		return err
	}
	if err = f.opts.Gateway.Submit(ctx, x.gatewayWork()); err != nil {
		if refusal := new(result.Error); errors.As(context.Cause(ctx), &refusal) {
			return refusal.WithExecution(err.Execution)
		}
		if x.answer = x.fallback.Load(); x.answer == nil || x.begun.Load() || x.r.Context().Err() != nil {
			return x.timeoutError(ctx, err)
		}
	}
	if x.answer == nil || x.answer.status/100 == 2 {
		f.opts.Crashes.Completed(x.fingerprint)
		parts.Completed(x.parts, x.knownCrashes)
	}
	if x.answer != nil {
		x.writeAnswer(x.answer)
	}
	return nil
}

// receive finds the route, the account and the service of the request, takes its body, and refuses what crashes upstreams.
func (x *exchange) receive(takeBody func() *result.Error) *result.Error {
	f := x.f
	x.table = f.opts.Table()
	if x.table == nil {
		return result.New(result.StaleEntryVM, "this entry VM has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	x.uri = x.r.RequestURI
	if x.route = x.table.Match(x.r.Host, x.path()); x.route == nil {
		if !f.opts.ConfigurationConfirmed() {
			return errUnconfirmed()
		}
		return result.New(result.UnknownRoute, "no route for this host and path")
	}
	var err, malformed *result.Error
	x.call, malformed = f.opts.Codec.ParseCall(x.r)
	if err = x.identify(); err != nil {
		return err
	}
	if malformed != nil {
		return malformed
	}
	if err = takeBody(); err != nil {
		return err
	}
	x.service = x.route.Pick(x.firstAttempt())
	x.boundCall()
	x.fingerprint = x.hashRequest()
	if err = f.opts.Crashes.Check(x.fingerprint); err != nil {
		return err
	}
	x.parts = sharedParts(x.call.Parts)
	return f.opts.Crashes.Parts().Check(x.parts)
}

// boundCall bounds the token counts that the caller states by what an engine of the service can hold, since memory and work follow from
// them here and, for shared parts, at other entry VMs.
func (x *exchange) boundCall() {
	s := x.table.Services[x.service]
	if s == nil || s.Engine == nil {
		return
	}
	c, limit := &x.call, s.Engine.MaxPrompt()
	c.Prompt, c.MaxOutput, c.HintOutput = min(c.Prompt, limit), min(c.MaxOutput, limit), min(c.HintOutput, limit)
	c.Parts = policy.Within(c.Parts, limit)
}

// path returns the path of the request as it was sent.
func (x *exchange) path() string {
	path, _, _ := strings.Cut(x.uri, "?")
	return path
}

// notReadyRetryAfter is short: other entry VMs have a confirmed configuration.
const notReadyRetryAfter = 50 * time.Millisecond

// bodyLimit returns the largest size of a body in bytes.
func (x *exchange) bodyLimit() int64 {
	if limit := x.table.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyLimitBytes
}

func errBodyTooLarge(limit int64) *result.Error {
	return result.New(result.BodyTooLarge, "the body may have %d bytes", limit)
}

// readBody reads the request's body within the limits on size and total body memory.
func (x *exchange) readBody() *result.Error {
	limit := x.bodyLimit()
	if x.r.ContentLength > limit {
		return errBodyTooLarge(limit)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	if x.r.ContentLength > x.f.opts.BodyMemory-x.f.bodies.Load() { // refused before its first part is read
		return x.refuseForMemory()
	}
	var err error
	x.body, err = bounded.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), "request body", x.r.ContentLength, limit, x.reserve)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return x.refuseForMemory()
	case errors.As(err, &tooLarge):
		return errBodyTooLarge(limit)
	case err != nil:
		return result.New(result.RequestTooSlow, "the body did not arrive").WithCause(err)
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return nil
}

var errBodyMemory = errors.New("the memory for request bodies is used up")

// refuseForMemory counts a refusal for lack of memory and returns it. An answer that finds no memory is no refusal.
func (x *exchange) refuseForMemory() *result.Error {
	x.f.metrics.bodyMemory.Inc()
	return result.New(result.Overloaded, "the memory for requests is used up").WithRetryAfter(bodyMemoryRetryAfter)
}

const (
	pieceBytes = 8
	partBytes  = 32 // as a policy.Part, a quarantine.PartID and an identifier in a log line
	// ordinaryPromptBytes are not counted: the parts and pieces of a prompt of 100,000 tokens.
	ordinaryPromptBytes = 1 << 10
)

// reservePrompt reserves the memory for the pieces and the parts of a long prompt.
func (x *exchange) reservePrompt() *result.Error {
	n := int64(policy.Tokens(x.call.Parts)/policy.PieceTokens*pieceBytes + len(x.call.Parts)*partBytes)
	if n > ordinaryPromptBytes && x.reserve(n) != nil {
		return x.refuseForMemory()
	}
	return nil
}

// bodyMemoryRetryAfter is short: other entry VMs have memory for the body.
const bodyMemoryRetryAfter = 100 * time.Millisecond

// reserve reserves n bytes of the body memory that all requests share.
func (x *exchange) reserve(n int64) error {
	if x.f.bodies.Add(n) > x.f.opts.BodyMemory {
		x.f.bodies.Add(-n)
		return errBodyMemory
	}
	x.reserved.Add(n)
	return nil
}

// withDeadline sets the request's deadline from the caller's timeout and the route's limit and returns a context that
// ends then.
func (x *exchange) withDeadline() (context.Context, context.CancelFunc) {
	left := x.call.Remaining
	if left <= 0 {
		left = defaultTimeout
	}
	x.deadline = x.arrival.Add(left)
	if t := x.route.Timeout; t > 0 && t < left {
		if x.route.Kind != routes.Stream {
			t -= deadlineMargin
		}
		x.deadline = x.arrival.Add(t)
	}
	return context.WithDeadline(x.r.Context(), x.deadline)
}

// gatewayWork returns the request in the form that the scheduler takes.
func (x *exchange) gatewayWork() *gateway.Work {
	g, call, route := x.f.opts.Gateway, &x.call, x.route
	q := policy.Request{
		Class: route.Name, Priority: x.priority(), Arrival: g.SchedulerTime(x.arrival), Deadline: g.SchedulerTime(x.deadline),
		Idempotent: route.Repeatable(), ResendsLimited: true, MaxResends: max(route.MaxUpstreams-1, 0),
	}
	if x.account != nil {
		q.Caller, q.Weight = x.account.Caller, x.account.Weight
	}
	if route.Target > 0 {
		q.FirstTokenTarget = q.Arrival + route.Target
	}
	if route.Kind == routes.Stream {
		q.FirstTokenDeadline = q.Arrival + route.StreamPatience()
	}
	attempt := x.attemptBuffered
	if s := x.table.Services[x.service]; s != nil && s.Engine != nil {
		q.Model, q.UnknownModel = EngineModel(x.service, call.Model), !slices.Contains(s.Engine.Models, call.Model)
		q.PromptTokens, q.MaxOutput, q.HintOutput = call.Prompt, call.MaxOutput, call.HintOutput
		if n := len(call.Parts) - 1; n > 0 {
			q.PromptPieces = policy.PrefixPieces(call.Parts)
			q.Prefix = q.PromptPieces[:policy.Tokens(call.Parts[:n])/policy.PieceTokens]
		}
	} else {
		q.Service = x.service
	}
	if route.Kind == routes.Stream {
		attempt, q.Version = x.attemptStream, x.plannedVersion
		if route.Resumable {
			q.Movable = x.movable.Load
		}
	}
	return &gateway.Work{Request: q, Fingerprint: x.fingerprint, Attempt: x.withCrashGuard(attempt)}
}

// sharedParts returns the parts of a prompt that other requests may share: all but the last.
func sharedParts(parts []policy.Part) []quarantine.PartID {
	if len(parts) < 2 {
		return nil
	}
	out := make([]quarantine.PartID, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		if id := quarantine.PartID(p.ID); !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// EngineModel returns the name of a model qualified by its service, since services may use the same name for different
// models.
func EngineModel(service, model string) string { return service + "/" + model }

// hashRequest returns the fingerprint under which crashes of the request are counted. It holds only what the upstream
// works on: a caller's repeats, and those of callers without credentials, may come from any address.
func (x *exchange) hashRequest() quarantine.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{x.call.Caller, "\x00", x.r.Method, "\x00", x.r.Host, "\x00", x.uri, "\x00"} {
		_, _ = d.WriteString(s) // a hash does not fail
	}
	_, _ = d.Write(x.body)
	return quarantine.Fingerprint(d.Sum64())
}

// timeoutError returns err, or a DeadlineExceeded error in its place if the request's deadline has passed.
func (x *exchange) timeoutError(ctx context.Context, err *result.Error) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code == result.CallerGone {
		return result.New(result.DeadlineExceeded, "the time limit has passed").WithExecution(err.Execution).WithCause(err)
	}
	return err
}

// writeAnswer writes a buffered answer to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // if unsupported, the server's timeout applies
	h := x.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	x.begun.Store(true)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.f.opts.Log.Info("answer not delivered", x.requestField(), zap.Error(err))
	}
}
