package edge

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/membership"
)

// Guards against a large fleet in which all VMs or none watch the store, and against a small one with few watchers.
func TestPickWatchers(t *testing.T) {
	is := is.New(t)
	var all []membership.Member
	for i := range 40 {
		name := fmt.Sprint("vm", i)
		all = append(all, membership.Member{Name: name, PeerAddress: name, DataCentre: fmt.Sprint(i % 4), Cores: 1 + i%3})
	}
	watching, centre := map[string]int{}, map[string]string{}
	for _, m := range all {
		centre[m.Name] = m.DataCentre
	}
	for _, m := range all {
		w := pickWatchers(all, m.Name, m.DataCentre)
		if len(w) == 0 {
			watching[m.DataCentre]++
			is.Equal(m.Cores, 3) // the strongest
			continue
		}
		is.Equal(len(w), 4*watchersPerDataCentre)
		for i, address := range w {
			is.Equal(len(pickWatchers(all, address, centre[address])), 0)
			is.Equal(centre[address] == m.DataCentre, i < watchersPerDataCentre) // its own data centre first
		}
	}
	is.Equal(len(watching), 4)
	for _, n := range watching {
		is.Equal(n, watchersPerDataCentre)
	}
	first := pickWatchers(all, "vm0", "0")[0]
	for i := range all {
		if all[i].Name == first {
			all[i].Suspect = true
		}
	}
	is.True(pickWatchers(all, "vm0", "0")[0] != first)
	is.Equal(len(pickWatchers(all[:directWatchLimit], "vm0", "0")), 0)
}
