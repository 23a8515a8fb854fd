package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against leases that follow the wall clock: a step of it must not affect the clock that measures them.
func TestBootClock(t *testing.T) {
	is := is.New(t)
	a := BootClock{}.Now()
	is.NoErr(BootClock{}.Sleep(t.Context(), time.Millisecond))
	b := BootClock{}.Now()
	is.True(b.After(a))
	is.True(a.Year() < 2000) // time since boot, not the wall clock
}
