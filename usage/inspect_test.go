package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an inspection that hides a report without an answer, or what prevents its repeat, or that goes on to show them after
// they have been accepted.
func TestInspectionShowsReportsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 0, 0)
	w.run(12 * time.Second)
	r := w.vms[0].reporter
	x := r.Inspect()
	is.True(x.Holds && len(x.Report.Plans) == 1)
	is.Equal(len(x.Report.Unanswered), 0)
	w.down = true
	w.run(10 * time.Second)
	x = r.Inspect()
	is.True(len(x.Report.Unanswered) > 0)
	is.Equal(x.Report.Unanswered[0], x.Report.Plans[0].Due[0])
	w.down, w.putsDown = false, true
	w.run(10 * time.Second)
	x = r.Inspect()
	is.Equal(len(x.Report.Unanswered), 0)
	is.Equal(x.Blocks[0].Reason, "store unavailable: the record of reports can't be read or written")
	w.vms[0].dead = true
	w.takeOver(w.vms[1], time.Second)
	x = r.Inspect()
	is.True(!x.Holds)
	is.Equal(x.Blocks[0].Reason, "no lease")
}
