package edge

import (
	"math"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/membership"
)

// addressTTL is the TTL of the directory's answers. Some callers keep an answer three times as long; a stopping process
// must outlive that.
const addressTTL = time.Second

// addresses returns the caller addresses of the entry VMs that take callers, those of dataCentre first, and their TTL. The client is
// its IP address.
func (e *Edge) addresses(client, dataCentre string) ([]string, time.Duration) {
	now := time.Now()
	all := e.list.Members()
	list := listableMembers(all, e.settings.VM, e.ready(), func(m *membership.Member) bool {
		return m.Suspect || e.loads.IsSilent(now, m, len(all))
	})
	if e.uneven.WeightedDirectory && e.hasStrictPace() && !isSmallEqualFleet(all) {
		list = weightedMembers(all, list, client, dataCentre)
	}
	var near, far []string
	for _, m := range list {
		if m.DataCentre == dataCentre {
			near = append(near, m.CallerAddress)
		} else {
			far = append(far, m.CallerAddress)
		}
	}
	return append(slices.Clip(near), far...), min(addressTTL, max(e.settings.Bounds.MaxAddressTTL, 0))
}

const (
	// namedAddresses is the number of addresses in a weighted answer. A client picks one at random, so no VM's share of a client
	// exceeds 1/8; with more addresses the weights would have less effect.
	namedAddresses = 8
	// maxListedFleet is the largest fleet of equal VMs that is listed as a whole.
	maxListedFleet = 16
	// neededShare is the capacity that a data centre's listed VMs need to serve its clients alone, as a share of the mean of all data
	// centres. With less, other data centres' VMs fill the answer in proportion to what is missing, so that no threshold makes
	// clients move together.
	neededShare = 0.5
)

func isSmallEqualFleet(all []membership.Member) bool {
	for i := range all {
		if all[i].Cores != all[0].Cores {
			return false
		}
	}
	return len(all) <= maxListedFleet
}

// weightedMembers returns the members of listed that are named to a client: those of its data centre in proportion to their capacity,
// and others only as far as these are not sufficient.
func weightedMembers(all, listed []membership.Member, client, dataCentre string) []membership.Member {
	capacity := func(m *membership.Member) float64 { return float64(max(m.Cores, 1)) }
	total, dataCentres := 0.0, map[string]bool{}
	for i := range all {
		if m := &all[i]; m.CallerAddress != "" && m.State != membership.Gone && m.State != membership.Leaving {
			total += capacity(m)
			dataCentres[m.DataCentre] = true
		}
	}
	near, far := 0.0, 0.0
	for i := range listed {
		if listed[i].DataCentre == dataCentre {
			near += capacity(&listed[i])
		} else {
			far += capacity(&listed[i])
		}
	}
	nearShare := 1.0
	if needed := neededShare * total / float64(max(len(dataCentres), 1)); near < needed {
		nearShare = near / needed
	}
	weights := make([]float64, len(listed))
	for i := range listed {
		m := &listed[i]
		if weights[i] = capacity(m); m.DataCentre == dataCentre {
			weights[i] *= nearShare / near
		} else {
			weights[i] *= max(1-nearShare, math.SmallestNonzeroFloat32) / far // the rest of an answer if the near ones are too few
		}
	}
	return addresses.Sample(listed, weights, client, namedAddresses)
}

// listableMembers returns the members that callers may be directed to. Doubtful ones are left out while they are a
// minority: if most members seem unreachable, this VM's own links are the likely cause.
func listableMembers(all []membership.Member, self string, ready bool, doubtful func(*membership.Member) bool) []membership.Member {
	var sound, suspect []membership.Member
	for i := range all {
		m := all[i]
		switch {
		case m.CallerAddress == "" || m.State != membership.Alive || m.Name == self && !ready:
		case m.Name != self && doubtful(&m):
			suspect = append(suspect, m)
		default:
			sound = append(sound, m)
		}
	}
	if len(suspect) > len(sound) {
		return append(sound, suspect...) // this VM is more likely to be cut off itself
	}
	return sound
}
