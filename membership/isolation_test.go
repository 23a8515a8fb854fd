package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a majority that takes itself for isolated, as its members' probes all go to the other side of a partition for a while.
func TestAMajorityIsNotIsolated(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 48, 3)
	w.run(5 * time.Second)
	minority := func(x *node) bool { return x.name < "vm-018" } // as the names of a data centre follow one another
	w.blocked = func(a, b *node) bool { return minority(a) != minority(b) }
	w.run(time.Minute)
	samples, isolated := 0, 0
	for range 60 {
		w.run(Period)
		for _, x := range w.nodes {
			if minority(x) {
				continue
			}
			samples++
			if reachable, _ := x.core.reachable(w.now); reachable == 1 {
				isolated++
			}
		}
	}
	t.Logf("isolated in %d of %d samples", isolated, samples)
	is.True(isolated*20 <= samples)
}
