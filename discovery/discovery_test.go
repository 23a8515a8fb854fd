package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// fakeBus delivers the events of trackers to all trackers after a delay.
type fakeBus struct {
	mu       sync.Mutex
	handlers []func(membership.Event)
	sent     int
	dead     bool
}

type fakeMembers struct {
	membership.List
	bus  *fakeBus
	self membership.Member
	all  []membership.Member
}

func (l *fakeMembers) Self() membership.Member      { return l.self }
func (l *fakeMembers) Members() []membership.Member { return l.all }
func (l *fakeMembers) Handle(_ string, f func(membership.Event)) {
	l.bus.mu.Lock()
	defer l.bus.mu.Unlock()
	l.bus.handlers = append(l.bus.handlers, f)
}
func (l *fakeMembers) Broadcast(kind string, payload []byte) error {
	l.bus.mu.Lock()
	defer l.bus.mu.Unlock()
	l.bus.sent++
	if l.bus.dead {
		return nil
	}
	for _, f := range l.bus.handlers {
		time.AfterFunc(time.Second, func() { f(membership.Event{Kind: kind, Payload: payload}) })
	}
	return nil
}

// environment is the state that the trackers observe.
type environment struct {
	mu     sync.Mutex
	vms    []store.VM
	down   bool // reads of the VM list fail
	health map[string]Health
	reads  map[string]int // reads of the VM list by VM
}

func (w *environment) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func engines(n int) []topo.Upstream {
	var us []topo.Upstream
	for i := range n {
		us = append(us, topo.Upstream{Name: fmt.Sprint("e", i), Kind: topo.KindEngine, Models: []string{"m"},
			Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "dc"})
	}
	return us
}

// withTrackers runs f on virtual time with n trackers of 9 engines. Checks fail until health is set.
func withTrackers(t *testing.T, n int, f func(t *testing.T, w *environment, b *fakeBus, ts []*Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, b := &environment{health: map[string]Health{}, reads: map[string]int{}}, &fakeBus{}
		var all []membership.Member
		for i := range n {
			all = append(all, membership.Member{Name: fmt.Sprint("vm", i), DataCentre: "dc", Cores: 1})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var ts []*Tracker
		for _, m := range all {
			tr, err := New(Options{Members: &fakeMembers{bus: b, self: m, all: all},
				VMs: func(context.Context) ([]store.VM, error) {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.reads[m.Name]++
					if w.down {
						return nil, errors.New("store down")
					}
					return w.vms, nil
				},
				Check: func(_ context.Context, u topo.Upstream) Health {
					w.mu.Lock()
					defer w.mu.Unlock()
					return w.health[u.Name]
				}})
			if err != nil {
				t.Fatal(err)
			}
			tr.SetUpstreams(engines(9))
			ts = append(ts, tr)
			running.Go(func() { _ = tr.Run(ctx) })
		}
		for _, u := range engines(9) {
			w.set(func() { w.health[u.Name] = Health{Reachable: true} })
		}
		time.Sleep(3100 * time.Millisecond)
		f(t, w, b, ts)
		cancel()
		running.Wait()
	})
}

func acceptingCount(tr *Tracker) (n int) {
	for _, s := range tr.Statuses() {
		if s.State == Accepting {
			n++
		}
	}
	return n
}

// Guards against new work for an upstream more than 3 s after the first signal, for each source of signals.
func TestNoNewWorkAfterThreeSeconds(t *testing.T) {
	signs := map[string]func(w *environment, ts []*Tracker){
		"vm list": func(w *environment, _ []*Tracker) {
			w.vms = []store.VM{{Name: "e1", Upstream: true, State: store.VMLeaving}}
		},
		"own answer": func(w *environment, _ []*Tracker) { w.health["e1"] = Health{Reachable: true, Leaving: true} },
		"own check":  func(w *environment, _ []*Tracker) { w.health["e1"] = Health{} },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			withTrackers(t, 5, func(t *testing.T, w *environment, _ *fakeBus, ts []*Tracker) {
				is := is.New(t)
				is.True(ts[0].Accepting("e1"))
				w.set(func() { sign(w, ts) })
				time.Sleep(3 * time.Second)
				for _, tr := range ts {
					is.True(!tr.Accepting("e1"))
					is.Equal(acceptingCount(tr), 8)
				}
			})
		})
	}
	t.Run("traffic at one VM", func(t *testing.T) {
		withTrackers(t, 5, func(t *testing.T, _ *environment, _ *fakeBus, ts []*Tracker) {
			ts[2].MarkLeaving("e1")
			time.Sleep(1100 * time.Millisecond)
			is.New(t).True(!ts[4].Accepting("e1")) // by the peer's mark
		})
	})
}

// Guards against an upstream that stays excluded for ever after it was unreachable for a while or was replaced.
func TestUncertainComesBack(t *testing.T) {
	withTrackers(t, 2, func(t *testing.T, w *environment, _ *fakeBus, ts []*Tracker) {
		is := is.New(t)
		w.set(func() { w.health["e1"] = Health{} })
		time.Sleep(10 * time.Minute)
		s, ok := ts[0].Status("e1")
		is.True(ok)
		is.Equal(s.State, Uncertain)
		w.set(func() { w.health["e1"] = Health{Reachable: true, Leaving: true} })
		time.Sleep(2 * time.Second)
		s, _ = ts[0].Status("e1")
		is.Equal(s.State, Leaving)
		w.set(func() { w.health["e1"] = Health{Reachable: true} }) // replaced under the same name
		time.Sleep(peerMarkTTL + markRepeatInterval + 2*time.Second)
		is.Equal(acceptingCount(ts[0]), 9)
		is.Equal(acceptingCount(ts[1]), 9)
	})
}

// Guards against one faulty source that excludes a whole fleet: the VM list, a peer, or this VM's own network.
func TestBadSignalCannotDrainTheFleet(t *testing.T) {
	bad := map[string]func(w *environment, b *fakeBus, ts []*Tracker){
		"vm list": func(w *environment, _ *fakeBus, _ []*Tracker) {
			for _, u := range engines(9) {
				w.vms = append(w.vms, store.VM{Name: u.Name, Upstream: true, State: store.VMLeaving})
			}
		},
		"peer": func(_ *environment, b *fakeBus, _ []*Tracker) {
			for _, u := range engines(9) {
				_ = (&fakeMembers{bus: b}).Broadcast(EventKind, []byte(u.Name))
			}
		},
		"own network": func(w *environment, _ *fakeBus, _ []*Tracker) { clear(w.health) },
	}
	for name, signal := range bad {
		t.Run(name, func(t *testing.T) {
			withTrackers(t, 3, func(t *testing.T, w *environment, b *fakeBus, ts []*Tracker) {
				is := is.New(t)
				w.set(func() { signal(w, b, ts) })
				time.Sleep(10 * time.Second)
				is.Equal(acceptingCount(ts[0]), 5)
				w.set(func() { // the upstreams' own reports are followed without a limit
					for _, u := range engines(9) {
						w.health[u.Name] = Health{Reachable: true, Leaving: true}
					}
				})
				time.Sleep(3 * time.Second)
				is.Equal(acceptingCount(ts[0]), 0)
			})
		})
	}
}

// Guards against marks and list reads that grow with the number of VMs or are repeated too often.
func TestMarksAndReadsAreFew(t *testing.T) {
	withTrackers(t, 20, func(t *testing.T, w *environment, b *fakeBus, ts []*Tracker) {
		is := is.New(t)
		w.set(func() {
			w.vms = []store.VM{{Name: "e1", Upstream: true, State: store.VMLeaving}}
			clear(w.reads)
		})
		time.Sleep(time.Minute)
		readers := 0
		w.set(func() {
			for _, n := range w.reads {
				if n > 5 {
					readers++
				}
			}
		})
		is.Equal(readers, listWatchers)
		b.mu.Lock()
		defer b.mu.Unlock()
		is.True(b.sent <= 2*(60/int(markRepeatInterval.Seconds())+1))
	})
}

// Guards against a tracker that loses the state of its upstreams when the configuration changes or the store is down.
func TestConfigurationChange(t *testing.T) {
	withTrackers(t, 1, func(t *testing.T, w *environment, _ *fakeBus, ts []*Tracker) {
		is := is.New(t)
		w.set(func() { w.down = true })
		us := append(engines(9), topo.Upstream{Name: "e9", Kind: topo.KindEngine, Models: []string{"m"}, State: topo.UpstreamDraining})
		var received []Status
		ts[0].Subscribe(func(s Status) { received = append(received, s) })
		ts[0].MarkLeaving("e1")
		ts[0].SetUpstreams(us)
		synctest.Wait()
		is.True(!ts[0].Accepting("e1"))
		is.True(!ts[0].Accepting("e9"))
		is.True(!ts[0].Accepting("unknown"))
		is.Equal(len(received), 2) // e1 by its mark and e9 by the configuration
	})
}

// Guards against weak signals that exclude more than half of a fleet, and against a strong signal that is not followed.
func TestJudgeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		all := map[string]*evidence{}
		for i := range rapid.IntRange(1, 12).Draw(t, "upstreams") {
			e := &evidence{spec: topo.Upstream{Kind: topo.KindEngine, Models: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")}}}
			at := now.Add(-time.Duration(rapid.IntRange(1, 50).Draw(t, "age")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "sign") {
			case 1:
				e.selfReportedAt = at
			case 2:
				e.listedAt = at
			case 3:
				e.peerMarkAt, e.firstPeerMarkAt = at, at
			case 4:
				e.failures, e.firstFailureAt = 2, at
			}
			all[fmt.Sprint(i)] = e
		}
		size, weak := map[string]int{}, map[string]int{}
		for _, s := range computeStatuses(now, all) {
			e := all[s.Upstream]
			if !e.selfReportedAt.IsZero() && s.State != Leaving {
				t.Fatal("an upstream's own report was not followed")
			}
			for _, f := range fleets(e.spec) {
				size[f]++
				if s.State != Accepting && e.selfReportedAt.IsZero() {
					weak[f]++
				}
			}
		}
		for f, n := range weak {
			if 2*n > size[f] {
				t.Fatalf("weak signs exclude %d of %d in %s", n, size[f], f)
			}
		}
	})
}
