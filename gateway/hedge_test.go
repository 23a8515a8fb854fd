package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"

	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
)

// newScheduler returns a scheduler with the default policies and an engine for each name.
func newScheduler(t *testing.T, names ...string) *scheduler.Scheduler {
	is := is.New(t)
	set := settings.Default().Policies
	router, err := kernel.Load[policy.Router](set.Routing.ID, set.Routing.Settings)
	is.NoErr(err)
	admitter, err := kernel.Load[policy.Admitter](set.Admission.ID, set.Admission.Settings)
	is.NoErr(err)
	health, err := kernel.Load[policy.HealthTracker](set.Health.ID, set.Health.Settings)
	is.NoErr(err)
	retry, err := kernel.Load[policy.RetryPolicy](set.Retry.ID, set.Retry.Settings)
	is.NoErr(err)
	s := scheduler.New(scheduler.Options{
		Router: router, Admitter: admitter, Health: health, Retry: retry, QueueCapacity: 8, NewCache: routing.NewIndex,
	})
	var engines []topo.Upstream
	for _, name := range names {
		engines = append(engines, topo.Upstream{
			Name: name, Kind: topo.KindEngine, Models: []string{"m@1"}, PrefillTokensPerSecond: 1e4, DecodeTokensPerSecond: 1e3, MaxBatch: 8,
			KVPieces: 100,
		})
	}
	s.SetUpstreams(engines)
	return s
}

// Guards against a crash that the scheduler does not count: one of two concurrent attempts crashes its upstream and the other
// attempt continues.
func TestCrashOfAHedgedAttemptIsCounted(t *testing.T) {
	for n, remaining := range map[int]int{0: 1, 1: 0} { // whether the hedge crashes -> engine of the remaining attempt
		is := is.New(t)
		s := newScheduler(t, "e0", "e1")
		l := newLoop(s, 8, func() time.Duration { return time.Second }, nil)
		f := newInFlight(1)
		f.req.Prefill, f.req.Decode, f.req.HedgePrefill, f.req.HedgeDecode = 0, 0, 1, 1
		f.current = 1
		l.handle(event{kind: evHedgeFailed, request: f, attempt: 1, n: n, outcome: policy.Crashed})
		is.Equal(f.req.Crashes, 1)
		is.Equal(f.req.Prefill, remaining)
		is.Equal(f.req.HedgePrefill, policy.None)
	}
}

// runHedged runs the first attempt of a request and starts its hedge. The result of the attempt is sent to ended.
func runHedged(ctx context.Context, g *Gateway, f *inFlight) (act action, ended chan error) {
	act, ended = action{attempt: 1}, make(chan error, 1)
	go func() { ended <- g.runAttempt(ctx, f, &act) }()
	synctest.Wait()
	g.startHedge(f, act)
	synctest.Wait()
	return act, ended
}

// Guards against two hedges of one attempt that both provide the answer, so that the caller gets its events twice.
func TestAnAttemptHasOneHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Scheduler: newScheduler(t, "e0", "e1", "e2")})
		firstFails, hedgeGoesOn := make(chan struct{}), make(chan struct{})
		hedges, winners := 0, 0
		f := newInFlight(1)
		f.idempotent, f.ctx = true, t.Context()
		f.attempt = func(_ context.Context, act *action) error {
			if !act.hedge {
				<-firstFails
				return &upstream.Failure{Outcome: policy.FailedBeforeSend, Cause: errors.New("refused")}
			}
			hedges++
			<-hedgeGoesOn
			if g.win(f, act) {
				winners++
			}
			return nil
		}
		act, ended := runHedged(t.Context(), g, f)
		close(firstFails)
		synctest.Wait()
		g.startHedge(f, act)
		synctest.Wait()
		close(hedgeGoesOn)
		is.NoErr(<-ended)
		synctest.Wait()
		is.Equal(hedges, 1)
		is.Equal(winners, 1)
	})
}

// Guards against a silent upstream that is not probed because its hedge counts as slower than an attempt that was not answered either.
func TestAHedgeOfARequestThatIsGivenUpIsNotSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Scheduler: newScheduler(t, "e0", "e1")})
		f := newInFlight(1)
		f.idempotent, f.ctx = true, t.Context()
		superseded := map[bool]bool{} // by whether the attempt is the hedge
		f.attempt = func(ctx context.Context, act *action) error {
			<-ctx.Done()
			superseded[act.hedge] = Superseded(ctx)
			return &upstream.Failure{Outcome: policy.Cancelled, Cause: ctx.Err()}
		}
		act, ended := runHedged(t.Context(), g, f)
		f.preempt(act.attempt)
		is.True(errors.Is(<-ended, errPreempted))
		synctest.Wait()
		is.Equal(superseded, map[bool]bool{false: false, true: false})
	})
}

// Guards against a hedge of an attempt that has failed and is about to be repeated, which nothing waits for.
func TestAFailedAttemptGetsNoHedge(t *testing.T) {
	is := is.New(t)
	g := New(Options{Scheduler: newScheduler(t, "e0", "e1")})
	f := newInFlight(1)
	f.idempotent, f.ctx = true, t.Context()
	f.attempt = func(context.Context, *action) error { return errors.New("hedged") }
	act := action{attempt: 1}
	ctx, cancel, ok := f.begin(t.Context(), &act)
	defer cancel(nil)
	is.True(ok)
	failure := &upstream.Failure{Outcome: policy.FailedBeforeSend, Cause: errors.New("refused")}
	is.Equal(g.joinHedge(ctx, f, act.attempt, failure, false), error(failure))
	g.startHedge(f, act)
	is.True(f.hedge == nil)
}

// Guards against a second attempt that has not begun and yet counts: it kept a place at its engine and the request from being moved, until
// the first attempt ended. Probes are such attempts if their request, which has just been dispatched, has not begun.
func TestAHedgeThatIsNotStartedIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newScheduler(t, "e0", "e1")
	now, calls := time.Second, 0
	l := newLoop(s, 8, func() time.Duration { return now }, func(*inFlight, action) bool { calls++; return false })
	l.metrics = newMetricSet(1)
	f := newInFlight(1)
	f.req = policy.Request{ID: 1, Model: "m@1", Arrival: now, Deadline: time.Minute, PromptTokens: 100, MaxOutput: 1, Idempotent: true}
	l.handle(event{kind: evOffer, request: f})
	is.Equal(f.current, 1)
	for ; now < 3*time.Second; now += 20 * time.Millisecond {
		l.handle(event{kind: evTick})
	}
	is.Equal(calls, 1)
	is.Equal(f.req.HedgePrefill, policy.None)
	is.Equal(f.req.Attempts, 1)
	is.Equal(s.Fleet().Upstreams[0].OwnRunning+s.Fleet().Upstreams[1].OwnRunning, 1)
}
