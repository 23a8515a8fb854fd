// Package permits shares the limit of an upstream, the requests per second that it takes from all entry VMs together, among
// the entry VMs.
//
// Each request to a limited upstream needs a permit. One VM for each upstream, its allocator, grants permits to the VMs that
// ask for them; all VMs choose it by rendezvous hashing over the members. Messages are datagrams: an ask replaces the one
// before it, and a lost grant is a request fewer. What an upstream states about its limit travels with the messages as its
// age, and the newest statement holds.
//
// Invariants: the permits of all VMs add up to the limit, in any partition too, but for a bounded time while the VMs
// disagree on the members; a VM sends and receives a bounded number of messages a second, whatever the size of the fleet;
// messages and tables are bounded.
package permits

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// Options configures an Exchange. All fields but Log are required.
type Options struct {
	List      membership.List
	Transport membership.Transport
	Port      string // UDP port of the exchange, the same at all entry VMs
	Secret    string
	Boot      uint64 // grows with each start of the process
	// Reachable returns the number of members that this VM reaches, itself included, and of all that are not gone.
	Reachable func() (reachable, known int)
	// RunInScheduler runs f in the scheduler's goroutine and waits for it.
	RunInScheduler func(ctx context.Context, f func(now time.Duration, s *scheduler.Scheduler)) error
	// Announce sends a limit to all entry VMs. It must not block.
	Announce func(loads.Limit)
	Log      *zap.Logger
}

const (
	roundInterval     = 20 * time.Millisecond  // while requests ask for permits
	idleRoundInterval = 100 * time.Millisecond // while upstreams are limited and no request asks
	// gatherDelay is the wait after a message, so that concurrent ones share a round.
	gatherDelay = 5 * time.Millisecond
	// minAskInterval is the shortest time between two asks for an upstream. In large fleets it is askIntervalPerVM for each
	// VM, which bounds the messages of the allocator to 400 a second.
	minAskInterval   = 20 * time.Millisecond
	askIntervalPerVM = 2500 * time.Microsecond
	// refreshInterval is the time between two asks for an upstream while the demand stays the same, and askLifetime the time
	// for which an ask holds. In large fleets both are at least refreshAsks and lifetimeAsks times the shortest interval.
	refreshInterval = 200 * time.Millisecond
	askLifetime     = time.Second
	refreshAsks     = 2
	lifetimeAsks    = 5
	// silenceAsks is the number of unanswered refreshes after which an allocator counts as silent.
	silenceAsks = 3
	// membersInterval is the time between two reads of the member list.
	membersInterval = 200 * time.Millisecond
	// announceInterval is the time between two announcements of a limit by its allocator, for VMs that have started or were
	// cut off.
	announceInterval = time.Second
	// announcedChange is the relative change of a limit from which it is announced. Asks carry the exact value.
	announcedChange = 0.25
	// maxReceived bounds the messages that wait for a round.
	maxReceived = 1024
	// peerLifetime is how long the sequence number of a peer that sends nothing is kept.
	peerLifetime = time.Minute
)

var (
	messagesSent     = metrics.NewCounter(`bergamot_permit_messages_total{direction="sent"}`)
	messagesReceived = metrics.NewCounter(`bergamot_permit_messages_total{direction="received"}`)
	messagesRejected = metrics.NewCounter(`bergamot_permit_messages_rejected_total`)
	permitsGranted   = metrics.NewCounter(`bergamot_permits_granted_total`)
	permitsReturned  = metrics.NewCounter(`bergamot_permits_returned_total`)
	silentAllocators = metrics.NewCounter(`bergamot_permit_silent_allocators_total`)
)

// Exchange asks for permits and grants them.
type Exchange struct {
	opts Options
	wake chan struct{}

	mu       sync.Mutex
	received []receivedMessage
	learned  []loads.Limit
	peers    map[string]peerState // by address

	// Used by the goroutine of the rounds only.
	granting  *allocator // for upstreams whose allocator this VM is
	fallback  *allocator // this VM's own part while an allocator is silent
	members   memberView
	sent      map[uint64]*sentAsk      // by upstream
	awaiting  map[string]pendingAnswer // by the allocator's address
	announced map[uint64]announcement
	seq       uint64
}

type receivedMessage struct {
	from string
	at   time.Time
	message
}

// peerState is the newest message of a peer.
type peerState struct {
	boot, seq uint64
	at        time.Time
}

// sentAsk is the last ask for an upstream.
type sentAsk struct {
	to       string
	demand   demand
	at       time.Time
	returned int // permits to give back with the next ask
}

// pendingAnswer describes the asks that an allocator has not answered.
type pendingAnswer struct{ first, last time.Time }

// announcement is the last limit of an upstream that was logged, and when it was announced to all VMs.
type announcement struct {
	named     bool
	perSecond float64
	at        time.Time
}

// New returns an Exchange.
func New(o Options) *Exchange {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Exchange{
		opts: o, wake: make(chan struct{}, 1), peers: map[string]peerState{}, granting: newAllocator(), fallback: newAllocator(),
		members: memberView{port: o.Port}, sent: map[uint64]*sentAsk{}, awaiting: map[string]pendingAnswer{}, announced: map[uint64]announcement{},
	}
}

// Run asks for permits and grants them until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(x.receive)
	g.Go(func() error {
		<-ctx.Done()
		return x.opts.Transport.Close()
	})
	g.Go(func() error {
		var next <-chan time.Time // nil: no upstream is limited
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-next:
			case <-x.wake:
				time.Sleep(gatherDelay)
			}
			next = nil
			if d := x.round(ctx, time.Now()); d > 0 {
				next = time.After(d)
			}
		}
	})
	return g.Wait()
}

// Trigger starts a round soon.
func (x *Exchange) Trigger() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Learn records a limit that another entry VM has announced.
func (x *Exchange) Learn(l loads.Limit) {
	x.mu.Lock()
	if len(x.learned) < maxReceived {
		x.learned = append(x.learned, l)
	}
	x.mu.Unlock()
	x.Trigger()
}

func (x *Exchange) receive() error {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := x.opts.Transport.Receive(buffer)
		if errors.Is(err, membership.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		x.handleDatagram(time.Now(), from, buffer[:n])
	}
}

// handleDatagram queues a datagram's message for the next round, unless a newer one of its sender has arrived.
func (x *Exchange) handleDatagram(now time.Time, from string, datagram []byte) {
	payload, ok := membership.Open(x.opts.Secret, datagram)
	if !ok {
		messagesRejected.Inc()
		return
	}
	m, err := decode(payload)
	if err != nil {
		messagesRejected.Inc()
		return
	}
	messagesReceived.Inc()
	x.mu.Lock()
	defer x.mu.Unlock()
	p, known := x.peers[from]
	if known && (m.boot < p.boot || m.boot == p.boot && m.seq <= p.seq) || len(x.received) >= maxReceived {
		return
	}
	x.peers[from] = peerState{m.boot, m.seq, now}
	x.received = append(x.received, receivedMessage{from, now, m})
	x.Trigger()
}

// takeReceived returns the messages and limits received since the last round, and forgets peers that have been silent.
func (x *Exchange) takeReceived(now time.Time) (received []receivedMessage, learned []loads.Limit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for from, p := range x.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(x.peers, from)
		}
	}
	received, x.received = x.received, nil
	learned, x.learned = x.learned, nil
	return received, learned
}

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
	_, known := x.opts.Reachable()
	for _, upstream := range slices.Sorted(maps.Keys(x.granting.budgets)) {
		b := x.granting.budgets[upstream]
		rate := b.limit.perSecond * x.part(upstream, b)
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

// part returns the part of an upstream's limit that this VM grants. The parts of all VMs add up to 1 at most: each VM asks one
// allocator, and those that reach the one with the highest rank ask that one.
func (x *Exchange) part(upstream uint64, b *budget) float64 {
	reachable, known := x.opts.Reachable()
	granted := reachable
	if a := x.members.allocator(upstream); !a.self || a.outranked {
		granted = min(len(b.asking)+1, reachable) // only those that ask, and this VM
	}
	return float64(granted) / float64(max(known, 1))
}

// outbox holds the messages of a round by address.
type outbox map[string]*message

func (o outbox) message(to string) *message {
	m := o[to]
	if m == nil {
		m = &message{}
		o[to] = m
	}
	return m
}

func (o outbox) ask(to string, a ask) {
	m := o.message(to)
	m.asks = append(m.asks, a)
}

// answer returns the answer about an upstream to a VM, which is added if there is none.
func (o outbox) answer(to string, s statement) *answer {
	m := o.message(to)
	for i := range m.answers {
		if m.answers[i].upstream == s.upstream {
			return &m.answers[i]
		}
	}
	m.answers = append(m.answers, answer{statement: s})
	return &m.answers[len(m.answers)-1]
}

// send sends the messages of a round, in several datagrams where one does not hold all entries.
func (x *Exchange) send(out outbox) {
	for _, to := range slices.Sorted(maps.Keys(out)) {
		m := out[to]
		for len(m.asks)+len(m.answers) > 0 {
			x.seq++
			asks, answers := min(len(m.asks), maxEntries), min(len(m.answers), maxEntries)
			part := message{boot: x.opts.Boot, seq: x.seq, asks: m.asks[:asks], answers: m.answers[:answers]}
			m.asks, m.answers = m.asks[asks:], m.answers[answers:]
			messagesSent.Inc()
			x.opts.Transport.Send(to, membership.Seal(x.opts.Secret, part.encode()))
		}
	}
}
