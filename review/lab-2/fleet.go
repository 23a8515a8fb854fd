//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// host is the name that clients call.
const host = "review.example"

// Figures of the small deployment ruheraum-ops.
const (
	memoryMB    = 284
	maxFDs      = 4100
	headerBytes = 16384
	engineSlots = 128
	engineQueue = 384
	plainSlots  = 6
	plainQueue  = 24
)

// store is the project's stand-in of the platform's store.
type store struct {
	*standin.Store
	address string
}

func (l *lab) startStore() error {
	listener, err := net.Listen("tcp4", l.ip(0)+":0")
	if err != nil {
		return err
	}
	l.store = &store{standin.NewStore(), listener.Addr().String()}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.store.ServeHTTP(&baseWriter{ResponseWriter: w}, r) }), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(listener) }() // ends with the process
	return nil
}

// baseWriter drops the header that only the store of a later deployment sends.
type baseWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *baseWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *baseWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era") // has no effect after WriteHeader
	return w.ResponseWriter.Write(b)
}

// ip returns a loopback address of this play; 0 is that of the stand-ins.
func (l *lab) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+n/200, 1+n%200)
}

// routeTimeout is the time limit of a route by its prefix.
var routeTimeouts = map[string]time.Duration{"/once/": 4 * time.Second, "/later/": 4 * time.Second, "/read/": 4 * time.Second, "/stream/": 6 * time.Second}

// configure writes a configuration: bookings and reads at the service app, streams at the model servers of the service text.
func (l *lab) configure(version uint64) error {
	route := func(prefix, kind, service string, attempts, target int) map[string]any {
		return map[string]any{
			"name": strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
			"timeout_ms": routeTimeouts[prefix].Milliseconds(), "target_latency_ms": target, "target_gap_ms": 400, "priority": 1, "sticky": service == "text",
		}
	}
	routes := []any{
		route("/once/", "non_idempotent", "app", 1, 300), route("/read/", "idempotent", "app", 2, 300), route("/stream/", "streaming", "text", 1, 400),
	}
	if l.added {
		routes = append(routes, route("/later/", "non_idempotent", "app", 1, 300))
	}
	return l.store.Put("config", "main", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 110},
			map[string]any{"name": "text", "health_path": "/health", "max_connections": 630, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 818422, "kv_bytes": 18432, "bandwidth_mbps": 350000, "stride": 15, "retention_s": 5, "reconfig_s": 3, "moves": true,
				"models": []any{map[string]string{"name": "m"}},
			}},
		},
		"limits": map[string]any{"header_bytes": headerBytes, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// server is a sound server of the platform.
type server struct {
	lab          *lab
	id, service  string
	phase        string // of a model server; empty: a plain one
	address      string
	born         int64
	slots, queue int64
	work         func(r *http.Request) time.Duration // of one request, or until the first event
	busy         atomic.Int64
	free         chan struct{}
	rejected     atomic.Int64
	handles      sync.Map
	mu           sync.Mutex
	ran          map[string]int // by attempt
}

// addServer starts a server and registers it.
func (l *lab) addServer(service, phase string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp4", l.ip(0)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		lab: l, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, phase: phase, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: plainSlots, queue: plainQueue, work: func(*http.Request) time.Duration { return work }, ran: map[string]int{},
	}
	if phase != "" {
		s.slots, s.queue = engineSlots, engineQueue
	}
	s.free = make(chan struct{}, s.slots)
	h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = h.Serve(listener) }() // ends with the process
	l.servers = append(l.servers, s)
	return s, s.register("ready")
}

func (s *server) register(state string) error {
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": "wien-a", "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0, "sequence": 1, "born": s.born,
	}
	if s.phase != "" {
		e["phase"], e["models"] = s.phase, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return s.lab.store.Put("servers", s.id, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has left asks again
}

// events is the number of events of a stream.
const events = 12

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a caller that has left is noticed below
	id, h := r.Header.Get("Attempt-Id"), w.Header()
	switch {
	case r.URL.Path == "/report":
		writeJSON(w, map[string]any{"phase": s.phase, "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": false, "sequence": 0})
		return
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
		return
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		return
	}
	refuse := func(status int) {
		s.rejected.Add(1)
		h.Set("Attempt-Id", id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	prefill := r.Header.Get("Serving-Phase") == "prefill"
	if prefill && s.phase == "decode" {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		left = 10_000
	}
	deadline := time.After(time.Duration(left) * time.Millisecond)
	if s.busy.Add(1) > s.slots+s.queue {
		s.busy.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer s.busy.Add(-1)
	select {
	case s.free <- struct{}{}:
		defer func() { <-s.free }()
	case <-deadline:
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	h.Set("Attempt-Id", id)
	if prefill {
		time.Sleep(time.Millisecond)
		handle := fmt.Sprintf("%016x", rand.Uint64())
		s.handles.Store(handle, id)
		writeJSON(w, map[string]any{"handle": handle, "tokens": 1, "version": 1})
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	h.Set("Response-Seal", "seal."+s.id)
	wait := time.NewTimer(s.work(r))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if s.phase == "" {
		_, _ = fmt.Fprintf(w, "answer to %s, %d bytes\n", id, len(body)) // a caller that has left is no fault
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, events); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// addVMs starts entry VMs and waits until all are ready.
func (l *lab) addVMs(n int) error {
	base := 20000 + rand.IntN(9000)
	at := func(i, port int) string { return net.JoinHostPort(l.ip(i+1), strconv.Itoa(base+port)) }
	for i := range n {
		v := &vm{name: fmt.Sprintf("front-%d", i+1), ip: l.ip(i + 1)}
		settings := map[string]any{
			"node": v.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control", "directory"}, "ip": v.ip, "zone": "wien-a", "region": "at-east",
			"zones":      map[string]string{"wien-a": "at-east"},
			"listen":     map[string]string{"front": at(i, 0), "ready": at(i, 1), "control": at(i, 2), "directory": at(i, 3)},
			"port_range": []int{base + 4, base + 19}, "seeds": []string{at(0, 2)}, "bootstrap": true, "in_tolerance": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFDs, "bandwidth_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
				"downgrade_ms": 250, "skew_max_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58, "recovery_s": 12, "transit_ms": 120,
				"reuse_window_s": 8.8, "require_fence": false, "lease_ms": 3000, "thaw_ms": 300, "ttl_max_s": 5,
			},
			"platform": map[string]any{"address": l.store.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
		}
		b, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		v.settings = filepath.Join(l.dir, v.name+".json")
		if err := os.WriteFile(v.settings, b, 0o600); err != nil {
			return err
		}
		v.ready, v.front = at(i, 1), at(i, 0)
		l.vms = append(l.vms, v)
		if err := l.launch(v); err != nil {
			return err
		}
	}
	for _, v := range l.vms {
		if !v.becomesReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	time.Sleep(time.Second) // the VMs hear of one another and of the servers
	return nil
}

// becomesReady asks the VM every 50 ms whether it is ready, until it is or a time has passed.
func (v *vm) becomesReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end) && v.running(); time.Sleep(50 * time.Millisecond) {
		c := http.Client{Timeout: time.Second}
		if resp, err := c.Get("http://" + v.ready + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// memory returns the resident memory of the process and its peak in MB.
func (v *vm) memory() (now, peak float64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) float64 {
		_, rest, _ := strings.Cut(string(status), name+":")
		f := strings.Fields(rest)
		if len(f) == 0 {
			return 0
		}
		kb, _ := strconv.ParseFloat(f[0], 64) // 0 if the process has just ended
		return kb / 1024
	}
	return field("VmRSS"), field("VmHWM")
}

// request is one attempt of a client.
type request struct {
	id, method, path string
	headers          []string // further lines
	body             string
	deadline         time.Duration
}

// answer is what a client got.
type answer struct {
	status int // 0: none
	header http.Header
	body   string
	whole  bool
	err    error
	took   time.Duration
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %v: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d after %v, whole %t", a.status, a.took.Round(time.Millisecond), a.whole)
}

// client is a connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// do sends a request and reads its answer until its deadline has passed by a second.
func (c *client) do(q *request) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(q.deadline + time.Second))
	if _, a.err = io.WriteString(c, q.head()+q.body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.whole, a.err = resp.StatusCode, resp.Header, string(b), err == nil, err
	return a
}

// ordinary returns ordinary requests of each kind.
func ordinary(n int) []*request {
	id := func(kind string) string { return fmt.Sprintf("%s-%04d-%08x", kind, n, rand.Uint32()) }
	return []*request{
		{id: id("booking"), method: http.MethodPost, path: "/once/x", body: "crew please", deadline: 4 * time.Second},
		{id: id("read"), method: http.MethodGet, path: "/read/x", deadline: 4 * time.Second},
		{id: id("stream"), method: http.MethodPost, path: "/stream/x", body: "question", deadline: 6 * time.Second,
			headers: []string{"Model: m", "Token-Counts: 1460,180", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:350,%08x:1110", rand.Uint32())}},
	}
}

// once sends a request on a connection of its own.
func once(address string, q *request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return c.do(q)
}

var errNoFleet = errors.New("the fleet does not serve ordinary requests")

// startFleet starts the store, four plain servers, nine model servers and entry VMs, and waits until ordinary requests are served.
func (l *lab) startFleet(vms int) error {
	if err := l.startStore(); err != nil {
		return err
	}
	if err := l.configure(7); err != nil {
		return err
	}
	for range 4 {
		if _, err := l.addServer("app", "", 20*time.Millisecond); err != nil {
			return err
		}
	}
	for i := range 9 {
		if _, err := l.addServer("text", []string{"prefill", "decode"}[i%2], 10*time.Millisecond); err != nil {
			return err
		}
	}
	if err := l.addVMs(vms); err != nil {
		return err
	}
	for _, v := range l.vms {
		for _, q := range ordinary(0) {
			if a := once(v.front, q); a.status != http.StatusOK || !a.whole {
				l.note("%s before the case at %s: %v", q.path, v.name, &a)
				return errNoFleet
			}
		}
	}
	return nil
}

// heartbeat writes the servers' entries every 1.2 s until stop is closed.
func (l *lab) heartbeat(stop chan struct{}) {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			l.store.Touch("servers")
		}
	}
}

// percentile returns a percentile of durations.
func percentile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(share*float64(len(list))), len(list)-1)]
}
