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

// Guards against an engine whose prompt has been moved and that answers after the move: its answer must neither change what the scheduler
// knows of the new attempt nor get a decoder.
func TestAnAnswerAfterAMoveChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newScheduler(t, "e0", "e1")
	l := newLoop(s, 8, func() time.Duration { return time.Second }, nil)
	l.metrics = newMetricSet(1)
	f := newInFlight(1)
	f.req = policy.Request{ID: 1, Model: "m@1", Arrival: time.Second, Deadline: time.Minute, PromptTokens: 100, MaxOutput: 1}
	l.handle(event{kind: evOffer, request: f})
	first, _ := f.actions.Get(t.Context())
	p := &Placement{Decode: topo.Upstream{Name: "first"}, g: &Gateway{loop: l}, f: f, act: &first}
	l.deliver(f, scheduler.Action{Kind: scheduler.Preempt, Request: &f.req, Moved: true})
	l.deliver(f, scheduler.Action{Kind: scheduler.Dispatch, Request: &f.req, Prefill: 1, Decode: 1})
	second, _ := f.actions.Get(t.Context())
	is.Equal([]int{second.attempt, second.moves}, []int{2, 1})
	_, _, ok := f.begin(t.Context(), &first)
	is.True(!ok) // if the first attempt has not begun, it does not begin any more

	go func() { // the loop
		for {
			e, err := l.ring.Get(t.Context())
			if err != nil {
				return
			}
			l.handle(e)
		}
	}()
	before := f.req
	p.PromptSent()
	is.True(!p.PromptComputed(t.Context()))
	is.True(!p.RetryHandOver(t.Context(), policy.RefusedNotRun))
	p.ReportOutput(true, 0)
	l.send(event{kind: evFinished, request: f, attempt: 1, outcome: policy.RefusedNotRun})
	var after policy.Request
	current := 0
	is.NoErr(l.do(t.Context(), evDo, func(time.Duration, *scheduler.Scheduler) { after, current = f.req, f.current }))
	is.Equal(after, before)
	is.Equal(current, 2)
	is.Equal(p.Decode.Name, "first")
}
