// Package soak plays random faults against the real programs, each in a process of its own, and checks their promises from what clients and
// upstreams see. The store, the upstreams and the clients are stand-ins; all connections but those between entry VMs go through proxies.
package soak

import (
	"context"
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
	For     time.Duration // of faults
	Entries int           // entry VMs
	Servers int           // upstreams of each kind
	Clients int
	Only    []string // kinds of faults; empty: all
	Timed   bool     // judge the promises that state a time
	Output  io.Writer
}

const (
	startPatience = 20 * time.Second
	// quietTail is played after the recovery time, so that recovery is judged on some hundred requests.
	quietTail = 3 * time.Second
)

// Run plays one seed and returns what was not kept.
func Run(ctx context.Context, o Options) ([]Finding, error) {
	w, err := newWorld(o)
	defer w.close()
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := w.ready(starting); err != nil {
		return nil, err
	}
	plan := newPlan(o.Seed, o.For, o.Only)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { w.client(traffic, i) })
	}
	w.play(plan)
	w.book.mu.Lock()
	w.book.quiet = time.Now()
	w.book.mu.Unlock()
	select {
	case <-time.After(recoverWithin + quietTail):
	case <-ctx.Done():
	}
	stop()
	clients.Wait()
	time.Sleep(timedMargin) // runs of the last requests end
	w.judgeMemory()
	findings := w.book.judge(o.Timed)
	w.summary(o.Output, plan)
	return findings, trace.Wrap(ctx.Err())
}

// classes are the kinds of requests, by the first part of their path.
var classes = []string{"once", "read", "stream", "resume", "moving"}

// client sends requests as the users' clients do, until ctx ends: it keeps the directory's answers, some three times as long, and uses
// connections until they are closed or their address is gone from the answers.
func (w *world) client(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(w.o.Seed, uint64(number)))
	zone := zoneOf(number)
	var known []string
	var until time.Time
	var conn *standin.Conn
	var at *entry
	drop := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn, at = nil, nil
	}
	defer drop()
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(until) {
			if list, life := w.resolve(ctx, rng, zone); len(list) > 0 {
				known, until = list, time.Now().Add(life*time.Duration(1+2*(number%2)))
			}
		}
		// One in four uses its connection until the process is gone, whatever the directory says.
		if at != nil && number%4 != 3 && !slices.Contains(known, w.at(at, portCallers)) {
			drop()
		}
		if conn == nil && len(known) > 0 {
			at = w.byAddress(known[rng.IntN(len(known))])
			var err error
			if conn, err = standin.Dial(ctx, at.callers.address()); err != nil {
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
			a.Leave = time.Duration(5+rng.IntN(60)) * time.Millisecond // a slow request has most of its work before it then
		}
		o := w.call(conn, at, class, a)
		if !o.KeepsOn || rng.IntN(30) == 0 {
			drop()
		}
		time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
	}
}

// call makes an attempt and notes what came of it.
func (w *world) call(conn *standin.Conn, e *entry, class string, a standin.Attempt) standin.Outcome {
	began := time.Now()
	o := conn.Do(a)
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.calls = append(w.book.calls, call{Outcome: o, entry: e, class: class, began: began})
	return o
}

func (w *world) byAddress(address string) *entry {
	for _, e := range w.entry {
		if w.at(e, portCallers) == address {
			return e
		}
	}
	w.report("directories name entry VMs", address)
	return w.entry[0]
}

// resolve asks up to three directories.
func (w *world) resolve(ctx context.Context, rng *rand.Rand, zone string) ([]string, time.Duration) {
	for range 3 {
		e := w.entry[rng.IntN(len(w.entry))]
		if list, life, err := standin.Resolve(ctx, w.at(e, portDirectory), host, zone); err == nil && len(list) > 0 {
			return list, life
		}
	}
	return nil, 0
}

// summary prints what was injected and what was seen.
func (w *world) summary(out io.Writer, plan []fault) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	fmt.Fprintf(out, "seed %d: %d faults, %d requests", w.o.Seed, len(plan), len(w.book.calls))
	type sum struct{ asked, served, refused, failed, left int }
	sums := map[string]*sum{}
	longest := time.Duration(0)
	for i := range w.book.calls {
		c := &w.book.calls[i]
		s := sums[c.class]
		if s == nil {
			s = &sum{}
			sums[c.class] = s
		}
		s.asked++
		longest = max(longest, c.Ended.Sub(c.began))
		switch {
		case c.Left:
			s.left++
		case c.Status == http.StatusOK && c.Whole:
			s.served++
		case c.Status == http.StatusServiceUnavailable:
			s.refused++
		default:
			s.failed++
		}
	}
	for _, class := range classes {
		if s := sums[class]; s != nil {
			fmt.Fprintf(out, "; %s %d served, %d refused, %d failed, %d left", class, s.served, s.refused, s.failed, s.left)
		}
	}
	fmt.Fprintf(out, "; longest %s, most memory %d MB\n", longest.Round(time.Millisecond), w.peak>>20)
}
