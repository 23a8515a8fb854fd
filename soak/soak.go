// Package soak injects random faults into entry VMs that run the real program, each as a process, and checks their promises from what
// clients and upstreams observe. The store, the upstreams and the clients are fakes. All connections except those between entry VMs go
// through proxies.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/platform/standin"
)

// Options configures a run.
type Options struct {
	Seed    uint64
	Program string        // path of bergamotd
	Dir     string        // for settings and logs
	For     time.Duration // time in which faults start
	Entries int           // entry VMs
	Servers int           // upstreams of each service
	Clients int
	Only    []string // kinds of faults; empty: all
	Timed   bool     // judge the promises that state a time
	Output  io.Writer

	editConfiguration func(json.RawMessage) json.RawMessage // called before each configuration is written; nil: none
	dutiesAddress     string                                // of a standin.Duties; empty: no usage is reported
	scales            bool                                  // the platform takes orders for servers of the scaled services
}

const (
	startTimeout = 20 * time.Second
	// recoverySample is how long clients go on after the recovery time, so that recovery is judged on several hundred requests.
	recoverySample = 3 * time.Second
)

// Run runs the soak test with one seed and returns the promises that were not kept.
func Run(ctx context.Context, o Options) ([]Finding, error) {
	for _, kind := range o.Only {
		if kinds[kind] == nil {
			return nil, trace.BadParameter("no kind of fault is named %q", kind)
		}
	}
	plan := newPlan(o.Seed, o.For, o.Only)
	o.scales = slices.ContainsFunc(plan, func(f fault) bool { return f.kind == capacityKind })
	fl, err := newFleet(o)
	defer fl.close()
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fl.waitReady(starting); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { fl.runClient(traffic, i) })
	}
	fl.injectFaults(plan)
	fl.observed.mu.Lock()
	fl.observed.faultsEnded = time.Now()
	fl.observed.mu.Unlock()
	select {
	case <-time.After(recoverWithin + recoverySample):
	case <-ctx.Done():
	}
	stop()
	clients.Wait()
	time.Sleep(timedMargin) // lets the runs of the last requests end
	fl.judgeMemory()
	if fl.capacity != nil {
		fl.observed.capacityBreaches = fl.capacity.api.Breaches()
	}
	findings := fl.observed.judge(o.Timed)
	fl.printSummary(o.Output, plan)
	return findings, trace.Wrap(ctx.Err())
}

// classes are the kinds of requests, by the first part of their path.
var classes = []string{"once", "read", "stream", "resume", "moving"}

// runClient sends requests as the users' clients do, until ctx ends. It caches the directory's answers (every second client for three times
// their time to live) and uses a connection until it is closed or its address is missing from the last answer.
func (fl *fleet) runClient(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(number)))
	zone := zoneOf(number)
	var addresses []string
	var expiry time.Time
	var conn *standin.Conn
	var entry *entryVM
	closeConn := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn, entry = nil, nil
	}
	defer closeConn()
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(expiry) {
			if resolved, ttl := fl.resolve(ctx, rng, zone); len(resolved) > 0 {
				addresses, expiry = resolved, time.Now().Add(ttl*time.Duration(1+2*(number%2)))
			}
		}
		// One client in four ignores the directory and keeps its connection until the process ends.
		if entry != nil && number%4 != 3 && !slices.Contains(addresses, fl.address(entry, portCallers)) {
			closeConn()
		}
		if conn == nil && len(addresses) > 0 {
			entry = fl.entryByAddress(addresses[rng.IntN(len(addresses))])
			var err error
			if conn, err = standin.Dial(ctx, entry.callers.address()); err != nil {
				conn = nil
			}
		}
		if conn == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		class := classes[rng.IntN(len(classes))]
		a := standin.Attempt{
			ID: fmt.Sprintf("%s-%d-%d", class, number, n), Host: host, Path: "/" + class + "/x", Deadline: clientDeadline,
			Streams: class == "stream" || class == "resume",
		}
		if rng.IntN(20) == 0 {
			a.LeaveAfter = time.Duration(5+rng.IntN(60)) * time.Millisecond // early in the work of a slow request
		}
		began := time.Now()
		o := fl.call(conn, entry, class, a)
		if class == "resume" && brokenOff(&o) {
			fl.takeUp(ctx, rng, o, began)
		}
		if !o.Reusable || rng.IntN(30) == 0 {
			closeConn()
		}
		time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
	}
}

// call makes an attempt and records its outcome.
func (fl *fleet) call(conn *standin.Conn, e *entryVM, class string, a standin.Attempt) standin.Outcome {
	began := time.Now()
	o := conn.Do(a)
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.calls = append(fl.observed.calls, call{Outcome: o, entry: e, class: class, began: began})
	return o
}

func (fl *fleet) entryByAddress(address string) *entryVM {
	for _, e := range fl.entries {
		if fl.address(e, portCallers) == address {
			return e
		}
	}
	fl.report("directories name entry VMs", address)
	return fl.entries[0]
}

// resolve queries up to three random directories and returns the first non-empty answer with its time to live.
func (fl *fleet) resolve(ctx context.Context, rng *rand.Rand, zone string) ([]string, time.Duration) {
	for range 3 {
		e := fl.entries[rng.IntN(len(fl.entries))]
		if addresses, ttl, err := standin.Resolve(ctx, fl.address(e, portDirectory), host, zone); err == nil && len(addresses) > 0 {
			return addresses, ttl
		}
	}
	return nil, 0
}

// printSummary prints the number of faults, and of requests by class and outcome.
func (fl *fleet) printSummary(out io.Writer, plan []fault) {
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fmt.Fprintf(out, "seed %d: %d faults, %d requests", fl.options.Seed, len(plan), len(fl.observed.calls))
	type classCounts struct{ asked, served, refused, failed, left int }
	counts := map[string]*classCounts{}
	longest := time.Duration(0)
	for i := range fl.observed.calls {
		c := &fl.observed.calls[i]
		s := counts[c.class]
		if s == nil {
			s = &classCounts{}
			counts[c.class] = s
		}
		s.asked++
		longest = max(longest, c.Ended.Sub(c.began))
		switch {
		case c.Disconnected:
			s.left++
		case c.Status == http.StatusOK && c.Whole:
			s.served++
		case c.Status == http.StatusServiceUnavailable:
			s.refused++
		default:
			s.failed++
		}
	}
	for _, class := range append(slices.Clone(classes), slowClass, uploadClass) {
		if s := counts[class]; s != nil {
			fmt.Fprintf(out, "; %s %d served, %d refused, %d failed, %d left", class, s.served, s.refused, s.failed, s.left)
		}
	}
	for _, r := range fl.observed.reclaims {
		fmt.Fprintf(out, "; taken away in %s %v with %d runs, ordered in their place %v", r.zone, r.lost, fl.observed.brokenRuns(r), fl.observed.replacements(r))
	}
	fmt.Fprintf(out, "; longest %s, most memory %d MB\n", longest.Round(time.Millisecond), fl.peakBytes>>20)
}
