package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"

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
