package server

import (
	"sync"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/discovery"
	"bergamotcroft.example/bergamot/topo"
)

// subsets caches the subset of the upstreams that this entry VM sends to. It is computed once for each configuration, because
// that takes milliseconds with 10,000 upstreams.
type subsets struct {
	vm       string
	perGroup int

	mu      sync.Mutex
	current *topo.Configuration
	chosen  subset
}

// subset is the subset for one configuration. It is immutable.
type subset struct {
	list  []topo.Upstream
	names map[string]bool
}

// forConfiguration returns the subset for a configuration.
func (s *subsets) forConfiguration(c *topo.Configuration) subset {
	if c == nil {
		return subset{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != s.current {
		s.current = c
		s.chosen = subset{discovery.Subset(s.vm, c.Upstreams, s.perGroup), map[string]bool{}}
		for _, u := range s.chosen.list {
			s.chosen.names[u.Name] = true
		}
	}
	return s.chosen
}

// containsInForce returns a function that reports whether an upstream belongs to the subset for the configuration in force.
func (s *subsets) containsInForce(source configuration.Source) func(upstream string) bool {
	return func(upstream string) bool { return s.forConfiguration(source.Current()).names[upstream] }
}
