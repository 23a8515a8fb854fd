package plan

import (
	"maps"
	"reflect"
	"slices"

	"bergamotcroft.example/bergamot/topo"
)

// Clone returns a copy of c whose upstreams, models and accounts can be changed.
func Clone(c *topo.Configuration) *topo.Configuration {
	n := *c
	n.Upstreams = slices.Clone(c.Upstreams)
	n.Models = slices.Clone(c.Models)
	n.Accounts = slices.Clone(c.Accounts)
	return &n
}

// ApplyStep returns the configuration after step i of a plan, given the one before it, and whether they differ. Orders
// have no effect of their own: resume_work records the models and the role that the engine got from the orders before
// it.
func ApplyStep(c *topo.Configuration, steps []topo.Step, i int) (*topo.Configuration, bool) {
	n := Clone(c)
	s := steps[i]
	if s.Kind == topo.StepConfigure {
		applyServe(n, *s.Serve)
		return n, !serveApplied(c, *s.Serve)
	}
	u := Find(n, s.Upstream)
	if u == nil {
		return n, false
	}
	before := *u
	switch s.Kind {
	case topo.StepStopNewWork:
		u.State = topo.UpstreamDraining
	case topo.StepResumeWork:
		ApplyOrders(c, u, steps[:i])
		u.State = topo.UpstreamActive
		if s.State != "" {
			u.State = s.State
		}
	case topo.StepWithdraw:
		u.State = topo.UpstreamWithdrawn
	}
	return n, !sameState(&before, u)
}

func sameState(a, b *topo.Upstream) bool {
	return StateOf(a) == StateOf(b) && RoleOf(a) == RoleOf(b) && slices.Equal(a.Models, b.Models)
}

// ApplyOrders sets in u the models and the role that the finished order steps have given to its engine.
func ApplyOrders(c *topo.Configuration, u *topo.Upstream, done []topo.Step) {
	for _, s := range done {
		if s.Upstream != u.Name {
			continue
		}
		switch s.Kind {
		case topo.StepLoadModel:
			u.Models = withModel(c, u.Models, s.Model)
		case topo.StepUnloadModel:
			u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(m string) bool { return m == s.Model })
		case topo.StepChangeRole:
			u.Role = s.Role
		}
	}
}

// withModel returns the models with key added. An entry of the same model without a version gets the current default version,
// so that a later change of the default does not claim a version that the engine lacks.
func withModel(c *topo.Configuration, models []string, key string) []string {
	name := ModelName(key)
	out := make([]string, 0, len(models)+1)
	for _, m := range models {
		if m == name {
			m = withVersion(name, defaultVersion(c, name))
		}
		out = append(out, m)
	}
	if !slices.Contains(out, key) {
		out = append(out, key)
	}
	return out
}

// applyServe configures a served model for the named callers, or as the default for all.
func applyServe(c *topo.Configuration, s topo.Serve) {
	i := slices.IndexFunc(c.Models, func(m topo.Model) bool { return m.Name == s.Model })
	if i < 0 {
		m := topo.Model{Name: s.Model}
		if len(s.Callers) == 0 {
			m.Version, m.Adapter = s.Version, s.Adapter
		}
		c.Models = append(c.Models, m)
	} else if len(s.Callers) == 0 {
		setDefault(&c.Models[i], s)
	}
	for j := range c.Accounts {
		if a := &c.Accounts[j]; slices.Contains(s.Callers, a.Caller) {
			grantModel(a, s)
		}
	}
}

func setDefault(m *topo.Model, s topo.Serve) {
	if s.Version != "" {
		m.Version = s.Version
	}
	if s.Adapter != "" {
		m.Adapter = s.Adapter
	}
}

func grantModel(a *topo.Account, s topo.Serve) {
	a.Priority = s.Priority
	if len(a.Models) > 0 && !slices.Contains(a.Models, s.Model) {
		a.Models = append(slices.Clone(a.Models), s.Model)
	}
	if s.Version != "" {
		versions := maps.Clone(a.Versions)
		if versions == nil {
			versions = map[string]string{}
		}
		versions[s.Model] = s.Version
		a.Versions = versions
	}
}

// serveApplied reports whether the configuration already includes a serve entry.
func serveApplied(c *topo.Configuration, s topo.Serve) bool {
	i := slices.IndexFunc(c.Models, func(m topo.Model) bool { return m.Name == s.Model })
	if i < 0 {
		return false
	}
	if len(s.Callers) == 0 {
		m := c.Models[i]
		setDefault(&m, s)
		return m.Version == c.Models[i].Version && m.Adapter == c.Models[i].Adapter
	}
	for _, a := range c.Accounts {
		if !slices.Contains(s.Callers, a.Caller) {
			continue
		}
		granted := len(a.Models) == 0 || slices.Contains(a.Models, s.Model)
		if !granted || a.Priority != s.Priority || (s.Version != "" && a.Versions[s.Model] != s.Version) {
			return false
		}
	}
	return true
}

// SameUpstream reports whether an upstream is the same in two configurations.
func SameUpstream(a, b *topo.Configuration, name string) bool {
	x, y := Find(a, name), Find(b, name)
	if x == nil || y == nil {
		return x == y
	}
	m, n := *x, *y
	m.State, n.State, m.Role, n.Role = StateOf(x), StateOf(y), RoleOf(x), RoleOf(y)
	return reflect.DeepEqual(m, n)
}
