// Package loads lets entry VMs tell one another what they have in hand at each upstream, and which prompts they have placed where.
//
// Each entry VM sends its own counts; the sum of what the others sent is the load that it did not cause itself. Messages are
// datagrams: a lost one is replaced by the next. They also tell which upstreams were found to be gone. In large fleets a relay of
// each data centre exchanges sums with the relays of the others.
//
// Invariants: what a peer sent counts for a bounded time; messages, tables and queues are bounded.
package loads

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// Options configures an Exchange. All but Log are required.
type Options struct {
	List      membership.List
	Transport membership.Transport
	Port      string // of the exchange at all entry VMs
	Secret    string
	Boot      uint64 // start of this process
	// Do runs f in the scheduler's goroutine and waits for it.
	Do func(ctx context.Context, f func(now time.Duration, s *scheduler.Scheduler)) error
	// Gone is called with the name of an upstream that a peer has found to be gone. nil: not wanted.
	Gone func(upstream string)
	// Crashed is called with each crash that a peer tells of, also more than once. It must not block. nil: not wanted.
	Crashed func(Crash)
	Log     *zap.Logger
}

const (
	interval = 100 * time.Millisecond // without a cause, for what has ended
	// gather is waited after a cause, so that what happens at once shares a message. Entry VMs that do not know of one another's
	// prompts for longer send them to the same engine.
	gather = 5 * time.Millisecond
	// refresh is the longest time between two messages while something is in hand. Peers forget after life.
	refresh = 400 * time.Millisecond
	life    = time.Second
	// keepAlive is the longest time between two messages, also with nothing in hand. A peer that sent nothing for silence is off or
	// cut off.
	keepAlive = time.Second
	silence   = 3 * time.Second
	// allPeers is the number of entry VMs up to which each tells all others. In larger fleets each tells those of its own data
	// centre, and the data centres tell one another through relays.
	allPeers = 16
	// placeRepeats is how often a placement is sent, against lost datagrams.
	placeRepeats = 2
	maxPending   = 256 // placements that wait to be sent
	// tellAll lies between two times that the scheduler is told all loads, not only those that have changed. It bounds how long a new upstream
	// in the place of an old one goes without its load.
	tellAll = 500 * time.Millisecond
)

// Exchange sends and collects loads.
type Exchange struct {
	opts Options

	wake chan struct{}

	mu      sync.Mutex
	pending []repeated[placement]
	peers   map[string]*heard
	last    map[string]time.Time // by host: the last message of a peer, also long ago
	places  []placement          // received and not yet applied
	lost    []uint32             // received: upstreams that are gone
	gone    notices[uint32]      // to be sent: upstreams that are gone
	crashes notices[Crash]       // to be sent
	sum     map[uint32]load      // of all peers
	dirty   map[uint32]struct{}  // upstreams whose sum has changed since the last look

	seq      uint64
	lastOwn  []load
	lastSent time.Time

	toldAll  time.Time // when the scheduler was told all loads
	relaying relaying
	view     view
}

type heard struct {
	boot, seq uint64
	at        time.Time
	loads     []load
	centre    string // of a sum: the data centre
	parts     uint64 // of a sum
}

var (
	sent     = metrics.NewCounter(`bergamot_load_messages_total{direction="sent"}`)
	received = metrics.NewCounter(`bergamot_load_messages_total{direction="received"}`)
	rejected = metrics.NewCounter(`bergamot_load_messages_rejected_total`)
)

// New returns an Exchange.
func New(o Options) *Exchange {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Exchange{opts: o, peers: map[string]*heard{}, last: map[string]time.Time{}, sum: map[uint32]load{}, dirty: map[uint32]struct{}{},
		wake: make(chan struct{}, 1)}
}

// Run takes part until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(x.receive)
	g.Go(func() error {
		<-ctx.Done()
		return x.opts.Transport.Close()
	})
	g.Go(func() error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			case <-x.wake:
				time.Sleep(gather)
			}
			x.round(ctx, time.Now())
		}
	})
	return g.Wait()
}

// Changed tells that work was placed, so that peers hear of it at once.
func (x *Exchange) Changed() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Silent says that a member of a fleet of so many has sent messages to this entry VM, and none for a time in which it should have.
func (x *Exchange) Silent(now time.Time, m *membership.Member, fleet int) bool {
	host, ok := hostOf(m.Address)
	if self := x.opts.List.Self(); !ok || m.DataCentre != self.DataCentre && fleet > allPeers {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.last[host]
	if known && now.Sub(last) > forgetSilent {
		delete(x.last, host)
	}
	return known && now.Sub(last) > silence
}

// forgetSilent is the age from which a silent peer is left to the membership.
const forgetSilent = time.Minute

// Placed notes that upstreams will hold the parts, so that peers send prompts with them there.
func (x *Exchange) Placed(parts []policy.Part, upstreams ...string) {
	if len(parts) > maxParts {
		parts = parts[:maxParts]
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, u := range upstreams {
		if len(x.pending) < maxPending {
			x.pending = append(x.pending, repeated[placement]{placement{hash(u), parts}, placeRepeats})
		}
		x.noteForRelay(placement{hash(u), parts})
	}
}

// Gone notes that another upstream has the address of this one, so that peers do not find out by a request each.
func (x *Exchange) Gone(upstream string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone.add(hash(upstream))
	x.relaying.gone.add(hash(upstream))
	x.Changed()
}

// Crashed notes what peers have to know of a crashing request before they meet it.
func (x *Exchange) Crashed(c Crash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.crashes.add(c)
	x.relaying.crashes.add(c)
	x.Changed()
}

// tellCrashes passes on the crashes of a message.
func (x *Exchange) tellCrashes(m *message) {
	if x.opts.Crashed == nil {
		return
	}
	for _, c := range m.crashes {
		x.opts.Crashed(c)
	}
}

func hash(upstream string) uint32 { return uint32(xxhash.Sum64String(upstream)) }

// round takes what has come into the scheduler and sends the own counts where they have changed.
func (x *Exchange) round(ctx context.Context, now time.Time) {
	all := now.Sub(x.toldAll) >= tellAll
	others, places, lost := x.collect(now, all)
	var own []load
	var gone []string
	err := x.opts.Do(ctx, func(at time.Duration, s *scheduler.Scheduler) {
		own = counts(s)
		x.view.apply(at, s, all, others, places)
		gone = x.view.names(s, lost)
	})
	if err != nil {
		return // ctx has ended
	}
	for _, name := range gone {
		if x.opts.Gone != nil {
			x.opts.Gone(name)
		}
	}
	if all {
		x.toldAll = now
	}
	x.send(now, own)
	x.relay(now, own)
}

// collect forgets what is too old and returns what peers have in hand at the upstreams where it has changed, or at all.
func (x *Exchange) collect(now time.Time, all bool) (others map[uint32]load, places []placement, lost []uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, p := range x.peers {
		if now.Sub(p.at) > life {
			x.replace(name, nil)
		}
	}
	if all {
		others = maps.Clone(x.sum)
	} else {
		others = make(map[uint32]load, len(x.dirty))
		for u := range x.dirty {
			others[u] = x.sum[u]
		}
	}
	clear(x.dirty)
	places, x.places = x.places, nil
	lost, x.lost = x.lost, nil
	return others, places, lost
}

// replace puts what a peer has in hand in the place of what it had. nil forgets the peer. The lock is held.
func (x *Exchange) replace(name string, p *heard) {
	if old := x.peers[name]; old != nil {
		for _, l := range old.loads {
			sum := x.sum[l.upstream]
			sum = load{l.upstream, sum.running - l.running, sum.prompt - l.prompt}
			if sum.running == 0 && sum.prompt == 0 {
				delete(x.sum, l.upstream)
			} else {
				x.sum[l.upstream] = sum
			}
			x.dirty[l.upstream] = struct{}{}
		}
	}
	if p == nil {
		delete(x.peers, name)
		return
	}
	x.peers[name] = p
	add(x.sum, p.loads)
	for _, l := range p.loads {
		x.dirty[l.upstream] = struct{}{}
	}
}

// counts is what this entry VM has in hand.
func counts(s *scheduler.Scheduler) []load {
	var own []load
	for _, u := range s.Fleet().Upstreams {
		if (u.OwnRunning > 0 || u.OwnPrefill >= promptUnit) && len(own) < maxLoads {
			own = append(own, load{uint32(u.Hash), uint64(u.OwnRunning), uint64(u.OwnPrefill)})
		}
	}
	return own
}

// send tells the peers.
func (x *Exchange) send(now time.Time, own []load) {
	x.mu.Lock()
	var places []placement
	places, x.pending = takeRepeated(x.pending, maxPlaces)
	gone, crashes := x.gone.take(maxGone), x.crashes.take(maxCrashes)
	x.mu.Unlock()
	quiet := len(own) == 0 && len(x.lastOwn) == 0
	due := refresh
	if quiet {
		due = keepAlive
	}
	if len(places)+len(gone)+len(crashes) == 0 && slices.Equal(own, x.lastOwn) && now.Sub(x.lastSent) < due {
		return
	}
	x.seq++
	x.lastOwn, x.lastSent = own, now
	m := message{boot: x.opts.Boot, seq: x.seq, loads: own, places: places, gone: gone, crashes: crashes}
	x.tell(x.targets(), m)
}

// tell sends a message to addresses.
func (x *Exchange) tell(to []string, m message) {
	datagram := membership.Seal(x.opts.Secret, m.encode())
	if len(datagram) > maxDatagram {
		m.places = nil // counts go first; placements are only a saving
		datagram = membership.Seal(x.opts.Secret, m.encode())
	}
	for _, address := range to {
		sent.Inc()
		x.opts.Transport.Send(address, datagram)
	}
}

// listed returns a sum in a stable order.
func listed(sum map[uint32]load) []load {
	return slices.SortedFunc(maps.Values(sum), func(a, b load) int { return cmp.Compare(a.upstream, b.upstream) })
}

// targets are the peers that are told.
func (x *Exchange) targets() []string {
	self, all := x.opts.List.Self(), x.opts.List.Members()
	var out []string
	for _, m := range all {
		if m.Name == self.Name || m.State == membership.Gone || len(all) > allPeers && m.DataCentre != self.DataCentre {
			continue
		}
		if address, ok := x.addressOf(&m); ok {
			out = append(out, address)
		}
	}
	return out
}

// addressOf is the address of the exchange at a member.
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
			rejected.Inc()
			continue
		}
		m, err := decode(payload)
		if err != nil {
			rejected.Inc()
			continue
		}
		received.Inc()
		x.hear(time.Now(), from, m)
	}
}

// hear takes a message unless a newer one has come from the same process.
func (x *Exchange) hear(now time.Time, from string, m message) {
	if m.centre != "" {
		x.hearRelayed(now, from, m)
		return
	}
	x.hearOwnCentre(now, from, &m)
	x.tellCrashes(&m)
}

// hearOwnCentre takes a message that was not relayed.
func (x *Exchange) hearOwnCentre(now time.Time, from string, m *message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[from]
	if p != nil && (m.boot < p.boot || m.boot == p.boot && m.seq <= p.seq) {
		return
	}
	if host, ok := hostOf(from); ok {
		x.last[host] = now
	}
	x.replace(from, &heard{boot: m.boot, seq: m.seq, at: now, loads: m.loads})
	x.noteForRelay(m.places...)
	if x.relaying.active {
		x.relaying.gone.add(m.gone...)
		x.relaying.crashes.add(m.crashes...)
	}
	x.takePlaces(m)
	x.Changed()
}

// takePlaces keeps what a message tells of upstreams for the scheduler. The lock is held.
func (x *Exchange) takePlaces(m *message) {
	x.lost = append(x.lost, m.gone...)
	x.lost = x.lost[max(len(x.lost)-maxPending, 0):]
	x.places = append(x.places, m.places...)
	x.places = x.places[max(len(x.places)-maxPending, 0):]
}
