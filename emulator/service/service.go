// Package service emulates a plain HTTP service such as bookings. It counts the runs of each key, so that a test detects a booking that
// was lost or ran twice.
package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// Fault is a fault that the hook injects.
type Fault int

// Faults of a call.
const (
	None           Fault = iota
	CrashBefore          // the connection breaks before the work is done
	LoseAnswer           // the work is done, and the connection breaks before the answer
	CutAnswer            // the work is done, and the answer is truncated
	CrossedAnswer        // the answer carries another request's identifier
	RefuseNotRun         // the service refuses the request with upstream.HeaderNotRun
	InternalFailed       // the work is done, and the service answers with status 500
	InvalidStatus        // the work is done, and the answer has status 600
)

// Options configures a server of a plain service.
type Options struct {
	Name  string
	Spec  topo.Upstream // Service, DataCentre and MaxBatch
	Delay time.Duration // before each call runs
}

// Service is one server. Servers with the same Ledger count runs together.
type Service struct {
	opts     Options
	ledger   *Ledger
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	onCall   func(r *http.Request, body []byte) Fault
}

// Ledger is the service's data store: the number of runs of each key.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (l *Ledger) recordRun(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

// Runs returns the number of runs of a key.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// All returns a copy of the number of runs by key.
func (l *Ledger) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runs))
	for k, v := range l.runs {
		out[k] = v
	}
	return out
}

// New returns a server that is not started.
func New(o Options, l *Ledger) *Service {
	o.Spec.Kind = topo.KindService
	if o.Spec.Name == "" {
		o.Spec.Name = o.Name
	}
	return &Service{opts: o, ledger: l}
}

// Start listens on the address.
func (s *Service) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	s.listener = l
	s.opts.Spec.Address = l.Addr().String()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Spec returns the server's description with its address.
func (s *Service) Spec() topo.Upstream { return s.opts.Spec }

// Close stops the server and breaks its connections.
func (s *Service) Close() { _ = s.server.Close() }

// OnCall sets the hook that chooses the fault of each call.
func (s *Service) OnCall(f func(r *http.Request, body []byte) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// Key is the part of a request body that names the key under which its runs are counted.
type Key struct {
	Key string `json:"key"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(upstream.Load{AtMS: time.Now().UnixMilli(), Boot: 1})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	hook := s.onCall
	s.mu.Unlock()
	fault := None
	if hook != nil {
		fault = hook(r, body)
	}
	s.respond(w, r, body, fault)
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	switch fault {
	case CrashBefore:
		panic(http.ErrAbortHandler)
	case RefuseNotRun:
		w.Header().Set(upstream.HeaderNotRun, "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.opts.Delay)
	var in Key
	_ = json.Unmarshal(body, &in)
	runs := s.ledger.recordRun(in.Key)
	switch fault {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case CrossedAnswer:
		w.Header().Set(upstream.HeaderRequestID, "another")
	case InternalFailed:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	out, _ := json.Marshal(map[string]any{"key": in.Key, "runs": runs, "server": s.opts.Spec.Name})
	w.Header().Set("Content-Type", "application/json")
	if fault == InvalidStatus {
		w.WriteHeader(600)
	}
	if fault == CutAnswer {
		w.Header().Set("Content-Length", "9999")
		_, _ = w.Write(out)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}
