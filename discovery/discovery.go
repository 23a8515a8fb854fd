// Package discovery tracks the state of each upstream as observed by this entry VM.
//
// Signals come from the configuration, the platform's VM list, this VM's health checks, marks broadcast by peers and the
// upstream's own answers.
// Invariants: an upstream gets no new work later than 3 s after the first signal from any source; an unreachable upstream
// is uncertain, not gone; signals other than the upstreams' own answers and the configuration never exclude more than half
// of a fleet.
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

// EventKind is the kind of the membership events by which entry VMs mark an upstream as leaving.
const EventKind = "upstream_mark"

// Health is the outcome of one check or attempt.
type Health struct {
	Reachable bool
	Leaving   bool // as reported by the upstream itself
}

// Options configure a Tracker.
type Options struct {
	Members membership.List
	Source  configuration.Source // provides the upstreams
	VMs     func(context.Context) ([]store.VM, error)
	// Check checks the health of an upstream. It must return when the context ends.
	Check func(context.Context, topo.Upstream) Health
	// Subset limits the checks to the upstreams that this VM uses; nil: all.
	Subset          func(upstream string) bool
	ChecksPerSecond int // 0: DefaultChecksPerSecond
	Now             func() time.Time
	Log             *zap.Logger
}

// Defaults and intervals.
const (
	// DefaultChecksPerSecond suffices to check each of 13 upstreams, today's number, every second. At full size 4 a second
	// suffice: 2,200 VMs then check each of 10,000 upstreams about once a second.
	DefaultChecksPerSecond = 16
	checkTimeout           = 800 * time.Millisecond
	checkInterval          = time.Second
	listInterval           = time.Second
	idleListInterval       = 5 * time.Minute // for VMs that are not list watchers
	listWatchers           = 2               // in each data centre
	// listBytesPerSecond bounds the average rate of reading the list; an entry takes about listEntryBytes.
	listBytesPerSecond = 1000
	listEntryBytes     = 100
	smallListEntries   = 64 // lists up to this size are read every listInterval
	statusInterval     = 500 * time.Millisecond
)

// Tracker holds the state of the upstreams.
type Tracker struct {
	o  Options
	mu sync.RWMutex

	upstreams map[string]*evidence
	observers map[int]func(Status)
	nextID    int
	changes   []Status
	wake      chan struct{}
	cursor    int
	listSize  int // entries in the latest VM list

	marksSent   *metrics.Counter
	heldSignals *metrics.Counter
}

// New returns a tracker. It follows the configuration while Run is running.
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
	t := &Tracker{o: o, upstreams: map[string]*evidence{}, observers: map[int]func(Status){}, wake: make(chan struct{}, 1),
		marksSent:   metrics.GetOrCreateCounter("bergamot_discovery_marks_total"),
		heldSignals: metrics.GetOrCreateCounter("bergamot_discovery_held_signs_total")}
	o.Members.Handle(EventKind, t.peerMark)
	return t, nil
}

// Accepting reports whether the upstream may get new work. It returns false for unknown upstreams.
func (t *Tracker) Accepting(upstream string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.upstreams[upstream]
	return ok && e.status.State == Accepting
}

// Status returns the state of one upstream.
func (t *Tracker) Status(upstream string) (Status, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.upstreams[upstream]
	if !ok {
		return Status{}, false
	}
	return e.status, true
}

// Statuses returns the state of all upstreams, sorted by name.
func (t *Tracker) Statuses() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Status, 0, len(t.upstreams))
	for _, e := range t.upstreams {
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

// SetUpstreams sets the upstreams of a configuration. It keeps the evidence of those that remain.
func (t *Tracker) SetUpstreams(us []topo.Upstream) {
	t.update(func(time.Time) {
		next := make(map[string]*evidence, len(us))
		for _, u := range us {
			e := t.upstreams[u.Name]
			if e == nil {
				e = &evidence{status: Status{Upstream: u.Name}}
			}
			if e.spec.Address != u.Address {
				e.failures, e.selfReportedAt = 0, time.Time{} // the evidence was about the old address
			}
			e.spec = u
			next[u.Name] = e
		}
		t.upstreams = next
	})
}

// Report records the health of an upstream from a check, an attempt or a load report.
func (t *Tracker) Report(upstream string, h Health) {
	if h == (Health{Reachable: true}) && t.isHealthy(upstream) {
		return // the usual case; recomputing all statuses on each request would be expensive
	}
	send := false
	t.update(func(now time.Time) {
		e := t.upstreams[upstream]
		if e == nil {
			return
		}
		if !h.Reachable {
			if e.failures == 0 {
				e.firstFailureAt = now
			}
			e.failures++
			return
		}
		e.failures = 0
		if !h.Leaving {
			e.selfReportedAt = time.Time{}
			return
		}
		if e.selfReportedAt.IsZero() {
			e.selfReportedAt = now
		}
		send = e.startBroadcast(now)
	})
	if send {
		t.broadcast(upstream)
	}
}

func (t *Tracker) isHealthy(upstream string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.upstreams[upstream]
	return e != nil && e.failures == 0 && e.selfReportedAt.IsZero()
}

// startBroadcast reports whether this VM must broadcast a mark now, because neither it nor a peer has done so recently. If
// so, it records the broadcast.
func (e *evidence) startBroadcast(now time.Time) bool {
	if now.Sub(e.broadcastAt) < markRepeatInterval || now.Sub(e.peerMarkAt) < markRepeatInterval {
		return false
	}
	e.broadcastAt = now
	return true
}

// MarkLeaving marks an upstream as leaving, for example on request of an operator, and broadcasts the mark to the peers.
func (t *Tracker) MarkLeaving(upstream string) {
	t.Report(upstream, Health{Reachable: true, Leaving: true})
}

func (t *Tracker) broadcast(upstream string) {
	t.marksSent.Inc()
	if err := t.o.Members.Broadcast(EventKind, []byte(upstream)); err != nil {
		t.o.Log.Warn("mark not sent", zap.String("upstream", upstream), zap.Error(err))
	}
}

func (t *Tracker) peerMark(ev membership.Event) {
	t.update(func(now time.Time) {
		e := t.upstreams[string(ev.Payload)]
		if e == nil {
			return
		}
		if now.Sub(e.peerMarkAt) >= peerMarkTTL {
			e.firstPeerMarkAt = now
		}
		e.peerMarkAt = now
	})
}

// SetVMList evaluates the platform's VM list. An upstream that is missing from it is not marked, since the list lags and
// new VMs appear late.
func (t *Tracker) SetVMList(vms []store.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Upstream && vm.State == store.VMLeaving {
			leaving[vm.Name], leaving[vm.Address] = true, true
		}
	}
	var send []string
	t.update(func(now time.Time) {
		t.listSize = len(vms)
		for name, e := range t.upstreams {
			host, _, err := net.SplitHostPort(e.spec.Address)
			marked := leaving[name] || err == nil && host != "" && leaving[host] && !net.ParseIP(host).IsLoopback()
			if !marked {
				e.listedAt = time.Time{}
				continue
			}
			if e.listedAt.IsZero() {
				e.listedAt = now
			}
			if e.startBroadcast(now) {
				send = append(send, name)
			}
		}
	})
	slices.Sort(send)
	for _, name := range send {
		t.broadcast(name)
	}
}

// update changes the evidence with f, recomputes all statuses and queues the changes for the observers.
func (t *Tracker) update(f func(now time.Time)) {
	now := t.o.Now()
	t.mu.Lock()
	f(now)
	for _, s := range computeStatuses(now, t.upstreams) {
		e := t.upstreams[s.Upstream]
		if e.status.State != s.State || e.status.Held != s.Held {
			t.changes = append(t.changes, s)
			if s.Held {
				t.heldSignals.Inc()
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
