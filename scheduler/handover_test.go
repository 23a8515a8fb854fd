package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	"bergamotcroft.example/bergamot/policy/retry"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/topo"
)

func newSplitScheduler(t *testing.T) *Scheduler {
	load := func(id string) any {
		m, err := kernel.Load[any](id, nil)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	s := New(Options{
		Router: load("routing.measured").(policy.Router), Admitter: load("admission.patience").(policy.Admitter),
		Health: load("health.reachable").(policy.HealthTracker), Retry: load("retry.window").(policy.RetryPolicy), QueueCapacity: 10,
		NewCache: routing.NewIndex, NoYield: true, NoRescue: true, CachesImports: true,
	})
	s.SetUpstreams(splitFleet(""))
	return s
}

func splitFleet(leaving string) []topo.Upstream {
	var list []topo.Upstream
	for _, u := range []struct {
		name string
		role topo.Role
	}{{"p1", topo.RolePrefill}, {"p2", topo.RolePrefill}, {"d1", topo.RoleDecode}, {"d2", topo.RoleDecode}, {"d3", topo.RoleDecode}} {
		x := topo.Upstream{Name: u.name, Kind: topo.KindEngine, Models: []string{"m"}, MaxBatch: 8, KVPieces: 100, Role: u.role}
		if u.name == leaving {
			x.State = topo.UpstreamDraining
		}
		list = append(list, x)
	}
	return list
}

func offerSplit(is *is.I, s *Scheduler) (*policy.Request, Action) {
	r := &policy.Request{ID: 1, Model: "m", PromptTokens: 30000, Deadline: time.Minute, FirstTokenDeadline: 10 * time.Second, ResendsLimited: true}
	a := s.Offer(0, r)
	is.Equal(len(a), 1)
	is.True(a[0].Prefill != a[0].Decode) // a long prompt that no engine has cached is split
	return r, a[0]
}

// Guards against handing a computed prompt to a decoder that started leaving after the dispatch. This
// failed the DRAIN check of vairogs scale-1 --seed 11, where the prompt took 2.7 s.
func TestTheDecoderIsChosenWhenThePromptIsComputed(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r, a := offerSplit(is, s)
	leaving := s.Fleet().Upstreams[a.Decode].Spec.Name
	s.SetUpstreams(splitFleet(leaving))
	decode, _ := s.PromptComputed(time.Second, r)
	is.True(decode != policy.None && decode != a.Decode)
	is.True(s.Fleet().Upstreams[decode].Accepting)
	is.Equal(s.Fleet().Upstreams[decode].OwnHeld, held(r))
	is.Equal(s.Fleet().Upstreams[a.Decode].OwnHeld, 0.0)
	s.FirstToken(2*time.Second, r)
	s.Finished(3*time.Second, r, policy.Completed)
	for _, u := range s.Fleet().Upstreams { // the load has moved with the request
		is.Equal(u.OwnRunning, 0)
		is.Equal(u.OwnPrefill, 0.0)
		is.Equal(len(u.Computing), 0)
	}
}

// Guards against a prompt that is computed again because the decoder was full, and against endless hand-overs.
func TestARefusedHandOverGoesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r, _ := offerSplit(is, s)
	first, _ := s.PromptComputed(time.Second, r)
	second := s.RetryHandOver(time.Second, r, policy.RefusedNotRun)
	is.True(second != policy.None && second != first)
	tries := 0
	for s.RetryHandOver(time.Second, r, policy.RefusedNotRun) != policy.None {
		tries++
		is.True(tries < 10)
	}
	s.Finished(2*time.Second, r, policy.RefusedNotRun)
	for _, u := range s.Fleet().Upstreams {
		is.True(u.OwnRunning <= 1) // at most the retry
	}
}

// Guards against sending a request to more upstreams that may have run it than its route allows.
func TestResendsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r := &policy.Request{ID: 2, Model: "m", PromptTokens: 100, Deadline: time.Minute, Idempotent: true, ResendsLimited: true, MaxResends: 1}
	is.Equal(s.Offer(0, r)[0].Kind, Dispatch)
	s.FirstToken(0, r)
	s.Progress(0, r, 4)
	is.Equal(s.Finished(0, r, policy.CutShort)[0].Kind, Dispatch)
	last := s.Finished(0, r, policy.CutShort)[0]
	is.Equal(last.Kind, Refuse)
	is.True(last.Ran)
}

// sharedPrefixRequest returns a request whose prompt has a shared part of 13000 tokens and a part of its own.
func sharedPrefixRequest(id uint64, part uint64, own int) *policy.Request {
	parts := []policy.Part{{ID: part, Tokens: 13000}, {ID: 1000 + id, Tokens: own}}
	return &policy.Request{
		ID: id, Model: "m", PromptTokens: 13000 + own, Deadline: time.Minute, FirstTokenDeadline: 10 * time.Second, ResendsLimited: true,
		Prefix: policy.PrefixPieces(parts[:1]), PromptPieces: policy.PrefixPieces(parts),
	}
}

func cachedPieces(s *Scheduler, i int, r *policy.Request) int {
	return s.Fleet().Upstreams[i].Cache.Match(r.Prefix)
}

// Guards against a prefix index that lists pieces at the decoder chosen at dispatch although another decoder was picked
// later: requests routed by it compute the pieces again. On pswpt-parkiety quiet-1, 145 of 255 prompts were handed to
// another decoder than the one chosen at dispatch.
func TestOnlyTheFinalDecoderCachesAnImport(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r := sharedPrefixRequest(1, 7, 17000)
	a := s.Offer(0, r)
	is.True(a[0].Prefill != a[0].Decode)
	first := a[0].Decode
	is.Equal(cachedPieces(s, first, r), 0)
	is.True(cachedPieces(s, a[0].Prefill, r) == len(r.Prefix)) // listed from dispatch on, so that other requests may queue there
	s.SetUpstreams(splitFleet(s.Fleet().Upstreams[first].Spec.Name))
	next, _ := s.PromptComputed(time.Second, r)
	is.True(next != first)
	s.SetUpstreams(splitFleet(""))
	is.Equal(cachedPieces(s, next, r), 0)
	s.FirstToken(2*time.Second, r)
	is.Equal(cachedPieces(s, next, r), len(r.Prefix))
	is.Equal(cachedPieces(s, first, r), 0)
}

// Guards against a prefix index that ignores the unshared parts of prompts: it lists shared pieces long after the
// unshared ones have evicted them from the engine's memory.
func TestUnsharedPartsEvictSharedPieces(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	first := sharedPrefixRequest(1, 1, 7000)
	at := s.Offer(0, first)[0].Prefill
	fits := 100 / 20 // prompts of 13 shared and 7 unshared pieces, at an engine with 100 pieces
	here := 1        // prompts dispatched to engine at
	for id := uint64(2); here < fits+1; id++ {
		s.Finished(time.Second, first, policy.Completed)
		r := sharedPrefixRequest(id, id, 7000)
		if s.Offer(time.Second, r)[0].Prefill == at {
			here++
			is.True(here <= fits == (cachedPieces(s, at, first) == len(first.Prefix)))
		}
		s.Finished(time.Second, r, policy.Completed)
	}
}

// Guards against a prompt that is computed again and again, without use of the retry budget, while its decoders refuse connections.
func TestAPromptIsNotReadAgainForEachUnsentHandOver(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	r, a := offerSplit(is, s)
	prompts := 0
	for now := time.Second; ; now += 40 * time.Millisecond {
		if a.Kind == Refuse {
			is.True(!a.Ran)
			break
		}
		if a.Prefill != a.Decode {
			prompts++
			s.PromptComputed(now, r)
			for s.RetryHandOver(now, r, policy.FailedBeforeSend) != policy.None {
			}
		}
		actions := s.Finished(now, r, policy.FailedBeforeSend)
		is.Equal(len(actions), 1)
		a = actions[0]
	}
	is.True(prompts <= retry.MaxSentAttempts)
}

// Guards against a retry budget that is used up by decoders that refuse connections, so that other requests are refused.
func TestAnUnsentHandOverLeavesTheRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newSplitScheduler(t)
	for id := range uint64(200) {
		now := time.Duration(id) * 5 * time.Millisecond
		r := &policy.Request{ID: id + 1, Model: "m", PromptTokens: 30000, Deadline: time.Minute, FirstTokenDeadline: 50 * time.Second, ResendsLimited: true}
		a := s.Offer(now, r)
		is.Equal(len(a), 1)
		is.True(a[0].Prefill != a[0].Decode)
		s.PromptComputed(now, r)
		is.True(s.RetryHandOver(now, r, policy.FailedBeforeSend) != policy.None)
		s.FirstToken(now, r)
		s.Finished(now, r, policy.Completed)
	}
}
