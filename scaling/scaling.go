// Package scaling orders the servers of the services that the platform lets the system scale.
//
// Invariants: an order is sent only under a lease that is valid for longer than the send may take; a new figure is in the store
// before it is sent first; an order whose answer was lost is repeated with the same figure before any other order for the same
// service and data centre.
package scaling

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/store"
)

// Errors of Options.Send. After any other error the order may have been carried out, or still be.
var (
	ErrNoServers   = errors.New("no servers of this kind are available there now")
	ErrRateLimited = errors.New("the platform takes no more orders now") // the order had no effect
	ErrRejected    = errors.New("the platform has rejected the order")
)

// Service is a scaled service as this entry VM sees it now.
type Service struct {
	Name        string
	Min, Max    int // servers in each data centre, both kinds together
	Startup     time.Duration
	DataCentres []DataCentre // in the order of their names
	// Demand is the work now, as the number of servers of mean speed that it keeps fully busy.
	Demand float64
}

// DataCentre holds the registered servers of a service in one data centre.
type DataCentre struct {
	Name  string
	Kinds [policy.ServerKinds]Registered
}

// Registered are the registered servers of one kind.
type Registered struct {
	Serving, Leaving int
	Settling         int // registered, but not ready to replace others
	Reclaimed        int // part of Leaving that the platform takes away
	Price            float64
}

// Order asks the platform for a number of servers.
type Order struct {
	Service    string            `json:"service"`
	DataCentre string            `json:"data_centre"`
	Kind       policy.ServerKind `json:"kind"`
	Desired    int               `json:"desired"`
}

// State is the stored state of the duty.
type State struct {
	Orders []Order        `json:"orders"` // the last one of each service, data centre and kind
	Totals map[string]int `json:"totals"` // of the last plan, by service
}

// Options configures a Controller. All but Log and Clock are required.
type Options struct {
	Lease   lease.Authority
	Group   int
	Holder  string // name of this entry VM
	Store   store.Store
	Observe func() []Service // nil result: the servers are not known now
	// NewScaler returns the scaler of one service.
	NewScaler func() policy.Scaler
	Send      func(ctx context.Context, t lease.Token, o Order) error
	// HandOverPause is the time from taking over the lease to the first order.
	HandOverPause time.Duration
	Clock         store.Clock
	Log           *zap.Logger
}

const (
	recordName     = "capacity-orders"
	sampleInterval = 100 * time.Millisecond
	// planInterval is above the time in which the smoothed demand changes; changes of the servers are answered at once.
	planInterval = 500 * time.Millisecond
	sendTimeout  = 800 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	// demandHistory covers two waves of 13 s and a start-up time.
	demandHistory = 32 * time.Second
	// ordersPerS bounds the orders of all services, far below the platform's 50 calls a second of all duties.
	ordersPerS = 5.0
	orderBurst = 12.0 // both kinds of a service in three data centres, repeated by a new holder and ordered anew
	// gatherTime is how long reductions wait for others, so that they share a write of the record. Servers that start together become
	// ready within it, one after the other.
	gatherTime = 500 * time.Millisecond
	// startMargin is the time beyond the start-up time after which ordered servers that have not registered are not counted on.
	startMargin = 3 * time.Second
	// maxSampleGap is the longest time without a sample after which the demand counts as known; a step may take 3 s.
	maxSampleGap = 5 * time.Second
	// reclaimPause is the time for which no more preemptible servers are had where some were taken away: 8 to 11 s. An order that is
	// too early gets ErrNoServers.
	reclaimPause = 8500 * time.Millisecond
	// reclaimTime is the longest notice of a reclaim, 2.5 s, with a margin; reclaimNotices is the inverse of the share of servers that
	// have reported it by which a reclaim of all is recognised. The platform takes all preemptible servers of a data centre.
	reclaimTime    = 3 * time.Second
	reclaimNotices = 8
	// noServersPause is the time until the next order after ErrNoServers.
	noServersPause = 2 * time.Second
	rejectedPause  = 10 * time.Second
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// settleTime is the time from the first look at the servers to the first order, in which the catalog may still be filled.
	settleTime = 2 * time.Second
)

// Controller orders servers while this entry VM holds the lease.
type Controller struct {
	opts      Options
	record    duty.Record[State]
	fencing   uint64 // of the lease for which the state below was built
	since     time.Time
	loaded    bool // the record is up to date; false after a failed write
	takenOver bool // the record has been read under this lease
	services  map[string]*serviceState
	subjects  map[subject]*subjectState
	tokens    float64 // orders that may be sent now
	filledAt  time.Time
	failures  int // consecutive batches with unanswered or limited orders
	resumeAt  time.Time
	loadAt    time.Time // next attempt to load or write the record
	// gatheredFrom is the time since which reductions wait to be sent; zero: there are none.
	gatheredFrom time.Time
	totals       map[string]int
	board        duty.Board
}

// subject is what one unanswered order holds back.
type subject struct{ service, dataCentre string }

// subjectState is the state of the orders of one subject.
type subjectState struct {
	kinds [policy.ServerKinds]kindState
	// repeat holds the orders that may have been carried out or not, in the order in which they are sent again.
	repeat []Order
}

type kindState struct {
	recorded    int       // figure in the record
	isRecorded  bool      // the record has a figure
	uncertain   bool      // the write of another figure has failed, and may take effect until the next write
	ordered     int       // last figure that was accepted, or that may have been carried out
	known       bool      // there is such a figure
	orderedAt   time.Time // when it was sent last; zero: the servers that it added are not counted on
	accepted    int       // last figure that was accepted
	isAccepted  bool      // there is such a figure
	taken       bool      // the platform has taken servers away since, so that no figure is in force
	earlier     []figure  // the figures before it that may still be carried out
	seen        bool      // the servers have been looked at under this lease
	unavailable time.Time // until then no more are to be had
	keptUntil   time.Time // until then no fewer are ordered: the platform has rejected it
	present     int       // servers that do not leave, at the last look
	reclaimed   int       // servers that the platform took away, at the last look
	// reclaimedUntil is the time until which all servers there count as leaving.
	reclaimedUntil time.Time
}

// inRecord reports whether a successor has to know the last figure. What the platform has taken away is not to be ordered again.
func (k *kindState) inRecord() bool { return k.known && !k.taken }

// figure is a number of servers that was ordered until a time.
type figure struct {
	desired int
	until   time.Time
}

// order records a figure that was sent and was accepted, or may be carried out.
func (k *kindState) order(now time.Time, desired int) {
	if k.known && k.ordered != desired {
		k.earlier = append(k.earlier, figure{k.ordered, now})
	}
	k.ordered, k.known, k.orderedAt, k.taken = desired, true, now, false
}

// refused records that the figure that may have been carried out was not.
func (k *kindState) refused() {
	k.ordered, k.known, k.orderedAt = k.accepted, k.isAccepted, time.Time{}
}

// lowest returns the lowest figure that the servers may follow now. The servers that an earlier figure takes away may state that they
// leave only after the next figure was sent.
func (k *kindState) lowest(now time.Time, startup time.Duration) int {
	k.earlier = slices.DeleteFunc(k.earlier, func(f figure) bool { return now.Sub(f.until) >= startup+startMargin })
	n := k.ordered
	for _, f := range k.earlier {
		n = min(n, f.desired)
	}
	return n
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = store.BootClock{}
	}
	return &Controller{opts: o, record: duty.Record[State]{Store: o.Store, Name: recordName, Writer: o.Holder}}
}

// Run orders servers until ctx ends.
func (c *Controller) Run(ctx context.Context) error { return duty.Run(ctx, c.duty(), c.Step) }

func (c *Controller) duty() duty.Options {
	return duty.Options{
		Lease: c.opts.Lease, Group: c.opts.Group, Margin: storeTimeout + 2*sendTimeout, HandOverPause: c.opts.HandOverPause, Interval: sampleInterval,
		Clock: c.opts.Clock,
	}
}

// Step samples the demand and sends the orders that are due. It must only be called while the lease is held.
func (c *Controller) Step(ctx context.Context, t lease.Token) {
	now := c.opts.Clock.Now()
	if t.Fencing != c.fencing || c.services == nil {
		c.reset(t.Fencing, now)
	}
	list := c.opts.Observe()
	var planned []Order
	defer func() { c.publish(now, list, planned) }()
	if len(list) == 0 || !c.takenOver && !c.load(ctx, now) {
		return
	}
	for i := range list {
		c.sample(now, &list[i])
	}
	if now.Sub(c.since) < settleTime {
		return
	}
	var add, remove []Order
	for i := range list {
		a, r := c.plan(now, &list[i])
		add, remove = append(add, a...), append(remove, r...)
	}
	planned = slices.Concat(add, remove) // additions first
	due := planned
	if c.gathers(now, add, remove) {
		due = nil
	}
	c.send(ctx, now, list, due)
	c.updateMetrics(list)
}

// gathers reports whether reductions wait for others: until there is an addition, or for gatherTime.
func (c *Controller) gathers(now time.Time, add, remove []Order) bool {
	switch {
	case len(remove) == 0:
		c.gatheredFrom = time.Time{}
	case c.gatheredFrom.IsZero():
		c.gatheredFrom = now
	}
	return len(add) == 0 && now.Sub(c.gatheredFrom) < gatherTime
}

// reset forgets what an earlier holder, or this one under an earlier lease, has seen.
func (c *Controller) reset(fencing uint64, now time.Time) {
	c.fencing, c.since, c.loaded, c.takenOver = fencing, now, false, false
	c.services, c.subjects, c.totals = map[string]*serviceState{}, map[subject]*subjectState{}, map[string]int{}
	c.tokens, c.filledAt, c.failures, c.resumeAt, c.loadAt, c.gatheredFrom = orderBurst, now, 0, time.Time{}, time.Time{}, time.Time{}
}

func (c *Controller) subject(service, dataCentre string) *subjectState {
	k := subject{service, dataCentre}
	s := c.subjects[k]
	if s == nil {
		s = &subjectState{}
		c.subjects[k] = s
	}
	return s
}

func (c *Controller) kind(o Order) *kindState {
	return &c.subject(o.Service, o.DataCentre).kinds[o.Kind]
}

// load reads the record under each lease, and again after a failed write. The last orders of an earlier holder may not have been
// answered.
func (c *Controller) load(ctx context.Context, now time.Time) bool {
	if c.loaded {
		return true
	}
	if now.Before(c.loadAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := c.record.Load(ctx, c.fencing)
	if err != nil {
		c.loadAt = now.Add(maxBackoff)
		c.opts.Log.Warn("capacity orders not read", zap.Error(err))
		return false
	}
	for _, o := range v.Orders {
		if o.Kind < 0 || o.Kind >= policy.ServerKinds {
			continue
		}
		s := c.subject(o.Service, o.DataCentre)
		k := &s.kinds[o.Kind]
		k.recorded, k.isRecorded = o.Desired, true
		if !c.takenOver {
			k.ordered, k.known, k.orderedAt = o.Desired, true, now
			s.repeat = append(s.repeat, o)
		}
	}
	for name, n := range v.Totals {
		c.totals[name] = n
	}
	if !c.takenOver {
		c.opts.Log.Info("capacity orders taken over", zap.Uint64("fencing", c.fencing), zap.Int("orders", len(v.Orders)))
	}
	c.loaded, c.takenOver = true, true
	return true
}
