package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotcroft.example/bergamot/claims"
	"bergamotcroft.example/bergamot/configuration"
	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// recordingParent answers the fetches of another node and records the size of the last answer.
type recordingParent struct {
	node  *configuration.Node
	bytes int
}

// Fetch implements configuration.Fetcher.
func (p *recordingParent) Fetch(ctx context.Context, _ membership.Member, r configuration.FetchRequest) (configuration.FetchAnswer, error) {
	a, err := p.node.Serve(ctx, r)
	if err != nil {
		return a, err
	}
	raw, err := topo.Encode(a)
	p.bytes = len(raw)
	return a, err
}

// syntheticConfiguration returns a configuration with accounts and upstreams in the proportion of the full size.
func syntheticConfiguration(items int) topo.Configuration {
	c := topo.Configuration{Models: []topo.Model{{Name: "m0"}}, Classes: []topo.Class{{Name: "question"}}}
	c.Upstreams = engines(items * FullServers / (FullServers + FullAccounts))
	for i := range items - len(c.Upstreams) {
		c.Accounts = append(c.Accounts, topo.Account{
			Caller: fmt.Sprintf("account-%05d", i), KeySHA: []string{fmt.Sprintf("%064x", i)}, Priority: i % 4,
			Limits: topo.Limits{RequestsPerSecond: 10, TokensPerSecond: 20000, Concurrent: 8},
		})
	}
	return c
}

// newChild returns a node that has loaded its configuration from p, its parent in the tree of its data centre, or nil if none did.
func newChild(store store.Store, p *recordingParent) *configuration.Node {
	members := []membership.Member{{Name: "a", DataCentre: "dc", State: membership.Alive}, {Name: "b", DataCentre: "dc", State: membership.Alive}}
	for _, self := range members {
		n := configuration.New(configuration.Options{Store: store, Members: &staticMembers{self, members}, Fetcher: p, Name: self.Name, Seed: 1})
		if place, _ := n.Step(context.Background()); place == 1 {
			return n
		}
	}
	return nil
}

// probeConfiguration measures a node of the fan-out by accounts and upstreams: memory, the first load, and a change of one account.
func probeConfiguration(ctx context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "configuration fan-out", Cost: cost, Unit: unit, SizeName: "accounts and upstreams", Full: FullAccounts + FullServers}
	}
	memory, load, change := newSeries("memory", "B"), newSeries("first_load_bytes", "B"), newSeries("change_bytes", "B")
	merge, serve := newSeries("change_cpu", "s"), newSeries("serve_change_cpu", "s")
	for _, items := range []int{1000, 5000, FullAccounts + FullServers} {
		store := emulator.New(emulator.Options{})
		p := &recordingParent{node: configuration.New(configuration.Options{Store: store, Name: "first", Seed: 2})}
		if _, err := p.node.Apply(ctx, "first", syntheticConfiguration(items)); err != nil {
			return nil, err
		}
		n, bytes := buildAndMeasure(func() *configuration.Node { return newChild(store, p) })
		if n == nil || n.Current() == nil {
			return nil, fmt.Errorf("configuration: the node did not load %d items", items)
		}
		memory.add(items, bytes)
		first, err := p.node.Serve(ctx, configuration.FetchRequest{})
		if err != nil {
			return nil, err
		}
		raw, err := topo.Encode(first)
		if err != nil {
			return nil, err
		}
		load.add(items, float64(len(raw)))
		const changes = 5
		var took time.Duration
		for range changes {
			if _, err := p.node.Update(ctx, "next", func(c *topo.Configuration) error { c.Accounts[9].Priority++; return nil }); err != nil {
				return nil, err
			}
			began := processorTime()
			place, err := n.Step(ctx)
			took += processorTime() - began
			if err != nil || place != 1 || n.Revision() != p.node.Revision() {
				return nil, fmt.Errorf("configuration: revision %d, not %d, from the parent: %v", n.Revision(), p.node.Revision(), err)
			}
		}
		merge.add(items, took.Seconds()/changes)
		change.add(items, float64(p.bytes))
		have := configuration.FetchRequest{Have: p.node.Revision() - 1}
		serve.add(items, cpuPerCall(func() { _, err = p.node.Serve(ctx, have) }))
		if err != nil {
			return nil, err
		}
	}
	return []Series{memory, load, change, merge, serve}, nil
}

// virtualClock is a clock that only the measurement advances.
type virtualClock struct{ now time.Time }

func (v *virtualClock) Now() time.Time { return v.now }
func (v *virtualClock) Sleep(_ context.Context, d time.Duration) error {
	v.now = v.now.Add(d)
	return nil
}

// probeLeases measures three entry VMs that hold all leases, by number of groups, over a minute of virtual time.
func probeLeases(ctx context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "lease holder", Cost: cost, Unit: unit, SizeName: "groups", Full: lease.DefaultGroups}
	}
	reads, writes, cpuTime := newSeries("reads_per_s", "reads/s"), newSeries("writes_per_s", "writes/s"), newSeries("cpu_per_s", "s/s")
	for _, groups := range []int{32, 64, 128} {
		clock := &virtualClock{now: time.Now()}
		store := emulator.New(emulator.Options{Clock: clock})
		members := syntheticMembers(3)
		var vms []*lease.Manager
		for i, m := range members {
			vms = append(vms, lease.New(lease.Options{Store: store, Members: &staticMembers{m, members}, Name: m.Name, Incarnation: 1, Groups: groups,
				Clock: clock, Seed: uint64(i + 1)}))
		}
		nextStep := make([]time.Time, len(vms))
		run := func(d time.Duration) {
			for end := clock.now.Add(d); clock.now.Before(end); {
				next := 0
				for i := range nextStep {
					if nextStep[i].Before(nextStep[next]) {
						next = i
					}
				}
				if nextStep[next].After(clock.now) {
					clock.now = nextStep[next]
				}
				nextStep[next] = clock.now.Add(max(vms[next].Step(ctx), time.Millisecond))
			}
		}
		run(time.Minute)
		before, began := store.Counts(), processorTime()
		const d = time.Minute
		run(d)
		after := store.Counts()
		heldGroups := 0
		for _, vm := range vms {
			heldGroups += len(vm.Groups())
		}
		if heldGroups != groups {
			return nil, fmt.Errorf("lease: %d of %d groups have a holder", heldGroups, groups)
		}
		cpuTime.add(groups, (processorTime()-began).Seconds()/d.Seconds())
		reads.add(groups, float64(after.Reads-before.Reads)/d.Seconds())
		writes.add(groups, float64(after.Writes-before.Writes)/d.Seconds())
	}
	return []Series{reads, writes, cpuTime}, nil
}

// putCounter counts the bytes written to a store.
type putCounter struct {
	store.Store
	bytes atomic.Int64
}

// Put implements store.Store.
func (s *putCounter) Put(ctx context.Context, o store.Object) (uint64, error) {
	s.bytes.Add(int64(len(o.Value)))
	return s.Store.Put(ctx, o)
}

// probeClaims measures concurrent bookings: store writes and their bytes, processor time, bytes kept in the store, and memory of the guard.
func probeClaims(ctx context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "booking claims", Cost: cost, Unit: unit, SizeName: "bookings together"}
	}
	writes, cpuTime, stored, memory := newSeries("writes", "writes"), newSeries("cpu", "s"), newSeries("store_bytes", "B"), newSeries("memory", "B")
	put := newSeries("written_bytes", "B")
	for _, n := range []int{125, 500, 2000} {
		store := &putCounter{Store: emulator.New(emulator.Options{})}
		members := syntheticMembers(1)
		began := processorTime()
		guard, err := claims.New(claims.Options{Store: store, Members: &staticMembers{members[0], members}, Boot: 1})
		if err != nil {
			return nil, err
		}
		guardCtx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- guard.Run(guardCtx) }()
		errs := make(chan error, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				g, _, err := guard.Begin(guardCtx, "c", fmt.Sprint("key-", i), 1)
				if err != nil {
					errs <- err
					return
				}
				g.Finish(&claims.Answer{Status: 200, Body: make([]byte, 200)})
			})
		}
		wg.Wait()
		cancel() // Run records the queued outcomes and returns
		<-done
		if len(errs) > 0 {
			return nil, <-errs
		}
		cpuTime.add(n, (processorTime() - began).Seconds())
		writes.add(n, float64(store.Store.(*emulator.Store).Counts().Writes))
		put.add(n, float64(store.bytes.Load()))
		heapWithGuard := liveHeap()
		runtime.KeepAlive(guard)
		guard = nil
		memory.add(n, heapWithGuard-liveHeap())
		objects, _, err := store.List(ctx, topo.KindClaims, "")
		if err != nil {
			return nil, err
		}
		bytes := 0
		for _, o := range objects {
			bytes += len(o.Value)
		}
		stored.add(n, float64(bytes))
	}
	return []Series{writes, cpuTime, stored, put, memory}, nil
}

// probeMetrics measures latency histograms like those of the gateway, by number of callers with their own histogram.
func probeMetrics(context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "metrics", Cost: cost, Unit: unit, SizeName: "callers and classes", Full: FullAccounts}
	}
	memory, bytes, cpuTime := newSeries("memory", "B"), newSeries("scrape_bytes", "B"), newSeries("scrape_cpu", "s")
	for _, n := range []int{200, 2000, FullAccounts} {
		set, size := buildAndMeasure(func() *metrics.Set {
			set := metrics.NewSet()
			for i := range n {
				set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`bergamot_gateway_request_seconds{caller="account-%05d"}`, i)).Update(0.1)
			}
			return set
		})
		memory.add(n, size)
		var count byteCounter
		set.WritePrometheus(&count)
		bytes.add(n, float64(count))
		cpuTime.add(n, cpuPerCall(func() { set.WritePrometheus(io.Discard) }))
	}
	return []Series{memory, bytes, cpuTime}, nil
}

// byteCounter is a writer that counts the bytes written to it.
type byteCounter int64

func (s *byteCounter) Write(b []byte) (int, error) {
	*s += byteCounter(len(b))
	return len(b), nil
}
