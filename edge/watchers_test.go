package edge

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/membership"
)

// Guards against a large fleet in which all or none watch the store, and against a small one with a single watcher.
func TestPickWatcher(t *testing.T) {
	is := is.New(t)
	var all []membership.Member
	for i := range 40 {
		name := fmt.Sprint("vm", i)
		all = append(all, membership.Member{Name: name, PeerAddress: name, DataCentre: fmt.Sprint(i % 4), Cores: 1 + i%3})
	}
	watching := map[string]int{}
	for _, m := range all {
		w := pickWatcher(all, m.Name, m.DataCentre)
		if w == "" {
			watching[m.DataCentre]++
			is.Equal(m.Cores, 3) // the strongest
			continue
		}
		is.Equal(pickWatcher(all, w, m.DataCentre), "")
	}
	is.Equal(len(watching), 4)
	for _, n := range watching {
		is.Equal(n, watchersEach)
	}
	first := pickWatcher(all, "vm0", "0")
	for i := range all {
		if all[i].Name == first {
			all[i].Suspect = true
		}
	}
	is.True(pickWatcher(all, "vm0", "0") != first)
	is.Equal(pickWatcher(all[:watchAll], "vm0", "0"), "")
}
