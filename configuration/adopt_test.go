package configuration

import (
	"testing"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against a return to an older revision that a lagging peer or a stale read delivers.
func TestAnOlderRevisionIsNotAdopted(t *testing.T) {
	is := is.New(t)
	n := New(Options{Store: emulator.New(emulator.Options{}), Name: "a"})
	at := func(revision uint64) *snapshot {
		return &snapshot{entry: Entry{Revision: revision}, config: &topo.Configuration{Revision: revision}}
	}
	is.True(n.adopt(at(5)))
	is.True(!n.adopt(at(4)))
	is.True(!n.adopt(at(5)))
	is.Equal(n.Current().Revision, uint64(5))
	is.True(n.adopt(at(6)))
	is.Equal(n.Current().Revision, uint64(6))
}
