package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Plans proposes, confirms and cancels plans. It keeps no state, so that any entry VM can serve the calls.
type Plans struct{ opt Options }

// NewPlans returns a Plans.
func NewPlans(o Options) *Plans {
	o.fill()
	return &Plans{opt: o}
}

// Get returns a plan, or an error with the code PlanNotFound.
func (p *Plans) Get(ctx context.Context, name string) (topo.Plan, error) {
	r, err := p.get(ctx, name)
	return r.value, err
}

func (p *Plans) get(ctx context.Context, name string) (record[topo.Plan], error) {
	r, err := read[topo.Plan](ctx, p.opt.Store, topo.KindPlan, name)
	if err == nil && r.version == 0 {
		err = result.New(result.PlanNotFound, "no plan %q", name)
	}
	return r, err
}

// Propose computes a plan and stores it. The plan has no effect before it is confirmed.
func (p *Plans) Propose(ctx context.Context, in topo.Intent) (topo.Plan, error) {
	s, err := p.opt.snapshot(ctx, in)
	if err != nil {
		return topo.Plan{}, err
	}
	made, err := plan.Make(in, s, p.opt.Estimates)
	if err != nil {
		return topo.Plan{}, err
	}
	made.Name = p.newName(s.Now)
	if err := p.opt.readUpstreamObjects(ctx, &s, made.Upstreams()); err != nil {
		return topo.Plan{}, err
	}
	made.Bases = plan.Bases(&made, s)
	if err := p.storeIntent(ctx, in); err != nil {
		return topo.Plan{}, err
	}
	_, err = write(ctx, &p.opt, topo.KindPlan, made.Name, record[topo.Plan]{value: made}, nil)
	if err == nil {
		p.opt.Logger.Info("plan proposed", zap.String("plan", made.Name), zap.String("intent", in.Name), zap.String("operator", in.Operator))
	}
	return made, err
}

// newName returns a unique name. Names sort by time.
func (p *Plans) newName(now time.Time) string {
	return fmt.Sprintf("p%s-%08x", now.UTC().Format("20060102-150405"), uint32(xxhash.Sum64String(p.opt.Mark())))
}

// storeIntent stores the newest intent of each name for `get intents`.
func (p *Plans) storeIntent(ctx context.Context, in topo.Intent) error {
	for range maxConditionalTries {
		r, err := read[topo.Intent](ctx, p.opt.Store, topo.KindIntent, in.Name)
		if err != nil {
			return err
		}
		r.value = in
		if _, err = write(ctx, &p.opt, topo.KindIntent, in.Name, r, nil); err == nil || !needsReread(err) {
			return err
		}
	}
	return result.New(result.StoreConflict, "intent %q keeps changing", in.Name)
}

// Confirm makes a plan run. It fails when an object that the plan was computed from has a new version, or when another
// confirmed plan holds one of its upstreams. A plan that is confirmed twice runs once.
func (p *Plans) Confirm(ctx context.Context, name, operator string) (topo.Plan, error) {
	mark := p.opt.Mark()
	for range maxConditionalTries {
		r, done, err := p.tryConfirm(ctx, name, operator, mark)
		if done {
			return r, err
		}
	}
	return topo.Plan{}, result.New(result.StoreOutcomeUnknown, "the store gave no clear answer; look at plan %s before confirming again", name)
}

// tryConfirm returns done = false when a concurrent write requires that all objects are read again.
//
// The confirmations are read before the bases. A plan that changes a base first enters its upstreams in the confirmations, so
// that the conditional write fails when a base changed after it was checked.
func (p *Plans) tryConfirm(ctx context.Context, name, operator, mark string) (topo.Plan, bool, error) {
	r, err := p.get(ctx, name)
	if err != nil {
		return r.value, true, err
	}
	active, err := p.opt.readConfirmations(ctx)
	if err != nil {
		return r.value, true, err
	}
	if e := findConfirmation(active.value, name); e != nil && e.Mark == mark {
		return p.recordConfirmation(ctx, r, *e)
	}
	if r.value.ConfirmMark == mark {
		return r.value, true, nil
	}
	if r.value.State != topo.PlanProposed {
		return r.value, true, notProposedError(&r.value)
	}
	if e := findConfirmation(active.value, name); e != nil {
		return r.value, true, result.New(result.PlanFinished, "plan %s was confirmed by %s at %s; it runs once", name, e.Operator, e.At.UTC().Format(time.RFC3339))
	}
	if e, n := findHolder(active.value, r.value.Upstreams()); e != nil {
		if released, err := p.releaseFinished(ctx, e.Plan); released || err != nil {
			return r.value, err != nil, err
		}
		return r.value, true, result.New(result.PlanBaseMoved, "upstream %q is held by plan %s, which %s confirmed at %s",
			n, e.Plan, e.Operator, e.At.UTC().Format(time.RFC3339))
	}
	if err := p.checkBases(ctx, &r.value); err != nil {
		return r.value, true, err
	}
	e := topo.Confirmation{Plan: name, Operator: operator, Upstreams: r.value.Upstreams(), Mark: mark, At: p.opt.Clock.Now()}
	active.value.Active = append(active.value.Active, e)
	err = p.opt.writeConfirmations(ctx, active, containsMark(mark))
	switch {
	case err == nil:
		return p.recordConfirmation(ctx, r, e)
	case needsReread(err):
		return r.value, false, nil
	}
	return r.value, true, err
}

// releaseFinished removes the confirmation of a finished plan. The plan's controller does so only after it has written the
// plan's end, and an operator who has seen the end must be able to confirm the next plan.
func (p *Plans) releaseFinished(ctx context.Context, name string) (bool, error) {
	r, err := p.get(ctx, name)
	if err != nil || !r.value.State.Final() {
		return false, err
	}
	return true, p.opt.releasePlan(ctx, name)
}

// notProposedError returns the reason why a plan can no longer be confirmed.
func notProposedError(p *topo.Plan) error {
	text := fmt.Sprintf("plan %s is %s", p.Name, p.State)
	if p.ConfirmedBy != "" {
		text += ", confirmed by " + p.ConfirmedBy
	}
	if p.CancelledBy != "" {
		text += ", cancelled by " + p.CancelledBy
	}
	return result.New(result.PlanFinished, "%s; it runs once", text)
}

// recordConfirmation writes the confirmation into the plan object. The confirmation has already taken effect: if the write
// fails, the holder of the plan's group repeats it.
func (p *Plans) recordConfirmation(ctx context.Context, r record[topo.Plan], e topo.Confirmation) (topo.Plan, bool, error) {
	if r.value.State == topo.PlanCancelled && r.value.ConfirmedBy == "" {
		err := result.New(result.PlanFinished, "plan %s was cancelled by %s", r.value.Name, r.value.CancelledBy)
		return r.value, true, err
	}
	if r.value.State != topo.PlanProposed {
		return r.value, true, nil
	}
	confirmed := r
	confirmed.value.State, confirmed.value.ConfirmedBy, confirmed.value.ConfirmMark = topo.PlanConfirmed, e.Operator, e.Mark
	confirmed.value.Updated = p.opt.Clock.Now()
	_, err := write(ctx, &p.opt, topo.KindPlan, r.value.Name, confirmed, nil)
	if err != nil && needsReread(err) {
		if now, readErr := p.get(ctx, r.value.Name); readErr == nil && now.value.State != topo.PlanProposed {
			return p.recordConfirmation(ctx, now, e)
		}
	}
	p.opt.Logger.Info("plan confirmed", zap.String("plan", r.value.Name), zap.String("operator", e.Operator))
	return confirmed.value, true, nil
}

// checkBases returns an error if the present versions differ from those that the plan was computed from.
func (p *Plans) checkBases(ctx context.Context, pl *topo.Plan) error {
	c, err := newestConfiguration(ctx, p.opt.Configurations)
	if err != nil {
		return err
	}
	s := plan.Snapshot{Configuration: c}
	if err := p.opt.readUpstreamObjects(ctx, &s, pl.Upstreams()); err != nil {
		return err
	}
	return plan.ChangedBasesError(pl.Name, plan.ChangedBases(pl, s))
}

// Cancel stops a plan after its current step. A plan that was not confirmed ends at once.
func (p *Plans) Cancel(ctx context.Context, name, operator string) (topo.Plan, error) {
	for range maxConditionalTries {
		r, err := p.get(ctx, name)
		if err != nil {
			return r.value, err
		}
		if r.value.State.Final() {
			return r.value, result.New(result.PlanFinished, "plan %s is %s", name, strings.TrimSpace(string(r.value.State)+" "+r.value.Reason))
		}
		if r.value.State == topo.PlanCancelling {
			return r.value, nil
		}
		active, err := p.opt.readConfirmations(ctx)
		if err != nil {
			return r.value, err
		}
		p.markCancelled(&r.value, findConfirmation(active.value, name), operator)
		_, err = write(ctx, &p.opt, topo.KindPlan, name, r, nil)
		if err == nil || !needsReread(err) {
			p.opt.Logger.Info("plan cancelled", zap.String("plan", name), zap.String("operator", operator))
			return r.value, err
		}
	}
	return topo.Plan{}, result.New(result.StoreConflict, "plan %s keeps changing", name)
}

func (p *Plans) markCancelled(pl *topo.Plan, e *topo.Confirmation, operator string) {
	pl.CancelledBy, pl.Updated = operator, p.opt.Clock.Now()
	pl.State = topo.PlanCancelled
	if e != nil || pl.State != topo.PlanProposed && pl.ConfirmedBy != "" {
		pl.State = topo.PlanCancelling
	}
	if e != nil && pl.ConfirmedBy == "" {
		pl.ConfirmedBy, pl.ConfirmMark = e.Operator, e.Mark
	}
}
