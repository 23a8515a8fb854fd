// Package loads exchanges load counts and prompt placements between entry VMs.
//
// Each entry VM sends the load that it has placed on each upstream; the sum over its peers is the load of an upstream
// that it did not cause itself. Messages are datagrams: the next message makes up for a lost one. They also carry
// upstreams found to be gone, limits that upstreams name and requests that crash upstreams. In large fleets a relay of each data centre exchanges
// sums with the relays of the others.
//
// Invariants: the load of a peer expires after a bounded time; messages, tables and queues are bounded.
package loads

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/versions"
)

// Options configures an Exchange. All fields but OnGone, OnCrash, OnLimit and Log are required.
type Options struct {
	List      membership.List
	Transport membership.Transport
	Port      string // UDP port of the exchange, the same at all entry VMs
	Secret    string
	Boot      uint64 // grows with each start of the process
	// RunInScheduler runs f in the scheduler's goroutine and waits for it.
	RunInScheduler func(ctx context.Context, f func(now time.Duration, s *scheduler.Scheduler)) error
	// OnGone is called with the name of an upstream that a peer reported as gone. It may be nil.
	OnGone func(upstream string)
	// OnCrash is called with each crash that a peer reports, possibly more than once. It must not block, and may be
	// nil.
	OnCrash func(Crash)
	// OnPartNotice is called with each notice of a peer about crashing parts, possibly more than once. It must not block, and
	// may be nil.
	OnPartNotice func(quarantine.PartNotice)
	// OnLimit is called with each limit of an upstream that a peer reports, possibly more than once. It must not block, and
	// may be nil.
	OnLimit func(Limit)
	// PlansRevision returns the revision of the plans for software versions at this VM, or 0 if peers need not know it. OnStart is
	// called with each stream that has begun at a peer, and OnPlansRevision with the revision at a peer, both possibly more than
	// once. All must not block, and may be nil.
	PlansRevision   func() uint64
	OnStart         func(versions.Start)
	OnPlansRevision func(uint64)
	Log             *zap.Logger
}

const (
	roundInterval = 100 * time.Millisecond // between rounds that no change triggers; these report work that has ended
	// gatherDelay is the wait after a change, so that concurrent changes share a message. With a longer wait, entry
	// VMs that do not yet know each other's prompts send them to the same engine.
	gatherDelay = 5 * time.Millisecond
	// refreshInterval is the longest time between two messages while requests are in flight. Peers drop a load after
	// loadLifetime.
	refreshInterval = 400 * time.Millisecond
	loadLifetime    = time.Second
	// keepAliveInterval is the longest time between two messages of an idle VM. A peer that sent nothing for
	// silenceTimeout is down or unreachable.
	keepAliveInterval = time.Second
	silenceTimeout    = 3 * time.Second
	// maxFullMesh is the number of entry VMs up to which each sends to all others. In larger fleets each sends to
	// those of its own data centre, and relays exchange sums between the data centres.
	maxFullMesh = 16
	// noticeSends is how often each placement and each notice is sent, to make up for lost datagrams.
	noticeSends = 2
	maxPending  = 256 // entries of each queue
	// fullReportInterval is the time between two reports of all loads to the scheduler; those between them cover only
	// loads that have changed. It bounds how long a new upstream at the index of an old one lacks its load.
	fullReportInterval = 500 * time.Millisecond
)

// Exchange sends the loads of this VM and sums those of its peers.
type Exchange struct {
	opts Options

	wake chan struct{}

	mu                 sync.Mutex
	pendingPlacements  []queued[placement]
	peers              map[string]*peerState
	peerRevisions      map[string]uint64    // by host: revision of the plans for software versions that the peer has stated
	lastReceived       map[string]time.Time // by host: time of the last message of a peer; kept after its load has expired
	receivedPlacements []placement          // not yet passed to the scheduler
	receivedGone       []uint32             // hashes of upstreams reported as gone, not yet handled
	pendingGone        notices[uint32]      // to be sent: hashes of upstreams that are gone
	pendingCrashes     notices[Crash]       // to be sent
	pendingLimits      limitQueue           // to be sent
	pendingParts       notices[quarantine.PartNotice]
	pendingStarts      notices[versions.Start] // to be sent
	peerLoads          map[uint32]load         // sums over all peers, by the upstream's hash
	dirty              map[uint32]struct{}     // upstreams whose sum the scheduler does not have yet
	unreported         atomic.Bool             // there are changed sums or placements that the scheduler does not have yet

	seq      uint64
	lastOwn  []load
	lastSent time.Time
	// lastRevision is the revision of the plans in the last message.
	lastRevision uint64

	fullReportAt time.Time // last report of all loads to the scheduler
	relaying     relayState
	index        upstreamIndex
}

// peerState is the newest state of a peer, or one part of the sum of a data centre.
type peerState struct {
	boot, seq  uint64
	receivedAt time.Time
	loads      []load
	dataCentre string // of a sum; empty for a peer
	parts      uint64 // of a sum: the number of its parts
}

var (
	messagesSent     = metrics.NewCounter(`bergamot_load_messages_total{direction="sent"}`)
	messagesReceived = metrics.NewCounter(`bergamot_load_messages_total{direction="received"}`)
	messagesRejected = metrics.NewCounter(`bergamot_load_messages_rejected_total`)
)

// New returns an Exchange.
func New(o Options) *Exchange {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Exchange{opts: o, peers: map[string]*peerState{}, peerRevisions: map[string]uint64{}, lastReceived: map[string]time.Time{}, peerLoads: map[uint32]load{}, dirty: map[uint32]struct{}{},
		wake: make(chan struct{}, 1)}
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(x.receive)
	g.Go(func() error {
		<-ctx.Done()
		return x.opts.Transport.Close()
	})
	g.Go(func() error {
		t := time.NewTicker(roundInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			case <-x.wake:
				time.Sleep(gatherDelay)
			}
			x.round(ctx, time.Now())
		}
	})
	return g.Wait()
}

// TriggerRound triggers a round, so that peers learn at once of new work and of work that has ended.
func (x *Exchange) TriggerRound() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// IsSilent reports whether a member has stopped sending: it sent messages before, but none for silenceTimeout, though
// it should have. fleet is the number of members.
func (x *Exchange) IsSilent(now time.Time, m *membership.Member, fleet int) bool {
	host, ok := hostOf(m.Address)
	if self := x.opts.List.Self(); !ok || m.DataCentre != self.DataCentre && fleet > maxFullMesh {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.lastReceived[host]
	if known && now.Sub(last) > silentExpiry {
		delete(x.lastReceived, host)
	}
	return known && now.Sub(last) > silenceTimeout
}

// silentExpiry is the time after which IsSilent no longer reports a silent peer. From then on only the membership list
// shows that the peer is down.
const silentExpiry = time.Minute

// Refresh reports the loads and placements that were received since the last report to the scheduler. The scheduler's goroutine calls
// it before decisions: a VM receives many more messages than it decides on requests, and a decision needs the newest ones only.
func (x *Exchange) Refresh(at time.Duration, s *scheduler.Scheduler) {
	if !x.unreported.Load() {
		return
	}
	others, placements := x.takeReceived(false)
	x.index.reportToScheduler(at, s, false, others, placements)
}

// QueuePlacement queues placements of the parts at the upstreams, so that peers send prompts with these parts there.
func (x *Exchange) QueuePlacement(parts []policy.Part, upstreams ...string) {
	if len(parts) > maxParts {
		parts = slices.Clone(parts[:maxParts]) // the rest is not kept
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, u := range upstreams {
		if len(x.pendingPlacements) < maxPending {
			x.pendingPlacements = append(x.pendingPlacements, queued[placement]{placement{hash(u), parts}, noticeSends})
		}
		x.queueForRelay(placement{hash(u), parts})
	}
}

// QueueGone queues a notice that another upstream has taken over the address of this one, so that peers need not each
// find out by a rejected request.
func (x *Exchange) QueueGone(upstream string) {
	queueNotice(x, &x.pendingGone, &x.relaying.gone, hash(upstream))
}

// QueueCrash queues a crash notice, so that peers know of the crashing request before they receive it.
func (x *Exchange) QueueCrash(c Crash) {
	queueNotice(x, &x.pendingCrashes, &x.relaying.crashes, c)
}

// reportCrashes passes the crashes of a message to Options.OnCrash.
func (x *Exchange) reportCrashes(m *message) {
	if x.opts.OnCrash == nil {
		return
	}
	for _, c := range m.crashes {
		x.opts.OnCrash(c)
	}
}

func hash(upstream string) uint32 { return uint32(xxhash.Sum64String(upstream)) }

// round passes received loads and notices to the scheduler and sends the loads of this VM if they have changed.
func (x *Exchange) round(ctx context.Context, now time.Time) {
	all := now.Sub(x.fullReportAt) >= fullReportInterval
	x.expire(now)
	goneHashes := x.takeGone()
	var own []load
	var goneNames []string
	err := x.opts.RunInScheduler(ctx, func(at time.Duration, s *scheduler.Scheduler) {
		own = ownLoads(s)
		others, placements := x.takeReceived(all)
		x.index.reportToScheduler(at, s, all, others, placements)
		goneNames = x.index.knownNames(s, goneHashes)
	})
	if err != nil {
		return // ctx has ended
	}
	for _, name := range goneNames {
		if x.opts.OnGone != nil {
			x.opts.OnGone(name)
		}
	}
	if all {
		x.fullReportAt = now
	}
	x.sendOwn(now, own)
	x.sendSum(now, own)
}

// expire drops the loads of peers that have sent nothing for long.
func (x *Exchange) expire(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, p := range x.peers {
		if now.Sub(p.receivedAt) > loadLifetime {
			x.replacePeer(name, nil)
		}
	}
}

// takeReceived returns the loads of the peers, all or only those that have changed, with the placements received since the last call.
func (x *Exchange) takeReceived(all bool) (others map[uint32]load, placements []placement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if all {
		others = maps.Clone(x.peerLoads)
	} else {
		others = make(map[uint32]load, len(x.dirty))
		for u := range x.dirty {
			others[u] = x.peerLoads[u]
		}
	}
	clear(x.dirty)
	x.unreported.Store(false)
	placements, x.receivedPlacements = x.receivedPlacements, nil
	return others, placements
}

// takeGone returns the hashes of upstreams reported as gone since the last call.
func (x *Exchange) takeGone() []uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	gone := x.receivedGone
	x.receivedGone = nil
	return gone
}

// replacePeer replaces the state of a peer and updates the sums; nil removes the peer. The lock is held.
func (x *Exchange) replacePeer(name string, p *peerState) {
	if old := x.peers[name]; old != nil {
		for _, l := range old.loads {
			sum := x.peerLoads[l.upstream]
			sum = load{l.upstream, sum.running - l.running, sum.promptTokens - l.promptTokens}
			if sum.running == 0 && sum.promptTokens == 0 {
				delete(x.peerLoads, l.upstream)
			} else {
				x.peerLoads[l.upstream] = sum
			}
			x.dirty[l.upstream] = struct{}{}
		}
		x.unreported.Store(true)
	}
	if p == nil {
		delete(x.peers, name)
		return
	}
	x.peers[name] = p
	addLoads(x.peerLoads, p.loads)
	for _, l := range p.loads {
		x.dirty[l.upstream] = struct{}{}
	}
	x.unreported.Store(true)
}

// ownLoads returns the load that this entry VM has placed on each upstream.
func ownLoads(s *scheduler.Scheduler) []load {
	var own []load
	for _, u := range s.Fleet().Upstreams {
		if (u.OwnRunning > 0 || u.OwnPrefill >= promptUnit) && len(own) < maxLoads {
			own = append(own, load{uint32(u.Hash), uint64(u.OwnRunning), uint64(u.OwnPrefill)})
		}
	}
	return own
}

// sendOwn sends the loads and notices of this VM to its peers if there is a change or a refresh is due.
func (x *Exchange) sendOwn(now time.Time, own []load) {
	x.mu.Lock()
	var placements []placement
	placements, x.pendingPlacements = takeQueued(x.pendingPlacements, maxPlacements)
	gone, crashes, limits := x.pendingGone.take(maxGone), x.pendingCrashes.take(maxCrashes), x.pendingLimits.take(now)
	partNotices, starts := x.pendingParts.take(maxPartNotices), x.pendingStarts.take(maxStarts)
	if len(x.pendingGone)+len(x.pendingCrashes)+len(x.pendingLimits)+len(x.pendingParts)+len(x.pendingStarts) > 0 {
		x.TriggerRound() // sends them again, or those that the message has no room for
	}
	x.mu.Unlock()
	revision := x.plansRevision()
	idle := len(own) == 0 && len(x.lastOwn) == 0
	due := refreshInterval
	if idle {
		due = keepAliveInterval
	}
	if len(placements)+len(gone)+len(crashes)+len(limits)+len(partNotices)+len(starts) == 0 && revision == x.lastRevision && slices.Equal(own, x.lastOwn) && now.Sub(x.lastSent) < due {
		return
	}
	x.seq++
	x.lastOwn, x.lastSent, x.lastRevision = own, now, revision
	m := message{boot: x.opts.Boot, seq: x.seq, loads: own, placements: placements, gone: gone, crashes: crashes, limits: limits, partNotices: partNotices,
		starts: starts, plansRevision: revision}
	x.sendMessage(x.recipients(), m)
}

// sendMessage seals a message and sends it to the addresses.
func (x *Exchange) sendMessage(to []string, m message) {
	datagram := membership.Seal(x.opts.Secret, m.encode())
	if len(datagram) > maxDatagram {
		m.placements = nil // loads have priority; a missing placement only costs cache reuse
		datagram = membership.Seal(x.opts.Secret, m.encode())
	}
	for _, address := range to {
		messagesSent.Inc()
		x.opts.Transport.Send(address, datagram)
	}
}

// sortedLoads returns the loads of a sum in a stable order.
func sortedLoads(sum map[uint32]load) []load {
	return slices.SortedFunc(maps.Values(sum), func(a, b load) int { return cmp.Compare(a.upstream, b.upstream) })
}

// recipients returns the exchange addresses of the peers that this VM sends to.
func (x *Exchange) recipients() []string {
	self, all := x.opts.List.Self(), x.opts.List.Members()
	var out []string
	for _, m := range all {
		if m.Name == self.Name || m.State == membership.Gone || len(all) > maxFullMesh && m.DataCentre != self.DataCentre {
			continue
		}
		if address, ok := x.addressOf(&m); ok {
			out = append(out, address)
		}
	}
	return out
}

// addressOf returns the address of the exchange at a member.
func (x *Exchange) addressOf(m *membership.Member) (string, bool) {
	host, ok := hostOf(m.Address)
	return host + ":" + x.opts.Port, ok
}

func hostOf(address string) (string, bool) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return "", false
	}
	return address[:i], true
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
		payload, ok := membership.Open(x.opts.Secret, buffer[:n])
		if !ok {
			messagesRejected.Inc()
			continue
		}
		m, err := decode(payload)
		if err != nil {
			messagesRejected.Inc()
			continue
		}
		messagesReceived.Inc()
		x.handleMessage(time.Now(), from, m)
	}
}

// handleMessage processes a decoded message.
func (x *Exchange) handleMessage(now time.Time, from string, m message) {
	if m.dataCentre != "" {
		x.handleRelayed(now, from, m)
		return
	}
	x.handleDirect(now, from, &m)
	x.noteRevision(from, m.plansRevision)
	x.reportStarts(&m)
	x.reportCrashes(&m)
	x.reportPartNotices(&m)
	x.reportLimits(now, &m)
}

// handleDirect merges a message that was not relayed, unless a newer one has arrived from the same peer.
func (x *Exchange) handleDirect(now time.Time, from string, m *message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p != nil && (m.boot < p.boot || m.boot == p.boot && m.seq <= p.seq) {
		return
	}
	if host, ok := hostOf(from); ok {
		x.lastReceived[host] = now
	}
	x.replacePeer(from, &peerState{boot: m.boot, seq: m.seq, receivedAt: now, loads: m.loads})
	x.queueForRelay(m.placements...)
	if x.relaying.active {
		x.relaying.gone.add(m.gone...)
		x.relaying.crashes.add(m.crashes...)
		x.relaying.partNotices.add(m.partNotices...)
		x.relaying.starts.add(m.starts...)
		for _, n := range m.limits {
			x.relaying.limits.add(n.limit(now))
		}
	}
	x.queueForScheduler(m)
	if x.relaying.active || len(x.receivedGone) > 0 {
		x.TriggerRound()
	}
}

// queueForScheduler queues the placements and gone upstreams of a message for the next round. The lock is held.
func (x *Exchange) queueForScheduler(m *message) {
	x.receivedGone = append(x.receivedGone, m.gone...)
	x.receivedGone = x.receivedGone[max(len(x.receivedGone)-maxPending, 0):]
	x.receivedPlacements = append(x.receivedPlacements, m.placements...)
	x.receivedPlacements = x.receivedPlacements[max(len(x.receivedPlacements)-maxPending, 0):]
}
