package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Strongest returns up to n of the members of each data centre that have the most cores, in a stable order. Members that are suspect or gone
// are left out, except for the VM named self: it can't judge itself. All VMs with the same members choose the same ones.
func Strongest(all []Member, self string, n int) map[string][]Member {
	by := map[string][]Member{}
	for _, m := range all {
		if m.State == Alive && (!m.Suspect || m.Name == self) {
			by[m.DataCentre] = append(by[m.DataCentre], m)
		}
	}
	for dc, members := range by {
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
		})
		by[dc] = members[:min(len(members), n)]
	}
	return by
}
