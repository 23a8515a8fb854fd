package edge

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/platform"
)

// size is a number of VMs with the same capacity in each data centre.
type size struct{ cores, vms int }

// unevenMembers returns the VMs of three data centres.
func unevenMembers(sizes ...size) (ms []membership.Member) {
	for dc := range 3 {
		for _, z := range sizes {
			for i := range z.vms {
				name := fmt.Sprintf("vm-%d-%03d-%02d", dc, z.cores, i)
				ms = append(ms, membership.Member{Name: name, CallerAddress: name, DataCentre: fmt.Sprint("dc", dc), Cores: z.cores})
			}
		}
	}
	return ms
}

// clientShares returns each VM's share of the clients of dc0, which pick one of the named addresses at random.
func clientShares(all, listed []membership.Member) map[string]float64 {
	shares := map[string]float64{}
	const clients = 6000
	for c := range clients {
		named := weightedMembers(all, listed, fmt.Sprintf("10.%d.%d.1", c/250, c%250), "dc0")
		for i := range named {
			shares[named[i].Name] += 1 / float64(len(named)) / clients
		}
	}
	return shares
}

// Guards against VMs whose load does not follow what they can carry, within a tenth: the busiest VM of a fleet with two sizes used 1.8
// times the mean CPU time.
func TestClientsFollowCapacity(t *testing.T) {
	is := is.New(t)
	for _, sizes := range [][]size{{{80, 2}, {19, 21}}, {{80, 2}, {48, 7}, {14, 20}}} {
		all := unevenMembers(sizes...)
		near, total := all[:len(all)/3], 0.0
		for i := range near {
			total += float64(near[i].Cores)
		}
		shares := clientShares(all, all)
		is.Equal(len(shares), len(near)) // no VM of another data centre
		for i := range near {
			want := float64(all[i].Cores) / total
			want = min(want, 1.0/namedAddresses) // what one address of eight can get
			// A tenth, and four standard deviations of the clients' random choice.
			if got := shares[all[i].Name]; math.Abs(got-want) > 0.1*want+4*math.Sqrt(want/namedAddresses/6000) {
				t.Fatalf("%v: %s gets %.4f of the clients, not %.4f", sizes, all[i].Name, got, want)
			}
		}
	}
}

// Guards against answers that name silent VMs, fewer than eight, or others than the nearby ones while these are sufficient, and against
// clients that change more VMs than those that are gone.
func TestFarVMsFillWhatIsMissing(t *testing.T) {
	is := is.New(t)
	all := unevenMembers(size{80, 2}, size{19, 21})
	farShare := func(lost int) float64 {
		var listed []membership.Member
		for i := range all {
			if all[i].DataCentre != "dc0" || lost <= 0 {
				listed = append(listed, all[i])
			} else {
				lost--
			}
		}
		is.Equal(len(weightedMembers(all, listed, "10.0.0.1", "dc0")), namedAddresses)
		far := 0.0
		for name, s := range clientShares(all, listed) {
			if name[:4] != "vm-0" {
				far += s
			}
		}
		return far
	}
	is.Equal(farShare(0), 0.0)
	is.Equal(farShare(5), 0.0)
	some := farShare(15)
	is.True(some > 0 && some < 0.7)
	is.True(farShare(19) > some) // in proportion, without a threshold
	is.True(farShare(23) > 0.999)

	before := weightedMembers(all, all, "10.0.0.1", "dc0")
	without := append([]membership.Member(nil), all...)
	for i := range without {
		if without[i].Name == before[0].Name {
			without = append(without[:i], without[i+1:]...)
			break
		}
	}
	kept := 0
	for _, m := range weightedMembers(all, without, "10.0.0.1", "dc0") {
		for i := range before {
			if before[i].Name == m.Name {
				kept++
			}
		}
	}
	is.Equal(kept, namedAddresses-1)
}

// Guards against small fleets of equal VMs that get another answer than before, and against a size that ignores a narrow link.
func TestEqualFleetsAreListedAsAWhole(t *testing.T) {
	is := is.New(t)
	is.True(isSmallEqualFleet(unevenMembers(size{4, 5})))
	is.True(!isSmallEqualFleet(unevenMembers(size{4, 6})))
	is.True(!isSmallEqualFleet(unevenMembers(size{4, 2}, size{5, 2})))
	e := &Edge{settings: &platform.Settings{ResourceLimits: platform.ResourceLimits{CPUs: 0.48, LinkMbps: 7}}}
	is.Equal(e.advertisedCores(), 4)
	e.uneven.WeightedDirectory = true
	is.Equal(e.advertisedCores(), 2)
	e.settings.ResourceLimits.LinkMbps = 0
	is.Equal(e.advertisedCores(), 4)
}

// Guards against shares for a data centre that this VM hears nothing of, whose engines would look idle.
func TestHeardDataCentres(t *testing.T) {
	is := is.New(t)
	all := []membership.Member{
		{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "y", Suspect: true}, {Name: "c", DataCentre: "y", State: membership.Uncertain},
	}
	heard, alone := heardDataCentres(all, "a")
	is.Equal([]bool{heard["x"], heard["y"], alone}, []bool{true, false, true})
	all[1].Suspect = false
	heard, alone = heardDataCentres(all, "a")
	is.Equal([]bool{heard["x"], heard["y"], alone}, []bool{true, true, false})
}
