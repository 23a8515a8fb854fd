package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

const (
	pruneEvery = 10 * time.Minute
	// keptPlans is the number of plans that stay in the store. A plan takes about 2 KB, so that a list of them stays near 1 MB.
	keptPlans = 500
	// proposalsLast is how long a plan that was not confirmed is kept.
	proposalsLast = 7 * 24 * time.Hour
)

// prune deletes old plans that have ended or were never confirmed. The holder of group 0 does it.
func (c *Controller) prune(ctx context.Context) {
	now := c.opt.Clock.Now()
	if !c.pruned.IsZero() && now.Sub(c.pruned) < pruneEvery {
		return
	}
	if _, err := c.opt.Authority.Check(0, c.opt.Limits.LeaseMargin); err != nil {
		return
	}
	c.pruned = now
	objects, _, err := c.opt.Store.List(ctx, topo.KindPlan, "")
	if err != nil {
		c.opt.Logger.Warn("plans not pruned", zap.Error(err))
		return
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) }) // oldest first
	for _, o := range objects[:max(0, len(objects)-keptPlans)] {
		p, err := topo.Decode[topo.Plan](o.Value)
		old := p.State == topo.PlanProposed && now.Sub(p.Created) > proposalsLast
		if err != nil || !p.State.Final() && !old {
			continue
		}
		if err := c.opt.Store.Delete(ctx, topo.KindPlan, o.Name, o.Version); err != nil {
			return // the rest goes next time
		}
	}
}
