//go:build review

package main

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
	"sync"
	"syscall"
	"time"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// Bounds of the deployment, those of the site ruheraum-ops.
const (
	drainBound  = 2 * time.Second // drain_ms
	stableBound = 3 * time.Second // stable_ms
	stopGrace   = 8 * time.Second // grace_s
	host        = "review.example"
)

// Offsets of the ports of an entry VM from the first port.
const (
	portCallers = iota
	portReady
	portPeers
	portDirectory
	portMetrics
	portRangeStart
	portCount = portRangeStart + 16
)

// rig holds the processes, servers and the store of one case.
type rig struct {
	root  string // of the repository
	temp  string // for settings and logs
	start time.Time
	store *storeStandIn
	// storeAddress is the address of the store in the settings; empty: its own.
	storeAddress string
	vms          []*vm
	base         int
	closed       sync.Once

	mu      sync.Mutex
	record  *os.File
	servers []*server
	faults  []error
}

// vm is one entry VM.
type vm struct {
	name, ip, settings string
	rig                *rig
	cmd                *exec.Cmd
	ended              chan struct{}
	expected           bool // its end is expected; guarded by rig.mu
}

func newRig(folder string, entries int) (*rig, error) {
	r := &rig{start: time.Now(), root: filepath.Dir(filepath.Dir(folder))}
	var err error
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return r, err
	}
	if r.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return r, err
	}
	if r.store, err = newStoreStandIn(); err != nil {
		return r, err
	}
	if r.base, err = freePorts(entries); err != nil {
		return r, err
	}
	for i := range entries {
		v := &vm{name: fmt.Sprintf("front-%d", i), ip: ipOf(i), rig: r}
		v.settings = filepath.Join(r.temp, v.name+".json")
		r.vms = append(r.vms, v)
	}
	for i, v := range r.vms {
		if err := r.writeSettings(v, i); err != nil {
			return r, err
		}
	}
	return r, nil
}

func ipOf(i int) string { return fmt.Sprintf("127.%d.3.%d", 1+os.Getpid()%250, 1+i) }

func freePorts(entries int) (int, error) {
	for range 50 {
		base := 10000 + rand.IntN(20000)
		free := true
		for p := 0; p < portCount && free; p++ {
			for i := range entries {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ipOf(i), base+p))
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
	return 0, errors.New("no free range of ports")
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, v.rig.base+port) }

// writeSettings writes the settings of an entry VM as the platform does for a small deployment.
func (r *rig) writeSettings(v *vm, i int) error {
	var seeds []string
	for _, s := range r.vms[:min(3, len(r.vms))] {
		seeds = append(seeds, s.address(portPeers))
	}
	zone, storeAddress := fmt.Sprintf("zone-%d", i), r.storeAddress
	if storeAddress == "" {
		storeAddress = r.store.address()
	}
	b, err := json.Marshal(map[string]any{
		"node": v.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control", "directory"},
		"ip": v.ip, "zone": zone, "region": "east", "seeds": seeds, "bootstrap": true,
		"port_range": []int{r.base + portRangeStart, r.base + portCount - 1},
		"listen": map[string]string{"front": v.address(portCallers), "ready": v.address(portReady), "control": v.address(portPeers),
			"directory": v.address(portDirectory)},
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0},
		"heartbeat_ms": 1200,
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "skew_max_ms": 5000, "budget_ratio": 0.2,
			"budget_window_s": 10, "budget_slack": 58, "recovery_s": 12, "require_fence": false, "lease_ms": 3000, "thaw_ms": 300,
			"ttl_max_s": 5},
		"platform": map[string]any{"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, b, 0o600)
}

// startVM starts the process of an entry VM with the command of the deploy file.
func (r *rig) startVM(v *vm) error {
	out, err := os.OpenFile(filepath.Join(r.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(r.root, "target", "bergamotd"), "edge", "--metrics", fmt.Sprint(r.base+portMetrics))
	cmd.Dir = r.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.temp, "LANG=C", platform.SettingsVariable + "=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	v.cmd, v.ended, v.expected = cmd, ended, false
	r.mu.Unlock()
	r.note("%s started", v.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		close(ended)
		r.mu.Lock()
		expected := v.expected
		r.mu.Unlock()
		r.note("%s ended: %v", v.name, err)
		if !expected {
			r.failed(fmt.Errorf("%s ended by itself: %v", v.name, err))
		}
	}()
	return nil
}

// startAll starts all entry VMs and waits until they are ready.
func (r *rig) startAll() error {
	for _, v := range r.vms {
		if err := r.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady asks the readiness check until it answers with 200.
func (v *vm) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.address(portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			v.rig.note("%s is ready", v.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", v.name)
}

// signal sends a signal to the process of an entry VM. expected is set if it ends the process.
func (v *vm) signal(s syscall.Signal, expected bool) {
	v.rig.mu.Lock()
	v.expected = v.expected || expected
	cmd := v.cmd
	v.rig.mu.Unlock()
	v.rig.note("%s gets %v", v.name, s)
	_ = cmd.Process.Signal(s) // fails if the process has ended
}

// restart stops an entry VM as the platform does in planned work, starts it again and waits until it is ready.
func (v *vm) restart() error {
	v.signal(syscall.SIGTERM, true)
	select {
	case <-v.ended:
	case <-time.After(stopGrace):
		v.signal(syscall.SIGKILL, true)
		<-v.ended
	}
	if err := v.rig.startVM(v); err != nil {
		return err
	}
	return v.awaitReady()
}

// close ends all that the rig has started.
func (r *rig) close() {
	r.closed.Do(func() {
		for _, v := range r.vms {
			r.mu.Lock()
			cmd := v.cmd
			v.expected = true
			r.mu.Unlock()
			if cmd != nil {
				_ = cmd.Process.Kill() // fails if the process has ended
				<-v.ended
			}
		}
		r.mu.Lock()
		servers := r.servers
		r.mu.Unlock()
		for _, s := range servers {
			s.exit()
		}
		if r.store != nil {
			r.store.close()
		}
		if os.Getenv("REVIEW_KEEP") == "" && r.temp != "" {
			_ = os.RemoveAll(r.temp)
		}
		if r.record != nil {
			_ = r.record.Close()
		}
	})
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// at returns a time as the record writes it.
func (r *rig) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// failed records that the case is not valid.
func (r *rig) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, err)
}

func (r *rig) fault() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.faults...)
}

// storeStandIn serves the platform's store.
type storeStandIn struct {
	objects  *standin.Store
	listener net.Listener
	server   *http.Server
}

func newStoreStandIn() (*storeStandIn, error) {
	s := &storeStandIn{objects: standin.NewStore()}
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.objects, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(s.listener) }() // until close
	return s, nil
}

func (s *storeStandIn) address() string { return s.listener.Addr().String() }

func (s *storeStandIn) close() { _ = s.server.Close() }

// dialVM connects a client to an entry VM.
func dialVM(v *vm) (*standin.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return standin.Dial(ctx, v.address(portCallers))
}

// sendOne sends one attempt on a connection of its own.
func sendOne(v *vm, a standin.Attempt) standin.Outcome {
	c, err := dialVM(v)
	if err != nil {
		return standin.Outcome{Attempt: a, Err: err}
	}
	defer c.Close()
	return c.Do(a)
}
