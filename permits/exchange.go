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
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/membership"
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
