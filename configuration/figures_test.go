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

// hub joins the nodes of one process with modelled latencies, on the fake time of synctest.
type hub struct {
	mu    sync.Mutex
	rng   *rand.Rand
	seats []*seat
	// Requests of the modelled callers, and those that met an older revision than their caller had seen.
	requests, older int
}

type seat struct {
	hub     *hub
	self    membership.Member
	node    *Node
	paused  atomic.Bool // takes no request; the others still believe it alive
	handler atomic.Pointer[func(membership.Event)]
	at      map[uint64]time.Time
}

func (s *seat) Self() membership.Member                           { return s.self }
func (s *seat) Subscribe(func(membership.Member)) (cancel func()) { return func() {} }
func (s *seat) Handle(_ string, f func(membership.Event))         { s.handler.Store(&f) }

func (s *seat) Members() []membership.Member {
	all := make([]membership.Member, 0, len(s.hub.seats))
	for _, o := range s.hub.seats {
		all = append(all, o.self)
	}
	return all
}

// Broadcast reaches each member at a random time within log2(n) periods of one second, as SWIM spreads an event.
func (s *seat) Broadcast(kind string, payload []byte) error {
	spread := time.Duration(math.Log2(float64(len(s.hub.seats))) * float64(time.Second))
	for _, o := range s.hub.seats {
		if o != s {
			s.hub.mu.Lock()
			d := time.Duration(s.hub.rng.Int64N(int64(spread)))
			s.hub.mu.Unlock()
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
	within  = 500 * time.Microsecond // one way between data centres
	serving = 10 * time.Millisecond  // for an answer, several times what BenchmarkMerge measures
)

func (s *seat) Fetch(ctx context.Context, m membership.Member, r FetchRequest) (FetchAnswer, error) {
	for _, o := range s.hub.seats {
		if o.self.Name != m.Name {
			continue
		}
		if o.paused.Load() {
			<-ctx.Done()
			return FetchAnswer{}, ctx.Err()
		}
		time.Sleep(within)
		a, err := o.node.Serve(ctx, r)
		time.Sleep(within + serving)
		return a, err
	}
	return FetchAnswer{}, store.ErrUnavailable
}

// fleet runs n nodes in data centres.
func fleet(ctx context.Context, wg *sync.WaitGroup, n, centres int, store *emulator.Store) *hub {
	h := &hub{rng: rand.New(rand.NewPCG(uint64(n), 5))}
	for i := range n {
		s := &seat{hub: h, at: map[uint64]time.Time{}}
		s.self = membership.Member{Name: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%centres), State: membership.Alive}
		s.node = New(Options{Store: store, Members: s, Fetcher: s, Name: s.self.Name, Seed: uint64(i + 1)})
		h.seats = append(h.seats, s)
	}
	for _, s := range h.seats {
		cancel := s.node.Subscribe(func(c *topo.Configuration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			s.at[c.Revision] = time.Now()
		})
		wg.Go(func() {
			defer cancel()
			_ = s.node.Run(ctx)
		})
	}
	return h
}

// callers counts the requests that reach a node with an older revision than the same caller has seen: 1,000 callers send one
// request a second, each to any node, which is the worst case, since callers keep an address.
func (h *hub) callers(revision uint64, start time.Time) {
	for range 1000 {
		seen := false
		for t := start; t.Before(start.Add(10 * time.Second)); t = t.Add(time.Duration(h.rng.ExpFloat64() * float64(time.Second))) {
			s := h.seats[h.rng.IntN(len(h.seats))]
			if s.paused.Load() {
				continue
			}
			at := s.at[revision]
			has := !at.IsZero() && !at.After(t)
			h.requests++
			if seen && !has {
				h.older++
			}
			seen = seen || has
		}
	}
}

// spread applies changes and returns the worst time until one was in force on all nodes that run.
func (h *hub) spread(ctx context.Context, t *testing.T, changes int) (worst time.Duration) {
	for range changes {
		time.Sleep(time.Duration(h.rng.Int64N(int64(9 * time.Second))))
		by := h.seats[h.rng.IntN(len(h.seats))]
		for by.paused.Load() {
			by = h.seats[h.rng.IntN(len(h.seats))]
		}
		start := time.Now()
		revision, err := by.node.Apply(ctx, by.self.Name, large(3, 3))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		h.mu.Lock()
		h.callers(revision, start)
		for _, s := range h.seats {
			at, ok := s.at[revision]
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

// Guards against changes that take too long to be in force everywhere: within 3 s on today's fleet, and within 13 s at 2,200 nodes.
// The figures are on modelled latencies and do not contain the time of the network stack.
func TestTimeUntilInForce(t *testing.T) {
	sizes := []struct{ nodes, centres int }{{8, 4}, {32, 4}, {128, 9}}
	var x, y, broken []float64
	for _, size := range sizes {
		var usual, paused time.Duration
		var counts emulator.Counts
		var older [2]float64 // share of requests in the 10 s after a change
		synctest.Test(t, func(t *testing.T) {
			store := emulator.New(emulator.Options{Seed: 1})
			store.SetFaults(emulator.Faults{Delay: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			h := fleet(ctx, &wg, size.nodes, size.centres, store)
			_, err := h.seats[0].node.Apply(ctx, "first", large(2, 2))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
			before := store.Counts()
			time.Sleep(time.Minute)
			counts = store.Counts()
			counts.Reads -= before.Reads
			counts.Watches -= before.Watches
			usual = h.spread(ctx, t, 8)
			older[0] = float64(h.older) / float64(h.requests)
			h.older, h.requests = 0, 0
			for _, s := range h.seats {
				if at, _ := s.node.position(); at == 0 {
					s.paused.Store(true) // the watcher of one data centre
					break
				}
			}
			paused = h.spread(ctx, t, 4)
			older[1] = float64(h.older) / float64(h.requests)
			cancel()
			wg.Wait()
		})
		t.Logf("nodes=%d centres=%d worst_s=%.3f worst_with_a_paused_watcher_s=%.3f at rest: reads_per_s=%.2f watches_per_s=%.2f waiting=%d older_than_seen=%.6f with_a_paused_watcher=%.6f",
			size.nodes, size.centres, usual.Seconds(), paused.Seconds(), float64(counts.Reads)/60, float64(counts.Watches)/60, counts.Watching, older[0], older[1])
		x, y, broken = append(x, math.Log2(float64(size.nodes))), append(y, usual.Seconds()), append(broken, paused.Seconds())
	}
	full := extrapolate(x, y, math.Log2(2200))
	fullBroken := extrapolate(x, broken, math.Log2(2200))
	t.Logf("nodes=2200 fit over log2(nodes): worst_s=%.3f worst_with_a_paused_watcher_s=%.3f", full, fullBroken)
	is := is.New(t)
	is.True(slices.Max(y[:1]) <= 3)
	is.True(full <= 13)
	is.True(fullBroken <= 13)
}

// Guards against a configuration that goes back after a restart: the store is down, the member with the newest revision does not
// answer, and the others were paused when it was accepted.
func TestStaleMajorityConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.New(emulator.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // nothing runs by itself
		var wg sync.WaitGroup
		h := fleet(ctx, &wg, 4, 1, store)
		wg.Wait()
		ctx = t.Context()
		_, err := h.seats[0].node.Apply(ctx, "first", large(1, 1))
		is.NoErr(err)
		is.NoErr(h.seats[2].node.readStore(ctx))
		time.Sleep(time.Minute)
		_, err = h.seats[3].node.Apply(ctx, "second", large(2, 2))
		is.NoErr(err)
		store.SetFaults(emulator.Faults{Down: true})
		h.seats[3].paused.Store(true)
		again := h.seats[1].node
		_, err = again.Step(ctx)
		is.Equal(err, errNoMajority)
		is.Equal(again.Freshness().Certain, false)
		h.seats[3].paused.Store(false)
		_, err = again.Step(ctx)
		is.NoErr(err)
		is.Equal(again.Freshness().Revision, uint64(2))
		is.Equal(again.Freshness().Certain, true)
	})
}

// extrapolate fits a line and returns its value at x0.
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

// BenchmarkMerge measures what a change of one account costs a VM at full size, and the memory of two revisions.
func BenchmarkMerge(b *testing.B) {
	ctx := context.Background()
	n := New(Options{Store: emulator.New(emulator.Options{})})
	if _, err := n.Apply(ctx, "first", large(15000, 10000)); err != nil {
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
	n.now = nil
	before = nil
	a = FetchAnswer{}
	runtime.GC()
	runtime.ReadMemStats(&without)
	b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "held_MB")
}
