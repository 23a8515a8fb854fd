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

const (
	// DefaultSendTimeout bounds how long a sent order may be in flight. An engine answers an order in milliseconds. A new lease
	// holder waits as long for the orders of the former one to arrive.
	DefaultSendTimeout = 2 * time.Second
	defaultPoll        = 500 * time.Millisecond
	defaultLimit       = 10 * time.Minute // loading a large model takes minutes under the weight store's rate
	// maxSends bounds how often an order is sent if other orders displace it.
	maxSends = 3
)

// Options configures a Service.
type Options struct {
	Store       store.Store // uses the rate share for leases and orders
	Authority   lease.Authority
	Engine      Engine
	SendTimeout time.Duration
	Poll        time.Duration // interval of status requests to an engine that works on an order
	Limit       time.Duration // of an order without LimitMS
	Clock       store.Clock
	Name        string // prefix of the writer marks
	Logger      *zap.Logger
}

// Service is the Runner of one entry VM. It is safe for concurrent use; a call for an engine fails while another one runs.
type Service struct {
	opt      Options
	sequence atomic.Uint64
	mu       sync.Mutex
	active   map[string]int // upstreams for which a call is running, with their group
}

var _ Runner = (*Service)(nil)

// New returns a Service with defaults for the options that are not set.
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

// Busy reports whether a call for an engine of the group is running in this process.
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

// acquireEngine reserves an engine for one call of this process. It fails while another call has reserved the engine.
func (s *Service) acquireEngine(u topo.Upstream) (leave func(), err error) {
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

// Run executes one order.
func (s *Service) Run(ctx context.Context, u topo.Upstream, o topo.Order) (topo.Order, error) {
	leave, err := s.acquireEngine(u)
	if err != nil {
		return o, err
	}
	defer leave()
	r, err := s.prepare(ctx, u)
	if err != nil {
		return o, err
	}
	if r.order.State == topo.OrderOpen {
		if err := s.settleOpen(ctx, u, r); err != nil {
			return o, err
		}
	}
	r.order = o
	return s.execute(ctx, u, r, false)
}

// Settle finishes the order that a former holder left open, and resends the last finished order if the engine reports another
// one. The holder of a group calls it for each engine when it takes the lease, and periodically afterwards.
func (s *Service) Settle(ctx context.Context, u topo.Upstream) error {
	leave, err := s.acquireEngine(u)
	if err != nil {
		return err
	}
	defer leave()
	r, err := s.prepare(ctx, u)
	if err != nil {
		return err
	}
	if r.order.State != topo.OrderOpen {
		return s.resendIfReplaced(ctx, u, r)
	}
	return s.settleOpen(ctx, u, r)
}

// record is an order with the version of its object.
type record struct {
	order   topo.Order
	version uint64
}

// margin returns how long a lease must remain valid when an order is sent: until the order has arrived or timed out.
func (s *Service) margin() time.Duration { return s.opt.SendTimeout }

// prepare checks the lease, waits until no order of a former holder can be in flight, and returns the engine's record.
func (s *Service) prepare(ctx context.Context, u topo.Upstream) (*record, error) {
	t, err := s.checkLease(u)
	if err != nil {
		return nil, err
	}
	arrived := t.Since.Add(s.opt.SendTimeout)
	if d := arrived.Sub(s.opt.Clock.Now()); d > 0 {
		if err := s.opt.Clock.Sleep(ctx, d); err != nil {
			return nil, canceledError(err)
		}
	}
	return s.read(ctx, u)
}

func (s *Service) checkLease(u topo.Upstream) (lease.Token, error) {
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

// write updates the record if no other writer has changed it, and sets the new version in r.
func (s *Service) write(ctx context.Context, r *record) error {
	value, err := topo.Encode(r.order)
	if err != nil {
		return err
	}
	version, err := store.PutSettled(ctx, s.opt.Store, store.Object{
		Kind: topo.KindOrder, Name: r.order.Upstream, Version: r.version, Value: value,
		Writer: store.NewWriterMark(s.opt.Name),
	}, nil)
	if err != nil {
		return storeError(err)
	}
	r.version = version
	return nil
}

// execute records, sends and settles r.order, whose engine has no open order. With keepLost, an order that did not reach the
// engine stays open.
func (s *Service) execute(ctx context.Context, u topo.Upstream, r *record, keepLost bool) (topo.Order, error) {
	for attempt := 1; ; attempt++ {
		status, err := s.waitIdle(ctx, u)
		if err != nil {
			return r.order, err
		}
		if err := s.recordOpen(ctx, u, r); err != nil {
			return r.order, err
		}
		end, err := s.sendAndFollow(ctx, u, r.order, status.Boot)
		if err != nil {
			return r.order, err
		}
		if end.undelivered && keepLost {
			return r.order, s.reportEnd(ctx, u, r.order, end)
		}
		r.order.State, r.order.Result = end.state, end.reason
		if err := s.write(ctx, r); err != nil {
			return r.order, s.closeError(ctx, u, r, err)
		}
		if !end.displaced || attempt == maxSends {
			return r.order, s.reportEnd(ctx, u, r.order, end)
		}
	}
}

// recordOpen sets the order's identity under the present lease and records the order as open.
func (s *Service) recordOpen(ctx context.Context, u topo.Upstream, r *record) error {
	t, err := s.checkLease(u)
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

// closeError returns the error of an order whose end could not be recorded: the next holder has settled the order, or the store
// failed and the order stays open.
func (s *Service) closeError(ctx context.Context, u topo.Upstream, r *record, err error) error {
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

// reportEnd returns the outcome of an order as an error, or nil, and marks an engine that needs the operator.
func (s *Service) reportEnd(ctx context.Context, u topo.Upstream, o topo.Order, e orderEnd) error {
	if e.state == topo.OrderDone {
		return nil
	}
	ordersFailed.Inc()
	s.opt.Logger.Warn("order failed", zap.String("order", o.ID), zap.String("upstream", u.Name), zap.String("reason", e.reason))
	if e.needsOperator {
		s.writeProblem(ctx, u, o, e.reason)
	}
	return result.New(e.code, "order %s for %s: %s", o.ID, u.Name, e.reason).WithExecution(e.execution)
}

func canceledError(err error) error {
	return result.New(result.OrderTimedOut, "the call ended before the order").WithCause(err)
}

// storeError converts a store error into an error with a result code.
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
