package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/store"
)

// Errors of Broadcast.
var (
	ErrEventTooLarge = errors.New("membership: event exceeds MaxEventBytes or its kind is too long")
	ErrTooManyEvents = errors.New("membership: too many events are queued")
)

// Exchanger compares member tables with the VM at a peer address. *peer.Client implements it.
type Exchanger interface {
	ExchangeTable(ctx context.Context, address string, r *peerv1.ExchangeTableRequest) (*peerv1.ExchangeTableResponse, error)
}

// Options configure a Service.
type Options struct {
	Self      Member // Name, addresses, DataCentre and Cores. Incarnation 0: the time of the start in milliseconds
	Transport Transport
	Secret    string // shared by all entry VMs
	Exchanger Exchanger
	Seeds     []string // peer addresses from the settings
	// VMs returns the platform's list, or an error while the store is down. PeerPort is the peer service's port at the
	// listed addresses.
	VMs      func(context.Context) ([]store.VM, error)
	PeerPort string
	// Now is the clock; nil: time.Now. Timers use package time, which testing/synctest replaces.
	Now  func() time.Time
	Seed uint64 // of random choices; 0: random
	Log  *zap.Logger
	// WasDeclaredGone is called when this VM refutes a record by which another VM declared it gone. Package claims
	// then invalidates its unused issued keys, since callers may have been told that these never run.
	WasDeclaredGone func()
	// ListInterval is the time between reads of the VM list; 0: DefaultListInterval.
	ListInterval time.Duration
}

// Intervals of the tasks other than heartbeats.
const (
	tickInterval = 100 * time.Millisecond
	// DefaultTableInterval keeps the digests at about 20 B/s.
	DefaultTableInterval = time.Minute
	joinRetry            = time.Second
	// DefaultListInterval keeps the reads of 2,200 VMs at 4 a second. Heartbeats carry the changes meanwhile.
	DefaultListInterval = 10 * time.Minute
	listRetry           = 20 * time.Second
)

// Service is the membership of one entry VM.
type Service struct {
	o    Options
	mu   sync.Mutex // guards core, handlers and queues
	core *core

	handlers    map[string]func(Event)
	observers   map[int]func(Member)
	nextID      int
	changes     map[string]Member // queued for observers; the newest of each member
	changeSeq   []string          // names in changes, in order
	inbox       []Event
	wake        chan struct{}
	exchangeNow chan struct{} // requests an exchange from tableLoop
	rejoined    bool          // another VM had declared this one gone; queued for WasDeclaredGone
	listSeeds   []string
	lastLogged  map[string]string // by member: the state last logged; owned by dispatch

	sentBytes, receivedBytes *metrics.Counter
	rejected, droppedEvents  *metrics.Counter
}

var _ List = (*Service)(nil)

// New returns a service whose table holds only its own VM.
func New(o Options) (*Service, error) {
	if o.Self.Name == "" || len(o.Self.Name) > maxNameBytes {
		return nil, trace.BadParameter("membership: the name must have 1 to %d bytes", maxNameBytes)
	}
	if o.Transport == nil || o.Secret == "" {
		return nil, trace.BadParameter("membership: transport and secret are required")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.ListInterval <= 0 {
		o.ListInterval = DefaultListInterval
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Now().UnixMilli())
	}
	s := &Service{
		o: o, core: newCore(o.Self, o.Seed), handlers: map[string]func(Event){}, observers: map[int]func(Member){},
		changes: map[string]Member{}, lastLogged: map[string]string{}, wake: make(chan struct{}, 1), exchangeNow: make(chan struct{}, 1),
		sentBytes:     metrics.GetOrCreateCounter(`bergamot_membership_bytes_total{direction="sent"}`),
		receivedBytes: metrics.GetOrCreateCounter(`bergamot_membership_bytes_total{direction="received"}`),
		rejected:      metrics.GetOrCreateCounter(`bergamot_membership_rejected_datagrams_total`),
		droppedEvents: metrics.GetOrCreateCounter(`bergamot_membership_dropped_events_total`),
	}
	s.core.self.since = o.Now()
	if len(o.Seeds) > 0 { // a VM whose table holds only itself would direct all callers to itself
		s.core.currentFrom = o.Now().Add(maxExchangeWait)
	}
	s.core.send = s.send
	s.core.changed = s.queueChange
	s.core.deliver = s.queueEvent
	s.core.requestExchange = func() { signal(s.exchangeNow) }
	s.core.wasDeclaredGone = func() { s.rejoined = true }
	return s, nil
}

// Run takes part in the protocol until ctx ends, then announces that this VM is gone.
func (s *Service) Run(ctx context.Context) error {
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error { return s.receiveLoop() })
	g.Go(func() error { return s.tickLoop(inner) })
	g.Go(func() error { return s.dispatchLoop(inner) })
	g.Go(func() error { return s.tableLoop(inner) })
	g.Go(func() error { return s.listLoop(inner) })
	g.Go(func() error {
		<-inner.Done()
		s.withLock(func(now time.Time) { s.core.announceGone(now) })
		return s.o.Transport.Close()
	})
	return trace.Wrap(g.Wait())
}

// withLock runs f on the core, then wakes the dispatcher for queued changes and events.
func (s *Service) withLock(f func(now time.Time)) {
	s.mu.Lock()
	f(s.o.Now())
	pending := len(s.changeSeq) > 0 || len(s.inbox) > 0 || s.rejoined
	s.mu.Unlock()
	if pending {
		signal(s.wake)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Service) send(address string, payload []byte) {
	d := Seal(s.o.Secret, payload)
	s.sentBytes.Add(len(d))
	s.o.Transport.Send(address, d)
}

func (s *Service) receiveLoop() error {
	buffer := make([]byte, 2*maxDatagram)
	for {
		n, from, err := s.o.Transport.Receive(buffer)
		if errors.Is(err, ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		s.receivedBytes.Add(n)
		payload, ok := Open(s.o.Secret, buffer[:n])
		if !ok {
			s.rejected.Inc()
			continue
		}
		s.withLock(func(now time.Time) { s.core.receive(now, from, payload) })
	}
}

func (s *Service) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.withLock(func(now time.Time) { s.core.tick(now) })
		}
	}
}

func (s *Service) queueChange(m Member) {
	if _, ok := s.changes[m.Name]; !ok {
		s.changeSeq = append(s.changeSeq, m.Name)
	}
	s.changes[m.Name] = m
}

func (s *Service) queueEvent(e Event) {
	if len(s.inbox) >= maxQueuedEvents {
		s.droppedEvents.Inc()
		return
	}
	s.inbox = append(s.inbox, e)
}

// dispatchLoop calls observers and receivers of events, all from this goroutine.
func (s *Service) dispatchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.dispatch()
		}
	}
}

// logChange logs a change of a member's state, suspicion or incarnation, but not of its revision alone.
func (s *Service) logChange(m Member) {
	state := fmt.Sprint(m.State, m.Suspect, m.Incarnation)
	if s.lastLogged[m.Name] == state {
		return
	}
	s.lastLogged[m.Name] = state
	if m.State == Gone {
		delete(s.lastLogged, m.Name)
	}
	s.o.Log.Info("member changed", zap.String("member", m.Name), zap.Stringer("state", m.State), zap.Bool("suspect", m.Suspect),
		zap.Uint64("incarnation", m.Incarnation))
}

func (s *Service) dispatch() {
	s.mu.Lock()
	names, changes, events, rejoined := s.changeSeq, s.changes, s.inbox, s.rejoined
	s.changeSeq, s.changes, s.inbox, s.rejoined = nil, map[string]Member{}, nil, false
	var observers []func(Member)
	for id := range s.nextID {
		if f, ok := s.observers[id]; ok {
			observers = append(observers, f)
		}
	}
	handlers := make([]func(Event), len(events))
	for i, e := range events {
		handlers[i] = s.handlers[e.Kind]
	}
	s.mu.Unlock()

	if rejoined && s.o.WasDeclaredGone != nil {
		s.o.WasDeclaredGone()
	}
	for _, name := range names {
		s.logChange(changes[name])
		for _, f := range observers {
			f(changes[name])
		}
	}
	for i, f := range handlers {
		if f != nil {
			f(events[i])
		}
	}
}
