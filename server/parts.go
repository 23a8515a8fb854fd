package server

import (
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/internal/scrape"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"

	// The policies register themselves.
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
	_ "bergamotcroft.example/bergamot/policy/roles"
)

// newScheduler returns a scheduler with the policies that the settings select.
func newScheduler(s *settings.Settings) (*scheduler.Scheduler, error) {
	router, err := kernel.Load[policy.Router](s.Policies.Routing.ID, s.Policies.Routing.Settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	admitter, err := kernel.Load[policy.Admitter](s.Policies.Admission.ID, s.Policies.Admission.Settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	health, err := kernel.Load[policy.HealthTracker](s.Policies.Health.ID, s.Policies.Health.Settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	retry, err := kernel.Load[policy.RetryPolicy](s.Policies.Retry.ID, s.Policies.Retry.Settings)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return scheduler.New(scheduler.Options{
		Router: router, Admitter: admitter, Health: health, Retry: retry, QueueCapacity: s.Gateway.Queue,
		NewCache: routing.NewIndex,
	}), nil
}

// StaticSource is a configuration.Source whose configuration is set by its owner, for tests and for fixed
// configurations.
type StaticSource struct {
	mu          sync.Mutex
	current     *topo.Configuration
	subscribers map[int]func(*topo.Configuration)
	nextID      int
	uncertain   bool
}

// NewStaticSource returns a source with a first configuration.
func NewStaticSource(c *topo.Configuration) *StaticSource {
	return &StaticSource{current: c, subscribers: map[int]func(*topo.Configuration){}}
}

// Current implements configuration.Source.
func (s *StaticSource) Current() *topo.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Set puts a configuration in force unless it is older than the current one.
func (s *StaticSource) Set(c *topo.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision < s.current.Revision {
		return
	}
	s.current = c
	for _, f := range s.subscribers {
		f(c)
	}
}

// SetAllowsNewWork sets the value of AllowsNewWork that Freshness returns.
func (s *StaticSource) SetAllowsNewWork(certain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncertain = !certain
}

// Subscribe implements configuration.Source.
func (s *StaticSource) Subscribe(f func(*topo.Configuration)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = f
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.subscribers[id] != nil {
			f(s.current)
		}
	}()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// Freshness implements configuration.Source.
func (s *StaticSource) Freshness() configuration.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return configuration.Freshness{Revision: s.current.Revision, AllowsNewWork: !s.uncertain}
}

// fileSource reads a fixed configuration from a file.
func fileSource(file string) (configuration.Source, error) {
	if file == "" {
		return nil, trace.BadParameter("settings name neither platform.url nor platform.configuration")
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := topo.Decode[topo.Configuration](b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return NewStaticSource(&c), nil
}

func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	others := []func(io.Writer){s.gateway.WriteMetrics}
	if s.limits != nil {
		others = append(others, s.limits.WriteMetrics)
	}
	scrape.Write(w, others...)
}
