package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/topo"
)

// Run follows the configuration, the VM list and the upstreams until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.o.Source != nil {
		cancel := t.o.Source.Subscribe(func(c *topo.Configuration) {
			if c != nil {
				t.SetUpstreams(c.Upstreams)
			}
		})
		defer cancel()
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.checkLoop(ctx) })
	g.Go(func() error { return t.listLoop(ctx) })
	g.Go(func() error { return t.dispatchLoop(ctx) })
	return trace.Wrap(g.Wait())
}

// dispatchLoop calls the observers, and recomputes the statuses periodically, since marks expire.
func (t *Tracker) dispatchLoop(ctx context.Context) error {
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			t.update(func(time.Time) {})
		case <-t.wake:
		}
		t.dispatch()
	}
}

func (t *Tracker) dispatch() {
	t.mu.Lock()
	changes := t.changes
	t.changes = nil
	var fs []func(Status)
	for id := range t.nextID {
		if f, ok := t.observers[id]; ok {
			fs = append(fs, f)
		}
	}
	t.mu.Unlock()
	for _, s := range changes {
		t.o.Log.Info("upstream changed", zap.String("upstream", s.Upstream), zap.Stringer("state", s.State),
			zap.String("source", string(s.Source)), zap.Bool("held", s.Held))
		for _, f := range fs {
			f(s)
		}
	}
}

// checkLoop checks up to ChecksPerSecond upstreams in each interval. It also checks upstreams that are not accepting, since
// they may recover.
func (t *Tracker) checkLoop(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		var wg sync.WaitGroup
		for _, u := range t.nextChecks() {
			wg.Go(func() { t.check(ctx, u) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (t *Tracker) check(ctx context.Context, u topo.Upstream) {
	inner, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	h := t.o.Check(inner, u)
	if ctx.Err() == nil { // ignore a check that shutdown has interrupted
		t.Report(u.Name, h)
	}
}

// nextChecks returns the upstreams to check now, in round-robin order.
func (t *Tracker) nextChecks() []topo.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.upstreams))
	for name, e := range t.upstreams {
		if e.spec.State != topo.UpstreamWithdrawn && (t.o.Subset == nil || t.o.Subset(name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	n := min(t.o.ChecksPerSecond, len(names))
	out := make([]topo.Upstream, 0, n)
	for i := range n {
		out = append(out, t.upstreams[names[(t.cursor+i)%len(names)]].spec)
	}
	if len(names) > 0 {
		t.cursor = (t.cursor + n) % len(names)
	}
	return out
}

// listLoop reads the VM list. listWatchers VMs in each data centre read it often and broadcast marks, so that the number of
// reads does not grow with the fleet.
func (t *Tracker) listLoop(ctx context.Context) error {
	if t.o.VMs == nil {
		return nil
	}
	var readAt time.Time
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		if now := t.o.Now(); readAt.IsZero() || now.Sub(readAt) >= t.listReadInterval() {
			readAt = now
			if vms, err := t.o.VMs(ctx); err == nil {
				t.SetVMList(vms)
			} else {
				t.o.Log.Debug("VM list not read", zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (t *Tracker) listReadInterval() time.Duration {
	t.mu.RLock()
	n := t.listSize
	t.mu.RUnlock()
	d := listInterval
	if n > smallListEntries {
		d = max(d, time.Duration(n)*listEntryBytes*time.Second/listBytesPerSecond)
	}
	if !t.isListWatcher() {
		d = max(d, idleListInterval)
	}
	return d - listInterval/10 // jitter of the ticker must not skip a read
}

// isListWatcher reports whether this VM is one of the listWatchers of its data centre.
func (t *Tracker) isListWatcher() bool {
	self := t.o.Members.Self()
	near := slices.DeleteFunc(t.o.Members.Members(), func(m membership.Member) bool {
		return m.DataCentre != self.DataCentre || m.State != membership.Alive
	})
	return slices.Contains(addresses.HomeGroup(near, "vm-list", listWatchers), self.Name)
}
