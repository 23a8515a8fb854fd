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

// parent answers the fetches of another node and keeps the size of the last answer.
type parent struct {
	node  *configuration.Node
	bytes int
}

// Fetch implements configuration.Fetcher.
func (p *parent) Fetch(ctx context.Context, _ membership.Member, r configuration.FetchRequest) (configuration.FetchAnswer, error) {
	a, err := p.node.Serve(ctx, r)
	if err != nil {
		return a, err
	}
	raw, err := topo.Encode(a)
	p.bytes = len(raw)
	return a, err
}

// setup returns a configuration with accounts and upstreams in the proportion of the full size.
func setup(items int) topo.Configuration {
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

// follower returns a node below another one in the tree of its data centre.
func follower(store store.Store, p *parent) *configuration.Node {
	members := []membership.Member{{Name: "a", DataCentre: "dc", State: membership.Alive}, {Name: "b", DataCentre: "dc", State: membership.Alive}}
	for _, self := range members {
		n := configuration.New(configuration.Options{Store: store, Members: &list{self, members}, Fetcher: p, Name: self.Name, Seed: 1})
		if at, _ := n.Step(context.Background()); at == 1 {
			return n
		}
	}
	return nil
}

// probeConfiguration measures a node of the fan-out by accounts and upstreams: memory, the first load, and a change of one account.
func probeConfiguration(ctx context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "configuration fan-out", Cost: cost, Unit: unit, By: "accounts and upstreams", Full: FullAccounts + FullServers}
	}
	memory, load, change := of("memory", "B"), of("first_load_bytes", "B"), of("change_bytes", "B")
	merge, serve := of("change_cpu", "s"), of("serve_change_cpu", "s")
	for _, items := range []int{1000, 5000, FullAccounts + FullServers} {
		store := emulator.New(emulator.Options{})
		p := &parent{node: configuration.New(configuration.Options{Store: store, Name: "first", Seed: 2})}
		if _, err := p.node.Apply(ctx, "first", setup(items)); err != nil {
			return nil, err
		}
		n, bytes := held(func() *configuration.Node { return follower(store, p) })
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
			at, err := n.Step(ctx)
			took += processorTime() - began
			if err != nil || at != 1 || n.Revision() != p.node.Revision() {
				return nil, fmt.Errorf("configuration: revision %d, not %d, from the parent: %v", n.Revision(), p.node.Revision(), err)
			}
		}
		merge.add(items, took.Seconds()/changes)
		change.add(items, float64(p.bytes))
		have := configuration.FetchRequest{Have: p.node.Revision() - 1}
		serve.add(items, cpu(func() { _, err = p.node.Serve(ctx, have) }))
		if err != nil {
			return nil, err
		}
	}
	return []Series{memory, load, change, merge, serve}, nil
}

// virtual is a clock that the measurement moves.
type virtual struct{ now time.Time }

func (v *virtual) Now() time.Time                                 { return v.now }
func (v *virtual) Sleep(_ context.Context, d time.Duration) error { v.now = v.now.Add(d); return nil }

// probeLeases measures three entry VMs that keep all leases, by groups, over a minute of virtual time.
func probeLeases(ctx context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "lease holder", Cost: cost, Unit: unit, By: "groups", Full: lease.DefaultGroups}
	}
	reads, writes, used := of("reads_per_s", "reads/s"), of("writes_per_s", "writes/s"), of("cpu_per_s", "s/s")
	for _, groups := range []int{32, 64, 128} {
		clock := &virtual{now: time.Now()}
		store := emulator.New(emulator.Options{Clock: clock})
		members := fleet(3)
		var vms []*lease.Manager
		for i, m := range members {
			vms = append(vms, lease.New(lease.Options{Store: store, Members: &list{m, members}, Name: m.Name, Incarnation: 1, Groups: groups,
				Clock: clock, Seed: uint64(i + 1)}))
		}
		due := make([]time.Time, len(vms))
		run := func(d time.Duration) {
			for end := clock.now.Add(d); clock.now.Before(end); {
				next := 0
				for i := range due {
					if due[i].Before(due[next]) {
						next = i
					}
				}
				if due[next].After(clock.now) {
					clock.now = due[next]
				}
				due[next] = clock.now.Add(max(vms[next].Step(ctx), time.Millisecond))
			}
		}
		run(time.Minute)
		before, began := store.Counts(), processorTime()
		const d = time.Minute
		run(d)
		after := store.Counts()
		kept := 0
		for _, vm := range vms {
			kept += len(vm.Groups())
		}
		if kept != groups {
			return nil, fmt.Errorf("lease: %d of %d groups have a holder", kept, groups)
		}
		used.add(groups, (processorTime()-began).Seconds()/d.Seconds())
		reads.add(groups, float64(after.Reads-before.Reads)/d.Seconds())
		writes.add(groups, float64(after.Writes-before.Writes)/d.Seconds())
	}
	return []Series{reads, writes, used}, nil
}

// putCounter counts the bytes of the writes.
type putCounter struct {
	store.Store
	bytes atomic.Int64
}

// Put implements store.Store.
func (s *putCounter) Put(ctx context.Context, o store.Object) (uint64, error) {
	s.bytes.Add(int64(len(o.Value)))
	return s.Store.Put(ctx, o)
}

// probeClaims measures bookings that arrive together: store writes, processor time, bytes in the store and memory of the guard.
func probeClaims(ctx context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "booking claims", Cost: cost, Unit: unit, By: "bookings together"}
	}
	writes, used, stored, memory := of("writes", "writes"), of("cpu", "s"), of("store_bytes", "B"), of("memory", "B")
	put := of("written_bytes", "B")
	for _, n := range []int{125, 500, 2000} {
		store := &putCounter{Store: emulator.New(emulator.Options{})}
		members := fleet(1)
		began := processorTime()
		guard, err := claims.New(claims.Options{Store: store, Members: &list{members[0], members}, Boot: 1})
		if err != nil {
			return nil, err
		}
		inner, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- guard.Run(inner) }()
		errs := make(chan error, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				g, _, err := guard.Begin(inner, "c", fmt.Sprint("key-", i), 1)
				if err != nil {
					errs <- err
					return
				}
				g.Finish(&claims.Answer{Status: 200, Body: make([]byte, 200)})
			})
		}
		wg.Wait()
		cancel() // Run records what is queued, and ends
		<-done
		if len(errs) > 0 {
			return nil, <-errs
		}
		used.add(n, (processorTime() - began).Seconds())
		writes.add(n, float64(store.Store.(*emulator.Store).Counts().Writes))
		put.add(n, float64(store.bytes.Load()))
		both := heap()
		runtime.KeepAlive(guard)
		guard = nil
		memory.add(n, both-heap())
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
	return []Series{writes, used, stored, put, memory}, nil
}

// probeMetrics measures latency histograms as the gateway keeps them, by callers with one of their own.
func probeMetrics(context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "metrics", Cost: cost, Unit: unit, By: "callers and classes", Full: FullAccounts}
	}
	memory, bytes, used := of("memory", "B"), of("scrape_bytes", "B"), of("scrape_cpu", "s")
	for _, n := range []int{200, 2000, FullAccounts} {
		set, size := held(func() *metrics.Set {
			set := metrics.NewSet()
			for i := range n {
				set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`bergamot_gateway_request_seconds{caller="account-%05d"}`, i)).Update(0.1)
			}
			return set
		})
		memory.add(n, size)
		var count size64
		set.WritePrometheus(&count)
		bytes.add(n, float64(count))
		used.add(n, cpu(func() { set.WritePrometheus(io.Discard) }))
	}
	return []Series{memory, bytes, used}, nil
}

// size64 counts what is written to it.
type size64 int64

func (s *size64) Write(b []byte) (int, error) {
	*s += size64(len(b))
	return len(b), nil
}
