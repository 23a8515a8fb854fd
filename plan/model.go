package plan

import (
	"slices"
	"strings"

	"bergamotcroft.example/bergamot/topo"
)

// ModelName returns the model name in "model" or "model@version".
func ModelName(m string) string {
	name, _, _ := strings.Cut(m, "@")
	return name
}

// withVersion joins a model and a version, which may be empty.
func withVersion(model, version string) string {
	if version == "" {
		return model
	}
	return model + "@" + version
}

// defaultVersion returns the version that callers get unless their account sets another one.
func defaultVersion(c *topo.Configuration, model string) string {
	for _, m := range c.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return ""
}

// holdsVersion reports whether the engine holds the model in this version. An entry without a version means the default one.
func holdsVersion(c *topo.Configuration, u *topo.Upstream, key string) bool {
	name, version, _ := strings.Cut(key, "@")
	for _, m := range u.Models {
		n, v, versioned := strings.Cut(m, "@")
		if n != name {
			continue
		}
		if !versioned {
			v = defaultVersion(c, name)
		}
		if v == version || version == "" {
			return true
		}
	}
	return false
}

// holdsModel reports whether the engine holds any version of the model.
func holdsModel(u *topo.Upstream, model string) bool {
	return slices.ContainsFunc(u.Models, func(m string) bool { return ModelName(m) == model })
}

// pools returns the pools of interchangeable upstreams that the upstream belongs to: its models, or its service.
func pools(u *topo.Upstream) []string {
	if u.Kind == topo.KindService {
		return []string{servicePool + u.Service}
	}
	var names []string
	for _, m := range u.Models {
		if n := ModelName(m); !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

const servicePool = "service:"

// inPool reports whether the upstream belongs to a pool.
func inPool(u *topo.Upstream, pool string) bool {
	if s, ok := strings.CutPrefix(pool, servicePool); ok {
		return u.Kind == topo.KindService && u.Service == s
	}
	return u.Kind != topo.KindService && holdsModel(u, pool)
}

// Find returns the upstream with this name in the configuration, or nil.
func Find(c *topo.Configuration, name string) *topo.Upstream {
	for i := range c.Upstreams {
		if c.Upstreams[i].Name == name {
			return &c.Upstreams[i]
		}
	}
	return nil
}

// StateOf returns the state of an upstream; an empty state means active.
func StateOf(u *topo.Upstream) topo.UpstreamState {
	if u.State == "" {
		return topo.UpstreamActive
	}
	return u.State
}

// RoleOf returns the role of an engine; an empty role means both.
func RoleOf(u *topo.Upstream) topo.Role {
	if u.Role == "" {
		return topo.RoleBoth
	}
	return u.Role
}

// Scope returns the given upstreams and those that share a model or a service with them. Their load decides whether a change
// fits.
func Scope(c *topo.Configuration, names []string) []string {
	wanted := map[string]bool{}
	for _, n := range names {
		if u := Find(c, n); u != nil {
			for _, p := range pools(u) {
				wanted[p] = true
			}
		}
	}
	var scope []string
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if slices.Contains(names, u.Name) || slices.ContainsFunc(pools(u), func(p string) bool { return wanted[p] }) {
			scope = append(scope, u.Name)
		}
	}
	return scope
}

// AffectedUpstreams returns the names of all upstreams whose load a plan for this intent depends on.
func AffectedUpstreams(in topo.Intent, c *topo.Configuration) []string {
	var names []string
	if in.Upstream != "" {
		names = append(names, in.Upstream)
	}
	if in.With != "" {
		names = append(names, in.With)
	}
	for _, s := range in.Serve {
		engines := s.Engines
		if len(engines) == 0 {
			engines = candidates(c, s.Model)
		}
		names = append(names, engines...)
	}
	return Scope(c, names)
}

// candidates returns the engines that hold the model, including drained ones, or all active engines if none does. A drained
// engine without the new version would be of no use when it resumes work.
func candidates(c *topo.Configuration, model string) []string {
	var with, all []string
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if u.Kind == topo.KindService || StateOf(u) == topo.UpstreamWithdrawn {
			continue
		}
		if StateOf(u) == topo.UpstreamActive {
			all = append(all, u.Name)
		}
		if holdsModel(u, model) {
			with = append(with, u.Name)
		}
	}
	if len(with) > 0 {
		return with
	}
	return all
}

func serviceOfPool(pool string) (string, bool) { return strings.CutPrefix(pool, servicePool) }

// RequiredWeights returns the weight store names of the models and adapters that a plan for this intent may load.
func RequiredWeights(in topo.Intent, c *topo.Configuration) []string {
	var names []string
	for _, s := range in.Serve {
		version := s.Version
		if version == "" {
			version = defaultVersion(c, s.Model)
		}
		names = append(names, withVersion(s.Model, version))
		if s.Adapter != "" {
			names = append(names, s.Adapter)
		}
	}
	if u := Find(c, in.Upstream); in.Action == topo.ActionReplace && u != nil {
		for _, m := range u.Models {
			if ModelName(m) == m {
				m = withVersion(m, defaultVersion(c, m))
			}
			names = append(names, m)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
