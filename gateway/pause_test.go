package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an undetected pause when a request arrives before the first tick after it, and against new requests before
// the state is confirmed.
func TestPauseIsDetectedByFirstRequest(t *testing.T) {
	is := is.New(t)
	confirmed, notified := false, 0
	g := New(Options{OnPause: func() { notified++ }, ConfirmState: func(time.Duration) error {
		if confirmed {
			return nil
		}
		return errHandOff
	}})
	now := time.Minute
	g.pause.tick(now)
	is.True(!g.pause.paused(now + maxPause))              // a late tick is not a pause
	is.True(g.pause.paused(now + maxPause + time.Second)) // no tick has run yet
	g.checkPause()
	is.True(g.pause.detectedAt.Load() != 0) // not confirmed
	g.checkPause()
	is.Equal(notified, 1) // OnPause is called immediately, and only once
	confirmed = true
	g.checkPause()
	is.Equal(g.pause.detectedAt.Load(), time.Duration(0))
}
