package configuration

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// simFleet connects the nodes of one process with modelled latencies, on the fake clock of synctest.
type simFleet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	members []*simMember
	// Requests of the modelled callers, and those that reached a node with an older revision than their caller had seen.
	requests, olderRequests int
}

type simMember struct {
	fleet     *simFleet
	self      membership.Member
	node      *Node
	paused    atomic.Bool // answers no requests, but the others still list it as alive
	handler   atomic.Pointer[func(membership.Event)]
	inForceAt map[uint64]time.Time
}

func (s *simMember) Self() membership.Member                           { return s.self }
func (s *simMember) Subscribe(func(membership.Member)) (cancel func()) { return func() {} }
func (s *simMember) Handle(_ string, f func(membership.Event))         { s.handler.Store(&f) }

func (s *simMember) Members() []membership.Member {
	all := make([]membership.Member, 0, len(s.fleet.members))
	for _, o := range s.fleet.members {
		all = append(all, o.self)
	}
	return all
}

// Broadcast reaches each member after a random time of up to log2(n) seconds, as with SWIM dissemination.
func (s *simMember) Broadcast(kind string, payload []byte) error {
	spread := time.Duration(math.Log2(float64(len(s.fleet.members))) * float64(time.Second))
	for _, o := range s.fleet.members {
		if o != s {
			s.fleet.mu.Lock()
			d := time.Duration(s.fleet.rng.Int64N(int64(spread)))
			s.fleet.mu.Unlock()
			time.AfterFunc(d, func() {
				if f := o.handler.Load(); f != nil && !o.paused.Load() {
					(*f)(membership.Event{Kind: kind, Origin: s.self.Name, Payload: payload})
				}
			})
		}
	}
	return nil
}

const (
	oneWayDelay = 500 * time.Microsecond // between data centres
	answerTime  = 10 * time.Millisecond  // to compute an answer, several times the result of BenchmarkMerge
)

func (s *simMember) Fetch(ctx context.Context, m membership.Member, r FetchRequest) (FetchAnswer, error) {
	for _, o := range s.fleet.members {
		if o.self.Name != m.Name {
			continue
		}
		if o.paused.Load() {
			<-ctx.Done()
			return FetchAnswer{}, ctx.Err()
		}
		time.Sleep(oneWayDelay)
		a, err := o.node.Serve(ctx, r)
		time.Sleep(oneWayDelay + answerTime)
		return a, err
	}
	return FetchAnswer{}, store.ErrUnavailable
}

// startFleet starts n nodes, spread over the data centres.
func startFleet(ctx context.Context, wg *sync.WaitGroup, n, centres int, store *emulator.Store) *simFleet {
	h := &simFleet{rng: rand.New(rand.NewPCG(uint64(n), 5))}
	for i := range n {
		s := &simMember{fleet: h, inForceAt: map[uint64]time.Time{}}
		s.self = membership.Member{Name: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%centres), State: membership.Alive}
		s.node = New(Options{Store: store, Members: s, Fetcher: s, Name: s.self.Name, Seed: uint64(i + 1)})
		h.members = append(h.members, s)
	}
	for _, s := range h.members {
		cancel := s.node.Subscribe(func(c *topo.Configuration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			s.inForceAt[c.Revision] = time.Now()
		})
		wg.Go(func() {
			defer cancel()
			_ = s.node.Run(ctx)
		})
	}
	return h
}

// countOlder counts the requests that reach a node with an older revision than their caller has seen. Of 1,000 callers
// each sends one request a second to a random node. This is the worst case, since real callers keep an address.
func (h *simFleet) countOlder(revision uint64, start time.Time) {
	for range 1000 {
		seen := false
		for t := start; t.Before(start.Add(10 * time.Second)); t = t.Add(time.Duration(h.rng.ExpFloat64() * float64(time.Second))) {
			s := h.members[h.rng.IntN(len(h.members))]
			if s.paused.Load() {
				continue
			}
			at := s.inForceAt[revision]
			has := !at.IsZero() && !at.After(t)
			h.requests++
			if seen && !has {
				h.olderRequests++
			}
			seen = seen || has
		}
	}
}

// worstSpread applies changes and returns the longest time until one was in force on all nodes that are not paused.
func (h *simFleet) worstSpread(ctx context.Context, t *testing.T, changes int) (worst time.Duration) {
	for range changes {
		time.Sleep(time.Duration(h.rng.Int64N(int64(9 * time.Second))))
		by := h.members[h.rng.IntN(len(h.members))]
		for by.paused.Load() {
			by = h.members[h.rng.IntN(len(h.members))]
		}
		start := time.Now()
		revision, err := by.node.Apply(ctx, by.self.Name, largeConfiguration(3, 3))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		h.mu.Lock()
		h.countOlder(revision, start)
		for _, s := range h.members {
			at, ok := s.inForceAt[revision]
			if !ok && !s.paused.Load() {
				t.Errorf("%s never got revision %d", s.self.Name, revision)
			}
			if ok {
				worst = max(worst, at.Sub(start))
			}
		}
		h.mu.Unlock()
	}
	return worst
}

// Guards against changes that take too long to be in force everywhere: within 3 s on today's fleet, and within 13 s at
// 2,200 nodes. The latencies are modelled, so the times do not include the network stack.
func TestTimeUntilInForce(t *testing.T) {
	sizes := []struct{ nodes, centres int }{{8, 4}, {32, 4}, {128, 9}}
	var x, y, pausedWatcher []float64
	for _, size := range sizes {
		var usual, paused time.Duration
		var counts emulator.Counts
		var older [2]float64 // share of requests in the 10 s after a change
		synctest.Test(t, func(t *testing.T) {
			store := emulator.New(emulator.Options{Seed: 1})
			store.SetFaults(emulator.Faults{Delay: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			h := startFleet(ctx, &wg, size.nodes, size.centres, store)
			_, err := h.members[0].node.Apply(ctx, "first", largeConfiguration(2, 2))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
			before := store.Counts()
			time.Sleep(time.Minute)
			counts = store.Counts()
			counts.Reads -= before.Reads
			counts.Watches -= before.Watches
			usual = h.worstSpread(ctx, t, 8)
			older[0] = float64(h.olderRequests) / float64(h.requests)
			h.olderRequests, h.requests = 0, 0
			for _, s := range h.members {
				if at, _ := s.node.treePosition(); at == 0 {
					s.paused.Store(true) // the VM of one data centre that watches the store
					break
				}
			}
			paused = h.worstSpread(ctx, t, 4)
			older[1] = float64(h.olderRequests) / float64(h.requests)
			cancel()
			wg.Wait()
		})
		t.Logf("nodes=%d centres=%d worst_s=%.3f worst_with_a_paused_watcher_s=%.3f at rest: reads_per_s=%.2f watches_per_s=%.2f waiting=%d older_than_seen=%.6f with_a_paused_watcher=%.6f",
			size.nodes, size.centres, usual.Seconds(), paused.Seconds(), float64(counts.Reads)/60, float64(counts.Watches)/60, counts.Watching, older[0], older[1])
		x, y, pausedWatcher = append(x, math.Log2(float64(size.nodes))), append(y, usual.Seconds()), append(pausedWatcher, paused.Seconds())
	}
	full := extrapolate(x, y, math.Log2(2200))
	fullPausedWatcher := extrapolate(x, pausedWatcher, math.Log2(2200))
	t.Logf("nodes=2200 fit over log2(nodes): worst_s=%.3f worst_with_a_paused_watcher_s=%.3f", full, fullPausedWatcher)
	is := is.New(t)
	is.True(slices.Max(y[:1]) <= 3)
	is.True(full <= 13)
	is.True(fullPausedWatcher <= 13)
}

// Guards against a return to an older revision after a restart: the store is down, the member with the newest revision
// does not answer, and the others were paused when it was accepted.
func TestStaleMajorityConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.New(emulator.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // the nodes' own loops don't run
		var wg sync.WaitGroup
		h := startFleet(ctx, &wg, 4, 1, store)
		wg.Wait()
		ctx = t.Context()
		_, err := h.members[0].node.Apply(ctx, "first", largeConfiguration(1, 1))
		is.NoErr(err)
		is.NoErr(h.members[2].node.readStore(ctx))
		time.Sleep(time.Minute)
		_, err = h.members[3].node.Apply(ctx, "second", largeConfiguration(2, 2))
		is.NoErr(err)
		store.SetFaults(emulator.Faults{Down: true})
		h.members[3].paused.Store(true)
		again := h.members[1].node
		_, err = again.Step(ctx)
		is.Equal(err, errNoMajority)
		is.Equal(again.Freshness().AllowsNewWork, false)
		h.members[3].paused.Store(false)
		_, err = again.Step(ctx)
		is.NoErr(err)
		is.Equal(again.Freshness().Revision, uint64(2))
		is.Equal(again.Freshness().AllowsNewWork, true)
	})
}

// extrapolate fits a line to the points by least squares and returns its value at x0.
func extrapolate(x, y []float64, x0 float64) float64 {
	var mx, my, sxy, sxx float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(y))
	}
	for i := range x {
		sxy += (x[i] - mx) * (y[i] - my)
		sxx += (x[i] - mx) * (x[i] - mx)
	}
	return my + sxy/sxx*(x0-mx)
}

// BenchmarkMerge measures the cost of merging a change of one account at full size, and the memory of two revisions.
func BenchmarkMerge(b *testing.B) {
	ctx := context.Background()
	n := New(Options{Store: emulator.New(emulator.Options{})})
	if _, err := n.Apply(ctx, "first", largeConfiguration(15000, 10000)); err != nil {
		b.Fatal(err)
	}
	before, _, _ := n.state()
	if _, err := n.Update(ctx, "second", func(c *topo.Configuration) error { c.Accounts[9].Priority++; return nil }); err != nil {
		b.Fatal(err)
	}
	a, err := n.Serve(ctx, FetchRequest{Have: 1})
	if err != nil {
		b.Fatal(err)
	}
	raw, _ := topo.Encode(a)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := merge(a, before); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "answer_bytes")
	runtime.GC()
	var with, without runtime.MemStats
	runtime.ReadMemStats(&with)
	n.current = nil
	before = nil
	a = FetchAnswer{}
	runtime.GC()
	runtime.ReadMemStats(&without)
	b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "held_MB")
}
