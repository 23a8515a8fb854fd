package discovery

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/topo"
)

func manyEngines(n int) []topo.Upstream {
	var list []topo.Upstream
	for i := range n {
		list = append(list, topo.Upstream{Name: fmt.Sprint("e", i), Kind: topo.KindEngine, Models: []string{fmt.Sprint("m", i%4)}})
	}
	return list
}

// Guards against a VM whose work grows with the fleet, and against engines that few entry VMs use.
func TestSubsetIsBoundedAndCoversAll(t *testing.T) {
	is := is.New(t)
	const vms, upstreams, perModel = 550, 2500, 64 // a quarter of the full size
	users := map[string]int{}
	list := manyEngines(upstreams)
	for v := range vms {
		chosen := Subset(fmt.Sprint("v", v), list, perModel)
		is.Equal(len(chosen), 4*perModel)
		for _, u := range chosen {
			users[u.Name]++
		}
	}
	const mean = vms * 4 * perModel / upstreams
	is.Equal(len(users), upstreams)
	for name, n := range users {
		if n < mean/3 || n > 2*mean {
			t.Errorf("%s is used by %d entry VMs, the mean is %d", name, n, mean)
		}
	}
}

// Guards against a subset that changes entirely when one upstream is removed, so that an entry VM loses its state of the
// engines, and against a small fleet that is not used completely.
func TestSubsetChangesLittle(t *testing.T) {
	is := is.New(t)
	list := manyEngines(1000)
	before := map[string]bool{}
	for _, u := range Subset("v1", list, 16) {
		before[u.Name] = true
	}
	changed := 0
	for _, u := range Subset("v1", list[1:], 16) {
		if !before[u.Name] {
			changed++
		}
	}
	is.True(changed <= 1)
	is.Equal(len(Subset("v1", list[:40], 64)), 40)
	is.Equal(len(Subset("v1", list, 0)), 1000)
}

// BenchmarkSubset measures Subset, which runs once for each configuration.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		list := manyEngines(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Subset("v1", list, 64)
			}
		})
	}
}
