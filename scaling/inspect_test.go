package scaling

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/store"
)

// blocked returns whether the orders of a subject are held back for a reason, and for how long.
func blocked(x duty.Inspection, subject, reason string) (left time.Duration, ok bool) {
	i := slices.IndexFunc(x.Blocks, func(b duty.Block) bool { return b.Subject == subject && b.Reason == reason })
	if i < 0 {
		return 0, false
	}
	if !x.Blocks[i].Until.IsZero() {
		left = x.Blocks[i].Until.Sub(x.Now)
	}
	return left, true
}

// Guards against an inspection that shows orders as sent that are due or unanswered, or names nothing that prevents sending.
func TestInspectionShowsWhatPreventsOrders(t *testing.T) {
	is := is.New(t)
	w := newFixture()
	is.Equal(w.c.Inspect().Report, (*duty.Report)(nil))
	w.runFor(w.c, 5*time.Second)
	x := w.c.Inspect()
	is.True(x.Holds && x.Token.Fencing == 1 && len(x.Blocks) == 0)
	is.Equal(len(x.Report.Plans), 1)
	is.Equal(len(x.Report.Plans[0].Due), 0)

	w.scaler.desired = policy.ServerCounts{{5, 4}, {7, 0}}
	w.answers["a/preemptible=4"], w.answers["b/on_demand=7"] = ErrNoServers, errors.New("lost")
	w.runFor(w.c, time.Second)
	x = w.c.Inspect()
	is.Equal(x.Report.Unanswered, []duty.Call{{Subject: "s b", Text: "7 on_demand servers"}})
	left, ok := blocked(x, "s a", "no preemptible servers there, or the order for them was rejected")
	is.True(ok)
	is.True(left > 0 && left <= noServersPause)
	w.runFor(w.c, time.Minute) // the orders at b stay without an answer
	left, ok = blocked(w.c.Inspect(), "", "orders were limited by the platform, or have no answer")
	is.True(ok)
	is.True(left > 0 && left <= maxBackoff)

	w.unknown = true
	w.runFor(w.c, time.Second)
	_, ok = blocked(w.c.Inspect(), "", "the servers or the demand are not known now")
	is.True(ok)

	w = newFixture()
	w.runFor(w.c, 5*time.Second)
	w.scaler.desired, w.store.err = policy.ServerCounts{{5, 4}, {5, 0}}, store.ErrUnavailable
	w.runFor(w.c, time.Second)
	x = w.c.Inspect()
	_, ok = blocked(x, "", "store unavailable: the record of orders can't be read or written")
	is.True(ok)
	is.Equal(x.Report.Plans[0].Due, []duty.Call{{Subject: "s a", Text: "4 preemptible servers"}})

	w.lease.token = lease.Token{Fencing: 3, Since: w.clock.now, Until: w.clock.now.Add(time.Hour)}
	left, ok = blocked(w.c.Inspect(), "", "pause after a change of holder")
	is.True(ok)
	is.Equal(left, 4*time.Second)
	w.lease.token.Until = w.clock.now
	x = w.c.Inspect()
	is.True(!x.Holds)
	is.Equal(x.Blocks, []duty.Block{{Reason: "no lease"}})
}
