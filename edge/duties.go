package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/usage"
)

const (
	// leaseTerm is above the platform's lease bound, within which the holder must not change: 3 s in current
	// deployments.
	leaseTerm = 10 * time.Second
	// dutyGroup is the only lease group: one entry VM performs all duties.
	dutyGroup = 0
	// handOverMargin covers an order of the previous holder that was still in flight.
	handOverMargin = time.Second
	// leaseCandidates is the number of entry VMs that watch the lease in addition to its holder.
	leaseCandidates = 2
)

// duties holds what the duties of this entry VM share, and those that run only for some configurations.
type duties struct {
	lease    *lease.Manager
	counter  *usage.Counter // nil: usage is not reported
	reporter *usage.Reporter
	// inspected are the duties that operators can ask about; nil until all are built.
	inspected []inspectedDuty

	mu      sync.Mutex
	started bool
	stop    context.CancelFunc
	ended   chan struct{}
}

// buildDuties creates the lease and the duties that run under it.
func (e *Edge) buildDuties() error {
	e.duties.lease = lease.New(lease.Options{
		Store: e.objects, Members: e.list, Name: e.settings.VM, Incarnation: e.boot, Groups: 1, Term: max(leaseTerm, 3*e.settings.Bounds.Lease),
		Candidates: leaseCandidates, Era: e.objects.Era, Clock: store.BootClock{}, Logger: e.log,
	})
	e.addActor("lease", e.duties.lease.Run)
	inspected := []inspectedDuty{{"roles", e.buildRoles().Inspect}, {name: "usage"}, {name: "capacity"}}
	e.buildReporter()
	if e.duties.reporter != nil {
		inspected[1].inspect = e.duties.reporter.Inspect
	}
	control, err := e.buildScaling()
	if err != nil {
		return err
	}
	if control != nil {
		inspected[2].inspect = control.Inspect
	}
	e.duties.inspected = inspected
	return nil
}

// handOverPause is the time from taking over the lease to the first step of a duty.
func (e *Edge) handOverPause() time.Duration { return e.settings.Bounds.Lease + handOverMargin }

// buildCounter creates the counter of usage, and registers the calls that collect from it, where the settings ask for
// reports.
func (e *Edge) buildCounter() {
	d := e.settings.Duties
	if !d.ReportUsage || d.Address == "" {
		return
	}
	counter := usage.NewCounter(usage.CounterOptions{Self: usage.Source{VM: e.settings.VM, Boot: e.boot}, Window: d.UsageWindow})
	e.duties.counter = counter
	e.handlers.CollectUsage = func(_ context.Context, q *peerv1.CollectUsageRequest) (*peerv1.CollectUsageResponse, error) {
		a := &peerv1.CollectUsageResponse{UnixMs: counter.Wall().UnixMilli()}
		if q.GetUnixMs() != 0 {
			a.Sources = sourcesToWire(counter.Collect(q.GetHolder(), time.UnixMilli(q.GetUnixMs()), q.GetFirstWindow(), q.GetLastWindow()))
		}
		return a, nil
	}
	e.handlers.HandOverUsage = func(_ context.Context, q *peerv1.HandOverUsageRequest) (*peerv1.HandOverUsageResponse, error) {
		counter.TakeOver(sourcesFromWire(q.GetSources()))
		return &peerv1.HandOverUsageResponse{}, nil
	}
}

// countUsage counts a request that began to run at a time of store.BootClock.
func (e *Edge) countUsage(account string, at time.Time) {
	if e.duties.counter != nil {
		e.duties.counter.BeganAt(account, at)
	}
}

// defaultUsageDue is the time until a report is late, in windows, where the settings state none.
const defaultUsageDue = 2

// buildReporter creates the duty that reports usage. It runs from the first configuration with accounts on.
func (e *Edge) buildReporter() {
	if e.duties.counter == nil {
		return
	}
	client := platform.DutyClient{Pool: e.pool, Address: e.settings.Duties.Address, Holder: e.settings.VM}
	e.duties.reporter = usage.NewReporter(usage.ReporterOptions{
		Lease: e.duties.lease, Group: dutyGroup, HandOverPause: e.handOverPause(), Window: e.settings.Duties.UsageWindow, Due: cmp.Or(e.settings.Duties.UsageDue, defaultUsageDue*e.settings.Duties.UsageWindow),
		Counter: e.duties.counter, Members: e.usageMembers, Collect: e.collectUsage, Era: e.objects.Era, Active: e.hasAccounts, Log: e.log,
		Record: &duty.Record[usage.Record]{Store: e.objects, Name: "usage", Writer: e.settings.VM},
		Send: func(ctx context.Context, t lease.Token, window int64, counts map[string]int) error {
			err := client.ReportUsage(ctx, t, window, counts)
			if errors.Is(err, platform.ErrDutyRateLimited) {
				return trace.Wrap(usage.ErrRateLimited)
			}
			return trace.Wrap(err)
		},
	})
}

// startDuties starts the duties that the present configuration asks for and that don't run yet.
func (e *Edge) startDuties() {
	d := &e.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started || d.reporter == nil || !e.hasAccounts() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.started, d.stop, d.ended = true, cancel, make(chan struct{})
	e.log.Info("usage is reported", zap.Duration("window", e.settings.Duties.UsageWindow), zap.Duration("due", e.settings.Duties.UsageDue))
	go func() {
		defer close(d.ended)
		_ = d.reporter.Run(ctx) // it returns nil only
	}()
}

// stopDuties ends what startDuties has started.
func (e *Edge) stopDuties() {
	d := &e.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		d.stop()
		<-d.ended
	}
	d.started = true // nothing starts any more
}

// usageMembers returns the other entry VMs that may have counts.
func (e *Edge) usageMembers() []usage.Member {
	var out []usage.Member
	for _, m := range e.list.Members() {
		if m.Name != e.settings.VM && m.PeerAddress != "" && m.State != membership.Gone {
			out = append(out, usage.Member{
				Name: m.Name, Address: m.PeerAddress, Expected: m.State == membership.Alive, Ending: m.State == membership.Leaving,
			})
		}
	}
	return out
}

func (e *Edge) collectUsage(ctx context.Context, m usage.Member, q usage.Query) (usage.Answer, error) {
	r := &peerv1.CollectUsageRequest{Holder: e.settings.VM, FirstWindow: q.First, LastWindow: q.Last}
	if !q.Now.IsZero() {
		r.UnixMs = q.Now.UnixMilli()
	}
	a, err := e.peers.CollectUsage(ctx, m.Address, r)
	if err != nil {
		return usage.Answer{}, trace.Wrap(err)
	}
	return usage.Answer{Wall: time.UnixMilli(a.GetUnixMs()), Sources: sourcesFromWire(a.GetSources())}, nil
}

const (
	// usageReceivers is the number of entry VMs that get the counts of one that stops; one of them may be killed.
	usageReceivers = 2
	// usageHandOverTimeout is below closeMargin, which is what may be left of the grace.
	usageHandOverTimeout = 200 * time.Millisecond
)

// handOverUsage gives the counts of this entry VM, which stops, to two others, one of them the holder of the duty.
func (e *Edge) handOverUsage() {
	if e.duties.counter == nil || !e.hasAccounts() {
		return
	}
	holder, sources := e.duties.counter.HandOver()
	to := slices.DeleteFunc(e.usageMembers(), func(m usage.Member) bool { return !m.Expected })
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	slices.SortStableFunc(to, func(a, b usage.Member) int { return rankOf(a, holder) - rankOf(b, holder) })
	to = to[:min(usageReceivers, len(to))]
	ctx, cancel := context.WithTimeout(context.Background(), usageHandOverTimeout)
	defer cancel()
	r := &peerv1.HandOverUsageRequest{Sources: sourcesToWire(sources)}
	var wg sync.WaitGroup
	for _, m := range to {
		wg.Go(func() {
			err := e.peers.HandOverUsage(ctx, m.Address, r)
			e.log.Info("usage handed over", zap.String("to", m.Name), zap.Int("sources", len(sources)), zap.Error(err))
		})
	}
	wg.Wait()
}

func rankOf(m usage.Member, holder string) int {
	if m.Name == holder {
		return 0
	}
	return 1
}

func sourcesToWire(sources map[usage.Source]usage.WindowCounts) []*peerv1.UsageSource {
	out := make([]*peerv1.UsageSource, 0, len(sources))
	for s, windows := range sources {
		w := &peerv1.UsageSource{Vm: s.VM, Boot: s.Boot}
		for k, counts := range windows {
			n := make(map[string]uint32, len(counts))
			for account, c := range counts {
				n[account] = uint32(c)
			}
			w.Windows = append(w.Windows, &peerv1.UsageWindow{Window: k, Counts: n})
		}
		out = append(out, w)
	}
	return out
}

func sourcesFromWire(list []*peerv1.UsageSource) map[usage.Source]usage.WindowCounts {
	out := make(map[usage.Source]usage.WindowCounts, len(list))
	for _, s := range list {
		windows := usage.WindowCounts{}
		for _, w := range s.GetWindows() {
			counts := make(usage.Counts, len(w.GetCounts()))
			for account, n := range w.GetCounts() {
				counts[account] = int(n)
			}
			windows[w.GetWindow()] = counts
		}
		out[usage.Source{VM: s.GetVm(), Boot: s.GetBoot()}] = windows
	}
	return out
}

// hasAccounts reports whether the configuration in force has accounts.
func (e *Edge) hasAccounts() bool {
	t := e.catalog.Table()
	return t != nil && t.Accounts != nil
}
