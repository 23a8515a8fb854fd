package scaling

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
)

// Guards against an order that the platform rejects or that is paid for: the figures of both kinds that may be in force exceed the maximum
// while an addition goes ahead of the removal that makes room for it.
func TestOrdersStayWithinTheMaximum(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	kinds := &w.service.DataCentres[0].Kinds
	force := [policy.ServerKinds]int{5, 0} // by the orders
	w.during = func() {
		o := w.sent[len(w.sent)-1]
		for kind := range policy.ServerKinds {
			_, _ = fmt.Sscanf(o, "a/"+kind.String()+"=%d", &force[kind])
		}
		if n := max(force[0], kinds[0].Serving) + max(force[1], kinds[1].Serving); n > w.service.Max {
			t.Errorf("%d servers of both kinds after %q", n, w.sent)
		}
	}
	w.scaler.desired = policy.ServerCounts{{15, 0}, {5, 0}}
	w.runFor(w.c, settleTime+sampleInterval)
	kinds[0].Serving = 11
	w.runFor(w.c, 10*time.Second)
	w.scaler.desired = policy.ServerCounts{{7, 9}, {5, 0}} // while some of the 15 have not registered
	w.runFor(w.c, 5*time.Second)
	kinds[0].Serving = 7
	w.runFor(w.c, time.Second)
	is.Equal(force, [policy.ServerKinds]int{7, 9})
	w.scaler.desired = policy.ServerCounts{{14, 9}, {5, 0}} // above the maximum by itself
	kinds[1].Serving = 9
	w.runFor(w.c, time.Second)
	is.Equal(force, [policy.ServerKinds]int{11, 9})
}

// Guards against a figure that was refused: a successor would send it beside the higher one of the other kind. And against an accepted
// figure that is forgotten because a later one was refused.
func TestRefusedFiguresLeaveTheMaximumAsItWas(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 15}, {5, 0}}
	w.answers["a/preemptible=15"] = ErrNoServers
	w.runFor(w.c, settleTime+sampleInterval)
	w.scaler.desired = policy.ServerCounts{{19, 0}, {5, 0}}
	w.runFor(w.c, 2*planInterval)
	delete(w.answers, "a/preemptible=15")
	w.lease.token.Fencing, w.lease.token.Since = 2, w.clock.now.Add(-time.Minute)
	w.sent = nil
	next := w.controller()
	w.runFor(next, settleTime+planInterval)
	is.Equal(w.sent, []string{"a/on_demand=19"})
	w.answers["a/on_demand=20"] = errors.New("no answer")
	w.scaler.desired[0][0] = 20
	w.runFor(next, planInterval+sampleInterval)
	w.answers["a/on_demand=20"] = ErrNoServers
	w.runFor(next, 2*maxBackoff)
	w.scaler.desired[0] = [policy.ServerKinds]int{5, 15} // 19 may still start
	w.sent = nil
	w.runFor(next, planInterval)
	is.True(!slices.Contains(w.sent, "a/preemptible=15"))
}

// Guards against a successor that orders the servers again that the platform has taken away, beside those that replace them.
func TestTakenServersAreNoFigureForASuccessor(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	w.scaler.desired = policy.ServerCounts{{5, 15}, {5, 0}}
	w.runFor(w.c, settleTime+sampleInterval)
	w.service.DataCentres[0].Kinds[policy.Preemptible] = Registered{Leaving: 15, Reclaimed: 15}
	w.scaler.desired = policy.ServerCounts{{20, 0}, {5, 0}}
	w.runFor(w.c, 2*planInterval)
	is.Equal(w.sent[len(w.sent)-1], "a/on_demand=20")
	w.lease.token.Fencing, w.lease.token.Since = 2, w.clock.now.Add(-time.Minute)
	w.sent = nil
	w.runFor(w.controller(), settleTime+planInterval)
	is.True(!slices.Contains(w.sent, "a/preemptible=15"))
}
