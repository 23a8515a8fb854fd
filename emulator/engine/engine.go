// Package engine emulates a model engine over HTTP: continuous batching, priorities, a prefix cache with delayed events, lagging load
// reports, resumable streams, KV export and import, and orders.
//
// A token depends only on the model, the prompt and its index, so that a stream resumed at another engine must continue with the same
// tokens. The package is meant for tests, the demo and replay over loopback, not for measuring engines.
package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/topo"
)

// Options configures an engine. Spec gives its speeds and capacities.
type Options struct {
	Spec      topo.Upstream
	Step      time.Duration // between steps of the batch; default 5 ms
	LoadModel time.Duration // time to load a model or an adapter
	Poison    string        // a prompt that contains this text crashes the engine at the first token
	EventsMax int           // cache events kept; default 256
}

// Fault is a fault that a hook injects.
type Fault int

// Faults of streams, and of orders where noted.
const (
	None        Fault = iota
	Crash             // the engine crashes; also for orders
	Cut               // the connection ends without an end marker
	Duplicate         // the token is sent twice
	Crossed           // the event carries another request's identifier
	SkipToken         // the token is left out
	NoEnd             // at the end of the answer: the end marker is missing, but the HTTP body ends normally
	LoseAnswer        // the tokens of the current write are not sent and the connection breaks
	Hang              // nothing more is sent; for orders: the order never finishes
	NeverFinish = Hang
)

// Point is the position in a stream for which a hook chooses a fault.
type Point struct {
	RequestID string
	Prompt    string
	Index     int
	End       bool
}

// Engine is an emulated engine.
type Engine struct {
	opts Options

	mu       sync.Mutex
	spec     topo.Upstream
	up       bool
	boot     uint64
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	stopped  chan struct{}
	wake     chan struct{}
	jobs     []*job // waiting and running, in order of priority
	cache    *cache
	held     map[string]heldKV
	status   topo.EngineStatus
	orders   []topo.Order
	busy     bool // out of service during an order
	leaving  bool
	samples  []loadSample
	counts   Counts
	slow     float64

	onStream func(Point) Fault
	onOrder  func(topo.Order) Fault
}

// Counts are counters for tests.
type Counts struct {
	Starts     map[string]int // by request identifier
	Crashes    int
	Conflicts  int // orders that arrived while another was running
	CutByOrder int // streams that an order aborted
	Resumed    int
	Imported   int
	Cancelled  int
}

// New returns an engine that is not started.
func New(o Options) *Engine {
	if o.Step <= 0 {
		o.Step = 5 * time.Millisecond
	}
	if o.EventsMax <= 0 {
		o.EventsMax = 256
	}
	if o.Spec.Role == "" {
		o.Spec.Role = topo.RoleBoth
	}
	o.Spec.Kind = topo.KindEngine
	e := &Engine{opts: o, spec: o.Spec, slow: 1}
	e.counts.Starts = map[string]int{}
	e.status = topo.EngineStatus{State: topo.EngineIdle, Models: o.Spec.Models, Role: o.Spec.Role}
	return e
}

// Start listens on the address and serves until Crash or Close, after which it may be called again.
func (e *Engine) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.listener, e.stop, e.up = l, cancel, true
	e.boot++
	e.status.Boot, e.status.State, e.status.OrderID, e.status.Message = e.boot, topo.EngineIdle, "", ""
	e.wake = make(chan struct{}, 1)
	e.jobs, e.samples, e.busy = nil, nil, false
	e.held = map[string]heldKV{}
	e.cache = newCache(e.spec.KVPieces, e.opts.EventsMax)
	e.stopped = make(chan struct{})
	e.spec.Address = l.Addr().String()
	e.server = &http.Server{Handler: e.handler(ctx), ReadHeaderTimeout: 10 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.run(ctx, e.wake, e.stopped)
	return nil
}

// Spec returns the engine's description with its address.
func (e *Engine) Spec() topo.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.spec
}

// Crash emulates a crash of the engine's process: all connections break at once. It has no effect on an engine that is down.
func (e *Engine) Crash() { e.end(true) }

// Close stops the engine.
func (e *Engine) Close() { e.end(false) }

func (e *Engine) end(crashed bool) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	if crashed {
		e.counts.Crashes++
	}
	server, stop, stopped := e.server, e.stop, e.stopped
	e.mu.Unlock()
	stop()
	_ = server.Close()
	<-stopped
}

// Restart starts the engine again at the same address.
func (e *Engine) Restart() error { return e.Start(e.Spec().Address) }

// OnStream sets the hook that chooses the faults of streams.
func (e *Engine) OnStream(f func(Point) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onStream = f
}

// OnOrder sets the hook that chooses the faults of orders.
func (e *Engine) OnOrder(f func(topo.Order) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOrder = f
}

// Slow sets the factor by which the engine is slower than its Spec.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = max(factor, 1e-3)
}

// Leave sets whether the engine reports that it is leaving and refuses new work.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Starts = make(map[string]int, len(e.counts.Starts))
	for k, v := range e.counts.Starts {
		c.Starts[k] = v
	}
	return c
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []topo.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]topo.Order(nil), e.orders...)
}

func (e *Engine) streamFault(p Point) Fault {
	e.mu.Lock()
	hook, poison := e.onStream, e.opts.Poison
	e.mu.Unlock()
	if poison != "" && strings.Contains(p.Prompt, poison) {
		return Crash
	}
	if hook == nil {
		return None
	}
	return hook(p)
}

var errRefused = errors.New("refused")

// Seed returns the seed of the answer's tokens for a model and a prompt.
func Seed(model, prompt string) uint64 {
	name, _, _ := strings.Cut(model, "@")
	return xxhash.Sum64String(name + "\x00" + prompt)
}

// Token returns the token at an index of the answer with this seed.
func Token(seed uint64, index int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	x := seed + uint64(index)*0x9E3779B97F4A7C15
	x ^= x >> 29
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 32
	b := [5]byte{letters[x%26], letters[x>>8%26], letters[x>>16%26], letters[x>>24%26], ' '}
	return string(b[:])
}

// Text returns the answer of n tokens with this seed.
func Text(seed uint64, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}
