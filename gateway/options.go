// Package gateway is the HTTP front end of an entry VM: the OpenAI-compatible API, plain services and the relay of answers.
//
// Invariants: an answer is delivered as successful only if it is complete and belongs to the request; an error is marked
// not_run only if no attempt was sent or every attempt certainly did not run; an accepted request is answered before a
// graceful shutdown ends.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/claims"
	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// Headers of the caller API.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderDeadline     = "Bergamot-Deadline-Ms"
	HeaderClass        = "Bergamot-Class"
	HeaderStreamID     = "Bergamot-Stream-Id"
	HeaderStreamOffset = "Bergamot-Stream-Offset" // number of tokens that the caller has: the last SSE id it received
	HeaderRevision     = "Bergamot-Config-Revision"
	HeaderRequestID    = "X-Request-Id"
)

// Limiter enforces the limits of accounts over all entry VMs.
type Limiter interface {
	// Acquire admits one request with an estimate of its tokens. release must be called with the tokens that were used.
	Acquire(caller string, limits topo.Limits, tokens int) (release func(used int), err *result.Error)
}

// Options configures a Gateway. Scheduler is required; the HTTP API also needs Source and Client, and refuses all
// requests without them.
type Options struct {
	Source     configuration.Source
	Scheduler  *scheduler.Scheduler
	Client     *upstream.Client
	Quarantine *quarantine.Quarantine
	// Subset returns the upstreams that this entry VM uses; nil: all.
	Subset    func(*topo.Configuration) []topo.Upstream
	Guard     claims.Guard // nil: requests with an idempotency key are refused
	Limits    Limiter      // nil: no limits
	Addresses http.Handler // handler of GET /v1/addresses; nil: no such route
	// ConfirmState returns nil if the state has been confirmed since a pause was detected; since is the time that has
	// passed since the detection. New requests are refused until it returns nil.
	ConfirmState func(since time.Duration) error
	// OnPause is called once for each detected pause, before ConfirmState. It must not block.
	OnPause func()
	// OnReachability is called with false when an attempt could not be sent or its upstream crashed. It must not block.
	OnReachability func(upstream string, reachable bool)
	// Refresh is called in the scheduler's goroutine before each event that may lead to a decision, to report what has been received
	// of other entry VMs. LoadChanged is called there after events that change the load of upstreams; it must not block. Both may be
	// nil.
	Refresh     func(now time.Duration, s *scheduler.Scheduler)
	LoadChanged func()
	Log         *zap.Logger

	MaxBody         int64         // bytes of a request body
	MaxAnswer       int64         // bytes of an answer that is buffered whole
	BodyTimeout     time.Duration // for a request body to arrive
	WriteTimeout    time.Duration // for a write to the caller to complete
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	RelayRing       int // capacity of the ring between the upstream and the caller of a stream, in events
	LoopRing        int // capacity of the scheduler's ring, in events
	CallerSeries    int // number of callers with their own histograms
	ServiceTimeout  time.Duration
}

func (o *Options) defaults() {
	setDefault(&o.MaxBody, 4<<20)
	setDefault(&o.MaxAnswer, 8<<20)
	setDefault(&o.BodyTimeout, 10*time.Second)
	setDefault(&o.WriteTimeout, 10*time.Second)
	setDefault(&o.DefaultDeadline, 2*time.Minute)
	setDefault(&o.MaxDeadline, time.Hour)
	setDefault(&o.ServiceTimeout, 30*time.Second)
	setDefault(&o.RelayRing, 64)
	setDefault(&o.LoopRing, 4096)
	setDefault(&o.CallerSeries, 200)
	if o.Refresh == nil {
		o.Refresh = func(time.Duration, *scheduler.Scheduler) {}
	}
	if o.LoadChanged == nil {
		o.LoadChanged = func() {}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Subset == nil {
		o.Subset = func(c *topo.Configuration) []topo.Upstream { return c.Upstreams }
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(quarantine.Options{})
	}
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Gateway serves the requests of callers.
type Gateway struct {
	opts    Options
	start   time.Time
	loop    *loop
	view    atomic.Pointer[view]
	metrics *metricSet
	mux     *http.ServeMux
	pause   pauseDetector
	phase   atomic.Int32
	active  tracker // requests, and attempts that outlive them
	lastID  atomic.Uint64
	handoff context.Context // cancelled when the drain limit has passed
	endAll  context.CancelCauseFunc
	// tracksAnswers is set if the scheduler uses UpstreamAnswered.
	tracksAnswers bool
}

// New returns a Gateway. Requests are served only while Run runs.
func New(o Options) *Gateway {
	o.defaults()
	g := &Gateway{opts: o, start: time.Now(), metrics: newMetricSet(o.CallerSeries), tracksAnswers: o.Scheduler != nil && o.Scheduler.TracksAnswers()}
	g.handoff, g.endAll = context.WithCancelCause(context.Background())
	g.loop = newLoop(o.Scheduler, o.LoopRing, g.now, g.startHedge)
	g.loop.metrics, g.loop.exclusions = g.metrics, newExclusions(o.Log, g.metrics.set)
	g.loop.refresh, g.loop.loadChanged = o.Refresh, o.LoadChanged
	g.routes()
	g.pause.tick(g.now())
	return g
}

// SchedulerTime converts t to the scheduler's time, which counts from the start of the gateway.
func (g *Gateway) SchedulerTime(t time.Time) time.Duration { return t.Sub(g.start) }

// now returns the time since the gateway's start, by the monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func (g *Gateway) routes() {
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("POST /v1/chat/completions", g.serve(g.completions))
	g.mux.HandleFunc("POST /v1/completions", g.serve(g.completions))
	g.mux.HandleFunc("GET /v1/models", g.serve(g.models))
	g.mux.HandleFunc("POST /v1/keys", g.serve(g.issueKey))
	g.mux.HandleFunc("/services/{service}/{path...}", g.serve(g.service))
	if g.opts.Addresses != nil {
		g.mux.Handle("GET /v1/addresses", g.opts.Addresses)
	}
	g.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, newExchange(r), result.New(result.UnknownRoute, "no route %s %s", r.Method, r.URL.Path))
	})
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// Run runs the scheduler and applies new configurations until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	if g.opts.Source != nil {
		cancel := g.opts.Source.Subscribe(func(c *topo.Configuration) { g.adopt(ctx, c) })
		defer cancel()
	}
	go g.watchPauses(ctx)
	return g.loop.run(ctx)
}

// Do runs f in the scheduler's goroutine.
func (g *Gateway) Do(ctx context.Context, f func(now time.Duration, s *scheduler.Scheduler)) error {
	return g.loop.do(ctx, evDo, f)
}

// SetAccepting stops or resumes sending new requests to an upstream. It does not wait for the scheduler.
func (g *Gateway) SetAccepting(name string, accepting bool) {
	g.loop.send(event{kind: evDo, do: func(_ time.Duration, s *scheduler.Scheduler) { s.SetAccepting(name, accepting) }})
}

// Quiet stops sending requests to an upstream for d, after the upstream asked for it. It does not wait for the scheduler.
func (g *Gateway) Quiet(name string, d time.Duration) {
	g.loop.send(event{kind: evDo, do: func(now time.Duration, s *scheduler.Scheduler) { s.Quiet(now, name, d) }})
}

// UpstreamAnswered records that an upstream has answered a call in any way, whether or not it ran the request. It does not wait for the
// scheduler.
func (g *Gateway) UpstreamAnswered(name string) {
	if !g.tracksAnswers {
		return
	}
	g.loop.send(event{kind: evCall, do: func(now time.Duration, s *scheduler.Scheduler) { s.UpstreamAnswered(now, name) }})
}

// LimitNamed records that an answer names a limit of its upstream. It does not wait for the scheduler.
func (g *Gateway) LimitNamed(name string, perSecond float64) {
	g.loop.send(event{kind: evCall, do: func(now time.Duration, s *scheduler.Scheduler) { s.AnswerLimit(now, name, true, perSecond, 0) }})
}

// NoLimitNamed records that the answer to a request sent at sentAt names no limit of its upstream. It does not wait for the
// scheduler.
func (g *Gateway) NoLimitNamed(name string, sentAt time.Time) {
	if !g.loop.limited.Load() {
		return
	}
	sent := g.SchedulerTime(sentAt)
	g.loop.send(event{kind: evCall, do: func(now time.Duration, s *scheduler.Scheduler) { s.AnswerLimit(now, name, false, 0, sent) }})
}
