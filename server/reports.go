package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/discovery"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/ring"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// loadReports delivers the upstreams' load reports and cache events to the scheduler. Answers carry load reports; upstreams
// without a report in the last interval are polled, at the rate that the settings allow.
type loadReports struct {
	*Server
	interval      time.Duration
	pollsPerRound int // upstreams polled in one round
	received      *ring.Ring[receivedReport]

	cursor     int // index of the upstream polled last
	mu         sync.Mutex
	nextEvent  map[string]uint64    // by upstream, the position of the next cache event to request
	lastReport map[string]time.Time // by upstream, when an answer last carried a report
}

// receivedReport is a report that came with an answer.
type receivedReport struct {
	upstream string
	load     upstream.Load
}

// maxReceivedReports is the capacity of the queue of reports for the scheduler. Reports that find it full are dropped; later
// answers carry newer ones.
const maxReceivedReports = 256

func newLoadReports(s *Server) *loadReports {
	u := s.opts.Settings.Upstreams
	interval := u.ReportEvery.D()
	return &loadReports{
		Server: s, interval: interval, pollsPerRound: max(int(float64(u.PollsPerS)*interval.Seconds()), 1),
		received: ring.New[receivedReport](maxReceivedReports), nextEvent: map[string]uint64{}, lastReport: map[string]time.Time{},
	}
}

// enqueue queues a report that came with an answer. It does not block.
func (p *loadReports) enqueue(u *topo.Upstream, l upstream.Load) {
	p.received.TryPut(receivedReport{u.Name, l})
}

// runAnswers delivers the reports that came with answers until ctx ends.
func (p *loadReports) runAnswers(ctx context.Context) error {
	for {
		a, err := p.received.Get(ctx)
		if err != nil {
			return nil
		}
		p.mu.Lock()
		p.lastReport[a.upstream] = time.Now()
		p.mu.Unlock()
		p.members.tracker.Report(a.upstream, discovery.Health{Reachable: true, Leaving: a.load.Leaving})
		p.deliver(ctx, a.upstream, &a.load, upstream.CacheEvents{})
	}
}

// runPolls runs a poll round at each interval until ctx ends.
func (p *loadReports) runPolls(ctx context.Context) error {
	t := time.NewTicker(p.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			p.pollRound(ctx)
		}
	}
}

// maxConcurrentPolls bounds the upstreams that are polled at the same time.
const maxConcurrentPolls = 32

// pollRound polls the next pollsPerRound upstreams, in round-robin order.
func (p *loadReports) pollRound(ctx context.Context) {
	config := p.source.Current()
	if config == nil {
		return
	}
	list := slices.DeleteFunc(slices.Clone(p.subset.forConfiguration(config).list), func(u topo.Upstream) bool {
		return u.State == topo.UpstreamWithdrawn
	})
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for range min(p.pollsPerRound, len(list)) {
		p.cursor = (p.cursor + 1) % len(list)
		u := &list[p.cursor]
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			p.poll(ctx, u)
		})
	}
	wg.Wait()
}

// poll requests one upstream's cache events, and its load unless an answer carried a report in the last interval.
func (p *loadReports) poll(ctx context.Context, u *topo.Upstream) {
	p.mu.Lock()
	from, recent := p.nextEvent[u.Name], time.Since(p.lastReport[u.Name]) < p.interval
	p.mu.Unlock()
	var load *upstream.Load
	if !recent {
		l, err := p.client.Load(ctx, u)
		p.members.tracker.Report(u.Name, discovery.Health{Reachable: err == nil, Leaving: l.Leaving})
		if err != nil {
			return
		}
		load = &l
	}
	var events upstream.CacheEvents
	if u.Kind == topo.KindEngine {
		if e, err := p.client.CacheEvents(ctx, u, from); err == nil {
			events = e
			p.mu.Lock()
			p.nextEvent[u.Name] = e.Next
			p.mu.Unlock()
		}
	}
	p.deliver(ctx, u.Name, load, events)
}

// deliver passes a report, if there is one, and cache events to the scheduler.
func (p *loadReports) deliver(ctx context.Context, name string, load *upstream.Load, events upstream.CacheEvents) {
	_ = p.gateway.Do(ctx, func(now time.Duration, sched *scheduler.Scheduler) {
		i, ok := sched.Lookup(name)
		if !ok {
			return
		}
		if load != nil {
			sched.Report(now, i, loadReport(now, load))
			if load.Role != "" {
				sched.SetRole(name, load.Role)
			}
		}
		for k, e := range events.Events {
			sched.CacheEvent(now, i, scheduler.CacheEvent{Inserted: e.Inserted, Removed: e.Removed, Gap: events.Gap && k == 0})
		}
	})
}

func loadReport(now time.Duration, l *upstream.Load) policy.LoadReport {
	return policy.LoadReport{
		At: now - time.Since(time.UnixMilli(l.AtMS)), Running: l.Running, Queued: l.Queued, PrefillTokens: l.PrefillTokens,
		KVPiecesInUse: l.KVPiecesInUse, OwnRunning: l.OwnRunning, OwnPrefill: l.OwnPrefill,
		DecodeTokensPS: l.DecodeTokensPS, DecodeStreams: l.DecodeStreams, PrefillTokensPS: l.PrefillTokensPS,
	}
}
