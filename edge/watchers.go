package edge

import (
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

// watchers returns the peer addresses of the VMs that watch the store for this one, or none when this one watches it itself.
func (e *Edge) watchers() []string { return pickWatchers(e.list.Members(), e.set.VM, e.set.DataCentre) }

// pickWatchers chooses the strongest VMs of each data centre. All VMs with the same members choose the same ones. Those of the own data centre
// come first; within each group, followers are spread by their names.
func pickWatchers(all []membership.Member, self, dataCentre string) []string {
	if len(all) <= watchAll {
		return nil
	}
	var near, far []string
	for dc, members := range membership.Strongest(all, self, watchersEach) {
		for _, m := range members {
			switch {
			case m.Name == self:
				return nil
			case dc == dataCentre:
				near = append(near, m.PeerAddress)
			default:
				far = append(far, m.PeerAddress)
			}
		}
	}
	slices.Sort(far) // of the same order in each call
	return append(rotated(near, self), rotated(far, self)...)
}

// rotated starts a list at an element that a name chooses.
func rotated(list []string, name string) []string {
	if len(list) == 0 {
		return nil
	}
	at := xxhash.Sum64String(name) % uint64(len(list))
	return append(slices.Clone(list[at:]), list[:at]...)
}
