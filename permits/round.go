package permits

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// round passes what was received to the scheduler, asks for the permits that requests need and grants those that have
// accrued. It returns the time until the next round; 0: no upstream is limited.
func (x *Exchange) round(ctx context.Context, now time.Time) time.Duration {
	received, learned := x.takeReceived(now)
	var at time.Duration
	var demands []scheduler.LimitDemand
	err := x.opts.RunInScheduler(ctx, func(t time.Duration, s *scheduler.Scheduler) {
		at = t
		for _, l := range learned {
			s.LearnLimit(t, l.Upstream, scheduler.Limit{Named: !l.Ended, PerSecond: l.PerSecond, ObservedAt: t - now.Sub(l.ObservedAt), Firsthand: l.Firsthand})
		}
		for i := range received {
			applyMessage(s, t-now.Sub(received[i].at), &received[i].message)
		}
		demands = s.LimitDemands(t)
	})
	if err != nil {
		return 0 // ctx has ended
	}
	x.members.refresh(now, x.opts.List)
	for i := range received {
		if len(received[i].answers) > 0 {
			delete(x.awaiting, received[i].from)
		}
	}
	out := outbox{}
	limits := make(map[uint64]*scheduler.LimitDemand, len(demands))
	for i := range demands {
		limits[demands[i].Upstream] = &demands[i]
	}
	x.forget(limits)
	x.announceChanges(now, at, demands)
	x.takeAsks(now, at, received, limits, out)
	busy := x.ask(now, at, demands, out)
	own, backlogs := x.grant(now, limits, out)
	x.send(out)
	if len(own)+len(backlogs) > 0 {
		// An error means that ctx has ended.
		_ = x.opts.RunInScheduler(ctx, func(t time.Duration, s *scheduler.Scheduler) {
			for upstream, n := range own {
				s.GrantPermits(t, upstream, n)
			}
			for upstream, b := range backlogs {
				s.SetLimitBacklog(t, upstream, b)
			}
		})
	}
	return x.nextRound(demands, busy)
}

// applyMessage passes what a message states to the scheduler. at is the time of its arrival.
func applyMessage(s *scheduler.Scheduler, at time.Duration, m *message) {
	for i := range m.asks {
		s.LearnLimit(at, m.asks[i].upstream, m.asks[i].limit(at))
	}
	for i := range m.answers {
		a := &m.answers[i]
		s.LearnLimit(at, a.upstream, a.limit(at))
		s.GrantPermits(at, a.upstream, a.granted)
		s.SetLimitBacklog(at, a.upstream, a.backlog)
	}
}

func (s *statement) limit(at time.Duration) scheduler.Limit {
	return scheduler.Limit{Named: s.named, PerSecond: s.perSecond, ObservedAt: at - s.age, Firsthand: s.firsthand}
}

func statementOf(at time.Duration, d *scheduler.LimitDemand) statement {
	return statement{d.Upstream, d.Limit.Named, d.Limit.Firsthand, d.Limit.PerSecond, min(max(at-d.Limit.ObservedAt, 0), maxAge)}
}

func (x *Exchange) nextRound(demands []scheduler.LimitDemand, busy bool) time.Duration {
	for _, b := range x.granting.budgets {
		busy = busy || len(b.asking) > 0
	}
	if busy {
		return roundInterval
	}
	if len(demands) > 0 {
		return idleRoundInterval
	}
	return 0
}

// announceChanges logs the limits that have changed and announces those that an answer has shown to this VM, and each
// announceInterval those whose allocator this VM is.
func (x *Exchange) announceChanges(now time.Time, at time.Duration, demands []scheduler.LimitDemand) {
	for i := range demands {
		d := &demands[i]
		before := x.announced[d.Upstream]
		changed := before.named != d.Limit.Named || d.Limit.Named && math.Abs(d.Limit.PerSecond-before.perSecond) > announcedChange*before.perSecond
		due := d.Limit.Named && now.Sub(before.at) >= announceInterval && x.members.allocator(d.Upstream).self
		if changed {
			from := "peer"
			if d.Limit.Firsthand {
				from = "answer"
			}
			x.opts.Log.Info("upstream limit", zap.String("upstream", d.Name), zap.Bool("named", d.Limit.Named), zap.Float64("per_second", d.Limit.PerSecond),
				zap.Float64("before", before.perSecond), zap.String("from", from), zap.Bool("allocator", x.members.allocator(d.Upstream).self))
		}
		if changed && d.Limit.Firsthand || due {
			x.opts.Announce(loads.Limit{Upstream: d.Upstream, PerSecond: d.Limit.PerSecond, Ended: !d.Limit.Named, Firsthand: d.Limit.Firsthand, ObservedAt: now.Add(d.Limit.ObservedAt - at)})
			before.at = now
		}
		if changed || due {
			x.announced[d.Upstream] = announcement{d.Limit.Named, d.Limit.PerSecond, before.at}
		}
	}
}

// takeAsks passes the asks of other VMs to the budgets and puts an answer to each into the outbox.
func (x *Exchange) takeAsks(now time.Time, at time.Duration, received []receivedMessage, limits map[uint64]*scheduler.LimitDemand, out outbox) {
	for i := range received {
		for j := range received[i].asks {
			a := &received[i].asks[j]
			st := a.statement
			if d := limits[a.upstream]; d != nil {
				st = statementOf(at, d)
			}
			out.answer(received[i].from, st)
			if !st.named {
				x.granting.end(a.upstream)
				continue
			}
			b := x.granting.begin(now, a.upstream, x.phase(a.upstream))
			b.limit = st
			b.ask(received[i].from, a.demand, now.Add(x.members.askLifetime()))
			b.giveBack(now, a.returned)
			permitsReturned.Add(a.returned)
		}
	}
}

// ask puts this VM's demand into the budgets of the upstreams whose allocator it is, and asks for those of others into the
// outbox. It reports whether there is any demand.
func (x *Exchange) ask(now time.Time, at time.Duration, demands []scheduler.LimitDemand, out outbox) (busy bool) {
	for i := range demands {
		d := &demands[i]
		want := demandOf(d)
		allocator := x.members.allocator(d.Upstream)
		s := x.sent[d.Upstream]
		if s == nil {
			s = &sentAsk{}
			x.sent[d.Upstream] = s
		}
		s.returned += d.Returned
		if !d.Limit.Named {
			x.granting.end(d.Upstream)
			x.fallback.end(d.Upstream)
			delete(x.sent, d.Upstream)
			continue
		}
		busy = busy || !want.isZero()
		if allocator.self {
			b := x.granting.begin(now, d.Upstream, x.phase(d.Upstream))
			x.fallback.end(d.Upstream)
			b.limit = statementOf(at, d)
			b.ask(selfName, want, now.Add(askLifetime))
			b.giveBack(now, s.returned)
			*s = sentAsk{}
			continue
		}
		if b := x.granting.budgets[d.Upstream]; b != nil {
			b.ask(selfName, demand{}, now)
		}
		if x.isSilent(now, allocator.address) {
			if x.fallback.budgets[d.Upstream] == nil {
				silentAllocators.Inc()
				x.opts.Log.Info("permit allocator silent", zap.String("upstream", d.Name), zap.String("allocator", allocator.address))
			}
			b := x.fallback.begin(now, d.Upstream, x.phase(d.Upstream))
			b.limit = statementOf(at, d)
			b.ask(selfName, want, now.Add(askLifetime))
			b.giveBack(now, s.returned)
			s.returned = 0
		} else {
			x.fallback.end(d.Upstream)
		}
		if x.askDue(now, s, allocator.address, want) {
			out.ask(allocator.address, ask{statementOf(at, d), want, s.returned})
			*s = sentAsk{to: allocator.address, demand: want, at: now}
			x.awaitAnswer(now, allocator.address)
		}
	}
	return busy
}

// phase returns the part of a permit with which a budget of this VM begins: what is left of its own part, if it has used that,
// or else a part that differs between VMs, so that those that are cut off at the same time do not get their first permits at the
// same time.
func (x *Exchange) phase(upstream uint64) float64 {
	if b := x.fallback.budgets[upstream]; b != nil {
		return min(b.tokens, 1)
	}
	return float64(policy.Mix64(x.opts.Boot^x.members.selfHash^upstream)>>11) / (1 << 53)
}

// selfName is the name of this VM in its budgets; others have their addresses.
const selfName = ""

func demandOf(d *scheduler.LimitDemand) demand {
	var out demand
	copy(out[:], d.Waiting[:])
	out[expected] = min(d.Ahead, maxCount)
	return out
}

func (x *Exchange) askDue(now time.Time, s *sentAsk, to string, want demand) bool {
	since := now.Sub(s.at)
	switch {
	case s.to != to:
		return !want.isZero() || s.returned > 0
	case want != s.demand || s.returned > 0:
		return since >= x.members.askInterval()
	default:
		return !want.isZero() && since >= x.members.refreshInterval()
	}
}

// awaitAnswer records an ask. Earlier ones count only if they belong to the same series.
func (x *Exchange) awaitAnswer(now time.Time, address string) {
	p, waits := x.awaiting[address]
	if !waits || now.Sub(p.last) > 2*x.members.refreshInterval() {
		p.first = now
	}
	p.last = now
	x.awaiting[address] = p
}

// isSilent reports whether an allocator has not answered for several refreshes.
func (x *Exchange) isSilent(now time.Time, address string) bool {
	p, waits := x.awaiting[address]
	return waits && p.last.Sub(p.first) > silenceAsks*x.members.refreshInterval() && now.Sub(p.last) <= 2*x.members.refreshInterval()
}

// forget drops the state of upstreams that are no longer limited, and of allocators that are no longer eligible.
func (x *Exchange) forget(limits map[uint64]*scheduler.LimitDemand) {
	gone := func(upstream uint64) bool { return limits[upstream] == nil }
	maps.DeleteFunc(x.sent, func(upstream uint64, _ *sentAsk) bool { return gone(upstream) })
	maps.DeleteFunc(x.fallback.budgets, func(upstream uint64, _ *budget) bool { return gone(upstream) })
	maps.DeleteFunc(x.announced, func(upstream uint64, _ announcement) bool { return gone(upstream) })
	maps.DeleteFunc(x.awaiting, func(address string, _ pendingAnswer) bool { return !x.members.isEligible(address) })
}

// grant allocates the permits of all budgets. It puts those of other VMs into the outbox and returns those of this VM, and the
// backlogs of the upstreams whose allocator it is.
func (x *Exchange) grant(now time.Time, limits map[uint64]*scheduler.LimitDemand, out outbox) (own map[uint64]int, backlogs map[uint64]scheduler.LimitBacklog) {
	own, backlogs = map[uint64]int{}, map[uint64]scheduler.LimitBacklog{}
	reachable, known := x.opts.Reachable()
	for _, upstream := range slices.Sorted(maps.Keys(x.granting.budgets)) {
		b := x.granting.budgets[upstream]
		rate := b.limit.perSecond * x.part(upstream, b, reachable, known)
		for _, g := range b.allocate(now, rate) {
			permitsGranted.Add(g.n)
			if g.vm == selfName {
				own[upstream] += g.n
				continue
			}
			out.answer(g.vm, b.limit).granted += g.n
		}
		for to, m := range out {
			for i := range m.answers {
				if m.answers[i].upstream == upstream {
					m.answers[i].backlog = b.backlog(to)
				}
			}
		}
		backlogs[upstream] = b.backlog(selfName)
		if len(b.asking) == 0 && (limits[upstream] == nil || !x.members.allocator(upstream).self) {
			x.granting.end(upstream)
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(x.fallback.budgets)) {
		b := x.fallback.budgets[upstream]
		if d := limits[upstream]; d != nil {
			for _, g := range b.allocate(now, d.Limit.PerSecond/float64(max(known, 1))) {
				own[upstream] += g.n
			}
		}
	}
	return own, backlogs
}

// part returns the part of an upstream's limit that this VM grants, which reaches a number of the known members. The parts of all VMs add up to 1 at most: each VM asks one
// allocator, and those that reach the one with the highest rank ask that one.
func (x *Exchange) part(upstream uint64, b *budget, reachable, known int) float64 {
	granted := reachable
	if a := x.members.allocator(upstream); !a.self || a.outranked {
		granted = len(b.asking) // only those that ask, and this VM
		if b.asking[selfName] == nil {
			granted++
		}
		granted = min(granted, reachable)
	}
	return float64(granted) / float64(max(known, 1))
}
