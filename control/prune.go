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
	pruneInterval = 10 * time.Minute
	// maxStoredPlans is the number of plans that pruning leaves in the store. A plan takes about 2 KB, so a list takes about 1 MB.
	maxStoredPlans = 500
	// proposalRetention is how long an unconfirmed plan is kept.
	proposalRetention = 7 * 24 * time.Hour
)

// prune deletes old plans that have ended or were never confirmed. Only the holder of group 0 prunes.
func (c *Controller) prune(ctx context.Context) {
	now := c.opt.Clock.Now()
	if !c.lastPrune.IsZero() && now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	if _, err := c.opt.Authority.Check(0, c.opt.Limits.LeaseMargin); err != nil {
		return
	}
	c.lastPrune = now
	objects, _, err := c.opt.Store.List(ctx, topo.KindPlan, "")
	if err != nil {
		c.opt.Logger.Warn("plans not pruned", zap.Error(err))
		return
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) }) // oldest first
	for _, o := range objects[:max(0, len(objects)-maxStoredPlans)] {
		p, err := topo.Decode[topo.Plan](o.Value)
		old := p.State == topo.PlanProposed && now.Sub(p.Created) > proposalRetention
		if err != nil || !p.State.Final() && !old {
			continue
		}
		if err := c.opt.Store.Delete(ctx, topo.KindPlan, o.Name, o.Version); err != nil {
			return // the next run deletes the remaining plans
		}
	}
}
