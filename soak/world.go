package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// Bounds that the entry VMs are told and held to; those of the users' small deployments.
const (
	leavingWithin = 2 * time.Second
	configWithin  = 2 * time.Second
	stopGrace     = 8 * time.Second
	routeTimeout  = 4 * time.Second
	recoverWithin = 12 * time.Second
	// clientDeadline is far above the route's limit, so that it is the entry VM that keeps the limit.
	clientDeadline = 2 * routeTimeout
)

const (
	host          = "soak.example"
	dataCentres   = 3
	portCallers   = 0 // offsets from the base port
	portReady     = 1
	portPeers     = 2
	portDirectory = 3
	portFree      = 4
	portCount     = 24
)

// entry is an entry VM's process.
type entry struct {
	name, ip, dataCentre string
	callers              *proxy // between clients and the process
	store                *proxy // between the process and the store
	settings             string // path

	mu      sync.Mutex
	cmd     *exec.Cmd
	down    bool // ended on purpose, or about to be
	touched []span
}

// span is a time in which an entry VM or an upstream was disturbed.
type span struct{ from, to time.Time }

// node is an upstream's place; its server is replaced after a crash.
type node struct {
	zone, service, phase string
	streams              bool
	link                 *proxy

	mu     sync.Mutex
	server *standin.Server
	id     string
	starts int
}

// world is a fleet on loopback.
type world struct {
	o      Options
	store  *standin.Store
	listen net.Listener // of the store
	http   *http.Server
	entry  []*entry
	nodes  []*node
	base   int

	version uint64
	moving  string // service of the moving route

	peak int64 // most bytes that an entry VM has taken, set by judgeMemory

	mu    sync.Mutex
	turns map[string]*sync.Mutex // of faults that would undo one another
	book  book

	revivals sync.WaitGroup // servers that a request ended and that come back
}

func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

func overlaps(list []span, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.overlaps(from, to) })
}

// newWorld starts the store, the upstreams and the entry VMs.
func newWorld(o Options) (*world, error) {
	w := &world{o: o, store: standin.NewStore(), moving: "app", turns: map[string]*sync.Mutex{}, book: book{
		runs: map[string][]standin.Run{}, leaving: map[string]time.Time{}, planned: map[string][]span{}, links: map[string][]span{}, ended: map[string][]span{},
	}}
	var err error
	if w.listen, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return w, trace.Wrap(err)
	}
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.http.Serve(w.listen) }() // ends with close
	w.configure()
	plan := []node{}
	for i := range o.Servers {
		zone := zoneOf(i)
		plan = append(plan, node{zone: zone, service: "app"}, node{zone: zone, service: "other"},
			node{zone: zone, service: "text", streams: true, phase: []string{"prefill", "decode"}[i%2]})
	}
	for i := range plan {
		n := &plan[i]
		if n.link, err = newProxy(""); err != nil {
			return w, trace.Wrap(err)
		}
		w.nodes = append(w.nodes, n)
		if err = w.startNode(n); err != nil {
			return w, err
		}
	}
	if w.base, err = freePorts(o.Entries); err != nil {
		return w, err
	}
	for i := range o.Entries {
		e := &entry{name: fmt.Sprintf("vm%d", i), ip: ipOf(i), dataCentre: zoneOf(i)}
		if e.callers, err = newProxy(w.at(e, portCallers)); err != nil {
			return w, trace.Wrap(err)
		}
		if e.store, err = newProxy(w.listen.Addr().String()); err != nil {
			return w, trace.Wrap(err)
		}
		w.entry = append(w.entry, e)
	}
	for _, e := range w.entry {
		if err := w.writeSettings(e); err != nil {
			return w, err
		}
		if err := w.start(e); err != nil {
			return w, err
		}
	}
	return w, nil
}

func zoneOf(i int) string { return fmt.Sprintf("dc%d", i%dataCentres) }
func ipOf(i int) string   { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+i/200, 1+i%200) }

func (w *world) at(e *entry, port int) string {
	return net.JoinHostPort(e.ip, fmt.Sprint(w.base+port))
}

var errNoPorts = errors.New("no free range of ports")

// freePorts finds a range of ports that is free at all addresses.
func freePorts(entries int) (int, error) {
	for range 50 {
		base := 10000 + rand.IntN(20000)
		free := true
		for p := 0; p < portCount && free; p++ {
			for _, i := range []int{0, entries - 1} {
				l, err := net.Listen("tcp4", net.JoinHostPort(ipOf(i), fmt.Sprint(base+p)))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errNoPorts
}

// memoryMB is what an entry VM may take, as the weakest on the users' large sites.
const memoryMB = 144

func (w *world) writeSettings(e *entry) error {
	var seeds []string
	for _, s := range w.entry[:min(3, len(w.entry))] {
		seeds = append(seeds, w.at(s, portPeers))
	}
	b, err := json.Marshal(map[string]any{
		"node": e.name, "ip": e.ip, "zone": e.dataCentre, "region": "r", "seeds": seeds,
		"port_range": []int{w.base + portFree, w.base + portCount - 1},
		"listen": map[string]string{"front": w.at(e, portCallers), "ready": w.at(e, portReady), "control": w.at(e, portPeers),
			"directory": w.at(e, portDirectory)},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{"drain_ms": leavingWithin.Milliseconds(), "config_ms": configWithin.Milliseconds(), "grace_s": stopGrace.Seconds(),
			"budget_ratio": 0.2, "budget_slack": 60, "budget_window_s": 10, "ttl_max_s": 5, "lease_ms": 3000, "require_fence": false},
		"platform": map[string]any{"address": e.store.address(), "writes_per_s": 400, "reads_per_s": 2000, "value_bytes": 1 << 20},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	e.settings = filepath.Join(w.o.Dir, e.name+".json")
	return trace.ConvertSystemError(os.WriteFile(e.settings, b, 0o600))
}

// start starts an entry VM's process. Its output goes to a file.
func (w *world) start(e *entry) error {
	out, err := os.OpenFile(filepath.Join(w.o.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cmd := exec.Command(w.o.Program, "edge")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings, platform.SecretVariable+"=soak", "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	e.mu.Lock()
	e.cmd, e.down = cmd, false
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		e.mu.Lock()
		expected := e.down
		e.mu.Unlock()
		if !expected {
			w.report("process ended by itself", fmt.Sprintf("%s: %v", e.name, err))
		}
	}()
	return nil
}

// signal sends a signal to the process that this run started.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.down = true
	}
	_ = e.cmd.Process.Signal(s) // it may have ended
}

// judgeMemory checks the most memory that each running process has taken since its start.
func (w *world) judgeMemory() {
	for _, e := range w.entry {
		e.mu.Lock()
		pid, down := e.cmd.Process.Pid, e.down
		e.mu.Unlock()
		if down {
			continue
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil { // it has just ended, which is reported elsewhere
			continue
		}
		most, ok := peakMemory(string(status))
		if w.peak = max(w.peak, most); ok && most > memoryMB<<20 {
			w.report("memory is bounded", fmt.Sprintf("%s took %d MB", e.name, most>>20))
		}
	}
}

// peakMemory reads the peak of resident memory, in bytes, from the kernel's account of a process.
func peakMemory(status string) (int64, bool) {
	_, rest, ok := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 2 || fields[1] != "kB" {
		return 0, false
	}
	n, err := strconv.ParseInt(fields[0], 10, 64)
	return n << 10, err == nil
}

// disturb notes that an entry VM is disturbed until d from now.
func (e *entry) disturb(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.touched = append(e.touched, span{now, now.Add(d)})
}

// calm says that an entry VM was not disturbed in a time.
func (e *entry) calm(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !overlaps(e.touched, from, to)
}

// startNode starts an upstream anew and registers it.
func (w *world) startNode(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.id = fmt.Sprintf("i-%s-%d-%d", n.service, slices.Index(w.nodes, n), n.starts)
	starts := n.starts
	o := standin.ServerOptions{ID: n.id, Service: n.service, Phase: n.phase, Streams: n.streams, Slots: 32, Work: 15 * time.Millisecond, Observe: w.observe,
		Crashed: func() { w.endedByRequest(n, starts) }}
	s, err := standin.NewServer(o)
	if err != nil {
		return trace.Wrap(err)
	}
	n.server = s
	n.link.setTarget(s.Address())
	return trace.Wrap(w.store.Put("servers", n.id, s.Entry(n.link.address(), n.zone, "ready", time.Now().UnixMilli())))
}

// endedByRequest ends a server under a request, and lets another start take its place after a while.
func (w *world) endedByRequest(n *node, starts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.starts != starts {
		return // another fault has replaced it
	}
	n.link.close()
	n.server.Crash()
	w.book.crashed(n.id, backAfter)
	w.revivals.Go(func() {
		time.Sleep(backAfter)
		turn := w.turn("server", slices.Index(w.nodes, n))
		turn.Lock()
		defer turn.Unlock()
		n.mu.Lock()
		replaced, id := n.starts != starts, n.id
		n.mu.Unlock()
		if !replaced {
			w.store.Delete("servers", id)
			w.check(w.startNode(n))
		}
		w.check(n.link.reopen())
	})
}

// backAfter is how long a server that a request ended is away.
const backAfter = 1500 * time.Millisecond

// configure writes a new configuration, in which the moving route has changed its service from the second one on.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version > 0 {
		w.moving = map[string]string{"app": "other", "other": "app"}[w.moving]
	}
	w.version += 1 + uint64(time.Now().UnixNano()%5)
	if err := w.store.Put("config", "main", standin.Config(w.version, host, w.moving, routeTimeout)); err != nil {
		w.report("soak", err.Error())
	}
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.moves = append(w.book.moves, move{time.Now(), w.moving})
}

// close ends what this run started.
func (w *world) close() {
	for _, e := range w.entry {
		e.mu.Lock()
		started := e.cmd != nil
		e.mu.Unlock()
		if started {
			e.signal(syscall.SIGKILL)
			e.signal(syscall.SIGCONT)
		}
		e.callers.close()
		if e.store != nil {
			e.store.close()
		}
	}
	for _, n := range w.nodes {
		n.link.close()
		if n.server != nil {
			n.server.Crash()
		}
	}
	if w.http != nil {
		_ = w.http.Close()
	}
}

// ready waits until all entry VMs are ready.
func (w *world) ready(ctx context.Context) error {
	for _, e := range w.entry {
		for {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.at(e, portReady)+"/ready", nil)
			if err != nil {
				return trace.Wrap(err)
			}
			resp, err := http.DefaultClient.Do(r)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return trace.Wrap(ctx.Err(), "%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
