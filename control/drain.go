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

// idleReports is the number of reports without running work after which an upstream counts as idle.
const idleReports = 2

// drain is what this process knows of the drain in hand.
type drain struct {
	upstream  string
	revision  uint64               // of the configuration with the mark
	began     time.Time            // of this process's wait
	reached   time.Time            // since when every reachable entry VM has the revision; zero: not yet
	uncertain map[string]time.Time // entry VMs that may still send work, and since when they have been uncertain
	inForce   time.Time            // no entry VM sends new work since then; zero: not known
	zero      int                  // reports without running work
	lastAt    int64
	lastBoot  uint64
	counted   time.Time // when the last counted report was asked for
	heard     time.Time // of the last report
	moved     time.Time // of the last request to move work
}

// idle says whether the upstream is drained: the mark is in force everywhere and its own reports show no work.
func (x *run) idle(ctx context.Context, s topo.Step) (bool, string, error) {
	d := &x.w.drain
	now := x.c.opt.Clock.Now()
	if d.upstream != s.Upstream || d.revision != x.plan.value.Revision {
		*d = drain{upstream: s.Upstream, revision: x.plan.value.Revision, began: now, heard: now, uncertain: map[string]time.Time{}}
	}
	if d.inForce.IsZero() {
		ok, progress, err := x.c.inForce(ctx, d)
		if err != nil || !ok {
			return false, progress, err
		}
		d.inForce = x.c.opt.Clock.Now()
	}
	return x.noWork(ctx, d, s)
}

// inForce says whether no entry VM sends new work to the upstream any more.
//
// A VM that can't be reached refuses new work by itself when nobody confirms its configuration for RefuseAfter. Nobody can once
// every reachable VM has the new revision, as long as the unreachable ones are no majority that confirms an old one to itself.
func (c *Controller) inForce(ctx context.Context, d *drain) (bool, string, error) {
	total, behind, unsure, err := c.entryVMs(ctx, d.revision)
	if err != nil {
		return false, "", err
	}
	now := c.opt.Clock.Now()
	if len(behind) > 0 {
		d.reached = time.Time{}
		return false, fmt.Sprintf("revision %d is in force at %d of %d entry VMs; waiting for %s", d.revision, total-len(behind)-len(unsure), total, behind[0]), nil
	}
	if len(unsure) >= tooMany(total) {
		d.reached = time.Time{}
		return false, fmt.Sprintf("%d of %d entry VMs can't be reached", len(unsure), total), nil
	}
	if d.reached.IsZero() {
		d.reached = now
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

// confirmSample is the number of members up to which package configuration asks all of them for a majority; beyond it a
// random sample of this size.
const confirmSample = 31

// tooMany returns the number of unreachable entry VMs from which they might confirm an old configuration to one another: a majority
// of a small fleet. Of a large one, a tenth is a majority of a sample with a probability of 1e-8, a quarter with one of 1e-3.
func tooMany(total int) int {
	if total <= confirmSample {
		return total/2 + 1
	}
	return total / 10
}

// entryVMs counts the entry VMs and returns those that are reachable and behind the revision, and those that can't be reached
// and may be behind it. The platform's list adds VMs that this one has never heard of.
func (c *Controller) entryVMs(ctx context.Context, revision uint64) (total int, behind, unsure []string, err error) {
	vms, err := c.opt.Store.VMs(ctx)
	if err != nil {
		return 0, nil, nil, store.Coded(err)
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

// noWork counts reports that were surely taken after the mark was in force, and moves work that runs too long.
func (x *run) noWork(ctx context.Context, d *drain, s topo.Step) (bool, string, error) {
	c, err := head(ctx, x.c.opt.Configurations)
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
		return x.unreachable(d, s, asked)
	}
	d.heard = asked
	if work := r.Load.Running + r.Load.Queued; work > 0 {
		d.zero = 0
		x.moveStragglers(ctx, d, s, c, asked)
		return false, fmt.Sprintf("%d requests are running", work), nil
	}
	lag := max(x.c.opt.Limits.ReportLag, time.Duration(u.ReportLagMS)*time.Millisecond)
	if asked.Add(-lag - x.c.opt.Limits.InFlight).Before(d.inForce) {
		return false, "waiting for load reports from after the last new request", nil
	}
	// An engine without work may repeat its last report. A report is no older than lag, so one that is asked for that much later
	// tells of a later time.
	if d.zero == 0 || r.At != d.lastAt || r.Boot != d.lastBoot || asked.Sub(d.counted) >= lag {
		d.zero++
		d.lastAt, d.lastBoot, d.counted = r.At, r.Boot, asked
	}
	return d.zero >= idleReports, "waiting for a second load report without running work", nil
}

// unreachable lets an upstream that gives no report for long be taken out of use, as long as it gets no order.
func (x *run) unreachable(d *drain, s topo.Step, now time.Time) (bool, string, error) {
	d.zero = 0
	p := &x.plan.value
	next := p.NextStep + 1
	takesOrder := isOrder(s) || next < len(p.Steps) && isOrder(p.Steps[next])
	if !takesOrder && now.Sub(d.heard) >= x.c.opt.Limits.UnreachableAfter {
		return true, "", nil
	}
	return false, fmt.Sprintf("%s gives no load report", s.Upstream), nil
}

// moveStragglers asks for work that runs too long to be continued elsewhere. A replacement takes the work over at once.
func (x *run) moveStragglers(ctx context.Context, d *drain, s topo.Step, c *topo.Configuration, now time.Time) {
	limit := x.c.opt.Limits.StragglerAfter
	wait := limit
	if s.With != "" {
		wait = 0
	}
	if x.c.opt.Mover == nil || now.Sub(d.began) < wait || (!d.moved.IsZero() && now.Sub(d.moved) < limit) {
		return
	}
	from, to := plan.Find(c, s.Upstream), plan.Find(c, s.With)
	if from.Kind == topo.KindService {
		return // a call of a plain service runs where it is
	}
	if to == nil {
		to = plan.Replacement(c, s.Upstream, x.c.opt.loads(ctx, c, plan.Scope(c, []string{s.Upstream})))
	}
	if to == nil {
		return
	}
	d.moved = now
	if err := x.c.opt.Mover.Move(ctx, *from, *to); err != nil {
		x.c.opt.Logger.Warn("running work not moved", zap.String("from", from.Name), zap.String("to", to.Name), zap.Error(err))
	}
}
