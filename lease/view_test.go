package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
)

// Guards against a view that names no holder, or the wrong one, where the lease has been read, and that hides an outage of the store.
func TestViewNamesTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.New(emulator.Options{Seed: 1})
		first, second := New(Options{Store: store, Name: "vm1", Groups: 1, Seed: 1}), New(Options{Store: store, Name: "vm2", Groups: 1, Seed: 2})
		is.Equal(second.View(0), View{})
		for range 60 {
			time.Sleep(first.Step(t.Context()))
			second.Step(t.Context())
		}
		is.Equal(first.View(0), View{Holder: "vm1", Fencing: 1})
		is.Equal(second.View(0), first.View(0))
		store.SetFaults(emulator.Faults{Down: true})
		for range 60 {
			time.Sleep(second.Step(t.Context()))
		}
		is.True(second.View(0).StoreFailures > 0)
	})
}
