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
	is.NoErr(g.loop.do(ctx, evDo, func(time.Duration, *scheduler.Scheduler) { kept = len(g.loop.inFlight) }))
	is.Equal(kept, 0)
}

// Guards against decisions that ignore what other entry VMs have sent, and against peers that are not informed of ended work.
func TestDecisionsAreRefreshed(t *testing.T) {
	is := is.New(t)
	refreshed, changed := 0, 0 // only in the loop's goroutine
	g := New(Options{
		Scheduler: newScheduler(t, "e0", "e1"), Refresh: func(time.Duration, *scheduler.Scheduler) { refreshed++ }, LoadChanged: func() { changed++ },
	})
	l := g.loop
	f := newInFlight(1)
	f.req = policy.Request{ID: 1, Model: "m@1", Class: "c", Deadline: time.Hour, MaxOutput: 1}
	l.handle(event{kind: evOffer, request: f})
	is.Equal([]int{refreshed, changed}, []int{1, 1})
	l.handle(event{kind: evProgress, request: f, n: 1})
	is.Equal([]int{refreshed, changed}, []int{1, 1})
	l.handle(event{kind: evFinished, request: f, attempt: f.current, outcome: policy.Completed})
	is.Equal([]int{refreshed, changed}, []int{2, 2})
	l.handle(event{kind: evTick})
	l.handle(event{kind: evPlace, do: func(time.Duration, *scheduler.Scheduler) {}})
	is.Equal([]int{refreshed, changed}, []int{4, 3})
	l.handle(event{kind: evAsk, do: func(time.Duration, *scheduler.Scheduler) {}})
	is.Equal([]int{refreshed, changed}, []int{5, 3})
}
