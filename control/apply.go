package control

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Apply makes a whole configuration the next revision. c.Revision is the revision that c was made from; with 0, c replaces any
// revision. Upstreams that a confirmed plan holds must be unchanged in c, so that no draining mark is lost. The confirmed
// plans are read after the head: a plan confirmed later changes the head first, so that the conditional write fails.
func (p *Plans) Apply(ctx context.Context, operator string, c topo.Configuration) (uint64, error) {
	return p.opt.Configurations.Update(ctx, operator, func(now *topo.Configuration) error {
		if c.Revision != 0 && c.Revision != now.Revision {
			return result.New(result.StoreConflict, "made from revision %d, but revision %d by %s was accepted at %s",
				c.Revision, now.Revision, now.Author, now.Accepted.UTC().Format(time.RFC3339))
		}
		active, err := p.opt.readConfirmations(ctx)
		if err != nil {
			return err
		}
		for _, e := range active.value.Active {
			for _, n := range e.Upstreams {
				if !plan.SameUpstream(now, &c, n) {
					return result.New(result.StoreConflict, "upstream %q is held by plan %s, which %s confirmed; cancel it or wait for its end",
						n, e.Plan, e.Operator)
				}
			}
		}
		revision := now.Revision
		*now = c
		now.Revision = revision
		return nil
	})
}
