package roles

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/topo"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time                                 { return c.now }
func (c *fakeClock) Sleep(_ context.Context, d time.Duration) error { c.now = c.now.Add(d); return nil }

type fakeLease struct {
	token lease.Token
	lost  bool
}

func (a *fakeLease) Check(int, time.Duration) (lease.Token, error) {
	if a.lost {
		return lease.Token{}, errors.New("lost")
	}
	return a.token, nil
}
func (a *fakeLease) Groups() []int      { return nil }
func (a *fakeLease) GroupOf(string) int { return 0 }

// fixture is a controller with fake engines that record its orders.
type fixture struct {
	clock   *fakeClock
	lease   *fakeLease
	engines []Engine
	status  map[string]Status
	orders  []string
	answer  Answer
	err     error
	c       *Controller
}

func newFixture(prompts, generating int) *fixture {
	w := &fixture{clock: &fakeClock{time.Unix(1000, 0)}, lease: &fakeLease{token: lease.Token{Fencing: 1}}, status: map[string]Status{}}
	for i := range prompts + generating {
		role := topo.RolePrefill
		if i >= prompts {
			role = topo.RoleDecode
		}
		name := fmt.Sprintf("e%d", i)
		w.engines = append(w.engines, Engine{Name: name, Set: "s", Role: role})
		w.status[name] = Status{Role: role, OrdersAccepted: 3}
	}
	w.c = New(Options{
		Lease: w.lease, Holder: "vm", Clock: w.clock, HandOverPause: 4 * time.Second,
		Engines: func() []Engine { return w.engines },
		Inspect: func(_ context.Context, e Engine) (Status, error) { return w.status[e.Name], nil },
		Send: func(_ context.Context, e Engine, o Order) (Answer, error) {
			w.orders = append(w.orders, fmt.Sprintf("%s %s %d %d", e.Name, o.Role, o.Fencing, o.Expect))
			return w.answer, w.err
		},
	})
	return w
}

// runFor runs the controller's steps for d.
func (w *fixture) runFor(d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); w.clock.now = w.clock.now.Add(checkInterval) {
		if _, ok := w.c.duty().Holds(); ok {
			w.c.Step(context.Background())
		}
	}
}

// Guards against a split that is never corrected, and against orders without the count by which engines detect late ones.
func TestIdleSetIsSplitAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFixture(1, 8)
	w.runFor(time.Second)
	is.Equal(len(w.orders), 4) // 5 of 9
	is.Equal(w.orders[0], "e1 prefill 1 3")
	w.runFor(3 * time.Second) // pending orders are not repeated
	is.Equal(len(w.orders), 4)
}

// Guards against taking several engines of a busy set out of service at once.
func TestBusySetChangesOneEngineAtATime(t *testing.T) {
	is := is.New(t)
	w := newFixture(1, 8)
	for i := range w.engines {
		w.engines[i].Load = float64(10 - i)
	}
	w.runFor(time.Second)
	is.Equal(w.orders, []string{"e8 prefill 1 3"}) // the engine with the least load
	w.runFor(busyChangeInterval)
	is.Equal(len(w.orders), 2)
}

// Guards against an order without the lease, and against one that follows the previous holder's so soon that an engine which
// checks no fencing number could accept both.
func TestOrdersNeedTheLease(t *testing.T) {
	is := is.New(t)
	w := newFixture(1, 8)
	w.lease.lost = true
	w.runFor(3 * time.Second)
	is.Equal(len(w.orders), 0)
	w.lease.lost, w.lease.token = false, lease.Token{Fencing: 2, Since: w.clock.now}
	w.runFor(3 * time.Second)
	is.Equal(len(w.orders), 0)
	w.runFor(2 * time.Second)
	is.Equal(len(w.orders), 4)
}

// Guards against a second order to an engine that may still carry out the first: an answer can be lost and the order be carried
// out late.
func TestUnansweredOrdersAreWaitedFor(t *testing.T) {
	is := is.New(t)
	w := newFixture(4, 5)
	w.err = errors.New("no answer")
	w.runFor(unansweredTimeout)
	is.Equal(len(w.orders), 1)
	w.engines[4].Role = topo.RolePrefill // carried out late
	w.runFor(2 * unansweredTimeout)
	is.Equal(len(w.orders), 1)
}

// Guards against an order to an engine that is carrying out another one.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	is := is.New(t)
	w := newFixture(4, 5)
	w.status["e4"] = Status{Role: topo.RoleDecode, Busy: true}
	w.runFor(2 * time.Second)
	is.Equal(len(w.orders), 0)
}

// Guards against a set that is left without an engine of one role.
func TestBothRolesRemain(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.01, 0.5, 0.99} {
		for n := minSetSize; n < 12; n++ {
			for have := range n + 1 {
				var list []Engine
				for i := range n {
					role := topo.RoleDecode
					if i < have {
						role = topo.RolePrefill
					}
					list = append(list, Engine{Name: fmt.Sprint(i), Role: role})
				}
				prompts := have
				for _, e := range Plan(list, share, false) {
					if e.Role == topo.RolePrefill {
						prompts++
					} else {
						prompts--
					}
				}
				is.True(have == 0 || have == n || prompts > 0 && prompts < n)
			}
		}
	}
	is.Equal(len(Plan([]Engine{{Role: topo.RoleDecode}, {Role: topo.RoleDecode}}, 0.5, false)), 0) // too few to split
}

// Guards against a loss of one data centre's engines that takes all engines of one role away.
func TestRolesAreSplitWithinGroups(t *testing.T) {
	is := is.New(t)
	var list []Engine
	for i := range 140 {
		list = append(list, Engine{Name: fmt.Sprintf("e%03d", i), Role: topo.RoleDecode, Group: fmt.Sprint("dc", i/47)})
	}
	prompts := map[string]int{}
	orders := Plan(list, DefaultPromptShare, false)
	for _, e := range orders {
		prompts[e.Group]++
	}
	is.Equal(len(orders), 78)
	for _, n := range prompts {
		is.Equal(n, 26)
	}
	is.Equal(len(Plan(list, DefaultPromptShare, true)), 1) // busy
}

// Guards against servers that replace others of a busy set and stay in one role for minutes, and against a change of busy engines
// for their sake.
func TestNewEnginesOfABusySetAreSplitAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFixture(5, 4)
	for i := range w.engines {
		w.engines[i].Load, w.engines[i].Group = 3, "a"
	}
	w.runFor(time.Second)
	for i := range 140 {
		name := fmt.Sprintf("new%03d", i)
		w.engines = append(w.engines, Engine{Name: name, Set: "s", Role: topo.RoleDecode, Group: "a preemptible"})
		w.status[name] = Status{Role: topo.RoleDecode}
	}
	w.runFor(time.Second)
	is.Equal(len(w.orders), 78) // 83 of 149
	for _, o := range w.orders {
		is.Equal(o[:3], "new")
	}
}
