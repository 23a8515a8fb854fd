package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against a data race: the scheduler's goroutine picked a decoder for an attempt that had stopped waiting for it, and changed the
// placement while the attempt read it. The test takes the part of the scheduler's goroutine.
func TestALateDecoderChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newScheduler(t, "e0")
	l := newLoop(s, 8, func() time.Duration { return time.Second }, nil)
	f := newInFlight(1)
	f.current = 1
	p := &Placement{Decode: topo.Upstream{Name: "first"}, g: &Gateway{loop: l}, f: f, act: &action{attempt: 1}}
	pick := func(time.Duration, *scheduler.Scheduler) int { return 0 }
	for _, ended := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		picked := make(chan bool, 1)
		go func() { picked <- p.repick(ctx, pick) }()
		e, err := l.ring.Get(t.Context())
		is.NoErr(err)
		if ended {
			cancel()
			is.True(!<-picked)
		}
		e.do(time.Second, s)
		if ended {
			is.Equal(p.Decode.Name, "first")
		} else {
			is.True(<-picked)
			is.Equal(p.Decode.Name, "e0")
		}
		cancel()
	}
	pick = func(time.Duration, *scheduler.Scheduler) int { return policy.None }
	go func() { // the loop
		e, _ := l.ring.Get(t.Context())
		e.do(time.Second, s)
	}()
	is.True(!p.repick(t.Context(), pick))
}
