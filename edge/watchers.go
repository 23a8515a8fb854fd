package edge

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/membership"
)

const (
	// watchAll is the fleet up to which every VM watches the store itself; two watches each are within its rates then.
	watchAll = 16
	// watchersEach is the number of VMs of a data centre that watch the store for the others of it.
	watchersEach = 2
)

// watcher returns the peer address of the VM that watches the store for this one, or "" when this one watches it itself.
func (e *Edge) watcher() string {
	return pickWatcher(e.list.Members(), e.set.VM, e.set.DataCentre)
}

// pickWatcher chooses among the strongest VMs of the data centre. All VMs with the same members choose the same watchers; followers
// are spread over them by their names.
func pickWatcher(all []membership.Member, self, dataCentre string) string {
	if len(all) <= watchAll {
		return ""
	}
	var near []membership.Member
	for _, m := range all {
		if m.DataCentre == dataCentre && m.State == membership.Alive && (!m.Suspect || m.Name == self) {
			near = append(near, m)
		}
	}
	slices.SortFunc(near, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	near = near[:min(len(near), watchersEach)]
	if len(near) == 0 || slices.ContainsFunc(near, func(m membership.Member) bool { return m.Name == self }) {
		return ""
	}
	return near[xxhash.Sum64String(self)%uint64(len(near))].PeerAddress
}
