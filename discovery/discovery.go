// Package discovery knows the state of each upstream as this entry VM sees it.
//
// Signs come from the configuration, the platform's VM list, own health checks, peers' marks and the upstream's own answers.
// Invariants: an upstream gets no new work within 3 s of the first sign from any source; an upstream that can't be
// reached is uncertain, not gone; signs other than the upstreams' own answers and the configuration never exclude more than half of a fleet.
package discovery

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// EventKind is the kind of the membership events that carry marks.
const EventKind = "upstream_mark"

// Health is the outcome of one check or attempt.
type Health struct {
	Reachable bool
	Leaving   bool // the upstream's own statement
}

// Options configure a Tracker.
type Options struct {
	Members membership.List
	Source  configuration.Source // which upstreams there are
	VMs     func(context.Context) ([]store.VM, error)
	// Check asks an upstream for its health. It must end with the context.
	Check func(context.Context, topo.Upstream) Health
	// Subset limits the checks to the upstreams that this VM uses; nil: all.
	Subset          func(upstream string) bool
	ChecksPerSecond int // 0: DefaultChecksPerSecond
	Now             func() time.Time
	Log             *zap.Logger
}

// Defaults and intervals.
const (
	// DefaultChecksPerSecond checks each of the about 13 upstreams of today each second. At full size 4 a second are
	// enough: 2,200 VMs then check each of 10,000 upstreams about once a second.
	DefaultChecksPerSecond = 16
	checkTimeout           = 800 * time.Millisecond
	checkInterval          = time.Second
	listInterval           = time.Second
	listIdle               = 5 * time.Minute // of VMs that don't watch the list for others
	listWatchers           = 2               // in each data centre
	// listBytesPerSecond bounds what reading the list costs; an entry takes about listEntryBytes.
	listBytesPerSecond = 1000
	listEntryBytes     = 100
	freeListEntries    = 64 // lists up to this size are read each second
	judgeInterval      = 500 * time.Millisecond
)

// Tracker holds the state of the upstreams.
type Tracker struct {
	o  Options
	mu sync.RWMutex

	all       map[string]*evidence
	observers map[int]func(Status)
	nextID    int
	changes   []Status
	wake      chan struct{}
	cursor    int
	listed    int // entries in the latest list

	marks *metrics.Counter
	held  *metrics.Counter
}

// New returns a tracker. It follows the configuration once Run has begun.
func New(o Options) (*Tracker, error) {
	if o.Members == nil || o.Check == nil {
		return nil, trace.BadParameter("discovery: the member list and the check are required")
	}
	if o.ChecksPerSecond <= 0 {
		o.ChecksPerSecond = DefaultChecksPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	t := &Tracker{o: o, all: map[string]*evidence{}, observers: map[int]func(Status){}, wake: make(chan struct{}, 1),
		marks: metrics.GetOrCreateCounter("bergamot_discovery_marks_total"),
		held:  metrics.GetOrCreateCounter("bergamot_discovery_held_signs_total")}
	o.Members.Handle(EventKind, t.peerMark)
	return t, nil
}

// Accepting says whether the upstream may get new work. Unknown upstreams may not.
func (t *Tracker) Accepting(upstream string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.all[upstream]
	return ok && e.status.State == Accepting
}

// Status returns the state of one upstream.
func (t *Tracker) Status(upstream string) (Status, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.all[upstream]
	if !ok {
		return Status{}, false
	}
	return e.status, true
}

// Statuses returns the state of all upstreams, sorted by name.
func (t *Tracker) Statuses() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Status, 0, len(t.all))
	for _, e := range t.all {
		out = append(out, e.status)
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Upstream < b.Upstream {
			return -1
		}
		return 1
	})
	return out
}

// Subscribe calls f with each changed status, from one goroutine. f must not block.
func (t *Tracker) Subscribe(f func(Status)) (cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.nextID
	t.nextID++
	t.observers[id] = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.observers, id)
	}
}

// SetUpstreams takes the upstreams of a configuration. Evidence is kept for those that remain.
func (t *Tracker) SetUpstreams(us []topo.Upstream) {
	t.update(func(time.Time) {
		next := make(map[string]*evidence, len(us))
		for _, u := range us {
			e := t.all[u.Name]
			if e == nil {
				e = &evidence{status: Status{Upstream: u.Name}}
			}
			if e.spec.Address != u.Address {
				e.failures, e.ownAt = 0, time.Time{} // another process answers there
			}
			e.spec = u
			next[u.Name] = e
		}
		t.all = next
	})
}

// Report notes the health of an upstream from a check, an attempt or a load report.
func (t *Tracker) Report(upstream string, h Health) {
	if h == (Health{Reachable: true}) && t.isWell(upstream) {
		return // the usual case; judging all upstreams anew would cost much on each request
	}
	send := false
	t.update(func(now time.Time) {
		e := t.all[upstream]
		if e == nil {
			return
		}
		if !h.Reachable {
			if e.failures == 0 {
				e.failedAt = now
			}
			e.failures++
			return
		}
		e.failures = 0
		if !h.Leaving {
			e.ownAt = time.Time{}
			return
		}
		if e.ownAt.IsZero() {
			e.ownAt = now
		}
		send = e.shouldSend(now)
	})
	if send {
		t.broadcast(upstream)
	}
}

func (t *Tracker) isWell(upstream string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.all[upstream]
	return e != nil && e.failures == 0 && e.ownAt.IsZero()
}

// shouldSend says whether a mark must be sent, because nobody has sent it lately.
func (e *evidence) shouldSend(now time.Time) bool {
	if now.Sub(e.sentAt) < repeatMark || now.Sub(e.peerAt) < repeatMark {
		return false
	}
	e.sentAt = now
	return true
}

// Mark makes an upstream leave, for example on an operator's wish, and tells the peers.
func (t *Tracker) Mark(upstream string) { t.Report(upstream, Health{Reachable: true, Leaving: true}) }

func (t *Tracker) broadcast(upstream string) {
	t.marks.Inc()
	if err := t.o.Members.Broadcast(EventKind, []byte(upstream)); err != nil {
		t.o.Log.Warn("mark not sent", zap.String("upstream", upstream), zap.Error(err))
	}
}

func (t *Tracker) peerMark(ev membership.Event) {
	t.update(func(now time.Time) {
		e := t.all[string(ev.Payload)]
		if e == nil {
			return
		}
		if now.Sub(e.peerAt) >= peerMarkFor {
			e.peerFrom = now
		}
		e.peerAt = now
	})
}

// SetList takes the platform's VM list. An upstream that is missing from it is not marked: the list lags, and new VMs
// appear late.
func (t *Tracker) SetList(vms []store.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Upstream && vm.State == store.VMLeaving {
			leaving[vm.Name], leaving[vm.Address] = true, true
		}
	}
	var send []string
	t.update(func(now time.Time) {
		t.listed = len(vms)
		for name, e := range t.all {
			host, _, err := net.SplitHostPort(e.spec.Address)
			marked := leaving[name] || err == nil && host != "" && leaving[host] && !net.ParseIP(host).IsLoopback()
			if !marked {
				e.listAt = time.Time{}
				continue
			}
			if e.listAt.IsZero() {
				e.listAt = now
			}
			if e.shouldSend(now) {
				send = append(send, name)
			}
		}
	})
	slices.Sort(send)
	for _, name := range send {
		t.broadcast(name)
	}
}

// update changes evidence and judges it anew.
func (t *Tracker) update(f func(now time.Time)) {
	now := t.o.Now()
	t.mu.Lock()
	f(now)
	for _, s := range judge(now, t.all) {
		e := t.all[s.Upstream]
		if e.status.State != s.State || e.status.Held != s.Held {
			t.changes = append(t.changes, s)
			if s.Held {
				t.held.Inc()
			}
		}
		e.status = s
	}
	pending := len(t.changes) > 0
	t.mu.Unlock()
	if pending {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}
