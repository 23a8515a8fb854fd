package replay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
)

// runTampered replays a small trace after tamper has changed the driver, and returns the violations that audit counts.
func runTampered(t *testing.T, tamper func(s *Sim)) violations {
	t.Helper()
	f, err := ExampleFleet("vairogs")
	if err != nil {
		t.Fatal(err)
	}
	g := newGenerator(3)
	g.addLoad(0, 5*time.Second, 5, []classShare{{class: draft, share: 1}})
	for i := range 20 {
		g.trace = append(g.trace, Line{
			AtMS: int64(i) * 100, Caller: "c1", Class: "order", Service: "orders", ServiceMS: 40, DeadlineMS: 5000,
			Key: string(rune('a' + i)),
		})
	}
	s, err := newSim(f, g.sortedTrace(), runOptions{policy: Default, seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	if tamper != nil {
		tamper(s)
	}
	s.run()
	return audit(s.records)
}

// Guards against an audit that relies on the scheduler's own reports: each kind of faulty driver must raise its own
// count, and the unmodified driver must raise none.
func TestAuditDetectsBrokenDrivers(t *testing.T) {
	is := is.New(t)
	is.Equal(runTampered(t, nil), violations{}) // seed 3
	tamperFirst := func(s *Sim, kind scheduler.ActionKind, f func(v *vmDriver, x *execution, a scheduler.Action) bool) {
		done := false
		s.intercept = func(v *vmDriver, x *execution, a scheduler.Action) bool {
			if done || a.Kind != kind {
				return true
			}
			if !f(v, x, a) {
				done = true
				return false
			}
			return true
		}
	}
	service := func(x *execution) bool { return x.rec.line.Service != "" }

	doubled := runTampered(t, func(s *Sim) {
		tamperFirst(s, scheduler.Dispatch, func(v *vmDriver, x *execution, a scheduler.Action) bool {
			if !service(x) {
				return true
			}
			v.send(x, a, false)
			v.send(x, a, true)
			return false
		})
	})
	is.Equal(doubled.doubled, 1) // an order sent twice

	lost := runTampered(t, func(s *Sim) {
		var victim *execution
		s.intercept = func(_ *vmDriver, x *execution, _ scheduler.Action) bool {
			if victim == nil && service(x) {
				victim = x
			}
			return x != victim
		}
	})
	is.Equal(lost.lost, 1) // an order never sent and never answered

	cut := runTampered(t, func(s *Sim) {
		tamperFirst(s, scheduler.Dispatch, func(v *vmDriver, x *execution, a scheduler.Action) bool {
			if service(x) {
				return true
			}
			v.send(x, a, false)
			s.after(2*time.Second, func() {
				if len(x.attempts) > 0 {
					v.attemptEnded(x.attempts[0], policy.Completed)
				}
			})
			return false
		})
	})
	is.Equal(cut.cut, 1) // reported as complete before its end

	falsely := runTampered(t, func(s *Sim) {
		tamperFirst(s, scheduler.Dispatch, func(v *vmDriver, x *execution, a scheduler.Action) bool {
			if !service(x) {
				return true
			}
			v.send(x, a, false)
			s.after(20*time.Millisecond, func() { v.refuse(x, scheduler.Action{Code: result.Overloaded}) })
			return false
		})
	})
	is.True(falsely.falseNotRun >= 1) // refused as not_run although it ran
}
