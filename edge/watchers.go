package edge

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/membership"
)

const (
	// directWatchLimit is the fleet size up to which every VM watches the store itself: two watches per VM are then
	// within the store's rate limits.
	directWatchLimit = 16
	// watchersPerDataCentre is the number of VMs of a data centre that watch the store for all VMs of the data centre.
	watchersPerDataCentre = 2
)

// watchers returns the peer addresses of the VMs that watch the store for this one, or nil if this one watches it
// itself.
func (e *Edge) watchers() []string {
	return pickWatchers(e.list.Members(), e.settings.VM, e.settings.DataCentre)
}

// pickWatchers returns the peer addresses of the VMs with the most cores of each data centre, or nil if self is one of
// them or the fleet is small. All VMs with the same members choose the same ones. Those of the VM's own data centre
// come first; within each group, the order depends on the name of self, which spreads the load.
func pickWatchers(all []membership.Member, self, dataCentre string) []string {
	if len(all) <= directWatchLimit {
		return nil
	}
	var near, far []string
	for dc, members := range membership.StrongestByDataCentre(all, self, watchersPerDataCentre) {
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
	slices.Sort(far) // map iteration order is random
	return append(rotatedByName(near, self), rotatedByName(far, self)...)
}

// rotatedByName returns the list rotated to start at an element that depends on the name.
func rotatedByName(list []string, name string) []string {
	if len(list) == 0 {
		return nil
	}
	at := xxhash.Sum64String(name) % uint64(len(list))
	return append(slices.Clone(list[at:]), list[:at]...)
}
