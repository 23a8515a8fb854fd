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

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// Bounds that are set for the entry VMs and checked: those of the users' small deployments.
const (
	leavingWithin = 2 * time.Second
	configWithin  = 2 * time.Second
	stopGrace     = 8 * time.Second
	routeTimeout  = 4 * time.Second
	recoverWithin = 12 * time.Second
	leaseBound    = 3 * time.Second
	usageWindow   = 5 * time.Second
	// clientDeadline exceeds the route's limit, so that the entry VM has to enforce the limit.
	clientDeadline = 2 * routeTimeout
)

const (
	host           = "soak.example"
	dataCentres    = 3
	portCallers    = 0 // offsets from the base port
	portReady      = 1
	portPeers      = 2
	portDirectory  = 3
	portRangeStart = 4
	portCount      = 24
)

// entryVM is an entry VM's process.
type entryVM struct {
	name, ip, dataCentre string
	callers              *proxy // between clients and the process
	store                *proxy // between the process and the store
	settings             string // path

	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{} // closed when cmd has ended
	exitExpected bool          // this run has sent a signal that ends it
	disturbances []interval
}

// interval is the time of a disturbance, planned stop or quiet period.
type interval struct{ from, to time.Time }

// node is the slot of an upstream; its server is replaced after a crash.
type node struct {
	zone, service, phase string
	version              string // of the software that its next server runs
	streams              bool
	link                 *proxy

	mu     sync.Mutex
	server *standin.Server
	id     string
	starts int
}

func (n *node) currentID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id
}

// fleet is a set of entry VMs, upstreams and a store on loopback.
type fleet struct {
	options       Options
	store         *standin.Store
	storeListener net.Listener
	storeServer   *http.Server
	entries       []*entryVM
	nodes         []*node
	basePort      int

	version       uint64
	movingService string    // service of the moving route
	capacity      *capacity // nil: no servers can be ordered
	releases      int       // of the software of the servers that stream

	peakBytes int64 // largest resident memory of any entry VM, set by judgeMemory

	mu          sync.Mutex
	targetLocks map[string]*sync.Mutex // of targets whose faults would undo one another
	observed    observations

	restarts sync.WaitGroup // of servers that a request crashed
}

func (i interval) overlaps(from, to time.Time) bool { return i.from.Before(to) && i.to.After(from) }

func overlaps(list []interval, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(i interval) bool { return i.overlaps(from, to) })
}

// newFleet starts the store, the upstreams and the entry VMs.
func newFleet(o Options) (*fleet, error) {
	fl := &fleet{options: o, store: standin.NewStore(), movingService: "app", targetLocks: map[string]*sync.Mutex{}, observed: observations{
		runs: map[string][]standin.Run{}, leavingSince: map[string]time.Time{}, plannedStops: map[string][]interval{}, hangups: map[string][]interval{},
		linkDisturbances: map[string][]interval{}, crashOutages: map[string][]interval{},
	}}
	var err error
	if fl.storeListener, err = net.Listen("tcp4", ownIP()+":0"); err != nil {
		return fl, trace.Wrap(err)
	}
	fl.storeServer = &http.Server{Handler: fl.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = fl.storeServer.Serve(fl.storeListener) }() // until close
	if o.scales {
		if fl.capacity, err = newCapacity(fl); err != nil {
			return fl, err
		}
	}
	fl.writeConfiguration()
	for i := range o.Servers {
		zone := zoneOf(i)
		for _, n := range []*node{{zone: zone, service: "app"}, {zone: zone, service: "other"}, engineNode(i, "v1")} {
			if err = fl.addNode(n); err != nil {
				return fl, err
			}
		}
	}
	if fl.basePort, err = freePorts(o.Entries); err != nil {
		return fl, err
	}
	for i := range o.Entries {
		e := &entryVM{name: fmt.Sprintf("vm%d", i), ip: ipOf(i), dataCentre: zoneOf(i)}
		if e.callers, err = newProxy(fl.address(e, portCallers)); err != nil {
			return fl, trace.Wrap(err)
		}
		if e.store, err = newProxy(fl.storeListener.Addr().String()); err != nil {
			return fl, trace.Wrap(err)
		}
		fl.entries = append(fl.entries, e)
	}
	for _, e := range fl.entries {
		if err := fl.writeSettings(e); err != nil {
			return fl, err
		}
		if err := fl.startEntry(e); err != nil {
			return fl, err
		}
	}
	return fl, nil
}

// engineNode returns the i-th upstream that streams.
func engineNode(i int, version string) *node {
	return &node{zone: zoneOf(i), service: "text", streams: true, phase: []string{"prefill", "decode"}[i%2], version: version}
}

// addNode starts the first server of an upstream.
func (fl *fleet) addNode(n *node) (err error) {
	if n.link, err = newProxy(""); err != nil {
		return trace.Wrap(err)
	}
	fl.nodes = append(fl.nodes, n)
	return fl.startNode(n)
}

func zoneOf(i int) string { return fmt.Sprintf("dc%d", i%dataCentres) }
func ipOf(i int) string   { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+i/200, 1+i%200) }

// ownIP returns the address of the store, the upstreams and the proxies. Other runs that are under way have other ones, and entry VMs that
// go on calling a store that was closed don't reach the servers of this run.
func ownIP() string { return fmt.Sprintf("127.%d.0.1", 1+os.Getpid()%250) }

func (fl *fleet) address(e *entryVM, port int) string {
	return net.JoinHostPort(e.ip, fmt.Sprint(fl.basePort+port))
}

var errNoPorts = errors.New("no free range of ports")

// freePorts returns the first port of a range that is free at the first and the last entry VM's address.
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

// memoryMB is the memory limit of an entry VM: that of the weakest one on the users' large sites.
const memoryMB = 144

func (fl *fleet) writeSettings(e *entryVM) error {
	var seeds []string
	for _, s := range fl.entries[:min(3, len(fl.entries))] {
		seeds = append(seeds, fl.address(s, portPeers))
	}
	settings := map[string]any{
		"node": e.name, "ip": e.ip, "zone": e.dataCentre, "region": "r", "seeds": seeds,
		"port_range": []int{fl.basePort + portRangeStart, fl.basePort + portCount - 1},
		"listen": map[string]string{"front": fl.address(e, portCallers), "ready": fl.address(e, portReady), "control": fl.address(e, portPeers),
			"directory": fl.address(e, portDirectory)},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{"drain_ms": leavingWithin.Milliseconds(), "config_ms": configWithin.Milliseconds(), "grace_s": stopGrace.Seconds(),
			"budget_ratio": 0.2, "budget_slack": 60, "budget_window_s": 10, "ttl_max_s": 5, "lease_ms": leaseBound.Milliseconds(), "require_fence": false,
			"window_s": usageWindow.Seconds(), "usage_late_s": 2 * usageWindow.Seconds()},
		"platform": map[string]any{"address": e.store.address(), "writes_per_s": 400, "reads_per_s": 2000, "value_bytes": 1 << 20},
	}
	if a := fl.options.dutiesAddress; a != "" {
		duty := "usage"
		if fl.capacity != nil {
			duty = "autoscale"
		}
		settings["cloud"] = map[string]any{"address": a, "duties": []string{duty}, "duty_per_s": 50}
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return trace.Wrap(err)
	}
	e.settings = filepath.Join(fl.options.Dir, e.name+".json")
	return trace.ConvertSystemError(os.WriteFile(e.settings, b, 0o600))
}

// startEntry starts an entry VM's process, whose output goes to a file. It waits until the one before, which was killed, has released its
// ports.
func (fl *fleet) startEntry(e *entryVM) error {
	e.mu.Lock()
	before := e.ended
	e.mu.Unlock()
	if before != nil {
		<-before
	}
	out, err := os.OpenFile(filepath.Join(fl.options.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cmd := exec.Command(fl.options.Program, "edge")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings, platform.SecretVariable+"=soak", "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.ended, e.exitExpected = cmd, ended, false
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(ended)
		_ = out.Close()
		e.mu.Lock()
		expected := e.exitExpected || e.cmd != cmd // the next process may have started
		e.mu.Unlock()
		if !expected {
			fl.report("process ended by itself", fmt.Sprintf("%s: %v", e.name, err))
		}
	}()
	return nil
}

// signal sends a signal to the entry VM's process.
func (e *entryVM) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.exitExpected = true
	}
	_ = e.cmd.Process.Signal(s) // fails if the process has ended
}

// judgeMemory checks the peak memory of each running process since its start.
func (fl *fleet) judgeMemory() {
	for _, e := range fl.entries {
		e.mu.Lock()
		pid, down := e.cmd.Process.Pid, e.exitExpected
		e.mu.Unlock()
		if down {
			continue
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil { // the process has just ended, which startEntry reports
			continue
		}
		most, ok := peakMemory(string(status))
		if fl.peakBytes = max(fl.peakBytes, most); ok && most > memoryMB<<20 {
			fl.report("memory is bounded", fmt.Sprintf("%s took %d MB", e.name, most>>20))
		}
	}
}

// peakMemory returns the peak resident memory in bytes from the text of a process's /proc status file.
func peakMemory(status string) (int64, bool) {
	_, rest, ok := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 2 || fields[1] != "kB" {
		return 0, false
	}
	n, err := strconv.ParseInt(fields[0], 10, 64)
	return n << 10, err == nil
}

// disturb records that an entry VM is disturbed for d from now.
func (e *entryVM) disturb(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.disturbances = append(e.disturbances, interval{now, now.Add(d)})
}

// undisturbed reports whether an entry VM was not disturbed between two times.
func (e *entryVM) undisturbed(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !overlaps(e.disturbances, from, to)
}

const serverWork = 15 * time.Millisecond // of a whole answer, or between the events of a stream

// startNode starts a new server for an upstream and registers it in the store.
func (fl *fleet) startNode(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	// The process number keeps apart soaks that run at once and reuse one another's ports.
	n.id = fmt.Sprintf("i-%s-%d-%d-%d", n.service, slices.Index(fl.nodes, n), n.starts, os.Getpid())
	starts := n.starts
	o := standin.ServerOptions{ID: n.id, IP: ownIP(), Service: n.service, Phase: n.phase, Version: n.version, Streams: n.streams, Slots: 32, Work: serverWork, Observe: fl.recordRun,
		Crashed: func() { fl.replaceCrashedServer(n, starts) }}
	s, err := standin.NewServer(o)
	if err != nil {
		return trace.Wrap(err)
	}
	n.server = s
	n.link.setTarget(s.Address())
	return trace.Wrap(fl.store.Put("servers", n.id, s.Entry(n.link.address(), n.zone, "ready", time.Now().UnixMilli())))
}

// replaceCrashedServer ends a server that a request crashed, and starts another one after crashDowntime.
func (fl *fleet) replaceCrashedServer(n *node, starts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.starts != starts {
		return // another fault has replaced the server
	}
	silent := xxhash.Sum64String(n.id)%silentCrashes == 0
	outage := crashDowntime
	if silent {
		outage += settleTime
	}
	fl.observed.recordCrash(n.id, outage) // before clients can see it
	if silent {
		n.link.vanish()
	} else {
		n.link.close()
	}
	n.server.Crash()
	fl.restarts.Go(func() {
		time.Sleep(crashDowntime)
		turn := fl.targetLock("server", slices.Index(fl.nodes, n))
		turn.Lock()
		defer turn.Unlock()
		n.mu.Lock()
		replaced, id := n.starts != starts, n.id
		n.mu.Unlock()
		if !replaced {
			fl.store.Delete("servers", id)
			fl.reportError(fl.startNode(n))
			if silent { // connections to its address stay silent
				fl.observed.recordCrash(n.currentID(), settleTime)
			}
		}
		fl.reportError(n.link.reopen())
	})
}

// silentCrashes is the number of crashes of which one closes no connection, as when the power is lost.
const silentCrashes = 3

// crashDowntime is how long a server that a request crashed stays down.
const crashDowntime = 1500 * time.Millisecond

// writeConfiguration writes a new configuration. Each one after the first moves the moving route to its other service.
func (fl *fleet) writeConfiguration() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.version > 0 {
		fl.movingService = map[string]string{"app": "other", "other": "app"}[fl.movingService]
	}
	fl.version += 1 + uint64(time.Now().UnixNano()%5)
	configuration := standin.Config(fl.version, host, fl.movingService, routeTimeout)
	if fl.capacity != nil {
		configuration = fl.capacity.configuration(configuration)
	}
	if fl.options.editConfiguration != nil {
		configuration = fl.options.editConfiguration(configuration)
	}
	if err := fl.store.Put("config", "main", configuration); err != nil {
		fl.report("soak", err.Error())
	}
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.routeChanges = append(fl.observed.routeChanges, routeChange{at: time.Now(), service: fl.movingService})
}

// close ends the processes, servers and proxies of the run.
func (fl *fleet) close() {
	for _, e := range fl.entries {
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
	if fl.capacity != nil {
		fl.capacity.close()
	}
	for _, n := range fl.nodes {
		n.link.close()
		if n.server != nil {
			n.server.Crash()
		}
	}
	if fl.storeServer != nil {
		_ = fl.storeServer.Close()
	}
}

// waitReady waits until all entry VMs are ready.
func (fl *fleet) waitReady(ctx context.Context) error {
	for _, e := range fl.entries {
		for {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fl.address(e, portReady)+"/ready", nil)
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
