package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against directing callers to a VM that is down or stopping (a VM that was down stayed listed for six seconds),
// and against an answer without addresses because this VM's own links are bad.
func TestListableMembers(t *testing.T) {
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
	is.Equal(names(listableMembers(all, "a", true, suspect)), "ae")
	is.Equal(names(listableMembers(all, "a", false, suspect)), "e") // this VM is stopping
	cut := []membership.Member{m("a", membership.Alive, false), m("b", membership.Alive, true), m("c", membership.Alive, true)}
	is.Equal(names(listableMembers(cut, "a", true, suspect)), "abc")
}

// Guards against a restarted upstream that is taken for its previous process because both have one identifier. State
// kept about the previous process does not apply to the new one.
func TestStartsHaveNamesOfTheirOwn(t *testing.T) {
	is := is.New(t)
	s := &catalog.State{Table: routes.New(1, nil, map[string]*routes.Service{"s": {Engine: &routes.Engine{KVTokens: 9000, KVBytesPerToken: 163840, LinkBytesPerS: 225e9}}}, routes.Limits{})}
	x := catalog.Entry{ID: "i-1", StartTimeMS: 5, Service: "s", Role: topo.RoleDecode, Models: []string{"m"}, Leaving: true}
	first, ok := upstreamOf(s, &x)
	is.True(ok)
	is.Equal(first.State, topo.UpstreamDraining)
	is.Equal(first.KVPieces, 9)
	is.Equal([]float64{float64(first.KVTokens), first.KVBytesPerToken, first.LinkBytesPerS}, []float64{9000, 163840, 225e9}) // for the router
	x.StartTimeMS = 6
	second, _ := upstreamOf(s, &x)
	is.True(first.Name != second.Name)
	x.Service = "unknown"
	_, ok = upstreamOf(s, &x)
	is.True(!ok)
}

// Guards against an entry VM that starts with incomplete settings instead of returning an error.
func TestIncompleteSettingsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := platform.ParseSettings([]byte(`{"node":"a"}`))
	is.True(err != nil)
}

// Guards against a switch that names an admitter that is not registered: the process would not start.
func TestAdmittersAreRegistered(t *testing.T) {
	for _, objective := range []bool{false, true} {
		if _, err := kernel.Load[policy.Admitter](admitterID(objective), nil); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a VM that decides by a configuration which the store replaced longer ago than the settings allow, and against one
// without faults that counts as unconfirmed between two answers of the store.
func TestConfirmationsCountWithinTheBound(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second // of the deployments with accounts
	is.True(confirmationTTL(bound) < bound)
	for _, bound := range []time.Duration{0, time.Second, 2 * time.Second, bound, time.Minute} {
		is.True(confirmationTTL(bound) >= minConfirmationTTL)
	}
	is.True(minConfirmationTTL >= 2850*time.Millisecond) // of catalog: TestHealthyVMsStayConfirmed
	is.Equal(confirmationTTL(0), defaultConfirmationTTL)
	is.Equal(confirmationTTL(time.Minute), defaultConfirmationTTL)
}
