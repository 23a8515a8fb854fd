package lease

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/membership"
)

// updateRanks computes this VM's place for each group if the live members have changed.
func (m *Manager) updateRanks() {
	names := m.liveMembers()
	if slices.Equal(names, m.rankedNames) {
		return
	}
	m.rankedNames = names
	now := m.opt.Clock.Now()
	for g := range m.ranks {
		place, best, bestName := 0, uint64(0), ""
		own := score(m.opt.Name, g)
		for _, name := range names {
			sc := score(name, g)
			if sc > own || (sc == own && name < m.opt.Name) {
				place++
			}
			if bestName == "" || sc > best {
				best, bestName = sc, name
			}
		}
		if r := &m.ranks[g]; r.preferred != bestName {
			r.preferred, r.since = bestName, now
		}
		if !slices.Contains(names, m.opt.Name) {
			place = m.opt.Candidates // a VM that is leaving takes no more groups
		}
		m.ranks[g].place = place
	}
}

// score returns the rendezvous hash of a member for a group; the member with the highest score is preferred.
func score(name string, g int) uint64 {
	// The hash includes the group, so that each group ranks the members independently.
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", name, g))
}

// liveMembers returns the names of the members that may hold leases.
func (m *Manager) liveMembers() []string {
	if m.opt.Members == nil {
		return []string{m.opt.Name}
	}
	var names []string
	for _, x := range m.opt.Members.Members() {
		if x.State == membership.Alive {
			names = append(names, x.Name)
		}
	}
	return names
}
