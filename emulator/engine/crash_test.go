package engine

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against one crash that counts twice because two streams cause it at once.
func TestACrashIsCountedOnce(t *testing.T) {
	is := is.New(t)
	const rounds, streamsAtOnce = 1000, 16
	e := New(Options{})
	for range rounds {
		is.NoErr(e.Start("127.0.0.1:0"))
		var streams sync.WaitGroup
		begin := make(chan struct{})
		for range streamsAtOnce {
			streams.Go(func() {
				<-begin
				e.Crash()
			})
		}
		close(begin)
		streams.Wait()
	}
	is.Equal(e.Counts().Crashes, rounds)
}
