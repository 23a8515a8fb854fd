package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// limitedSplitScheduler returns a scheduler whose engines of these names are limited to a rate per second.
func limitedSplitScheduler(t *testing.T, perSecond float64, names ...string) *Scheduler {
	s := newSplitScheduler(t)
	for _, name := range names {
		s.AnswerLimit(0, name, true, perSecond, 0)
	}
	return s
}

func (s *Scheduler) grantByName(now time.Duration, name string, n int) {
	s.GrantPermits(now, s.fleet.Upstreams[s.byName[name]].Hash, n)
}

func (s *Scheduler) permitsOf(name string) int { return s.fleet.Upstreams[s.byName[name]].Permits }

func splitRequest(id uint64, patience time.Duration) *policy.Request {
	return &policy.Request{ID: id, Model: "m", PromptTokens: 30000, Deadline: patience, FirstTokenDeadline: patience, ResendsLimited: true, MaxResends: 2}
}

// Guards against requests that wait until their deadline while all engines that could generate are limited.
func TestRequestsForLimitedDecodersAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 1, "d1", "d2", "d3")
	refused := 0
	for id := range uint64(20) {
		for _, a := range s.Offer(time.Millisecond, splitRequest(id+1, 3*time.Second)) {
			is.Equal(a.Kind, Refuse)
			is.True(!a.Ran)
			is.True(a.RetryAfter >= 2*time.Second) // the queue is served in about 3 s
			refused++
		}
	}
	is.True(refused >= 10) // 3 a second can be served
	is.True(s.Queued() >= 5)
}

// Guards against a request that is sent to a limited decoder without a permit, or with two, when its prompt is ready.
func TestAHandOverUsesOnePermit(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 5, "d1", "d2", "d3")
	s.grantByName(0, "d2", 2)
	r := splitRequest(1, 3*time.Second)
	a := s.Offer(time.Millisecond, r)
	is.Equal(len(a), 1)
	is.Equal(s.fleet.Upstreams[a[0].Decode].Spec.Name, "d2")
	is.Equal(s.permitsOf("d2"), 1) // one is reserved
	decode, _ := s.PromptComputed(900*time.Millisecond, r)
	is.Equal(s.fleet.Upstreams[decode].Spec.Name, "d2")
	is.Equal(s.permitsOf("d2"), 1)
	is.Equal(s.RetryHandOver(950*time.Millisecond, r, policy.RefusedNotRun), decode) // the only engine with a permit
	is.Equal(s.permitsOf("d2"), 0)
	is.Equal(s.RetryHandOver(960*time.Millisecond, r, policy.RefusedNotRun), policy.None)
}

// Guards against a permit that stays reserved for a request that has failed before its prompt was ready.
func TestAFailedPromptReturnsItsPermit(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 5, "d1", "d2", "d3")
	s.grantByName(0, "d2", 1)
	r := splitRequest(1, 3*time.Second)
	is.Equal(len(s.Offer(time.Millisecond, r)), 1)
	is.Equal(s.permitsOf("d2"), 0)
	s.Finished(100*time.Millisecond, r, policy.Cancelled)
	returned := 0
	for _, d := range s.LimitDemands(200 * time.Millisecond) {
		returned += d.Returned
	}
	is.Equal(returned, 1)
}

// Guards against a hand-over to a decoder that has named a limit since the dispatch.
func TestALimitNamedDuringThePromptHolds(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r := splitRequest(1, 3*time.Second)
	a := s.Offer(0, r)
	limited := s.fleet.Upstreams[a[0].Decode].Spec.Name
	s.AnswerLimit(time.Millisecond, limited, true, 1, 0)
	decode, _ := s.PromptComputed(500*time.Millisecond, r)
	is.True(decode != policy.None)
	is.True(s.fleet.Upstreams[decode].Spec.Name != limited)
}

// Guards against a limited engine that is read from as the source of cached pieces.
func TestNoPiecesAreFetchedFromALimitedEngine(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r := sharedPrefixRequest(1, 77, 100)
	r.Deadline, r.FirstTokenDeadline = time.Minute, time.Minute
	s.CacheEvent(0, s.byName["d1"], CacheEvent{Inserted: r.Prefix})
	s.AnswerLimit(0, "d1", true, 1, 0)
	a := s.Offer(time.Millisecond, r)
	is.Equal(len(a), 1)
	is.Equal(a[0].Source, nil)
	is.True(s.fleet.Upstreams[a[0].Prefill].Spec.Name != "d1")
}

// Guards against a limit that an older answer ends, or an older report of a peer brings back.
func TestTheNewestStatementOfALimitHolds(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 1)
	u := s.fleet.Upstreams[s.byName["d1"]]
	s.AnswerLimit(100*time.Millisecond, "d1", true, 2, 0)
	s.AnswerLimit(150*time.Millisecond, "d1", false, 0, 50*time.Millisecond) // sent before
	is.True(u.Limited)
	s.LearnLimit(160*time.Millisecond, u.Hash, Limit{Named: true, PerSecond: 9, ObservedAt: 90 * time.Millisecond})
	is.Equal(u.Limit, 2.0)
	s.AnswerLimit(200*time.Millisecond, "d1", false, 0, 120*time.Millisecond)
	is.True(!u.Limited)
	s.LearnLimit(300*time.Millisecond, u.Hash, Limit{Named: true, PerSecond: 2, ObservedAt: 100 * time.Millisecond})
	is.True(!u.Limited)
	s.LearnLimit(300*time.Millisecond, u.Hash, Limit{Named: true, PerSecond: 2, ObservedAt: 250 * time.Millisecond})
	is.True(u.Limited)
}

// Guards against a limit that seems newer each time that entry VMs pass it on, so that no answer can end it.
func TestAStatementThatIsPassedOnStaysOld(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 2, "d1")
	u := s.fleet.Upstreams[s.byName["d1"]]
	for at := 10 * time.Millisecond; at < 300*time.Millisecond; at += 10 * time.Millisecond {
		s.LearnLimit(at, u.Hash, Limit{Named: true, PerSecond: 2, ObservedAt: at})
	}
	s.AnswerLimit(300*time.Millisecond, "d1", false, 0, 50*time.Millisecond)
	is.True(!u.Limited)
}

// Guards against a new start of an upstream that inherits the limit of the one before.
func TestANewStartIsNotLimited(t *testing.T) {
	is := is.New(t)
	s := limitedSplitScheduler(t, 1, "d1")
	list := splitFleet("")
	list[2].Name = "d1@2"
	s.SetUpstreams(list)
	s.Tick(time.Second)
	is.True(!s.Limited())
	is.True(!s.fleet.Upstreams[s.byName["d1@2"]].Limited)
}

// Guards against hedges and probes that use the permits of requests.
func TestNoHedgeToALimitedUpstream(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	var list []topo.Upstream
	for _, name := range []string{"a", "b"} {
		list = append(list, topo.Upstream{Name: name, Kind: topo.KindService, Service: "app", MaxBatch: 8})
	}
	s.SetUpstreams(list)
	for id := range uint64(200) { // a budget for hedges
		r := &policy.Request{ID: id + 10, Service: "app", Deadline: time.Minute, Idempotent: true}
		s.Offer(0, r)
		s.Finished(time.Millisecond, r, policy.Completed)
	}
	r := &policy.Request{ID: 1, Service: "app", Deadline: time.Minute, Idempotent: true}
	at := s.Offer(2*time.Millisecond, r)[0].Prefill
	other := map[string]string{"a": "b", "b": "a"}[s.fleet.Upstreams[at].Spec.Name]
	s.AnswerLimit(3*time.Millisecond, other, true, 5, 0)
	s.grantByName(900*time.Millisecond, other, 1)
	for now := time.Second; now < 1800*time.Millisecond; now += 20 * time.Millisecond {
		for _, a := range s.Tick(now) {
			is.True(a.Kind != Hedge)
		}
	}
	s.AnswerLimit(1800*time.Millisecond, other, false, 0, 1500*time.Millisecond)
	hedged := false
	for _, a := range s.Tick(1820 * time.Millisecond) {
		hedged = hedged || a.Kind == Hedge
	}
	is.True(hedged) // it would have been hedged
}
