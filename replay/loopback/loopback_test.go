// Package loopback compares a replay in virtual time with the same trace sent through real entry VMs.
package loopback

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/client"
	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/emulator/service"
	"bergamotcroft.example/bergamot/internal/knownred"
	"bergamotcroft.example/bergamot/replay"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

const (
	seed              = 1
	requests          = 360
	requestIntervalMS = 150 // trace time between requests
	compression       = 10  // ratio of trace time to real time; engines are faster by the same factor
	entryVMs          = 3
	apiKey            = "key-1"
	poison            = "POISON"
	waitLimit         = 60 * time.Second // bounds every wait, so that a hang fails the test
)

// violations counts the requests for which a guarantee was broken.
type violations struct{ lost, doubled, cut, falseNotRun int }

// makeTrace returns the trace after a round trip through Write and ReadTrace.
func makeTrace(t *testing.T, crashes bool) replay.Trace {
	rng := rand.New(rand.NewPCG(seed, 0))
	var tr replay.Trace
	for i := range requests {
		l := replay.Line{AtMS: int64(i * requestIntervalMS), Caller: fmt.Sprint("c", i%7), DeadlineMS: 60_000}
		switch k := rng.IntN(10); {
		case crashes && i == requests/2:
			l.Class, l.Model, l.PromptTokens, l.OutputTokens, l.Idempotent, l.CrashesUpstream = "question", "m", 300, 40, true, true
		case k < 5:
			l.Class, l.Model, l.PromptTokens, l.OutputTokens, l.Idempotent = "question", "m", 200+rng.IntN(200), 40+rng.IntN(80), true
		case k < 7:
			l.Class, l.Model, l.PromptTokens, l.OutputTokens, l.Idempotent = "site_log", "m", 4000+rng.IntN(4000), 60+rng.IntN(100), true
		default:
			l.Class, l.Service, l.ServiceMS, l.Key = "booking", "booking", 40, fmt.Sprint("b-", i)
		}
		tr = append(tr, l)
	}
	end := int64(requests * requestIntervalMS)
	tr = append(tr, replay.Line{AtMS: end / 8, Event: "kill_upstream", Upstream: "e1", ForMS: 5000},
		replay.Line{AtMS: end / 4, Event: "lose_answers", Upstream: "b1", ForMS: 5000})
	var out bytes.Buffer
	is := is.New(t)
	is.NoErr(tr.Write(&out))
	tr, err := replay.ReadTrace(&out)
	is.NoErr(err)
	return tr
}

func upstreams() []topo.Upstream {
	var out []topo.Upstream
	for i := range 4 {
		out = append(out, topo.Upstream{
			Name: fmt.Sprint("e", i+1), DataCentre: "a", Kind: topo.KindEngine, Models: []string{"m"}, Role: topo.RoleBoth,
			PrefillTokensPerSecond: 12000, DecodeTokensPerSecond: 1000, MaxBatch: 32, KVPieces: 600, ReportLagMS: 200,
		})
	}
	for i := range 2 {
		out = append(out, topo.Upstream{
			Name: fmt.Sprint("b", i+1), DataCentre: "a", Kind: topo.KindService, Service: "booking", MaxBatch: 8, ReportLagMS: 200,
		})
	}
	return out
}

// replayVirtual replays the trace in virtual time, and returns the violations and the number of answered requests.
func replayVirtual(t *testing.T, tr replay.Trace) (violations, float64) {
	is := is.New(t)
	f := replay.Fleet{Name: "loopback", DataCentres: []string{"a"}, ClientMS: 1, Upstreams: upstreams()}
	for i := range entryVMs {
		f.EntryVMs = append(f.EntryVMs, replay.EntryVM{Name: fmt.Sprint("vm", i+1), DataCentre: "a", Cores: 2})
	}
	b, err := json.Marshal(f)
	is.NoErr(err)
	fleet, err := replay.ReadFleet(b)
	is.NoErr(err)
	figures, err := replay.Play(fleet, tr, replay.Default, seed)
	is.NoErr(err)
	values := map[string]float64{}
	for _, f := range figures {
		if f.Class == "" {
			values[f.Measure] = f.Value
		}
	}
	is.Equal(values["requests"], float64(requests))
	answered := float64(requests) * (1 - values["refused"])
	return violations{int(values["lost"]), int(values["doubled"]), int(values["cut"]), int(values["false_not_run"])}, answered
}

// harness holds the fake upstreams and records what they ran.
type harness struct {
	t        *testing.T
	engines  map[string]*engine.Engine
	runs     *service.Ledger
	killed   atomic.Int32 // streams whose engine a kill_upstream crashed
	answers  atomic.Int32 // answers lost
	poisoned atomic.Int32 // engine crashes caused by the request with crashes_upstream
	kill     atomic.Int64 // for_ms of a kill_upstream that takes effect at the next token of a stream at e1; 0: none
	losing   atomic.Bool
	restarts sync.WaitGroup

	mu        sync.Mutex
	completed map[string]int      // number of stream ends sent, by prompt
	ran       map[string][]string // engines that ran each prompt, with the index of the first token that each sent
}

func (r *harness) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *harness) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s: does not happen", what)
		}
	}
}

func compressed(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond / compression }

// crash returns the fault that crashes the engine, and restarts the engine after downtime.
func (r *harness) crash(e *engine.Engine, downtime time.Duration) engine.Fault {
	before := e.Counts().Crashes
	r.restarts.Go(func() {
		for end := time.Now().Add(waitLimit); e.Counts().Crashes == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(downtime)
		for end := time.Now().Add(waitLimit); e.Restart() != nil && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	})
	return engine.Crash
}

// streamHook returns a hook that records what the engine runs and injects the faults of the trace.
func (r *harness) streamHook(name string, e *engine.Engine) func(engine.Point) engine.Fault {
	last := map[string]int{}
	return func(p engine.Point) engine.Fault {
		r.mu.Lock()
		if at, ok := last[p.Prompt]; !ok || p.Index != at+1 {
			r.ran[p.Prompt] = append(r.ran[p.Prompt], fmt.Sprint(name, " from ", p.Index))
		}
		last[p.Prompt] = p.Index
		r.mu.Unlock()
		if strings.HasPrefix(p.Prompt, poison) {
			r.poisoned.Add(1)
			return r.crash(e, compressed(5000))
		}
		if back := r.kill.Load(); name == "e1" && p.Index > 0 && back > 0 && r.kill.CompareAndSwap(back, 0) {
			r.killed.Add(1)
			return r.crash(e, compressed(back))
		}
		if p.End {
			r.mu.Lock()
			r.completed[p.Prompt]++
			r.mu.Unlock()
		}
		return engine.None
	}
}

// startHarness starts the fake upstreams and the entry VMs, and returns the addresses of the entry VMs.
func startHarness(t *testing.T) (*harness, []string) {
	r := &harness{t: t, engines: map[string]*engine.Engine{}, runs: service.NewLedger(), completed: map[string]int{}, ran: map[string][]string{}}
	sum := sha256.Sum256([]byte(apiKey))
	config := topo.Configuration{
		Models:   []topo.Model{{Name: "m", Version: "1"}},
		Classes:  []topo.Class{{Name: "question"}, {Name: "booking"}, {Name: "site_log", Priority: 2}},
		Services: []topo.Service{{Name: "booking", Routes: []topo.Route{{Method: "POST", PathPrefix: "/bookings"}}}},
		Accounts: []topo.Account{{Caller: "c1", KeySHA: []string{hex.EncodeToString(sum[:])}}},
	}
	for _, spec := range upstreams() {
		if spec.Kind == topo.KindService {
			s := service.New(service.Options{Spec: spec, Delay: compressed(40)}, r.runs)
			r.must(s.Start("127.0.0.1:0"))
			t.Cleanup(s.Close)
			if spec.Name == "b1" {
				s.OnCall(func(*http.Request, []byte) service.Fault {
					if r.losing.Load() {
						r.answers.Add(1)
						return service.LoseAnswer
					}
					return service.None
				})
			}
			config.Upstreams = append(config.Upstreams, s.Spec())
			continue
		}
		spec.Models = []string{"m@1"}
		spec.PrefillTokensPerSecond *= compression
		spec.DecodeTokensPerSecond *= compression
		e := engine.New(engine.Options{Spec: spec, Step: time.Millisecond})
		e.OnStream(r.streamHook(spec.Name, e))
		r.must(e.Start("127.0.0.1:0"))
		t.Cleanup(e.Close)
		r.engines[spec.Name] = e
		config.Upstreams = append(config.Upstreams, e.Spec())
	}
	t.Cleanup(r.restarts.Wait)
	store := platform.New(platform.Options{WatchTimeout: time.Second})
	admin := configuration.New(configuration.Options{Store: store, Name: "test"})
	_, err := admin.Update(t.Context(), "test", func(to *topo.Configuration) error {
		base := to.Revision
		*to = config
		to.Revision = base
		return nil
	})
	r.must(err)
	var vms []*server.Server
	var first, seeds []string
	for i := range entryVMs {
		s := settings.Default()
		s.Name, s.DataCentre, s.Callers.Listen, s.Metrics.Listen = fmt.Sprint("vm", i+1), "a", "127.0.0.1:0", "127.0.0.1:0"
		s.Peers.Listen, s.Peers.Secret, s.Peers.Seeds = "127.0.0.1:0", "secret", seeds
		s.Shutdown = settings.Shutdown{Drain: topo.Duration(waitLimit), Unlisted: true}
		srv, err := server.New(server.Options{Settings: s, Store: store})
		r.must(err)
		ended := make(chan error, 1)
		go func() { ended <- srv.Run() }()
		t.Cleanup(func() {
			srv.Stop()
			select {
			case <-ended:
			case <-time.After(waitLimit):
				t.Error("an entry VM does not stop")
			}
		})
		vms, first, seeds = append(vms, srv), append(first, srv.CallerAddress()), append(seeds, srv.PeerAddress())
	}
	r.eventually("the entry VMs know one another and serve", func() bool {
		for i, v := range vms {
			q, _ := http.NewRequest(http.MethodGet, "http://"+first[i]+"/v1/models", nil)
			q.Header.Set("Authorization", "Bearer "+apiKey)
			res, err := http.DefaultClient.Do(q)
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			if res.StatusCode != http.StatusOK || len(v.Members()) != entryVMs {
				return false
			}
		}
		return true
	})
	return r, first
}

// callerResult is the outcome of a request at its caller.
type callerResult struct {
	text       string
	events     int
	mayHaveRun bool // an earlier attempt may have run
	err        error
}

func prompt(i int, l *replay.Line) string {
	head := fmt.Sprintf("request %d ", i)
	if l.CrashesUpstream {
		head = poison + head
	}
	return head + strings.Repeat("x", max(4*l.PromptTokens-len(head), 0))
}

func call(ctx context.Context, c *client.Client, i int, l *replay.Line) (out callerResult) {
	if l.Service != "" {
		q := &client.Request{
			Path: "/services/booking/bookings", Body: fmt.Appendf(nil, `{"key":%q}`, l.Key), Class: l.Class, Key: l.Key,
		}
		res, err := c.Do(ctx, q)
		out.err, out.mayHaveRun = err, q.MayHaveRun
		if err == nil {
			out.text = string(res.Body)
		}
		return out
	}
	body, _ := json.Marshal(map[string]any{"model": l.Model, "prompt": prompt(i, l), "max_tokens": l.OutputTokens, "stream": true})
	q := &client.Request{Path: "/v1/completions", Body: body, Class: l.Class, Idempotent: l.Idempotent}
	out.err = c.Stream(ctx, q, func(e client.Event) error {
		var chunk struct {
			Choices []struct{ Text string }
			Error   *struct{ Code result.Code }
		}
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			return result.New(chunk.Error.Code, "error event").WithExecution(result.Unknown)
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Text != "" {
			out.text += chunk.Choices[0].Text
			out.events++
		}
		return nil
	})
	return out
}

// replayTrace sends the trace's requests to the entry VMs in compressed time, and applies its events.
func (r *harness) replayTrace(tr replay.Trace, addresses []string) []callerResult {
	c, err := client.New(client.Options{InitialAddresses: addresses, Key: apiKey, Seed: seed})
	r.must(err)
	ctx, cancel := context.WithTimeout(r.t.Context(), waitLimit)
	defer cancel()
	got := make([]callerResult, len(tr))
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range tr {
		l := &tr[i]
		time.Sleep(time.Until(begin.Add(compressed(l.AtMS))))
		switch l.Event {
		case "kill_upstream":
			r.kill.Store(l.ForMS)
		case "lose_answers":
			r.losing.Store(true)
			wg.Go(func() { // lasts until at least one answer is lost, whatever the machine's speed
				time.Sleep(compressed(l.ForMS))
				for r.answers.Load() == 0 && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				r.losing.Store(false)
			})
		default:
			wg.Go(func() { got[i] = call(ctx, c, i, l) })
		}
	}
	wg.Wait()
	return got
}

// audit counts violations from what the fake upstreams ran and what the callers received.
func (r *harness) audit(tr replay.Trace, got []callerResult) (f violations, answered int) {
	for i := range tr {
		l, g := &tr[i], got[i]
		if l.Event != "" {
			continue
		}
		var refusal *result.Error
		refused := errors.As(g.err, &refusal)
		switch {
		case g.err == nil:
			answered++
		case !refused || refusal.Code == result.DeadlineExceeded:
			r.t.Logf("line %d, %s: no final answer: %v", i, l.Class, g.err)
			f.lost++
		default:
			r.t.Logf("line %d, %s: refused after %d events: %v; ran at %v", i, l.Class, g.events, g.err, r.ran[prompt(i, l)])
		}
		if l.Service != "" {
			runs := r.runs.Runs(l.Key)
			if g.err == nil && (runs == 0 || !strings.Contains(g.text, fmt.Sprintf("%q", l.Key))) {
				f.lost++
			}
			if runs > 1 {
				f.doubled++
			}
			if refused && refusal.Execution == result.NotRun && !g.mayHaveRun && runs > 0 {
				f.falseNotRun++
			}
			continue
		}
		p := prompt(i, l)
		if g.err == nil && r.completed[p] == 0 {
			f.lost++
		}
		if g.err == nil && g.text != engine.Text(engine.Seed(l.Model, p), l.OutputTokens) ||
			g.err != nil && g.events > 0 && !l.CrashesUpstream {
			f.cut++
		}
		if refused && refusal.Execution == result.NotRun && r.completed[p] > 0 {
			f.falseNotRun++
		}
	}
	return f, answered
}

// Guards against a cost model and a daemon that differ in their violations: the same trace with the same faults must
// lose, double, cut and falsely refuse no request, in virtual time and through real entry VMs.
func TestVirtualAndRealAgree(t *testing.T) { compareVirtualAndReal(t, false) }

// Guards against the same difference when a request that crashes its upstream runs beside others.
func TestVirtualAndRealAgreeOnPoison(t *testing.T) {
	knownred.Skip(t)
	compareVirtualAndReal(t, true)
}

func compareVirtualAndReal(t *testing.T, crashes bool) {
	is := is.NewRelaxed(t)
	tr := makeTrace(t, crashes)
	inVirtual, answeredVirtual := replayVirtual(t, tr)
	t.Logf("seed %d, virtual time: %+v, answered %.0f of %d", seed, inVirtual, answeredVirtual, requests)
	r, addresses := startHarness(t)
	got := r.replayTrace(tr, addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	inReal, answered := r.audit(tr, got)
	t.Logf("seed %d, loopback: %+v, answered %d of %d; streams killed %d, answers lost %d, engines crashed by poison %d",
		seed, inReal, answered, requests, r.killed.Load(), r.answers.Load(), r.poisoned.Load())
	is.Equal(inVirtual, violations{})
	is.Equal(inReal, violations{})
	is.Equal(r.killed.Load(), int32(1)) // the faults of the trace took effect
	is.True(r.answers.Load() > 0)
	poisoned := int32(0)
	if crashes {
		poisoned = 2 // a request may crash at most two upstreams, and this one crashes two
	}
	is.Equal(r.poisoned.Load(), poisoned)
	is.True(answered > requests*9/10) // guards against counts of zero because most requests were refused
}
