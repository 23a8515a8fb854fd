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
