package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// SetUpstreams replaces the set of upstreams. An upstream in both sets keeps its state; a removed one keeps its slot
// until the own requests there are finished.
func (s *Scheduler) SetUpstreams(list []topo.Upstream) {
	listed := make(map[string]bool, len(list))
	for _, spec := range list {
		listed[spec.Name] = true
		s.setUpstream(spec)
	}
	for name, i := range s.byName {
		if listed[name] {
			continue
		}
		u := s.fleet.Upstreams[i]
		s.capacityLost = s.capacityLost || u.Accepting
		u.Accepting, u.AcceptsAfterQuiet = false, false
		u.Spec.State = topo.UpstreamWithdrawn
		if u.OwnRunning == 0 {
			delete(s.byName, name)
			delete(s.notAccepting, name)
		}
	}
	s.rebuildIndexes()
}

func (s *Scheduler) setUpstream(spec topo.Upstream) {
	i, ok := s.byName[spec.Name]
	if !ok {
		i = s.freeSlot()
		s.byName[spec.Name] = i
		u := &policy.Upstream{Index: i}
		if spec.Kind == topo.KindEngine && s.opts.NewCache != nil {
			u.Cache = s.opts.NewCache(spec.KVPieces)
		}
		s.fleet.Upstreams[i] = u
		s.opts.Health.Reset(i)
		*s.historyOf(i) = history{}
	}
	u := s.fleet.Upstreams[i]
	role := spec.Role
	if role == "" {
		role = topo.RoleBoth
	}
	// The current role, which SetRole may have changed, stays unless the configured role changes.
	if !ok || u.Spec.Role != spec.Role {
		u.Role = role
	}
	u.Spec = spec
	s.opts.Health.SetPeerGroup(i, servedSetKey(spec))
	u.Hash = xxhash.Sum64String(spec.Name)
	s.updateAccepting(u)
}

// servedSetKey returns a key shared by all upstreams that serve the same service or the same models as spec.
func servedSetKey(spec topo.Upstream) string {
	if spec.Service != "" {
		return "s:" + spec.Service
	}
	models := slices.Sorted(slices.Values(spec.Models))
	return "m:" + strings.Join(models, ",")
}

func isActive(spec topo.Upstream) bool {
	return spec.State == "" || spec.State == topo.UpstreamActive
}

// freeSlot returns the index of an unused slot, reusing those of removed upstreams so that Upstreams does not grow
// without bound.
func (s *Scheduler) freeSlot() int {
	used := make([]bool, len(s.fleet.Upstreams))
	for _, i := range s.byName {
		used[i] = true
	}
	for i, u := range used {
		if !u && s.fleet.Upstreams[i].OwnRunning == 0 {
			return i
		}
	}
	s.fleet.Upstreams = append(s.fleet.Upstreams, nil)
	return len(s.fleet.Upstreams) - 1
}

func (s *Scheduler) rebuildIndexes() {
	s.fleet.ByModel = map[string][]int{}
	s.fleet.ByService = map[string][]int{}
	s.fleet.ByVersion = map[policy.VersionKey][]int{}
	addVersion := func(key policy.VersionKey, i int) {
		if key.Version != "" {
			s.fleet.ByVersion[key] = append(s.fleet.ByVersion[key], i)
		}
	}
	for i, u := range s.fleet.Upstreams {
		if u.Spec.State == topo.UpstreamWithdrawn {
			continue
		}
		for _, m := range u.Spec.Models {
			s.fleet.ByModel[m] = append(s.fleet.ByModel[m], i)
			addVersion(policy.VersionKey{Model: m, Version: u.Spec.Version}, i)
		}
		if u.Spec.Service != "" {
			s.fleet.ByService[u.Spec.Service] = append(s.fleet.ByService[u.Spec.Service], i)
			addVersion(policy.VersionKey{Service: u.Spec.Service, Version: u.Spec.Version}, i)
		}
	}
	s.fleet.BuildRings()
	s.updateRanks()
}

// updateRanks ranks the accepting engines of each model that serve both phases by the hashes of their names, so that
// all entry VMs compute the same order without communicating.
func (s *Scheduler) updateRanks() {
	for _, u := range s.fleet.Upstreams {
		u.Rank = policy.None
	}
	var able []int
	for _, list := range s.fleet.ByModel {
		able = able[:0]
		for _, i := range list {
			if u := s.fleet.Upstreams[i]; u.Accepting && u.Role == topo.RoleBoth {
				able = append(able, i)
			}
		}
		slices.SortFunc(able, func(a, b int) int {
			return cmp.Compare(s.fleet.Upstreams[a].Hash, s.fleet.Upstreams[b].Hash)
		})
		for n, i := range able {
			s.fleet.Upstreams[i].Rank = n
		}
	}
}

// Lookup returns the index of the upstream with this name.
func (s *Scheduler) Lookup(name string) (int, bool) {
	i, ok := s.byName[name]
	return i, ok
}

// SetAccepting stops or resumes new work for an upstream, because of leaving marks or health checks. The setting
// survives SetUpstreams.
func (s *Scheduler) SetAccepting(name string, accepting bool) {
	i, ok := s.byName[name]
	if !ok {
		return
	}
	if accepting {
		delete(s.notAccepting, name)
	} else {
		s.notAccepting[name] = true
	}
	u := s.fleet.Upstreams[i]
	before := u.Accepting
	if s.updateAccepting(u) {
		s.updateRanks()
	}
	if u.Accepting && !before { // it may have restarted, which invalidates earlier measurements
		s.opts.Health.Reset(i)
		*s.historyOf(i) = history{}
	}
}

// SetRole records the current role of an engine.
func (s *Scheduler) SetRole(name string, role topo.Role) {
	if i, ok := s.byName[name]; ok && s.fleet.Upstreams[i].Role != role {
		s.fleet.Upstreams[i].Role = role
		s.updateRanks()
	}
}

// Report processes a load report of upstream i. Reports that are older than the last one are dropped.
func (s *Scheduler) Report(now time.Duration, i int, rep policy.LoadReport) {
	u := s.fleet.Upstreams[i]
	if rep.At < u.Report.At {
		return
	}
	u.Report = rep
	u.ReportReceived = now
	s.recordReport(now, i, rep)
}

// reportTTL is the time after which a load report expires. Otherwise an upstream whose reports have stopped would keep
// its last reported load for ever, and requests would wait for it.
const reportTTL = 10 * time.Second

// expireReports clears load reports older than reportTTL.
func (s *Scheduler) expireReports(now time.Duration) {
	for _, u := range s.fleet.Upstreams {
		if now-u.ReportReceived > reportTTL && u.Report != (policy.LoadReport{At: u.Report.At}) {
			u.Report = policy.LoadReport{At: u.Report.At}
		}
	}
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Inserted []uint64
	Removed  []uint64
	Gap      bool // events were missed; the index is reset
}

// CacheEvent applies a cache event of upstream i to its prefix index.
func (s *Scheduler) CacheEvent(now time.Duration, i int, e CacheEvent) {
	c := s.fleet.Upstreams[i].Cache
	if c == nil {
		return
	}
	if e.Gap {
		c.Reset()
	}
	c.Insert(now, e.Inserted)
	c.Remove(e.Removed)
}
