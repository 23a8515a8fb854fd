package duty

import (
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/lease"
)

// Report is what a duty has decided in its last step under a lease, for operators. It must not be changed after Publish.
type Report struct {
	At         time.Time // of the step
	Plans      []Plan
	Unanswered []Call // may have been carried out, or still be
	Blocks     []Block
}

// Plan is what a duty aims at for one subject, and the calls that this would take now.
type Plan struct {
	Subject, Text, Reason string
	Due                   []Call
}

// Call is an order or a report.
type Call struct{ Subject, Text string }

// Block is a reason for which calls are not sent. Until is when it ends by time; zero: not known.
type Block struct {
	Subject, Reason string // an empty subject stands for all
	Until           time.Time
}

// Board holds the last report of a duty, which one goroutine publishes and others read.
type Board struct{ last atomic.Pointer[Report] }

// Publish replaces the report.
func (b *Board) Publish(r *Report) { b.last.Store(r) }

// Inspection is the state of a duty at one entry VM.
type Inspection struct {
	Now    time.Time // by the duty's clock
	Holds  bool      // this VM holds the lease
	Token  lease.Token
	Report *Report // of the last step of this process, possibly under an earlier lease; nil: none
	Blocks []Block // those of the report that still apply, and those of the lease
}

// Inspect returns the state of a duty that publishes on b. It makes no call.
func (b *Board) Inspect(o Options) Inspection {
	x := Inspection{Now: o.Clock.Now(), Report: b.last.Load()}
	t, err := o.Lease.Check(o.Group, 0)
	if x.Holds = err == nil; !x.Holds {
		x.Blocks = append(x.Blocks, Block{Reason: "no lease"})
		return x
	}
	x.Token = t
	if _, err := o.Lease.Check(o.Group, o.Margin); err != nil {
		x.Blocks = append(x.Blocks, Block{Reason: "the lease ends before a call could be answered", Until: t.Until})
	}
	if !o.pauseOver(t) {
		x.Blocks = append(x.Blocks, Block{Reason: "pause after a change of holder", Until: t.Since.Add(o.HandOverPause)})
	}
	if x.Report == nil || x.Report.At.Before(t.Since) {
		return x // the blocks were those of an earlier lease
	}
	for _, k := range x.Report.Blocks {
		if k.Until.IsZero() || x.Now.Before(k.Until) {
			x.Blocks = append(x.Blocks, k)
		}
	}
	return x
}
