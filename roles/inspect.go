package roles

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/duty"
	"bergamotcroft.example/bergamot/topo"
)

// Inspect returns the state of the duty. It is safe for concurrent use.
func (c *Controller) Inspect() duty.Inspection { return c.board.Inspect(c.duty()) }

// reportSet adds a set to the report of the step, after its orders were sent. It drops no pending orders.
func (c *Controller) reportSet(now time.Time, name string, s *setState, list []Engine, load float64) {
	ordered := slices.Clone(list)
	prompts := 0
	for i := range ordered {
		e := &ordered[i]
		if p, ok := c.pendingOrders[e.Name]; ok && now.Before(p.Until) && p.Value != e.Role {
			e.Role = p.Value
			if c.unanswered[e.Name] {
				c.report.Unanswered = append(c.report.Unanswered, duty.Call{Subject: e.Name, Text: "take role " + string(e.Role)})
			}
		}
		if e.Role == topo.RolePrefill {
			prompts++
		}
	}
	p := duty.Plan{Subject: name, Text: fmt.Sprintf("%d of %d engines compute prompts, pending orders included", prompts, len(list)), Reason: fmt.Sprintf("a share of %.2f computes prompts", c.promptShare(list))}
	for _, e := range Plan(ordered, c.promptShare(list), load > 0) {
		p.Due = append(p.Due, duty.Call{Subject: e.Name, Text: "take role " + string(e.Role)})
	}
	c.report.Plans = append(c.report.Plans, p)
	if until := s.stableSince.Add(settleTime); now.Before(until) {
		c.report.Blocks = append(c.report.Blocks, duty.Block{Subject: name, Reason: "its engines have just changed", Until: until})
	}
	if until := s.lastOrder.Add(busyChangeInterval); load > 0 && now.Before(until) {
		c.report.Blocks = append(c.report.Blocks, duty.Block{Subject: name, Reason: "rate limit of changes of a busy set", Until: until})
	}
}

// publish ends the report of a step.
func (c *Controller) publish() {
	slices.SortFunc(c.report.Plans, func(a, b duty.Plan) int { return cmp.Compare(a.Subject, b.Subject) })
	c.board.Publish(c.report)
	for name := range c.unanswered {
		if _, pending := c.pendingOrders[name]; !pending {
			delete(c.unanswered, name)
		}
	}
}
