package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that is killed by a SIGHUP which arrives before main installs its handlers. Seen in the
// soak, seed 23.
func TestHangupsAreTakenFromTheStart(t *testing.T) {
	is := is.New(t)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case s := <-hangups:
		is.Equal(s, syscall.SIGHUP)
	case <-time.After(10 * time.Second):
		t.Fatal("the signal was lost")
	}
}
