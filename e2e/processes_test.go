// Package e2e runs the programs as separate processes on loopback.
package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitTimeout bounds all waits, so that a broken test does not hang. No check depends on how long an operation takes.
const waitTimeout = 90 * time.Second

const (
	callerKey   = "demo-key"
	operatorKey = "demo-operator-key"
	fleetFile   = "../examples/ruheraum/fleet.jsonc"
	upstreams   = 13 // of the fleet file
)

var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bergamot-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../cmd/bergamotd", "../cmd/bergamotctl", "../cmd/bergamot-emulator")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = dir
	return m.Run()
}

// process is a running program that the test has started.
type process struct {
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
}

func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("%s %s:\n%s", program, strings.Join(args, " "), p.log.tail())
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitExit waits for the process to end and returns its exit code, or -1 if a signal ended it.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatal("the process does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// system is a platform, a fleet of upstreams and several entry VMs, each a process of its own.
type system struct {
	t              *testing.T
	platform       *process
	vms            []*process
	callers        []string // addresses
	adminAddresses []string
}

// firstEphemeralPort is the first port that Linux by default chooses for a connection.
const firstEphemeralPort = 32768

// freePorts returns the first of n consecutive free ports. Another process may still take one of them before it is used.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	first, ok := freePortsFrom(os.Getpid(), n)
	if !ok {
		t.Fatal("no free ports")
	}
	return first
}

// freePortsFrom tries all blocks of n ports below the ephemeral range, beginning with the block that offset selects. Clients' connections
// of packages tested at the same time, also closed ones in TIME_WAIT, can occupy every block within that range.
func freePortsFrom(offset, n int) (first int, ok bool) {
	const lowest = 10000
	blocks := (firstEphemeralPort - lowest) / n
	for i := range blocks {
		if first = lowest + (offset+i)%blocks*n; allFree(first, n) {
			return first, true
		}
	}
	return 0, false
}

// Guards against tests that find no ports while connections occupy some port of each block of the ephemeral range.
func TestFreePortsBesideBusyEphemeralPorts(t *testing.T) {
	is := is.New(t)
	const n = 1 + upstreams + 3*3
	for port := firstEphemeralPort; port < 61000; port += n {
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			defer func() { _ = l.Close() }()
		}
	}
	for _, offset := range []int{0, 11_800, 19_999, os.Getpid()} {
		first, ok := freePortsFrom(offset, n)
		is.True(ok)
		is.True(first+n <= firstEphemeralPort)
	}
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startSystem starts the platform, the fleet and n entry VMs, and applies the fleet's configuration.
func startSystem(t *testing.T, n int) *system {
	t.Helper()
	first := freePorts(t, 1+upstreams+3*n)
	platform := fmt.Sprint("127.0.0.1:", first)
	engines := fmt.Sprint(first + 1)
	start(t, "bergamot-emulator", "upstreams", "--fleet", fleetFile, "--port", engines)
	s := &system{t: t, platform: start(t, "bergamot-emulator", "platform", "--listen", platform)}
	base := first + 1 + upstreams
	for i := range n {
		p := func(k int) string { return fmt.Sprint("127.0.0.1:", base+3*i+k) }
		file := filepath.Join(t.TempDir(), "entry-vm.jsonc")
		seeds := fmt.Sprintf("%q, %q", fmt.Sprint("127.0.0.1:", base+2), fmt.Sprint("127.0.0.1:", base+5))
		text := entryVMSettings(fmt.Sprint("v", i+1), p(0), p(1), p(2), seeds, platform)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.vms = append(s.vms, start(t, "bergamotd", "run", "--config", file))
		s.callers, s.adminAddresses = append(s.callers, p(0)), append(s.adminAddresses, p(1))
	}
	config := s.run("bergamot-emulator", "configuration", "--fleet", fleetFile, "--port", engines)
	file := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		t.Fatal(err)
	}
	s.eventually("the configuration is accepted", func() bool {
		return s.ctl("config", "apply", "-f", file) == nil
	})
	s.eventually("all entry VMs serve it", func() bool {
		for _, a := range s.callers {
			if status, _ := s.get(a, "/v1/models"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return s
}

func (s *system) run(program string, args ...string) []byte {
	s.t.Helper()
	out, err := exec.Command(filepath.Join(binaries, program), args...).Output()
	if err != nil {
		s.t.Fatal(program, args, err)
	}
	return out
}

// ctl runs bergamotctl with the administration addresses of all entry VMs.
func (s *system) ctl(args ...string) error {
	args = append([]string{"--server", strings.Join(s.adminAddresses, ","), "--key", operatorKey}, args...)
	out, err := exec.Command(filepath.Join(binaries, "bergamotctl"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("never: ", what)
		}
	}
}

func (s *system) get(address, path string) (int, []byte) {
	return s.do(http.MethodGet, address, path, "", "")
}

func (s *system) do(method, address, path, body, key string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

// entryVMSettings returns the settings file of an entry VM, with short limits for a planned stop.
func entryVMSettings(name, callers, operators, peers, seeds, platform string) string {
	return fmt.Sprintf(`{
  "name": %q, "data_centre": "wien-a", "cores": 2,
  "callers": {"listen": %q},
  "operators": {"listen": %q, "keys": [{"operator": "test", "key_sha256": "%x", "role": "admin"}]},
  "metrics": {"listen": ""},
  "peers": {"listen": %q, "secret": "test", "seeds": [%s]}, // the second seed is not there yet
  "platform": {"url": "http://%s"},
  "shutdown": {"unlisted": true, "drain": "60s", "finish": "45s"},
}`, name, callers, operators, sha256.Sum256([]byte(operatorKey)), peers, seeds, platform)
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// tailBytes is how much output of each process is logged when a test fails.
const tailBytes = 3000

func (b *lockedBuffer) tail() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := bytes.Clone(b.buf.Bytes())
	return all[max(len(all)-tailBytes, 0):]
}
