package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// StrongestByDataCentre returns, for each data centre, the up to n alive members with the most cores, in a stable
// order. Suspects are left out, except for the VM named self, which can't judge itself. All VMs with the same members
// choose the same ones.
func StrongestByDataCentre(all []Member, self string, n int) map[string][]Member {
	byDataCentre := map[string][]Member{}
	for _, m := range all {
		if m.State == Alive && (!m.Suspect || m.Name == self) {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	for dc, members := range byDataCentre {
		slices.SortFunc(members, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
		})
		byDataCentre[dc] = members[:min(len(members), n)]
	}
	return byDataCentre
}
