package roles

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/duty"
)

// Guards against an inspection that shows no order as due while the pace of a busy set holds it back, or hides one without an answer,
// and against an inspection that drops a pending order, which would be sent twice.
func TestInspectionShowsDueAndUnansweredOrders(t *testing.T) {
	is := is.New(t)
	w := newFixture(1, 8)
	for i := range w.engines {
		w.engines[i].Load = float64(10 - i)
	}
	w.err = errors.New("no answer")
	w.runFor(time.Second)
	is.Equal(w.orders, []string{"e8 prefill 1 3"})
	x := w.c.Inspect()
	is.True(x.Holds)
	is.Equal(x.Report.Unanswered, []duty.Call{{Subject: "e8", Text: "take role prefill"}})
	is.Equal(x.Report.Plans[0].Due, []duty.Call{{Subject: "e7", Text: "take role prefill"}})
	is.Equal(x.Report.Plans[0].Text, "2 of 9 engines compute prompts, pending orders included")
	is.Equal(len(x.Blocks), 1)
	is.Equal(x.Blocks[0].Reason, "rate limit of changes of a busy set")
	w.runFor(busyChangeInterval)
	is.Equal(len(w.orders), 2)
	is.Equal(w.orders[1], "e7 prefill 1 3")
	w.lease.lost = true
	x = w.c.Inspect()
	is.Equal(x.Blocks, []duty.Block{{Reason: "no lease"}})
}
