package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/duty"
)

// Inspect returns the state of the duty. It is safe for concurrent use.
func (r *Reporter) Inspect() duty.Inspection { return r.board.Inspect(r.duty) }

// publish reports what a step has decided.
func (r *Reporter) publish() {
	now := r.clock()
	out := &duty.Report{At: now}
	defer r.board.Publish(out)
	block := func(subject, reason string, until time.Time) {
		out.Blocks = append(out.Blocks, duty.Block{Subject: subject, Reason: reason, Until: until})
	}
	if !r.o.Active() {
		block("", "the configuration has no accounts", time.Time{})
		return
	}
	if r.failures > 0 {
		block("", "store unavailable: the record of reports can't be read or written", time.Time{})
	}
	if r.next == 0 {
		block("", "the true time, or the first window to report, is not known yet", time.Time{})
		return
	}
	plan := duty.Plan{
		Subject: "usage", Text: fmt.Sprintf("window %d is the next to be recorded", r.next),
		Reason: fmt.Sprintf("the present window is %d; one is recorded when the VMs have answered", WindowOf(r.collector.now(), r.o.Window)),
	}
	for _, k := range slices.Sorted(maps.Keys(r.reports)) {
		p := r.reports[k]
		if p.accepted || p.givenUp {
			continue
		}
		call := duty.Call{Subject: fmt.Sprint("window ", k), Text: fmt.Sprintf("report of %d accounts", len(p.counts))}
		plan.Due = append(plan.Due, call)
		if p.tries > 0 {
			out.Unanswered = append(out.Unanswered, call)
		}
		if now.Before(p.nextTry) {
			block(call.Subject, "the last report was limited by the platform, or has no answer", p.nextTry)
		}
	}
	out.Plans = append(out.Plans, plan)
}
