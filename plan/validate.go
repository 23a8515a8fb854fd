package plan

import (
	"slices"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

func invalidIntent(format string, args ...any) error {
	return result.New(result.IntentInvalid, format, args...)
}

// Validate checks an intent against the configuration.
func Validate(in topo.Intent, c *topo.Configuration) error {
	if in.Name == "" {
		return invalidIntent("field name is missing")
	}
	switch in.Action {
	case topo.ActionServe:
		return validateServe(in, c)
	case topo.ActionDrain, topo.ActionWithdraw, topo.ActionReplace, topo.ActionRole, topo.ActionResume:
		return validateUpstream(in, c)
	case "":
		return invalidIntent("field action is missing")
	}
	return invalidIntent("unknown action %q; use serve, drain, replace, withdraw, role or resume", in.Action)
}

func validateUpstream(in topo.Intent, c *topo.Configuration) error {
	if len(in.Serve) > 0 {
		return invalidIntent("field serve does not belong to action %s", in.Action)
	}
	if in.Upstream == "" {
		return invalidIntent("action %s needs the field upstream", in.Action)
	}
	u := Find(c, in.Upstream)
	if u == nil {
		return invalidIntent("unknown upstream %q", in.Upstream)
	}
	if err := validateState(in, StateOf(u)); err != nil {
		return err
	}
	if err := validateRole(in, u); err != nil {
		return err
	}
	return validateWith(in, u, c)
}

func validateState(in topo.Intent, state topo.UpstreamState) error {
	switch {
	case in.Action == topo.ActionResume && state == topo.UpstreamActive:
		return invalidIntent("upstream %q is active already", in.Upstream)
	case in.Action == topo.ActionDrain && state == topo.UpstreamDraining:
		return invalidIntent("upstream %q is draining already", in.Upstream)
	case in.Action == topo.ActionRole && state == topo.UpstreamDraining:
		return invalidIntent("upstream %q is drained; resume it before a role change", in.Upstream)
	case in.Action != topo.ActionResume && state == topo.UpstreamWithdrawn:
		return invalidIntent("upstream %q is withdrawn", in.Upstream)
	}
	return nil
}

func validateRole(in topo.Intent, u *topo.Upstream) error {
	if in.Action != topo.ActionRole {
		if in.Role != "" {
			return invalidIntent("field role does not belong to action %s", in.Action)
		}
		return nil
	}
	switch {
	case u.Kind == topo.KindService:
		return invalidIntent("upstream %q is a service and has no role", in.Upstream)
	case in.Role != topo.RoleBoth && in.Role != topo.RolePrefill && in.Role != topo.RoleDecode:
		return invalidIntent("unknown role %q; use both, prefill or decode", in.Role)
	case in.Role == RoleOf(u):
		return invalidIntent("engine %q has the role %s already", in.Upstream, in.Role)
	}
	return nil
}

func validateWith(in topo.Intent, u *topo.Upstream, c *topo.Configuration) error {
	if in.Action != topo.ActionReplace {
		if in.With != "" {
			return invalidIntent("field with does not belong to action %s", in.Action)
		}
		return nil
	}
	w := Find(c, in.With)
	switch {
	case in.With == "":
		return invalidIntent("action replace needs the field with")
	case in.With == in.Upstream:
		return invalidIntent("upstream %q can't replace itself", in.Upstream)
	case w == nil:
		return invalidIntent("unknown upstream %q in field with", in.With)
	case w.Kind != u.Kind:
		return invalidIntent("%s %q can't replace %s %q", w.Kind, w.Name, u.Kind, u.Name)
	case w.Kind == topo.KindService && w.Service != u.Service:
		return invalidIntent("%q serves %q and can't replace %q, which serves %q", w.Name, w.Service, u.Name, u.Service)
	}
	return nil
}

func validateServe(in topo.Intent, c *topo.Configuration) error {
	if in.Upstream != "" || in.With != "" || in.Role != "" {
		return invalidIntent("fields upstream, with and role do not belong to action serve")
	}
	if len(in.Serve) == 0 {
		return invalidIntent("action serve needs the field serve")
	}
	for i, s := range in.Serve {
		if err := validateServeEntry(s, c); err != nil {
			return err
		}
		for _, o := range in.Serve[:i] {
			if err := checkConflict(o, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateServeEntry(s topo.Serve, c *topo.Configuration) error {
	switch {
	case s.Model == "":
		return invalidIntent("field model is missing in serve")
	case s.Priority < 0:
		return invalidIntent("priority %d of model %q is negative", s.Priority, s.Model)
	case len(s.Callers) == 0 && s.Priority != 0:
		return invalidIntent("a priority needs the field callers (model %q)", s.Model)
	case len(s.Callers) > 0 && s.Adapter != "":
		return invalidIntent("adapter %q: an adapter is chosen for all callers of model %q, not for single ones", s.Adapter, s.Model)
	}
	for _, name := range s.Callers {
		if !slices.ContainsFunc(c.Accounts, func(a topo.Account) bool { return a.Caller == name }) {
			return invalidIntent("unknown caller %q for model %q", name, s.Model)
		}
	}
	for i, name := range s.Engines {
		u := Find(c, name)
		switch {
		case u == nil:
			return invalidIntent("unknown engine %q for model %q", name, s.Model)
		case u.Kind == topo.KindService:
			return invalidIntent("%q is a service and can't load model %q", name, s.Model)
		case StateOf(u) != topo.UpstreamActive:
			return invalidIntent("engine %q is %s and can't serve model %q", name, StateOf(u), s.Model)
		case slices.Contains(s.Engines[:i], name):
			return invalidIntent("engine %q is named twice for model %q", name, s.Model)
		}
	}
	return nil
}

// checkConflict refuses two serve entries that give a caller the same model twice or two priorities.
func checkConflict(a, b topo.Serve) error {
	for _, caller := range b.Callers {
		if slices.Contains(a.Callers, caller) && a.Priority != b.Priority {
			return invalidIntent("caller %q is given the priorities %d and %d", caller, a.Priority, b.Priority)
		}
	}
	if a.Model != b.Model {
		return nil
	}
	if len(a.Callers) == 0 && len(b.Callers) == 0 {
		return invalidIntent("model %q is served to all callers twice", a.Model)
	}
	for _, caller := range b.Callers {
		if slices.Contains(a.Callers, caller) {
			return invalidIntent("caller %q is given model %q twice", caller, a.Model)
		}
	}
	return nil
}
