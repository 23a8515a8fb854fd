package scaling

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/policy"
)

// Inspect returns the state of the duty. It is safe for concurrent use.
func (c *Controller) Inspect() duty.Inspection { return c.board.Inspect(c.duty()) }

func callOf(o Order) duty.Call {
	return duty.Call{Subject: o.Service + " " + o.DataCentre, Text: fmt.Sprintf("%d %s servers", o.Desired, o.Kind)}
}

// publish reports what a step has decided. planned are the orders that lead to the plan; those accepted in this step are left out.
func (c *Controller) publish(now time.Time, list []Service, planned []Order) {
	r := &duty.Report{At: now}
	block := func(subject, reason string, until time.Time) {
		r.Blocks = append(r.Blocks, duty.Block{Subject: subject, Reason: reason, Until: until})
	}
	switch settled := c.since.Add(settleTime); {
	case len(list) == 0:
		block("", "the servers or the demand are not known now", time.Time{})
	case !c.loaded && !c.loadAt.IsZero():
		block("", "store unavailable: the record of orders can't be read or written", time.Time{})
	case now.Before(settled):
		block("", "the catalog may still be filled", settled)
	}
	if now.Before(c.resumeAt) || c.opts.Clock.Now().Before(c.resumeAt) {
		block("", "orders were limited by the platform, or have no answer", c.resumeAt)
	}
	if c.tokens < 1 {
		block("", "rate limit of orders", now.Add(time.Duration((1-c.tokens)/ordersPerS*float64(time.Second))))
	}
	for i := range list {
		s := c.services[list[i].Name]
		if s == nil || s.plannedAt.IsZero() && s.logged == "" {
			continue
		}
		p := duty.Plan{Subject: list[i].Name, Text: s.logged, Reason: s.plan.Reason}
		for _, o := range planned {
			if k := c.kind(o); o.Service == list[i].Name && (!k.known || k.ordered != o.Desired) {
				p.Due = append(p.Due, callOf(o))
			}
		}
		r.Plans = append(r.Plans, p)
	}
	for k, s := range c.subjects {
		for _, o := range s.repeat {
			r.Unanswered = append(r.Unanswered, callOf(o))
		}
		for kind := range s.kinds {
			subject, name := k.service+" "+k.dataCentre, policy.ServerKind(kind).String()
			if until := s.kinds[kind].unavailable; now.Before(until) {
				block(subject, "no "+name+" servers there, or the order for them was rejected", until)
			}
			if until := s.kinds[kind].keptUntil; now.Before(until) {
				block(subject, "an order for fewer "+name+" servers was rejected", until)
			}
		}
	}
	slices.SortFunc(r.Unanswered, func(a, b duty.Call) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Text, b.Text))
	})
	slices.SortFunc(r.Blocks, func(a, b duty.Block) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	c.board.Publish(r)
}
