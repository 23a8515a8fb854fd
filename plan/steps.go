package plan

import (
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// builder collects the steps of a plan.
type builder struct {
	intent    topo.Intent
	snapshot  Snapshot
	estimates Estimates
	steps     []topo.Step
}

func (b *builder) build() error {
	switch b.intent.Action {
	case topo.ActionServe:
		return b.buildServe()
	case topo.ActionDrain:
		b.drain(b.intent.Upstream, "")
	case topo.ActionWithdraw:
		b.drain(b.intent.Upstream, "")
		b.add(topo.Step{Kind: topo.StepWithdraw, Upstream: b.intent.Upstream})
	case topo.ActionReplace:
		b.buildReplace()
	case topo.ActionRole:
		b.reconfigure(b.intent.Upstream, topo.UpstreamActive, topo.Step{Kind: topo.StepChangeRole, Upstream: b.intent.Upstream, Role: b.intent.Role})
	case topo.ActionResume:
		b.add(topo.Step{Kind: topo.StepResumeWork, Upstream: b.intent.Upstream})
	}
	return nil
}

func (b *builder) add(s topo.Step) {
	s.Duration = b.duration(s)
	b.steps = append(b.steps, s)
}

// drain adds the steps that stop new work and wait until running work has finished or moved.
func (b *builder) drain(upstream, with string) {
	before := StateOf(Find(b.snapshot.Configuration, upstream))
	b.add(topo.Step{Kind: topo.StepStopNewWork, Upstream: upstream, Before: before})
	b.add(topo.Step{Kind: topo.StepWaitIdle, Upstream: upstream, With: with})
}

// reconfigure adds the steps that drain an engine, carry out the orders and put it into the given state.
func (b *builder) reconfigure(engine string, after topo.UpstreamState, orders ...topo.Step) {
	b.drain(engine, "")
	for _, o := range orders {
		b.add(o)
	}
	b.add(topo.Step{Kind: topo.StepResumeWork, Upstream: engine, State: after})
}

func (b *builder) buildReplace() {
	c := b.snapshot.Configuration
	from, to := Find(c, b.intent.Upstream), Find(c, b.intent.With)
	var loads []topo.Step
	for _, m := range from.Models {
		key := m
		if ModelName(m) == m {
			key = withVersion(m, defaultVersion(c, m))
		}
		if !holdsVersion(c, to, key) {
			loads = append(loads, topo.Step{Kind: topo.StepLoadModel, Upstream: to.Name, Model: key})
		}
	}
	switch {
	case len(loads) > 0:
		b.reconfigure(to.Name, topo.UpstreamActive, loads...)
	case StateOf(to) != topo.UpstreamActive:
		b.add(topo.Step{Kind: topo.StepResumeWork, Upstream: to.Name})
	}
	b.drain(from.Name, to.Name)
	b.add(topo.Step{Kind: topo.StepWithdraw, Upstream: from.Name})
}

// buildServe loads the missing models and adapters, one engine after another, and then switches the callers over.
func (b *builder) buildServe() error {
	byEngine := map[string][]topo.Step{}
	var order []string
	for _, s := range b.intent.Serve {
		engines, err := b.enginesFor(s)
		if err != nil {
			return err
		}
		for _, name := range engines {
			if _, ok := byEngine[name]; !ok {
				order = append(order, name)
				byEngine[name] = nil
			}
			for _, step := range b.missingOrders(name, s) {
				if !slices.Contains(byEngine[name], step) {
					byEngine[name] = append(byEngine[name], step)
				}
			}
		}
	}
	for _, name := range order {
		b.addOrders(name, byEngine[name])
	}
	for i := range b.intent.Serve {
		if s := b.intent.Serve[i]; !serveApplied(b.snapshot.Configuration, s) {
			b.add(topo.Step{Kind: topo.StepConfigure, Serve: &s})
		}
	}
	if len(b.steps) == 0 {
		return invalidIntent("nothing to change: the models are loaded and served as the intent says")
	}
	return nil
}

// checkWeightStore refuses a plan that loads a model or adapter which the weight store does not have.
func (b *builder) checkWeightStore() error {
	if b.snapshot.WeightBytes == nil {
		return nil
	}
	for _, s := range b.steps {
		name := s.Model
		if s.Kind == topo.StepLoadAdapter {
			name = s.Adapter
		} else if s.Kind != topo.StepLoadModel {
			continue
		}
		if _, ok := b.snapshot.WeightBytes[name]; !ok {
			return invalidIntent("the weight store has no %q", name)
		}
	}
	return nil
}

// addOrders adds the orders for an engine, which is drained if they load a model. Adapters are loaded without a drain, on top
// of a running model.
func (b *builder) addOrders(engine string, orders []topo.Step) {
	isModel := func(s topo.Step) bool { return s.Kind == topo.StepLoadModel }
	if slices.ContainsFunc(orders, isModel) {
		b.reconfigure(engine, StateOf(Find(b.snapshot.Configuration, engine)), orders...)
		return
	}
	for _, o := range orders {
		b.add(o)
	}
}

// missingOrders returns the orders that an engine needs for a serve entry.
func (b *builder) missingOrders(engine string, s topo.Serve) []topo.Step {
	c := b.snapshot.Configuration
	version := s.Version
	if version == "" {
		version = defaultVersion(c, s.Model)
	}
	key := withVersion(s.Model, version)
	var steps []topo.Step
	if u := Find(c, engine); !holdsVersion(c, u, key) {
		for _, old := range b.unusedVersions(u, s.Model) {
			steps = append(steps, topo.Step{Kind: topo.StepUnloadModel, Upstream: engine, Model: old})
		}
		steps = append(steps, topo.Step{Kind: topo.StepLoadModel, Upstream: engine, Model: key})
	}
	if s.Adapter != "" {
		steps = append(steps, topo.Step{Kind: topo.StepLoadAdapter, Upstream: engine, Model: key, Adapter: s.Adapter})
	}
	return steps
}

// unusedVersions returns the versions of a model that the engine holds and no caller uses, now or after this intent. They are
// unloaded before another version is loaded. The version replaced by this intent is still in use; a later intent unloads it
// together with its own load, without a drain of its own.
func (b *builder) unusedVersions(u *topo.Upstream, model string) []string {
	c := b.snapshot.Configuration
	var old []string
	for _, m := range u.Models {
		name, version, versioned := strings.Cut(m, "@")
		if name != model || !versioned || version == defaultVersion(c, model) {
			continue
		}
		wanted := slices.ContainsFunc(b.intent.Serve, func(s topo.Serve) bool { return s.Model == model && s.Version == version })
		if !wanted && !slices.ContainsFunc(c.Accounts, func(a topo.Account) bool { return a.Versions[model] == version }) {
			old = append(old, m)
		}
	}
	return old
}

// enginesFor returns the engines of a serve entry: the named ones, else all that hold the model, else the least loaded one.
func (b *builder) enginesFor(s topo.Serve) ([]string, error) {
	if len(s.Engines) > 0 {
		return s.Engines, nil
	}
	c := b.snapshot.Configuration
	names := candidates(c, s.Model)
	if len(names) == 0 {
		return nil, result.New(result.IntentInvalid, "no engine can load model %q", s.Model)
	}
	if holdsModel(Find(c, names[0]), s.Model) {
		return names, nil
	}
	return []string{slices.MinFunc(names, func(x, y string) int { return compareLoad(b.snapshot, x, y) })}, nil
}

// compareLoad orders engines by the share of their batch in use. Unreachable engines come last, equal ones by name.
func compareLoad(s Snapshot, x, y string) int {
	share := func(n string) float64 {
		l, u := s.Loads[n], Find(s.Configuration, n)
		if !l.Reachable || u.MaxBatch == 0 {
			return NoCapacity
		}
		return float64(l.Running+l.Queued) / float64(u.MaxBatch)
	}
	a, b := share(x), share(y)
	switch {
	case a < b, a == b && x < y:
		return -1
	case a == b && x == y:
		return 0
	}
	return 1
}

// duration estimates the time that a step takes.
func (b *builder) duration(s topo.Step) time.Duration {
	switch s.Kind {
	case topo.StepStopNewWork, topo.StepConfigure, topo.StepResumeWork, topo.StepWithdraw:
		return b.estimates.InForce
	case topo.StepWaitIdle:
		return b.idleTime(s)
	case topo.StepLoadModel, topo.StepLoadAdapter:
		return b.downloadTime(s) + b.estimates.LoadOverhead
	case topo.StepUnloadModel:
		return b.estimates.LoadOverhead
	case topo.StepChangeRole:
		return time.Duration(Find(b.snapshot.Configuration, s.Upstream).RoleChangeMS) * time.Millisecond
	}
	return 0
}

// idleTime estimates the time until an upstream is idle. Work that moves to a replacement adds only the delay of the reports.
func (b *builder) idleTime(s topo.Step) time.Duration {
	u, l := Find(b.snapshot.Configuration, s.Upstream), b.snapshot.Loads[s.Upstream]
	reports := 2 * max(time.Duration(u.ReportLagMS)*time.Millisecond, time.Second)
	work := float64(l.Running + l.Queued)
	if work == 0 || s.With != "" || u.Kind == topo.KindService {
		return reports
	}
	seconds := 0.0
	if u.PrefillTokensPerSecond > 0 {
		seconds += l.PrefillTokens / u.PrefillTokensPerSecond
	}
	if u.DecodeTokensPerSecond > 0 {
		seconds += work * b.estimates.StreamTokens / u.DecodeTokensPerSecond
	}
	return min(time.Duration(seconds*float64(time.Second)), b.estimates.StragglerAfter) + reports
}

func (b *builder) downloadBytes(s topo.Step) int64 {
	switch s.Kind {
	case topo.StepLoadModel:
		return b.snapshot.WeightBytes[s.Model]
	case topo.StepLoadAdapter:
		return b.snapshot.WeightBytes[s.Adapter]
	}
	return 0
}

func (b *builder) downloadTime(s topo.Step) time.Duration {
	if b.snapshot.WeightRate <= 0 {
		return 0
	}
	return time.Duration(float64(b.downloadBytes(s)) / b.snapshot.WeightRate * float64(time.Second))
}
