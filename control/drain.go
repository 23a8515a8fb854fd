package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// requiredIdleReports is the number of reports without work after which an upstream counts as idle.
const requiredIdleReports = 2

// drainState is the in-memory state of the current drain.
type drainState struct {
	upstream    string
	revision    uint64               // configuration revision with the draining mark
	started     time.Time            // start of this process's wait
	allReached  time.Time            // when every reachable entry VM had the revision; zero: not yet
	uncertain   map[string]time.Time // unreachable entry VMs that may still send work, and since when
	markInForce time.Time            // from then on no entry VM sends new work; zero: not known
	idleCount   int                  // counted reports without work
	lastAt      int64
	lastBoot    uint64
	lastCounted time.Time // request time of the last counted report
	lastReport  time.Time // request time of the last report
	lastMove    time.Time // time of the last request to move work
}

// isDrained reports whether the upstream is drained: the mark is in force at all entry VMs and the upstream's own reports show
// no work. If not, the string is the progress text.
func (x *planRun) isDrained(ctx context.Context, s topo.Step) (bool, string, error) {
	d := &x.w.drain
	now := x.c.opt.Clock.Now()
	if d.upstream != s.Upstream || d.revision != x.plan.value.Revision {
		*d = drainState{upstream: s.Upstream, revision: x.plan.value.Revision, started: now, lastReport: now, uncertain: map[string]time.Time{}}
	}
	if d.markInForce.IsZero() {
		ok, progress, err := x.c.markIsInForce(ctx, d)
		if err != nil || !ok {
			return false, progress, err
		}
		d.markInForce = x.c.opt.Clock.Now()
	}
	return x.reportsIdle(ctx, d, s)
}

// markIsInForce reports whether all entry VMs have stopped sending new work to the upstream.
//
// An unreachable VM refuses new work by itself once its configuration has not been confirmed for RefuseAfter. After every
// reachable VM has the new revision, no VM can confirm an older one unless the unreachable VMs are a majority.
func (c *Controller) markIsInForce(ctx context.Context, d *drainState) (bool, string, error) {
	total, behind, unsure, err := c.entryVMs(ctx, d.revision)
	if err != nil {
		return false, "", err
	}
	now := c.opt.Clock.Now()
	if len(behind) > 0 {
		d.allReached = time.Time{}
		return false, fmt.Sprintf("revision %d is in force at %d of %d entry VMs; waiting for %s", d.revision, total-len(behind)-len(unsure), total, behind[0]), nil
	}
	if len(unsure) >= unreachableLimit(total) {
		d.allReached = time.Time{}
		return false, fmt.Sprintf("%d of %d entry VMs can't be reached", len(unsure), total), nil
	}
	if d.allReached.IsZero() {
		d.allReached = now
		d.uncertain = map[string]time.Time{}
	}
	for _, n := range unsure {
		if _, ok := d.uncertain[n]; !ok {
			d.uncertain[n] = now
		}
		if now.Sub(d.uncertain[n]) < c.opt.Limits.RefuseAfter {
			return false, fmt.Sprintf("waiting until %s, which can't be reached, refuses new work by itself", n), nil
		}
	}
	return true, "", nil
}

// confirmSampleSize is the number of members up to which package configuration asks all of them for a majority. In larger
// fleets it asks a random sample of this size.
const confirmSampleSize = 31

// unreachableLimit returns the number of unreachable entry VMs from which they might confirm an old configuration to one
// another: a majority of a small fleet, a tenth of a large one. A tenth of a large fleet is a majority of a sample with a
// probability of 1e-8, a quarter with one of 1e-3.
func unreachableLimit(total int) int {
	if total <= confirmSampleSize {
		return total/2 + 1
	}
	return total / 10
}

// entryVMs returns the number of entry VMs, the reachable ones whose configuration is older than the revision, and the
// unreachable ones that may have an older one. The platform's list adds VMs that are unknown to the membership list.
func (c *Controller) entryVMs(ctx context.Context, revision uint64) (total int, behind, unsure []string, err error) {
	vms, err := c.opt.Store.VMs(ctx)
	if err != nil {
		return 0, nil, nil, store.WithCode(err)
	}
	known := map[string]bool{}
	for _, m := range c.opt.List.Members() {
		known[m.Name] = true
		total++
		switch {
		case m.ConfigRevision >= revision:
		case m.State == membership.Uncertain:
			unsure = append(unsure, m.Name)
		default:
			behind = append(behind, m.Name)
		}
	}
	for _, vm := range vms {
		if !vm.Upstream && !known[vm.Name] {
			total++
			unsure = append(unsure, vm.Name)
		}
	}
	return total, behind, unsure, nil
}

// reportsIdle reports whether enough load reports from after the mark came into force show no work. It also moves work that has
// run for too long.
func (x *planRun) reportsIdle(ctx context.Context, d *drainState, s topo.Step) (bool, string, error) {
	c, err := newestConfiguration(ctx, x.c.opt.Configurations)
	if err != nil {
		return false, "", err
	}
	u := plan.Find(c, s.Upstream)
	if u == nil {
		return false, "upstream is no longer in the configuration", nil
	}
	asked := x.c.opt.Clock.Now()
	r, err := x.c.opt.report(ctx, *u)
	if err != nil {
		return x.idleWithoutReport(d, s, asked)
	}
	d.lastReport = asked
	if work := r.Load.Running + r.Load.Queued; work > 0 {
		d.idleCount = 0
		x.moveStragglers(ctx, d, s, c, asked)
		return false, fmt.Sprintf("%d requests are running", work), nil
	}
	lag := max(x.c.opt.Limits.ReportLag, time.Duration(u.ReportLagMS)*time.Millisecond)
	if asked.Add(-lag - x.c.opt.Limits.InFlight).Before(d.markInForce) {
		return false, "waiting for load reports from after the last new request", nil
	}
	// An engine without work may repeat its last report. A report is no older than lag, so a report requested at least lag
	// after the last counted one describes a later time.
	if d.idleCount == 0 || r.At != d.lastAt || r.Boot != d.lastBoot || asked.Sub(d.lastCounted) >= lag {
		d.idleCount++
		d.lastAt, d.lastBoot, d.lastCounted = r.At, r.Boot, asked
	}
	return d.idleCount >= requiredIdleReports, "waiting for a second load report without running work", nil
}

// idleWithoutReport reports whether an upstream counts as idle after it has sent no load report for UnreachableAfter. This
// applies only if the upstream gets no order.
func (x *planRun) idleWithoutReport(d *drainState, s topo.Step, now time.Time) (bool, string, error) {
	d.idleCount = 0
	p := &x.plan.value
	next := p.NextStep + 1
	takesOrder := isOrder(s) || next < len(p.Steps) && isOrder(p.Steps[next])
	if !takesOrder && now.Sub(d.lastReport) >= x.c.opt.Limits.UnreachableAfter {
		return true, "", nil
	}
	return false, fmt.Sprintf("%s gives no load report", s.Upstream), nil
}

// moveStragglers requests that work which has run for too long continues on another engine. With a replacement the work is
// moved at once.
func (x *planRun) moveStragglers(ctx context.Context, d *drainState, s topo.Step, c *topo.Configuration, now time.Time) {
	limit := x.c.opt.Limits.StragglerAfter
	wait := limit
	if s.With != "" {
		wait = 0
	}
	if x.c.opt.Mover == nil || now.Sub(d.started) < wait || (!d.lastMove.IsZero() && now.Sub(d.lastMove) < limit) {
		return
	}
	from, to := plan.Find(c, s.Upstream), plan.Find(c, s.With)
	if from.Kind == topo.KindService {
		return // calls of plain services can't be moved
	}
	if to == nil {
		to = plan.Replacement(c, s.Upstream, x.c.opt.loads(ctx, c, plan.Scope(c, []string{s.Upstream})))
	}
	if to == nil {
		return
	}
	d.lastMove = now
	if err := x.c.opt.Mover.Move(ctx, *from, *to); err != nil {
		x.c.opt.Logger.Warn("running work not moved", zap.String("from", from.Name), zap.String("to", to.Name), zap.Error(err))
	}
}
