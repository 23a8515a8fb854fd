package limits

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
)

// Run exchanges demands until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	cancel := l.o.Members.Subscribe(func(membership.Member) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	defer cancel()
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			l.refreshMembers()
		case <-t.C:
			l.Step(ctx)
		}
	}
}

// refreshMembers copies the member list. The version changes only with the names and cores of the members, so that the home
// groups are not recomputed on each state change.
func (l *Limiter) refreshMembers() {
	ms := l.o.Members.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	same := slices.EqualFunc(ms, l.members, func(a, b membership.Member) bool { return a.Name == b.Name && a.Cores == b.Cores })
	l.members = ms
	l.byName = make(map[string]membership.Member, len(ms))
	for _, m := range ms {
		l.byName[m.Name] = m
	}
	if !same || l.version.Load() == 0 {
		l.version.Add(1)
	}
}

// Step ends an interval: it updates demands, exchanges those that are due and updates the shares. Run calls it; tests call
// it on their own clock.
func (l *Limiter) Step(ctx context.Context) {
	now := l.o.Now()
	last := time.Duration(l.steppedAt.Swap(int64(now.Sub(l.start))))
	interval := now.Sub(l.start) - last
	paused := interval > pauseThreshold
	due := map[string][]*peerv1.Demand{}
	for i := range l.shards {
		l.stepShard(&l.shards[i], now, max(interval, Interval/10), paused, due)
	}
	l.exchangeAll(ctx, due)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, a := range s.accounts {
			if a.groupVersion != 0 {
				a.refill(now)
				a.setShares(now)
			}
		}
		s.mu.Unlock()
	}
}

func (l *Limiter) stepShard(s *shard, now time.Time, interval time.Duration, paused bool, due map[string][]*peerv1.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, a := range s.accounts {
		if a.inFlight == 0 && now.Sub(a.lastUse) > idleExpiry {
			delete(s.accounts, hash)
			l.accountCount.Add(-1)
			continue
		}
		if a.groupVersion == 0 {
			continue // other VMs have reported demand, but this VM has received no request
		}
		a.step(interval)
		if paused {
			a.fallBack()
		}
		l.regroup(a, now)
		l.collectDue(a, now, due)
	}
}

// collectDue adds the demand of an account that needs an exchange to the messages for those members of the home group that
// have not reported within minExchangeInterval.
func (l *Limiter) collectDue(a *account, now time.Time, due map[string][]*peerv1.Demand) {
	if !a.needsExchange() {
		return
	}
	for i := range a.others {
		if o := &a.others[i]; o.inHomeGroup && now.Sub(o.reportedAt) >= minExchangeInterval {
			due[o.name] = append(due[o.name], a.demandMessage(now))
		}
	}
}

// exchangeAll calls up to maxExchanges VMs, those with the most due accounts first. Accounts of the other VMs stay due.
func (l *Limiter) exchangeAll(ctx context.Context, due map[string][]*peerv1.Demand) {
	names := make([]string, 0, len(due))
	for name := range due {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(due[b]), len(due[a])), cmp.Compare(a, b))
	})
	var wg sync.WaitGroup
	for _, name := range names[:min(len(names), maxExchanges)] {
		wg.Go(func() { l.exchange(ctx, name, due[name]) })
	}
	wg.Wait()
}

func (l *Limiter) exchange(ctx context.Context, name string, ds []*peerv1.Demand) {
	l.mu.Lock()
	m, ok := l.byName[name]
	l.mu.Unlock()
	if !ok || l.o.Exchanger == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, Interval/2)
	defer cancel()
	l.exchanges.Inc()
	res, err := l.o.Exchanger.ExchangeShares(ctx, m.PeerAddress, &peerv1.ExchangeSharesRequest{From: l.o.Members.Self().Name, Demands: ds})
	if err != nil {
		l.failures.Inc()
		l.markSilent(name, ds)
		return
	}
	l.recordDemands(name, res.GetDemands())
}

// markSilent marks a VM as silent for the given accounts, so that its fixed share stays reserved for it.
func (l *Limiter) markSilent(name string, ds []*peerv1.Demand) {
	for _, d := range ds {
		s := &l.shards[d.GetAccount()%shardCount]
		s.mu.Lock()
		if a := s.accounts[d.GetAccount()]; a != nil {
			for i := range a.others {
				if a.others[i].name == name {
					a.others[i].reportedAt = time.Time{}
				}
			}
		}
		s.mu.Unlock()
	}
}

// recordDemands records the demands of another VM and returns those of this VM for the same accounts.
func (l *Limiter) recordDemands(name string, ds []*peerv1.Demand) []*peerv1.Demand {
	now := l.o.Now()
	out := make([]*peerv1.Demand, 0, len(ds))
	for _, d := range ds {
		s := &l.shards[d.GetAccount()%shardCount]
		s.mu.Lock()
		if a := l.account(s, d.GetAccount(), now); a != nil {
			a.recordDemand(name, d, now)
			out = append(out, a.demandMessage(now))
		}
		s.mu.Unlock()
	}
	return out
}

// maxDemands is the largest number of demands that are read from a message.
const maxDemands = 4096

// ExchangeShares handles an exchange with another VM. It is registered in peer.Handlers. It updates the shares at once, so
// that this VM's share falls in the same exchange in which that of the other VM rises.
func (l *Limiter) ExchangeShares(_ context.Context, r *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error) {
	ds := r.GetDemands()[:min(len(r.GetDemands()), maxDemands)]
	out := l.recordDemands(r.GetFrom(), ds)
	now := l.o.Now()
	for _, d := range ds {
		s := &l.shards[d.GetAccount()%shardCount]
		s.mu.Lock()
		if a := s.accounts[d.GetAccount()]; a != nil && a.groupVersion != 0 {
			a.refill(now)
			a.setShares(now)
		}
		s.mu.Unlock()
	}
	return &peerv1.ExchangeSharesResponse{Demands: out}, nil
}
