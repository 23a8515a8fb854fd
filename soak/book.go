package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// book is all that clients and upstreams saw in a run.
type book struct {
	mu       sync.Mutex
	calls    []call
	runs     map[string][]standin.Run // by attempt
	leaving  map[string]time.Time     // upstreams, since when the store says that they leave
	links    map[string][]span        // times in which an upstream or the way to it was disturbed
	ended    map[string][]span        // times in which an upstream that a request ended was away
	quiet503 []quietSpan              // upstreams that asked for quiet
	moves    []move                   // of the moving route
	planned  map[string][]span        // planned stops by entry VM
	findings []Finding
	called   map[*entry]bool // entry VMs that got a call, for judge
	quiet    time.Time       // since when no fault is in force
}

// call is an attempt with the entry VM that got it.
type call struct {
	standin.Outcome
	entry *entry
	class string
	began time.Time
}

// move is a configuration: from a time on, the moving route belongs to a service.
type move struct {
	at      time.Time
	service string
}

// Finding is a promise that was not kept.
type Finding struct{ Promise, What string }

func (w *world) report(promise, what string) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.findings = append(w.book.findings, Finding{promise, what})
}

func (w *world) observe(r standin.Run) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.runs[r.ID] = append(w.book.runs[r.ID], r)
}

func (w *world) leaving(id string) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.leaving[id] = time.Now()
}

// disturbLink notes that an upstream, or the way to it, is disturbed for a time.
func (w *world) disturbLink(n *node, d time.Duration) {
	n.mu.Lock()
	id := n.id
	n.mu.Unlock()
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	now := time.Now()
	w.book.links[id] = append(w.book.links[id], span{now, now.Add(d + timedMargin)})
}

// crashed notes that a request ended an upstream, which is away for a time.
func (b *book) crashed(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.ended[id] = append(b.ended[id], span{now, now.Add(d + timedMargin)})
}

// quietSpan is a time for which an upstream asked for quiet.
type quietSpan struct {
	span
	server string
}

func (b *book) quiets(n *node, d time.Duration) {
	n.mu.Lock()
	id := n.id
	n.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.quiet503 = append(b.quiet503, quietSpan{span{now, now.Add(d)}, id})
}

// reached says that an upstream and the way to it were sound in a time. What was sent before may arrive late, and a closed connection may
// not be noticed.
func (b *book) reached(id string, from, to time.Time) bool {
	return !overlaps(b.links[id], from, to) && !overlaps(b.ended[id], from, to)
}

func (w *world) planned(e *entry, from, to time.Time) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	w.book.planned[e.name] = append(w.book.planned[e.name], span{from, to})
}

// Margins of the timed promises, for a machine that runs many processes at once.
const (
	timedMargin = 500 * time.Millisecond
	leaveWithin = 500 * time.Millisecond // from a client's leaving to the end of its work
	answerLate  = 500 * time.Millisecond // after a route's time limit
	// sameFault is the most that lies between the two notes of one planned stop.
	sameFault = 10 * time.Millisecond
	// least is the share of the last requests that has to be served when the faults have ended long ago.
	least = 0.95
)

// judge checks what was seen. Timed promises are judged only where nothing was disturbed.
func (b *book) judge(timed bool) []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := append([]Finding(nil), b.findings...)
	add := func(promise, format string, args ...any) {
		out = append(out, Finding{promise, fmt.Sprintf(format, args...)})
	}
	began := make(map[string]time.Time, len(b.calls)) // by attempt
	b.called = map[*entry]bool{}
	for i := range b.calls {
		c := &b.calls[i]
		began[c.ID], b.called[c.entry] = c.began, true
		b.judgeAnswer(c, add)
		if timed {
			b.judgeTimes(c, add)
		}
	}
	for id, runs := range b.runs {
		b.judgeRuns(id, runs, began, timed, add)
	}
	b.judgeAsked(add)
	b.judgeCrashes(timed, add)
	b.judgeSigns(timed, add)
	b.judgeRecovery(add)
	return out
}

type adder func(promise, format string, args ...any)

// judgeAnswer holds an answer against what its request asked for and what upstreams did with it.
func (b *book) judgeAnswer(c *call, add adder) {
	if c.Wrong != "" {
		add("answers are whole and their own", "%s at %s (%s): %s", c.ID, c.entry.name, c.class, c.Wrong)
	}
	switch c.Status {
	case http.StatusNotFound:
		add("known routes are served", "%s at %s (%s) got 404", c.ID, c.entry.name, c.class)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		for _, r := range b.runs[c.ID] {
			if !r.Began.IsZero() {
				add("a refused request does not run", "%s at %s (%s) got %d and ran at %s", c.ID, c.entry.name, c.class, c.Status, r.Server)
			}
		}
	}
}

// judgeRuns counts the runs of an attempt. sent is when clients began each attempt.
func (b *book) judgeRuns(id string, runs []standin.Run, sent map[string]time.Time, timed bool, add adder) {
	began := 0
	for _, r := range runs {
		if r.Began.IsZero() {
			continue
		}
		began++
		if at, ok := b.leaving[r.Server]; timed && ok && r.Arrived.Sub(at) > leavingWithin+timedMargin && b.allCalm(at, r.Arrived) &&
			b.reached(r.Server, at, r.Arrived) {
			add("leaving upstreams get no requests", "%s reached %s %s after it was marked", id, r.Server, r.Arrived.Sub(at))
		}
		if timed && strings.HasPrefix(r.Path, "/moving/") {
			at, ok := sent[id]
			if !ok {
				at = r.Arrived // by then the client had sent it
			}
			b.judgeMove(id, r, at, add)
		}
	}
	once := strings.HasPrefix(id, "once") || strings.HasPrefix(id, "stream")
	if once && began > 1 {
		add("requests run once", "%s ran %d times", id, began)
	}
	if strings.HasPrefix(id, "resume") {
		for i, r := range runs {
			if !r.Began.IsZero() && r.After == 0 && i > 0 && !runs[i-1].Began.IsZero() && runs[i-1].Whole {
				add("requests run once", "%s began anew at %s after a complete run at %s", id, r.Server, runs[i-1].Server)
			}
		}
	}
}

// judgeMove holds a run of the moving route against the configurations in force since its request was sent.
func (b *book) judgeMove(id string, r standin.Run, sent time.Time, add adder) {
	allowed := map[string]bool{}
	for i, m := range b.moves {
		last := i == len(b.moves)-1
		if m.at.Before(r.Arrived) && (last || sent.Sub(b.moves[i+1].at) < configWithin+timedMargin) {
			allowed[m.service] = true
		}
	}
	if !allowed[r.Service] && b.reached(r.Server, sent, r.Arrived) && b.allCalm(sent.Add(-configWithin-settleAfter), r.Arrived) {
		add("configurations are in force in time", "%s, sent %s after the last change, ran at %s", id, sent.Sub(b.moves[len(b.moves)-1].at), r.Service)
	}
}

// allCalm says that no entry VM that clients called was disturbed. Which one sent a request on is not known to an upstream.
func (b *book) allCalm(from, to time.Time) bool {
	for e := range b.called {
		if !e.calm(from, to) {
			return false
		}
	}
	return true
}

// judgeTimes checks when an answer came, and that work ends when its client leaves.
func (b *book) judgeTimes(c *call, add adder) {
	if c.Left {
		for _, r := range b.runs[c.ID] {
			late := r.Ended.Sub(c.Ended)
			if !r.Began.IsZero() && !strings.HasPrefix(c.ID, "once") && late > leaveWithin+timedMargin && c.entry.calm(c.began, r.Ended) &&
				b.reached(r.Server, c.began, r.Ended) {
				add("work ends when its client leaves", "%s at %s ran on for %s at %s", c.ID, c.entry.name, late, r.Server)
			}
		}
		return
	}
	if took := c.Ended.Sub(c.began); took > routeTimeout+answerLate+timedMargin && c.entry.calm(c.began, c.Ended) {
		add("answers come within the route's time", "%s at %s (%s) took %s, status %d, error %v", c.ID, c.entry.name, c.class, took, c.Status, c.Err)
	}
	if c.Whole || c.Sent.IsZero() {
		return
	}
	for _, s := range b.planned[c.entry.name] {
		broken := false
		for _, r := range b.runs[c.ID] {
			broken = broken || !r.Whole && !r.Closed && r.Ended.Before(c.Ended.Add(timedMargin)) || !b.reached(r.Server, c.began, c.Ended)
		}
		if c.Ended.After(s.from) && c.Sent.Before(s.to.Add(-stopGrace/6)) && c.Ended.Before(s.to) && len(b.runs[c.ID]) > 0 && !broken && b.onlyPlanned(c, s) {
			add("a planned stop loses no request", "%s at %s (%s): %v after %s", c.ID, c.entry.name, c.class, c.Err, c.Ended.Sub(c.began))
		}
	}
}

// onlyPlanned says that nothing but a planned stop disturbed an entry VM during a call.
func (b *book) onlyPlanned(c *call, s span) bool {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return !slices.ContainsFunc(c.entry.touched, func(t span) bool {
		return t.overlaps(c.began, c.Ended) && t.from.Sub(s.from).Abs() > sameFault
	})
}

// judgeRecovery checks that requests are served when the faults have ended.
func (b *book) judgeRecovery(add adder) {
	asked, served := 0, 0
	for i := range b.calls {
		c := &b.calls[i]
		if b.quiet.IsZero() || c.began.Before(b.quiet.Add(recoverWithin)) || c.Left {
			continue
		}
		asked++
		if c.Status == http.StatusOK && c.Whole {
			served++
		}
	}
	if asked > 0 && float64(served) < least*float64(asked) {
		add("service recovers", "%d of %d requests were served after the faults had ended", served, asked)
	}
}
