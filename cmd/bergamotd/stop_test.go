package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/platform/standin"
)

// edgeVariable makes the test program run as an entry VM.
const edgeVariable = "BERGAMOT_TEST_EDGE"

func TestMain(m *testing.M) {
	if os.Getenv(edgeVariable) != "" {
		exit(runEdge("", ""))
	}
	os.Exit(m.Run())
}

const (
	testGrace        = 30 * time.Second
	testRouteTimeout = 60 * time.Second
)

// startEdge starts an entry VM with one upstream of the service "app", whose runs go to observe, and returns its process and its
// address for callers once it serves.
func startEdge(t *testing.T, observe func(standin.Run)) (*exec.Cmd, string) {
	t.Helper()
	cmd, ip := startEdgeWithin(t, exec.Command(os.Args[0]), 256, 1000, observe)
	return cmd, net.JoinHostPort(ip, "9000")
}

// startEdgeWithin starts cmd as an entry VM with limits and returns it and its IP address once it serves. It listens for callers at
// port 9000, for the readiness check at 9001, for peers at 9002 and for the directory at 9003. The store lists servers beside that of "app".
func startEdgeWithin(t *testing.T, cmd *exec.Cmd, memoryMB, maxFDs int, observe func(standin.Run), servers ...*standin.Server) (*exec.Cmd, string) {
	t.Helper()
	is := is.New(t)
	const moving = "other" // the service of the route "/moving/"
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	app, err := standin.NewServer(standin.ServerOptions{ID: "i-1", Service: "app", Slots: 8, Work: time.Millisecond, Observe: observe})
	is.NoErr(err)
	t.Cleanup(app.Crash)
	is.NoErr(store.Put("config", "main", standin.Config(1, "h", moving, testRouteTimeout)))
	is.NoErr(store.Put("servers", "i-1", app.Entry(app.Address(), "z", "ready", time.Now().UnixMilli())))
	for n, server := range servers {
		is.NoErr(store.Put("servers", fmt.Sprint("server-", n), server.Entry(server.Address(), "z", "ready", time.Now().UnixMilli())))
	}

	ip := fmt.Sprintf("127.%d.%d.3", 100+rand.IntN(100), rand.IntN(250)) // no other process uses it
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	settings, err := json.Marshal(map[string]any{
		"node": "vm", "ip": ip, "zone": "z", "port_range": []int{9010, 9030},
		"listen":       map[string]string{"front": at(9000), "ready": at(9001), "control": at(9002), "directory": at(9003)},
		"limits":       map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFDs},
		"heartbeat_ms": 60000,
		"bounds": map[string]any{"drain_ms": 2000, "config_ms": 2000, "grace_s": testGrace.Seconds(), "budget_ratio": 0.2, "budget_slack": 60,
			"budget_window_s": 10, "ttl_max_s": 5, "lease_ms": 3000},
		"platform": map[string]any{"address": storeServer.Listener.Addr().String(), "writes_per_s": 400, "reads_per_s": 2000, "value_bytes": 1 << 20},
	})
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, settings, 0o600))
	cmd.Env = append(os.Environ(), edgeVariable+"=1", platform.SettingsVariable+"="+file)
	if cmd.Stdout == nil {
		cmd.Stdout = t.Output()
	}
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if it has ended
		_ = cmd.Wait()
	})
	for n := 0; ; n++ { // until the configuration is in force
		if c, err := standin.Dial(t.Context(), at(9000)); err == nil {
			o := c.Do(standin.Attempt{ID: fmt.Sprint("first-", n), Host: "h", Path: "/once/x", Deadline: time.Second})
			_ = c.Close()
			if o.Status == http.StatusOK {
				return cmd, ip
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// suspend stops a process and waits until it stands still.
func suspend(t *testing.T, p *os.Process) {
	t.Helper()
	is := is.New(t)
	is.NoErr(p.Signal(syscall.SIGSTOP))
	var status syscall.WaitStatus
	_, err := syscall.Wait4(p.Pid, &status, syscall.WUNTRACED, nil)
	is.NoErr(err)
	is.True(status.Stopped())
}

// Guards against a stop whose time counts from when its signal is handled, not from when it was sent.
func TestAStopIsPlannedFromWhenItsSignalWasSent(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	cmd, address := startEdge(t, func(standin.Run) {})
	suspend(t, cmd.Process)
	// The process accepts the connection when it goes on: one that has carried nothing for the header time limit may be closed.
	conn, err := standin.Dial(t.Context(), address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	sent := time.Now()
	time.AfterFunc(time.Until(sent.Add(testGrace)), func() { _ = cmd.Process.Kill() }) // fails if it has ended
	time.Sleep(2 * time.Second)
	is.NoErr(cmd.Process.Signal(syscall.SIGCONT))
	time.Sleep(time.Until(sent.Add(3200 * time.Millisecond))) // callers' addresses have expired
	o := conn.Do(standin.Attempt{ID: "late", Host: "h", Path: "/once/x", Deadline: testRouteTimeout, Body: standin.WorkBody(testGrace, "late")})
	is.NoErr(o.Err) // the connection must not be cut
	is.Equal(o.Status, http.StatusServiceUnavailable)
	is.Equal(o.Refusal, "shutting_down")
}

// probedSignals is a stopSignals whose probes the test carries.
type probedSignals struct {
	stopSignals
	signals  chan os.Signal
	probes   chan time.Time // when each was sent
	earliest []time.Time
}

func newProbedSignals() *probedSignals {
	x := &probedSignals{signals: make(chan os.Signal, 4), probes: make(chan time.Time, 100)}
	x.received = x.signals
	x.onStop = func(_ os.Signal, e time.Time) { x.earliest = append(x.earliest, e) }
	x.probe = func() error { x.probes <- time.Now(); return nil }
	go x.run(time.Now())
	return x
}

// returnProbe lets the next probe come back after a delay, and returns when it was sent.
func (x *probedSignals) returnProbe(after time.Duration) time.Time {
	sent := <-x.probes
	time.Sleep(after)
	x.signals <- probeSignal
	synctest.Wait()
	return sent
}

// Guards against a bound that is later than the signal: a stop signal that waits while other work of the process goes on.
func TestAStopSignalIsBoundedByTheLastProbeThatReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newProbedSignals()
		defer close(x.signals)
		x.returnProbe(time.Millisecond)
		last := x.returnProbe(time.Millisecond)
		<-x.probes // does not come back
		time.Sleep(time.Minute)
		x.signals <- syscall.SIGTERM
		x.signals <- syscall.SIGTERM
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(x.probes), 0) // one probe at a time, and none after a stop signal
		is.Equal(x.earliest, []time.Time{last, last})
	})
}

// Guards against probes that overtake a stop signal after a suspension: the thread that has the signal may run later than others.
func TestProbesAfterASuspension(t *testing.T) {
	for _, atOnce := range []int{0, 1, settlingProbes, settlingProbes + 1} { // probes that come back before the signal is handled
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			x := newProbedSignals()
			defer close(x.signals)
			x.returnProbe(time.Millisecond)
			before := x.returnProbe(time.Millisecond)
			x.returnProbe(2 * time.Second) // suspended
			last := before
			for range atOnce {
				last = x.returnProbe(time.Millisecond)
			}
			x.signals <- syscall.SIGTERM
			synctest.Wait()
			if atOnce <= settlingProbes {
				is.Equal(x.earliest, []time.Time{before})
			} else {
				is.Equal(x.earliest, []time.Time{last})
			}
		})
	}
}

// Guards against a bound that stands still in a process that is paused again and again, so that its stop ends all requests at once.
func TestABoundMovesOnInAProcessThatIsOftenPaused(t *testing.T) {
	for _, turns := range [][]time.Duration{{220 * time.Millisecond}, {time.Millisecond, time.Millisecond, time.Millisecond, 120 * time.Millisecond}, {2 * time.Second, time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			x := newProbedSignals()
			defer close(x.signals)
			var sent []time.Time
			for n := range 40 {
				sent = append(sent, x.returnProbe(turns[n%len(turns)]))
			}
			x.signals <- syscall.SIGTERM
			synctest.Wait()
			is.True(!x.earliest[0].Before(sent[len(sent)-settlingProbes-2]))
		})
	}
}
