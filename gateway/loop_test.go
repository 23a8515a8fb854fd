package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// Guards against requests that the loop keeps, with their headers and bodies, after their answer is complete.
func TestCompletedRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	g := New(Options{Scheduler: newScheduler(t, "e0", "e1")})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = g.loop.run(ctx) }() // ends with ctx
	for range 10 {
		err := g.Submit(ctx, &Work{
			Request: policy.Request{Model: "m@1", Class: "c", Deadline: time.Hour, MaxOutput: 1},
			Attempt: func(context.Context, *Placement) error { return nil },
		})
		is.True(err == nil)
	}
	kept := -1
	is.NoErr(g.loop.do(ctx, func(time.Duration, *scheduler.Scheduler) { kept = len(g.loop.inFlight) }))
	is.Equal(kept, 0)
}
