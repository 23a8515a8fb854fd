package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Defaults.
const (
	// DefaultSendTimeout bounds how long a sent order may be under way. An engine answers an order in milliseconds. It is also
	// how long a successor waits for the orders of its predecessor to arrive.
	DefaultSendTimeout = 2 * time.Second
	defaultPoll        = 500 * time.Millisecond
	defaultLimit       = 10 * time.Minute // loading a large model takes minutes under the weight store's rate
	// maxSettle bounds how often an order that another one has displaced is sent again.
	maxSettle = 3
)

// Options configure a Runner.
type Options struct {
	Store       store.Store // with the share for leases and orders
	Authority   lease.Authority
	Engine      Engine
	SendTimeout time.Duration
	Poll        time.Duration // between two questions to an engine that works on an order
	Limit       time.Duration // of an order without LimitMS
	Clock       store.Clock
	Name        string // first part of the writer marks
	Logger      *zap.Logger
}

// Service is the Runner of one entry VM. It is safe for concurrent use; orders to one engine follow one another.
type Service struct {
	opt      Options
	sequence atomic.Uint64
	mu       sync.Mutex
	active   map[string]int // upstreams with a call of this process under way, and their group
}

var _ Runner = (*Service)(nil)

// New returns a Service with defaults for what opt leaves out.
func New(opt Options) *Service {
	if opt.SendTimeout <= 0 {
		opt.SendTimeout = DefaultSendTimeout
	}
	if opt.Poll <= 0 {
		opt.Poll = defaultPoll
	}
	if opt.Limit <= 0 {
		opt.Limit = defaultLimit
	}
	if opt.Clock == nil {
		opt.Clock = store.SystemClock{}
	}
	if opt.Logger == nil {
		opt.Logger = zap.NewNop()
	}
	return &Service{opt: opt, active: map[string]int{}}
}

var (
	ordersSent      = metrics.NewCounter("bergamot_orders_sent_total")
	ordersFailed    = metrics.NewCounter("bergamot_orders_failed_total")
	ordersDisplaced = metrics.NewCounter("bergamot_orders_displaced_total")
)

// Busy reports whether an order of the group is under way in this process.
func (s *Service) Busy(group int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.active {
		if g == group {
			return true
		}
	}
	return false
}

// enter makes the calls for one engine exclude one another within this process.
func (s *Service) enter(u topo.Upstream) (leave func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.active[u.Name]; ok {
		return nil, result.New(result.OrderOpen, "an order for %s is under way", u.Name)
	}
	s.active[u.Name] = s.opt.Authority.GroupOf(u.Name)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, u.Name)
	}, nil
}

// Run carries out one order.
func (s *Service) Run(ctx context.Context, u topo.Upstream, o topo.Order) (topo.Order, error) {
	leave, err := s.enter(u)
	if err != nil {
		return o, err
	}
	defer leave()
	r, err := s.ready(ctx, u)
	if err != nil {
		return o, err
	}
	if r.order.State == topo.OrderOpen {
		if err := s.settleOpen(ctx, u, r); err != nil {
			return o, err
		}
	}
	r.order = o
	return s.carry(ctx, u, r, false)
}

// Settle finishes the order that a predecessor left open, and sends the last finished order again when the engine shows another
// one. The holder of a group calls it for each engine when it takes the lease, and now and then afterwards.
func (s *Service) Settle(ctx context.Context, u topo.Upstream) error {
	leave, err := s.enter(u)
	if err != nil {
		return err
	}
	defer leave()
	r, err := s.ready(ctx, u)
	if err != nil {
		return err
	}
	if r.order.State != topo.OrderOpen {
		return s.reassert(ctx, u, r)
	}
	return s.settleOpen(ctx, u, r)
}

// record is an order and the version of its object.
type record struct {
	order   topo.Order
	version uint64
}

// margin is how long a lease must be valid when an order is sent: until the order has arrived or is given up.
func (s *Service) margin() time.Duration { return s.opt.SendTimeout }

// ready checks the authority, waits until no order of a predecessor can be under way, and reads the engine's record.
func (s *Service) ready(ctx context.Context, u topo.Upstream) (*record, error) {
	t, err := s.check(u)
	if err != nil {
		return nil, err
	}
	quiet := t.Since.Add(s.opt.SendTimeout)
	if d := quiet.Sub(s.opt.Clock.Now()); d > 0 {
		if err := s.opt.Clock.Sleep(ctx, d); err != nil {
			return nil, canceled(err)
		}
	}
	return s.read(ctx, u)
}

func (s *Service) check(u topo.Upstream) (lease.Token, error) {
	return s.opt.Authority.Check(s.opt.Authority.GroupOf(u.Name), s.margin())
}

func (s *Service) read(ctx context.Context, u topo.Upstream) (*record, error) {
	o, err := s.opt.Store.Get(ctx, topo.KindOrder, u.Name)
	if errors.Is(err, store.ErrNotFound) {
		return &record{}, nil
	}
	if err != nil {
		return nil, storeError(err)
	}
	order, err := topo.Decode[topo.Order](o.Value)
	return &record{order, o.Version}, err
}

// write records an order under the condition that nobody else has, and keeps the new version.
func (s *Service) write(ctx context.Context, r *record) error {
	value, err := topo.Encode(r.order)
	if err != nil {
		return err
	}
	version, err := store.PutSettled(ctx, s.opt.Store, store.Object{
		Kind: topo.KindOrder, Name: r.order.Upstream, Version: r.version, Value: value,
		Writer: store.NewMark(s.opt.Name),
	}, nil)
	if err != nil {
		return storeError(err)
	}
	r.version = version
	return nil
}

// carry records, sends and settles r.order, whose engine has no open order. keepLost leaves an order open that did not reach the
// engine.
func (s *Service) carry(ctx context.Context, u topo.Upstream, r *record, keepLost bool) (topo.Order, error) {
	for attempt := 1; ; attempt++ {
		status, err := s.idle(ctx, u)
		if err != nil {
			return r.order, err
		}
		if err := s.open(ctx, u, r); err != nil {
			return r.order, err
		}
		end, err := s.send(ctx, u, r.order, status.Boot)
		if err != nil {
			return r.order, err
		}
		if end.lost && keepLost {
			return r.order, s.report(ctx, u, r.order, end)
		}
		r.order.State, r.order.Result = end.state, end.reason
		if err := s.write(ctx, r); err != nil {
			return r.order, s.lostRecord(ctx, u, r, err)
		}
		if !end.displaced || attempt == maxSettle {
			return r.order, s.report(ctx, u, r.order, end)
		}
	}
}

// open gives the order its identity under the present lease and records it.
func (s *Service) open(ctx context.Context, u topo.Upstream, r *record) error {
	t, err := s.check(u)
	if err != nil {
		return err
	}
	o := &r.order
	o.ID = fmt.Sprintf("%d-%d-%d", t.Group, t.Fencing, s.sequence.Add(1))
	o.Upstream, o.Group, o.Fencing, o.State, o.Result = u.Name, t.Group, t.Fencing, topo.OrderOpen, ""
	o.Recorded = time.Now().UTC()
	if o.LimitMS <= 0 {
		o.LimitMS = s.opt.Limit.Milliseconds()
	}
	return s.write(ctx, r)
}

// lostRecord explains why an order could not be closed: a successor has settled it, or the store failed and it stays open.
func (s *Service) lostRecord(ctx context.Context, u topo.Upstream, r *record, err error) error {
	if result.CodeOf(err) != result.StoreConflict {
		return err
	}
	now, readErr := s.read(ctx, u)
	if readErr == nil && now.order.Fencing > r.order.Fencing {
		return result.New(result.LeaseLost, "the order for %s was settled by the next holder", u.Name).
			WithExecution(result.Unknown).WithCause(err)
	}
	return err
}

// report turns the end of an order into the error for the caller, and marks an engine that needs the operator.
func (s *Service) report(ctx context.Context, u topo.Upstream, o topo.Order, e end) error {
	if e.state == topo.OrderDone {
		return nil
	}
	ordersFailed.Inc()
	s.opt.Logger.Warn("order failed", zap.String("order", o.ID), zap.String("upstream", u.Name), zap.String("reason", e.reason))
	if e.mark {
		s.mark(ctx, u, o, e.reason)
	}
	return result.New(e.code, "order %s for %s: %s", o.ID, u.Name, e.reason).WithExecution(e.execution)
}

func canceled(err error) error {
	return result.New(result.OrderTimedOut, "the call ended before the order").WithCause(err)
}

// storeError gives a store error its result code.
func storeError(err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		return result.New(result.StoreConflict, "the order's record was changed by another writer").WithCause(err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return result.New(result.StoreOutcomeUnknown, "the outcome of the write is unknown").WithCause(err)
	default:
		return result.New(result.StoreUnavailable, "the store can't be used now").WithCause(err)
	}
}
