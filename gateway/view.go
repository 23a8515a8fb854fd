package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/accounts"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// view is a configuration with indexes for serving requests. It is immutable.
type view struct {
	config   *topo.Configuration
	accounts *accounts.Index
	models   map[string]*topo.Model
	classes  map[string]*topo.Class
	services map[string]*topo.Service
}

// newView returns the view of a configuration. It is valid also with an error, which names accounts with faulty keys.
func newView(c *topo.Configuration) (*view, error) {
	index, err := accounts.New(c.Accounts)
	v := &view{
		config: c, accounts: index, models: map[string]*topo.Model{}, classes: map[string]*topo.Class{}, services: map[string]*topo.Service{},
	}
	for i := range c.Models {
		v.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Classes {
		v.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Services {
		v.services[c.Services[i].Name] = &c.Services[i]
	}
	return v, err
}

// adopt applies a configuration, unless a newer one is in force.
func (g *Gateway) adopt(ctx context.Context, c *topo.Configuration) {
	if c == nil {
		return
	}
	if old := g.view.Load(); old != nil && old.config.Revision > c.Revision {
		return
	}
	err := g.Do(ctx, func(_ time.Duration, s *scheduler.Scheduler) { s.SetUpstreams(g.opts.Subset(c)) })
	if err != nil {
		g.opts.Log.Warn("configuration not adopted", zap.Uint64("revision", c.Revision), zap.Error(err))
		return
	}
	v, err := newView(c)
	if err != nil {
		g.opts.Log.Warn("keys left out", zap.Uint64("revision", c.Revision), zap.Error(err))
	}
	g.view.Store(v)
}

// maxKeyBytes is the maximum length of an API key; longer ones are rejected without hashing them.
const maxKeyBytes = 256

// authenticate returns the account of a request, by its API key.
func (v *view) authenticate(r *http.Request) (*topo.Account, *result.Error) {
	key := accounts.BearerKey(r.Header.Get("Authorization"))
	if key == "" || len(key) > maxKeyBytes {
		return nil, result.New(result.Unauthenticated, "send an API key as Authorization: Bearer KEY")
	}
	a, ok := v.accounts.Lookup(key)
	if !ok {
		return nil, result.New(result.Unauthenticated, "the API key is not known")
	}
	return a, nil
}

// Caller returns the account name of a request, or "" when its key is missing or unknown.
func (g *Gateway) Caller(r *http.Request) string {
	v := g.view.Load()
	if v == nil {
		return ""
	}
	a, err := v.authenticate(r)
	if err != nil {
		return ""
	}
	return a.Caller
}

// resolve returns the "model@version" that serves a model's name for an account.
func (v *view) resolve(a *topo.Account, name string) (string, *result.Error) {
	m, ok := v.models[name]
	if !ok {
		return "", result.New(result.UnknownModel, "no model %.100q", name)
	}
	if !allowed(a.Models, name) {
		return "", result.New(result.Forbidden, "the account may not use model %q", name)
	}
	version := m.Version
	if own, ok := a.Versions[name]; ok {
		version = own
	}
	if version == "" {
		return name, nil
	}
	return name + "@" + version, nil
}

func allowed(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// route returns the route of a service call. path must begin with a slash.
func (v *view) route(a *topo.Account, service, method, path string) (*topo.Route, *result.Error) {
	s, ok := v.services[service]
	if !ok {
		return nil, result.New(result.UnknownService, "no service %.100q", service)
	}
	if !allowed(a.Services, service) {
		return nil, result.New(result.Forbidden, "the account may not use service %q", service)
	}
	for i := range s.Routes {
		rt := &s.Routes[i]
		if (rt.Method == "" || rt.Method == method) && underPrefix(path, rt.PathPrefix) {
			return rt, nil
		}
	}
	return nil, result.New(result.UnknownRoute, "service %q has no route %s %.200q", service, method, path)
}

// underPrefix reports whether prefix covers path by whole segments, so that "/book" does not match "/bookings".
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
