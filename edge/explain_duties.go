package edge

import (
	"cmp"
	"net/http"
	"time"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/result"
)

// inspectedDuty is a duty that operators can ask about.
type inspectedDuty struct {
	name    string
	inspect func() duty.Inspection // nil: the settings don't ask for the duty
}

// explainDuties answers what this VM knows of the duties.
func (e *Edge) explainDuties(*http.Request) (any, *queryError) {
	if e.leaving.Load() {
		return nil, &queryError{http.StatusServiceUnavailable, result.New(result.ShuttingDown, "this entry VM stops; use another one")}
	}
	if e.duties.inspected == nil {
		return nil, &queryError{http.StatusServiceUnavailable, result.New(result.StaleEntryVM, "this entry VM is starting")}
	}
	view := e.duties.lease.View(dutyGroup)
	out := explain.Duties{VM: e.settings.VM, Lease: explain.Lease{
		Fencing: view.Fencing, Holder: view.Holder, Released: view.Released, StoreFailures: view.StoreFailures,
	}}
	if e.duties.counter != nil { // a VM that is no candidate for the lease has not read it, but its counts are collected
		out.Lease.Holder = cmp.Or(out.Lease.Holder, e.duties.counter.Holder())
	}
	if _, err := e.duties.lease.Check(dutyGroup, 0); err == nil {
		out.Lease.Held, out.Lease.Holder = true, e.settings.VM
	}
	for _, d := range e.duties.inspected {
		out.Duties = append(out.Duties, describeDuty(d, view.StoreFailures))
	}
	return out, nil
}

func describeDuty(d inspectedDuty, storeFailures int) explain.Duty {
	out := explain.Duty{Name: d.name, Enabled: d.inspect != nil, Plans: []explain.Plan{}, Unanswered: []explain.Call{}, Blocks: []explain.Block{}}
	if !out.Enabled {
		out.Blocks = append(out.Blocks, explain.Block{Reason: "the settings don't ask for it"})
		return out
	}
	x := d.inspect()
	for _, b := range x.Blocks {
		k := explain.Block{Subject: b.Subject, Reason: b.Reason}
		if !b.Until.IsZero() {
			k.EndsMS = milliseconds(b.Until.Sub(x.Now))
		}
		out.Blocks = append(out.Blocks, k)
	}
	if storeFailures > 0 {
		out.Blocks = append(out.Blocks, explain.Block{Reason: "store unavailable: the lease can't be renewed or taken"})
	}
	if x.Report == nil {
		return out
	}
	out.Stepped, out.AgeMS = true, milliseconds(x.Now.Sub(x.Report.At))
	out.Earlier = !x.Holds || x.Report.At.Before(x.Token.Since)
	for _, p := range x.Report.Plans {
		out.Plans = append(out.Plans, explain.Plan{Subject: p.Subject, Text: p.Text, Reason: p.Reason, Due: describeCalls(p.Due)})
	}
	out.Unanswered = describeCalls(x.Report.Unanswered)
	return out
}

func describeCalls(list []duty.Call) []explain.Call {
	out := make([]explain.Call, 0, len(list))
	for _, c := range list {
		out = append(out, explain.Call(c))
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
