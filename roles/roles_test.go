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

type clock struct{ now time.Time }

func (c *clock) Now() time.Time                                 { return c.now }
func (c *clock) Sleep(_ context.Context, d time.Duration) error { c.now = c.now.Add(d); return nil }

type authority struct {
	token lease.Token
	lost  bool
}

func (a *authority) Check(int, time.Duration) (lease.Token, error) {
	if a.lost {
		return lease.Token{}, errors.New("lost")
	}
	return a.token, nil
}
func (a *authority) Groups() []int      { return nil }
func (a *authority) GroupOf(string) int { return 0 }

// world is a set of engines that take orders.
type world struct {
	clock   *clock
	lease   *authority
	engines []Engine
	status  map[string]Status
	orders  []string
	answer  Answer
	err     error
	c       *Controller
}

func newWorld(prompts, generating int) *world {
	w := &world{clock: &clock{time.Unix(1000, 0)}, lease: &authority{token: lease.Token{Fencing: 1}}, status: map[string]Status{}}
	for i := range prompts + generating {
		role := topo.RolePrefill
		if i >= prompts {
			role = topo.RoleDecode
		}
		name := fmt.Sprintf("e%d", i)
		w.engines = append(w.engines, Engine{Name: name, Set: "s", Role: role})
		w.status[name] = Status{Role: role, Taken: 3}
	}
	w.c = New(Options{
		Lease: w.lease, Holder: "vm", Clock: w.clock, TurnPause: 4 * time.Second,
		Engines: func() []Engine { return w.engines },
		Inspect: func(_ context.Context, e Engine) (Status, error) { return w.status[e.Name], nil },
		Send: func(_ context.Context, e Engine, o Order) (Answer, error) {
			w.orders = append(w.orders, fmt.Sprintf("%s %s %d %d", e.Name, o.Role, o.Fencing, o.Expect))
			return w.answer, w.err
		},
	})
	return w
}

// pass looks at the engines for d.
func (w *world) pass(d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); w.clock.now = w.clock.now.Add(checkEvery) {
		if t, err := w.lease.Check(0, 0); err == nil && w.c.mayAct(t) {
			w.c.Step(context.Background())
		}
	}
}

// Guards against a split that stays as it was found, and against orders that name no count, by which late ones are told.
func TestAnIdleSetIsSplitAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8)
	w.pass(time.Second)
	is.Equal(len(w.orders), 4) // 5 of 9
	is.Equal(w.orders[0], "e1 prefill 1 3")
	w.pass(3 * time.Second) // not taken up yet: they are not ordered again
	is.Equal(len(w.orders), 4)
}

// Guards against a busy set that loses several engines for seconds at once.
func TestABusySetChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8)
	for i := range w.engines {
		w.engines[i].Load = float64(10 - i)
	}
	w.pass(time.Second)
	is.Equal(w.orders, []string{"e8 prefill 1 3"}) // the one with the least work
	w.pass(busyPause)
	is.Equal(len(w.orders), 2)
}

// Guards against an order without authority, and against one that follows so soon on a predecessor's that an engine which checks no
// fencing number could take both.
func TestOrdersNeedTheLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8)
	w.lease.lost = true
	w.pass(3 * time.Second)
	is.Equal(len(w.orders), 0)
	w.lease.lost, w.lease.token = false, lease.Token{Fencing: 2, Since: w.clock.now}
	w.pass(3 * time.Second)
	is.Equal(len(w.orders), 0)
	w.pass(2 * time.Second)
	is.Equal(len(w.orders), 4)
}

// Guards against a second order to an engine that may still carry out the first: an answer can be lost and the order done late.
func TestUnansweredOrdersAreWaitedFor(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 5)
	w.err = errors.New("no answer")
	w.pass(unsettled)
	is.Equal(len(w.orders), 1)
	w.engines[4].Role = topo.RolePrefill // carried out late
	w.pass(2 * unsettled)
	is.Equal(len(w.orders), 1)
}

// Guards against an order to an engine that works on another one.
func TestABusyEngineGetsNoOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 5)
	w.status["e4"] = Status{Role: topo.RoleDecode, Busy: true}
	w.pass(2 * time.Second)
	is.Equal(len(w.orders), 0)
}

// Guards against a set that is left without one of the roles.
func TestBothRolesRemain(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.01, 0.5, 0.99} {
		for n := minSet; n < 12; n++ {
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
