package edge

import (
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against callers that are sent to a VM that is off or stops, and against an answer without addresses because this VM's own
// links are bad. Seen as DRAIN on trouble-3 of both sites: a VM that was off was named for six seconds.
func TestAnswerable(t *testing.T) {
	is := is.New(t)
	m := func(name string, s membership.State, suspect bool) membership.Member {
		return membership.Member{Name: name, CallerAddress: name, State: s, Suspect: suspect}
	}
	suspect := func(m *membership.Member) bool { return m.Suspect }
	names := func(list []membership.Member) string {
		out := ""
		for i := range list {
			out += list[i].Name
		}
		return out
	}
	all := []membership.Member{
		m("a", membership.Alive, false), m("b", membership.Alive, true), m("c", membership.Uncertain, false),
		m("d", membership.Leaving, false), m("e", membership.Alive, false),
	}
	is.Equal(names(answerable(all, "a", true, suspect)), "ae")
	is.Equal(names(answerable(all, "a", false, suspect)), "e") // this VM stops
	cut := []membership.Member{m("a", membership.Alive, false), m("b", membership.Alive, true), m("c", membership.Alive, true)}
	is.Equal(names(answerable(cut, "a", true, suspect)), "abc")
}

// Guards against two starts of an upstream under one identifier that are taken for one: what was known of the first is void.
func TestStartsHaveNamesOfTheirOwn(t *testing.T) {
	is := is.New(t)
	s := &catalog.State{Table: routes.New(1, nil, map[string]*routes.Service{"s": {Engine: &routes.Engine{KVTokens: 9000}}}, routes.Limits{})}
	x := catalog.Entry{ID: "i-1", Born: 5, Service: "s", Role: topo.RoleDecode, Models: []string{"m"}, Leaving: true}
	first, ok := upstreamOf(s, &x)
	is.True(ok)
	is.Equal(first.State, topo.UpstreamDraining)
	is.Equal(first.KVPieces, 9)
	x.Born = 6
	second, _ := upstreamOf(s, &x)
	is.True(first.Name != second.Name)
	x.Service = "unknown"
	_, ok = upstreamOf(s, &x)
	is.True(!ok)
}

// Guards against a start without an address for callers that ends without saying why.
func TestFaultySettingsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := platform.ParseSettings([]byte(`{"node":"a"}`))
	is.True(err != nil)
}
