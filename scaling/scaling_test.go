package scaling

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time                                 { return c.now }
func (c *fakeClock) Sleep(_ context.Context, d time.Duration) error { c.now = c.now.Add(d); return nil }

type fakeLease struct {
	clock *fakeClock
	token lease.Token
}

func (a *fakeLease) Check(_ int, margin time.Duration) (lease.Token, error) {
	if !a.clock.now.Add(margin).Before(a.token.Until) {
		return lease.Token{}, errors.New("lost")
	}
	return a.token, nil
}
func (a *fakeLease) Groups() []int      { return nil }
func (a *fakeLease) GroupOf(string) int { return 0 }

// oneObject is a store with conditional updates of a single object.
type oneObject struct {
	store.Store
	object store.Object
	writes int
	err    error
	lost   bool // writes take effect without an answer
}

func (s *oneObject) Get(context.Context, string, string) (store.Object, error) {
	if s.object.Version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return s.object, s.err
}

func (s *oneObject) Put(_ context.Context, o store.Object) (uint64, error) {
	if s.err != nil {
		return 0, s.err
	}
	if o.Version != s.object.Version {
		return 0, store.ErrConflict
	}
	o.Version++
	s.object = o
	s.writes++
	if s.lost {
		return 0, store.ErrUnavailable
	}
	return o.Version, nil
}

// fakeScaler returns a plan that the test sets.
type fakeScaler struct {
	desired policy.ServerCounts
	state   policy.ScalingState
	plans   int
}

func (p *fakeScaler) Plan(_ time.Duration, s *policy.ScalingState) policy.ScalingPlan {
	p.state = *s
	p.plans++
	return policy.ScalingPlan{Desired: p.desired, Total: 10}
}

// fixture is a controller with a service "s" that has 5 servers in each of the data centres a and b.
type fixture struct {
	clock   *fakeClock
	lease   *fakeLease
	store   *oneObject
	scaler  *fakeScaler
	scalers int // made
	service Service
	unknown bool             // the servers are not known
	answers map[string]error // by order
	mu      sync.Mutex       // guards sent
	sent    []string
	during  func() // called with each order
	c       *Controller
}

func text(o Order) string {
	return fmt.Sprintf("%s/%s=%d", o.DataCentre, o.Kind, o.Desired)
}

func newFixture() *fixture {
	w := &fixture{clock: &fakeClock{time.Unix(1000, 0)}, store: &oneObject{}, scaler: &fakeScaler{}, answers: map[string]error{}}
	w.lease = &fakeLease{w.clock, lease.Token{Fencing: 1, Since: w.clock.now, Until: w.clock.now.Add(time.Hour)}}
	w.service = Service{Name: "s", Min: 1, Max: 20, Startup: 4 * time.Second, DataCentres: []DataCentre{{Name: "a"}, {Name: "b"}}}
	w.service.DataCentres[0].Kinds[policy.OnDemand].Serving = 5
	w.service.DataCentres[1].Kinds[policy.OnDemand].Serving = 5
	w.scaler.desired = policy.ServerCounts{{5, 0}, {5, 0}}
	w.c = w.controller()
	return w
}

// controller returns a controller of another entry VM.
func (w *fixture) controller() *Controller {
	return New(Options{
		Lease: w.lease, Holder: "vm", Store: w.store, Clock: w.clock, HandOverPause: 4 * time.Second,
		Observe: func() []Service {
			if w.unknown {
				return nil
			}
			return []Service{w.service}
		},
		NewScaler: func() policy.Scaler { w.scalers++; return w.scaler },
		Send: func(_ context.Context, _ lease.Token, o Order) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.sent = append(w.sent, text(o))
			if w.during != nil {
				w.during()
			}
			return w.answers[text(o)]
		},
	})
}

func (w *fixture) runFor(c *Controller, d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); w.clock.now = w.clock.now.Add(sampleInterval) {
		if t, ok := c.duty().Holds(); ok {
			c.Step(context.Background(), t)
		}
	}
}

// Guards against orders without the need for any, and against an order that is not in the store when it is sent.
func TestAFigureIsStoredBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.runFor(w.c, 5*time.Second)
	is.Equal(len(w.sent), 0)
	is.Equal(w.store.writes, 0)
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.store.err = store.ErrUnavailable
	w.runFor(w.c, 2*time.Second)
	is.Equal(len(w.sent), 0)
	w.store.err = nil
	w.during = func() { is.Equal(w.store.writes, 1) }
	w.runFor(w.c, 3*time.Second)
	is.Equal(w.sent, []string{"a/preemptible=4"})
	is.Equal(w.scaler.state.DataCentres[0].Kinds[policy.Preemptible].Starting, 4)
}

// Guards against another order while an unanswered one may still be carried out.
func TestAnUnansweredOrderIsRepeatedFirst(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.answers["a/preemptible=4"] = errors.New("no answer")
	w.runFor(w.c, 3*time.Second)
	w.scaler.desired = policy.ServerCounts{{7, 2}, {5, 3}}
	w.runFor(w.c, 4*time.Second)
	n := 0
	for _, o := range w.sent {
		is.True(o == "a/preemptible=4" || o == "b/preemptible=3") // another data centre is another subject
		if o == "a/preemptible=4" {
			n++
		}
	}
	is.True(n > 2 && n < 12) // repeated with a back-off
	delete(w.answers, "a/preemptible=4")
	w.sent = nil
	w.service.DataCentres[1].Kinds[policy.Preemptible].Serving = 3
	w.runFor(w.c, 4*time.Second)
	is.Equal(w.sent, []string{"a/preemptible=4", "a/on_demand=7", "a/preemptible=2"})
}

// Guards against orders that are repeated at once where none are to be had, and against a scaler that does not know it.
func TestWithoutServersTheScalerDecidesAgain(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.answers["a/preemptible=4"] = ErrNoServers
	w.runFor(w.c, settleTime+2*sampleInterval)
	is.Equal(w.sent, []string{"a/preemptible=4"})
	k := w.scaler.state.DataCentres[0].Kinds[policy.Preemptible]
	is.True(k.UnavailableUntil > 0 && k.Starting == 0)
	w.scaler.desired = policy.ServerCounts{{5, 0}, {5, 4}}
	w.runFor(w.c, time.Second)
	is.Equal(w.sent, []string{"a/preemptible=4", "b/preemptible=4"})
}

// Guards against servers that are counted on although the platform takes them away, and against a late reaction to the notice.
func TestAReclaimIsSeenAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.runFor(w.c, 3*time.Second)
	plans := w.scaler.plans
	w.service.DataCentres[0].Kinds[policy.Preemptible] = Registered{Serving: 9, Leaving: 3, Reclaimed: 3} // the first of 12
	w.runFor(w.c, sampleInterval)
	is.Equal(w.scaler.plans, plans+1)
	k := w.scaler.state.DataCentres[0].Kinds[policy.Preemptible]
	is.True(k.UnavailableUntil > w.c.at(w.clock.now)+5*time.Second)
	is.Equal([]int{k.Serving, k.Leaving}, []int{0, 12})
	is.Equal(len(w.sent), 0) // for the data centre itself
}

// Guards against a reclaim that is seen where servers leave for an earlier, lower figure: it would stop all orders there. Once more
// leave, it is one.
func TestAReductionIsNoReclaim(t *testing.T) {
	lost := errors.New("no answer")
	check := func(is *is.I, w *fixture, c *Controller) {
		pre, k := &w.service.DataCentres[0].Kinds[policy.Preemptible], &policy.Servers{}
		look := func(r Registered) {
			*pre = r
			w.runFor(c, settleTime+2*sampleInterval)
			*k = w.scaler.state.DataCentres[0].Kinds[policy.Preemptible]
		}
		look(Registered{Serving: 8, Leaving: 4, Reclaimed: 4})
		is.Equal([]int{k.Serving, k.Leaving, int(k.UnavailableUntil)}, []int{8, 4, 0})
		look(Registered{Serving: 7, Leaving: 5, Reclaimed: 5})
		is.Equal([]int{k.Serving, k.Leaving}, []int{0, 12})
		is.True(k.UnavailableUntil > 0)
	}
	for _, answers := range [][2]error{{}, {lost}, {nil, lost}} { // of the reduction, and of the order after it
		is := is.New(t)
		w := newFixture()
		w.service.DataCentres[0].Kinds[policy.Preemptible].Serving = 12
		w.scaler.desired = policy.ServerCounts{{5, 8}, {5, 0}}
		w.answers["a/preemptible=8"], w.answers["a/preemptible=12"] = answers[0], answers[1]
		w.runFor(w.c, settleTime+gatherTime+sampleInterval)
		delete(w.answers, "a/preemptible=8")
		w.scaler.desired = policy.ServerCounts{{5, 12}, {5, 0}}
		w.runFor(w.c, time.Second)
		is.True(slices.Contains(w.sent, "a/preemptible=12"))
		check(is, w, w.c)
	}
	w := newFixture() // a successor knows only the later figure
	w.service.DataCentres[0].Kinds[policy.Preemptible].Serving = 8
	w.scaler.desired = policy.ServerCounts{{5, 12}, {5, 0}}
	w.runFor(w.c, settleTime+sampleInterval)
	w.lease.token.Fencing, w.lease.token.Since = 2, w.clock.now.Add(-time.Minute)
	check(is.New(t), w, w.controller())
}

// Guards against a rejected reduction that is sent at each step, and that makes the scaler believe that none are to be had there.
func TestARejectedReductionWaits(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{3, 0}, {5, 0}}
	w.answers["a/on_demand=3"] = ErrRejected
	w.runFor(w.c, settleTime+rejectedPause-sampleInterval)
	is.Equal(w.sent, []string{"a/on_demand=3"})
	is.Equal(w.scaler.state.DataCentres[0].Kinds[policy.OnDemand].UnavailableUntil, time.Duration(0))
	w.scaler.desired[0][0] = 6
	w.runFor(w.c, planInterval+sampleInterval)
	is.Equal(w.sent, []string{"a/on_demand=3", "a/on_demand=6"}) // additions go on
	w.scaler.desired[0][0] = 3
	w.runFor(w.c, planInterval+sampleInterval)
	is.Equal(w.sent, []string{"a/on_demand=3", "a/on_demand=6", "a/on_demand=3"})
}

// Guards against servers that are paid for all day because the platform did not carry out an order that it accepted, and against one
// such order at each step.
func TestAReductionThatWasNotCarriedOutIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{3, 0}, {5, 0}}
	w.runFor(w.c, settleTime+w.service.Startup+startMargin)
	is.Equal(w.sent, []string{"a/on_demand=3"})
	w.runFor(w.c, 2*(w.service.Startup+startMargin))
	is.Equal(w.sent, []string{"a/on_demand=3", "a/on_demand=3", "a/on_demand=3"})
	w.service.DataCentres[0].Kinds[policy.OnDemand].Serving = 3
	w.runFor(w.c, 2*(w.service.Startup+startMargin))
	is.Equal(len(w.sent), 3)
	is.Equal(w.store.writes, 1)
}

// Guards against a plan that keeps servers which an order takes away and that have not stated it yet: the order would be taken back, and
// new servers would start in their place.
func TestServersThatAnOrderTakesAwayCountAsLeaving(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{3, 0}, {5, 0}}
	w.runFor(w.c, settleTime+2*planInterval)
	is.Equal(w.sent, []string{"a/on_demand=3"})
	k := w.scaler.state.DataCentres[0].Kinds[policy.OnDemand]
	is.Equal([]int{k.Serving, k.Leaving}, []int{3, 2})
}

// Guards against a write of the record for each reduction of one plan, whose servers settle one after the other. Additions don't wait.
func TestOrdersShareAWrite(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.runFor(w.c, settleTime+sampleInterval)
	w.scaler.desired = policy.ServerCounts{{3, 0}, {5, 0}}
	w.runFor(w.c, planInterval)
	w.scaler.desired = policy.ServerCounts{{3, 0}, {4, 0}}
	w.service.DataCentres[1].Kinds[policy.OnDemand].Leaving = 1 // asks for a plan
	w.runFor(w.c, sampleInterval)
	is.Equal(len(w.sent), 0)
	w.runFor(w.c, gatherTime)
	is.Equal(len(w.sent), 2)
	is.Equal(w.store.writes, 1)
	w.scaler.desired = policy.ServerCounts{{3, 9}, {4, 0}}
	w.service.DataCentres[1].Kinds[policy.OnDemand].Leaving = 0
	w.runFor(w.c, sampleInterval)
	is.Equal(len(w.sent), 3)
	w.runFor(w.c, 3*time.Second)
	is.Equal(w.store.writes, 2) // nothing for an unchanged plan
}

// Guards against a plan that is kept for other servers than it was made for: as many more as a byte holds, or in another data centre.
func TestAPlanIsMadeAgainWhenTheServersChange(t *testing.T) {
	for _, change := range []func(*Service){
		func(x *Service) { x.DataCentres[0].Kinds[policy.OnDemand].Serving += 256 },
		func(x *Service) { x.DataCentres[1].Name = "c" },
	} {
		is := is.New(t)
		w := newFixture()
		w.runFor(w.c, settleTime+sampleInterval)
		plans := w.scaler.plans
		w.runFor(w.c, sampleInterval)
		is.Equal(w.scaler.plans, plans) // the servers have not changed
		change(&w.service)
		w.runFor(w.c, sampleInterval)
		is.Equal(w.scaler.plans, plans+1)
	}
}

// Guards against two figures of two holders for one subject: the successor repeats what its predecessor may have sent, and waits
// until nothing of it can arrive. A holder that was suspended sends nothing.
func TestAChangeOfHolder(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.answers["a/preemptible=4"] = errors.New("no answer")
	w.runFor(w.c, settleTime+sampleInterval)
	is.Equal(len(w.sent), 1)
	delete(w.answers, "a/preemptible=4")
	w.sent = nil
	w.lease.token.Fencing, w.lease.token.Since = 2, w.clock.now
	next := w.controller()
	w.scaler.desired = policy.ServerCounts{{5, 6}, {5, 0}}
	w.runFor(next, 4*time.Second)
	is.Equal(len(w.sent), 0)
	w.runFor(next, 4*time.Second)
	is.Equal(w.sent, []string{"a/preemptible=4", "a/preemptible=6"})
	is.Equal(w.scaler.state.Total, 10)
	// The former holder does not know that its lease has ended, but its record is out of date.
	w.lease.token.Fencing = 1
	w.scaler.desired = policy.ServerCounts{{5, 9}, {5, 0}}
	w.sent = nil
	w.runFor(w.c, 500*time.Millisecond)
	for _, o := range w.sent {
		is.Equal(o, "a/preemptible=4")
	}
	w.sent = nil
	w.lease.token.Until = w.clock.now.Add(time.Second) // less than a step may take
	w.runFor(w.c, time.Second)
	is.Equal(len(w.sent), 0)
}

// Guards against an order that may be carried out while the record holds another figure: a successor would not repeat it. The write of
// the other figure took effect although it failed.
func TestTheRecordHoldsWhatMayHaveBeenSent(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.answers["a/preemptible=4"] = ErrRateLimited
	w.runFor(w.c, settleTime+sampleInterval)
	w.answers["a/preemptible=4"] = errors.New("no answer")
	w.store.lost, w.scaler.desired = true, policy.ServerCounts{{5, 6}, {5, 0}}
	w.runFor(w.c, planInterval+sampleInterval)
	w.store.lost, w.scaler.desired = false, policy.ServerCounts{{5, 4}, {5, 0}}
	w.sent = nil
	w.during = func() {
		state, err := topo.Decode[State](w.store.object.Value)
		is.NoErr(err)
		is.Equal([]string{text(state.Orders[0])}, w.sent[:1])
	}
	w.runFor(w.c, 2*time.Second)
	is.Equal(w.sent[0], "a/preemptible=4")
}

// Guards against an unanswered order that is not repeated because another one can't be written: its servers might never be started.
func TestAnUnansweredOrderIsRepeatedWithoutTheStore(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.answers["a/preemptible=4"] = errors.New("no answer")
	w.runFor(w.c, settleTime+sampleInterval)
	w.store.err = store.ErrUnavailable
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 3}}
	w.runFor(w.c, 3*time.Second)
	is.True(len(w.sent) > 2)
	is.True(!slices.Contains(w.sent, "b/preemptible=3"))
}

// Guards against a fall of the capacity after a time in which no demand was seen. An outage of the store hides none.
func TestTheDemandIsUnknownAfterAGap(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.runFor(w.c, 3*time.Second)
	w.store.err = store.ErrUnavailable
	w.scaler.desired = policy.ServerCounts{{5, 4}, {5, 0}}
	w.runFor(w.c, 8*time.Second)
	is.Equal(w.scalers, 1)
	is.Equal(len(w.scaler.state.Demand) > 100, true)
	w.unknown = true
	w.runFor(w.c, 6*time.Second)
	w.unknown, w.store.err = false, nil
	w.runFor(w.c, time.Second)
	is.Equal(w.scalers, 2)
	is.True(len(w.scaler.state.Demand) <= 10)
	is.Equal(w.sent, []string{"a/preemptible=4"})
}

// Guards against more orders than the platform takes, together with other duties.
func TestOrdersAreBounded(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	for i := range 400 {
		w.scaler.desired = policy.ServerCounts{{5, i % 9}, {5, i % 7}}
		w.runFor(w.c, sampleInterval)
	}
	is.True(len(w.sent) <= int(orderBurst+40*ordersPerS))
	is.True(len(w.sent) > 40)
}
