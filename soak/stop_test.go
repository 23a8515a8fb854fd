package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

// stopShape is a way in which planned stops meet work.
type stopShape struct {
	name    string
	classes []string
	stops   int                                                  // entry VMs that stop
	others  bool                                                 // clients call the other entry VMs too
	gap     time.Duration                                        // longest time between two stops
	before  func(fl *fleet, rng *rand.Rand, e *entryVM)          // what happens to an entry VM just before its stop
	beside  func(fl *fleet, rng *rand.Rand, end <-chan struct{}) // what goes on beside the stops
	work    time.Duration                                        // of each request; 0: drawn
	long    bool                                                 // played with stopPlaysVariable only
}

var stopShapes = []stopShape{
	{name: "streams", classes: []string{"stream"}, stops: 1},
	{name: "chunked bookings", classes: []string{"once"}, stops: 1},
	{name: "overlapping stops", classes: []string{"stream", "once"}, stops: 2, gap: 2 * time.Second},
	{name: "silent upstreams", classes: []string{"stream", "once", "read", "read"}, stops: 1, beside: (*fleet).silenceServers},
	{name: "changing routes", classes: []string{"stream", "once", "read"}, stops: 1, others: true, beside: (*fleet).changeRoutes},
	{name: "restarted VMs", classes: []string{"stream", "once"}, stops: 2, gap: time.Second, before: func(fl *fleet, rng *rand.Rand, e *entryVM) {
		e.signal(syscall.SIGKILL)
		e.waitEnded(stopGrace) // its ports are free then
		fl.restartEntry(e)
		time.Sleep(time.Duration(rng.IntN(1900)) * time.Millisecond)
	}},
	{name: "hangup before the stop", classes: []string{"stream", "once"}, stops: 1, before: func(_ *fleet, rng *rand.Rand, e *entryVM) {
		e.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
	}},
	{name: "streams of half their limit", classes: []string{"stream"}, stops: 1, work: 3 * time.Second, long: true},
}

// stopLimits are the time limits of the routes.
var stopLimits = map[string]time.Duration{"stream": 6 * time.Second, "once": 1500 * time.Millisecond, "read": 400 * time.Millisecond, "moving": time.Second}

const (
	// stopPlaysVariable is the environment variable with the number of plays of each shape, one after the other. The process is then
	// killed at the end of its grace, and requests are judged that were held without being passed on.
	stopPlaysVariable = "BERGAMOT_SOAK_STOP_PLAYS"
	clientsPerVM      = 18
	longestHold       = 200 * time.Millisecond
	besideGap         = 300 * time.Millisecond
	earlyTraffic      = 1500 * time.Millisecond // before the stops
)

// Guards against requests that a VM has passed on, and whose connection it closes without an answer around a planned stop.
func TestPlannedStopsAnswerWhatWasPassedOn(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	plays, _ := strconv.Atoi(os.Getenv(stopPlaysVariable)) // 0 if it is not set
	for _, shape := range stopShapes {
		if shape.long && plays == 0 {
			continue
		}
		t.Run(strings.ReplaceAll(shape.name, " ", "-"), func(t *testing.T) {
			if plays == 0 {
				t.Parallel()
			}
			logs := t.TempDir()
			for seed := range uint64(max(plays, 1)) {
				playStops(t, shape, seed+1, Options{Program: program, Dir: filepath.Join(logs, fmt.Sprint("seed", seed+1)), Timed: plays > 0})
			}
			if t.Failed() {
				keepLogs(t, logs)
			}
		})
	}
}

func playStops(t *testing.T, shape stopShape, seed uint64, o Options) {
	is := is.New(t)
	is.NoErr(os.Mkdir(o.Dir, 0o700))
	var variant atomic.Int64
	o.Seed, o.Entries, o.Servers = seed, 2, 4
	o.editConfiguration = func(c json.RawMessage) json.RawMessage { return stopRoutes(c, variant.Add(1)) }
	fl, err := newFleet(o)
	defer fl.close()
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(fl.waitReady(ctx))

	rng := rand.New(rand.NewPCG(seed, 1))
	var clients, stops, beside sync.WaitGroup
	end, stopped := make(chan struct{}), make(chan struct{})
	if shape.beside != nil {
		beside.Go(func() { shape.beside(fl, rand.New(rand.NewPCG(seed, 2)), end) })
	}
	begin := time.Now().Add(earlyTraffic)
	for i, e := range fl.entries[:shape.stops] {
		at := begin
		if i > 0 {
			at = at.Add(time.Duration(rng.Int64N(int64(shape.gap))))
		}
		ended := make(chan struct{})
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		stops.Go(func() {
			defer close(ended)
			time.Sleep(time.Until(at))
			if shape.before != nil {
				shape.before(fl, random, e)
			}
			fl.stopEntry(e)
		})
		for n := range clientsPerVM {
			clients.Go(func() { fl.callUntil(ended, e, shape, i*clientsPerVM+n) })
		}
	}
	if shape.others {
		for i, e := range fl.entries[shape.stops:] {
			for n := range clientsPerVM {
				clients.Go(func() { fl.callUntil(stopped, e, shape, (shape.stops+i)*clientsPerVM+n) })
			}
		}
	}
	stops.Wait()
	close(stopped)
	clients.Wait()
	close(end)
	beside.Wait()
	time.Sleep(timedMargin) // lets the runs of the last requests end
	lost, excused := fl.judgeStops()
	t.Logf("%s, seed %d: %v; without an answer and excused: %v", shape.name, seed, fl.countOutcomes(), excused)
	for _, f := range append(lost, fl.observed.judge(false)...) {
		t.Errorf("%s, seed %d: not kept: %s: %s", shape.name, seed, f.Promise, f.What)
	}
}

// stopEntry stops an entry VM as planned. Unless timed, the process is given more time, so that the verdict doesn't depend on how busy
// the machine is.
func (fl *fleet) stopEntry(e *entryVM) {
	signalled := time.Now()
	e.signal(syscall.SIGTERM)
	if fl.options.Timed {
		e.waitEnded(stopGrace)
	} else {
		e.waitEnded(3 * stopGrace)
	}
	e.signal(syscall.SIGKILL)
	if handled := fl.leavingLogged(e); !fl.options.Timed && handled.After(signalled) {
		signalled = handled
	}
	fl.recordPlannedStop(e, signalled, signalled.Add(stopGrace))
}

// waitEnded waits until the entry VM's process has ended, for d at most.
func (e *entryVM) waitEnded(d time.Duration) {
	e.mu.Lock()
	p := e.cmd.Process
	e.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end) && p.Signal(syscall.Signal(0)) == nil; {
		time.Sleep(10 * time.Millisecond)
	}
}

var leavingLine = regexp.MustCompile(`(?m)^ts=(\S+) .*msg=leaving `)

// leavingLogged returns when an entry VM's process logged that it leaves, or the zero time.
func (fl *fleet) leavingLogged(e *entryVM) time.Time {
	b, err := os.ReadFile(filepath.Join(fl.options.Dir, e.name+".log"))
	fl.reportError(err)
	found := leavingLine.FindAllSubmatch(b, -1)
	if len(found) == 0 {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339Nano, string(found[len(found)-1][1]))
	fl.reportError(err)
	return at
}

// callUntil sends requests to an entry VM until its process is gone. Two clients in three use a connection until it is closed.
func (fl *fleet) callUntil(ended <-chan struct{}, e *entryVM, shape stopShape, number int) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(100+number)))
	var conn *standin.Conn
	time.Sleep(time.Duration(rng.Int64N(int64(earlyTraffic))))
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(20+rng.IntN(100)) * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = standin.Dial(context.Background(), fl.address(e, portCallers)); err != nil {
				conn = nil
				continue
			}
		}
		class := shape.classes[number%len(shape.classes)]
		a := standin.Attempt{ID: fmt.Sprintf("%s-stop-%d-%d", class, number, n), Host: host, Path: "/" + class + "/x", Deadline: clientDeadline, Streams: class == "stream"}
		limit := stopLimits[class]
		work := time.Duration(rng.Int64N(int64(limit * 5 / 4))) // some reach the limit
		if class == "once" {
			a.Chunked = true
			if rng.IntN(2) == 0 {
				a.BodyDelay = time.Duration(200+rng.IntN(1000)) * time.Millisecond
			}
		}
		if shape.work > 0 {
			work = shape.work
		}
		a.Body = standin.WorkBody(work, a.ID)
		if o := fl.call(conn, e, class, a); !o.Reusable || number%3 == 0 {
			_ = conn.Close()
			conn = nil
		}
	}
}

// silenceServers makes servers silent for a while, one after the other.
func (fl *fleet) silenceServers(rng *rand.Rand, end <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		f := fault{target: rng.IntN(len(fl.nodes)), duration: time.Duration(300+rng.IntN(2500)) * time.Millisecond}
		select {
		case <-end:
			return
		case <-time.After(besideGap):
		}
		all.Go(func() {
			turn := fl.lockFor(fault{kind: "server-stall", target: f.target})
			turn.Lock()
			defer turn.Unlock()
			s := fl.currentServer(fl.targetNode(f))
			s.SetFault(standin.ServerStalls)
			time.Sleep(f.duration)
			s.SetFault(standin.ServerNoFault)
		})
	}
}

// changeRoutes writes configurations and sends requests on routes that come and go to all entry VMs at once.
func (fl *fleet) changeRoutes(rng *rand.Rand, end <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * besideGap)))):
		}
		fl.writeConfiguration()
		for _, e := range fl.entries {
			for _, path := range []string{"/moving/x", "/none/x"} {
				a := standin.Attempt{ID: fmt.Sprintf("probe-%s-%d-%s", e.name, n, path), Host: host, Path: path, Deadline: clientDeadline}
				all.Go(func() { fl.probe(e, a) })
			}
		}
	}
}

// probe sends a request on a route that may be missing.
func (fl *fleet) probe(e *entryVM, a standin.Attempt) {
	conn, err := standin.Dial(context.Background(), fl.address(e, portCallers))
	if err != nil {
		return // the process has ended
	}
	defer conn.Close()
	began := time.Now()
	o := conn.Do(a)
	if o.Status == http.StatusNotFound {
		return
	}
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.calls = append(fl.observed.calls, call{Outcome: o, entry: e, class: "moving", began: began})
}

// stopRoutes sets the routes' limits. Every other variant lacks the moving route and has longer limits.
func stopRoutes(configuration json.RawMessage, variant int64) json.RawMessage {
	var c map[string]any
	if err := json.Unmarshal(configuration, &c); err != nil {
		panic(err) // can't happen: the stand-in's own
	}
	var kept []any
	for _, r := range c["routes"].([]any) {
		route := r.(map[string]any)
		name := route["name"].(string)
		if limit, ok := stopLimits[name]; ok {
			if variant%2 == 0 {
				limit = limit * 3 / 2
			}
			route["timeout_ms"] = limit.Milliseconds()
		}
		if name != "moving" || variant%2 == 1 {
			kept = append(kept, route)
		}
	}
	c["routes"] = kept
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // can't happen
	}
	return b
}

// judgeStops returns the requests that entry VMs passed on, and whose connection ended without a whole answer, at a VM that stops since
// its signal. If timed, also those that were held for longer than longestHold. It counts the others without an answer.
func (fl *fleet) judgeStops() (out []Finding, excused map[string]int) {
	excused = map[string]int{}
	o := &fl.observed
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.calls {
		c := &o.calls[i]
		stops := o.plannedStops[c.entry.name]
		signal, runs := c.began, o.runs[c.ID]
		if len(stops) > 0 {
			signal = stops[0].from
		}
		if c.Whole || c.Sent.IsZero() || c.Ended.Before(signal) {
			continue
		}
		brokeOff := slices.ContainsFunc(runs, func(r standin.Run) bool { return !r.PromptOnly && !r.Started.IsZero() && !r.Whole && !r.Closed })
		timedOut := c.Ended.Sub(c.began) >= stopLimits[c.class]
		finishing := false
		for _, r := range runs {
			finishing = finishing || len(stops) > 0 && !c.began.After(signal.Add(addressesEnd)) && r.Ended.After(signal.Add(stopGrace*5/6))
		}
		held := fl.options.Timed && c.Ended.Sub(c.Sent) > longestHold
		if brokeOff || timedOut || finishing || len(runs) == 0 && !held {
			excused[fmt.Sprintf("%s: broken off %t, timed out %t, finishing %t, passed on %t", c.class, brokeOff, timedOut, finishing, len(runs) > 0)]++
			continue
		}
		promise := "a planned stop loses no request that was passed on"
		if len(runs) == 0 {
			promise = "a planned stop loses no request that was read"
		}
		what := fmt.Sprintf("%s at %s: %v; began %s, sent %s, ended %s after %s; pause %s, status %d, %d events", c.ID, c.entry.name, c.Err,
			c.began.Sub(signal), c.Sent.Sub(signal), c.Ended.Sub(signal), signal.Format(time.RFC3339Nano), c.BodyDelay, c.Status, c.Events)
		for _, r := range runs {
			what += fmt.Sprintf("; at %s from %s to %s, whole %t, closed %t", r.Server, r.Arrived.Sub(signal), r.Ended.Sub(signal), r.Whole, r.Closed)
		}
		out = append(out, Finding{promise, what})
	}
	return out, excused
}

// countOutcomes counts the requests by class, whether they were sent after addressesEnd, and outcome.
func (fl *fleet) countOutcomes() map[string]int {
	counts := map[string]int{}
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	for i := range fl.observed.calls {
		c := &fl.observed.calls[i]
		sent := "early"
		if stops := fl.observed.plannedStops[c.entry.name]; len(stops) > 0 && c.began.After(stops[0].from.Add(addressesEnd)) {
			sent = "late"
		}
		counts[fmt.Sprintf("%s %s %d whole %t", c.class, sent, c.Status, c.Whole)]++
	}
	return counts
}
