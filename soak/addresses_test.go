package soak

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

// Guards against requests from the processes of another run, which reached servers and proxies at ports that its store had had.
func TestRunsHaveTheirOwnAddresses(t *testing.T) {
	is := is.New(t)
	fl := &fleet{store: standin.NewStore()}
	n := &node{zone: "dc0", service: "app"}
	is.NoErr(fl.addNode(n))
	defer n.server.Crash()
	defer n.link.close()
	is.True(!strings.HasPrefix(ownIP(), "127.0."))
	for _, address := range []string{n.server.Address(), n.link.address()} {
		is.True(strings.HasPrefix(address, ownIP()+":"))
	}
}

// Guards against a panic during a run whose kinds of faults are misspelt.
func TestUnknownKindsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := Run(t.Context(), Options{Only: []string{"server-crash", "hangups"}})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"hangups"`))
}
