package claims

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// withGuards runs f on virtual time with three running guards that share one store.
func withGuards(t *testing.T, f func(t *testing.T, store *memoryStore, net *fakeNetwork, guards []*Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store, net := newMemoryStore(), newFakeNetwork()
		guards := newGuards(store, net, "a", "b", "c")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, g := range guards {
			running.Go(func() { _ = g.Run(ctx) })
		}
		f(t, store, net, guards)
		cancel()
		running.Wait()
	})
}

func waitUntilSettled() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func code(err error) result.Code { return result.CodeOf(err) }

// Guards against a request that runs twice because several entry VMs receive the same key at the same time, and against
// a repeat that does not get the recorded answer.
func TestSameKeyAtTwoEntryVMs(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *memoryStore, _ *fakeNetwork, g []*Service) {
		is := is.New(t)
		var grants []Grant
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range g {
			wg.Go(func() {
				gr, _, err := g[i].Begin(t.Context(), "c", "k", 1)
				mu.Lock()
				defer mu.Unlock()
				if gr != nil {
					grants = append(grants, gr)
				} else {
					is.Equal(code(err), result.KeyInProgress)
				}
			})
		}
		wg.Wait()
		is.Equal(len(grants), 1)
		grants[0].Finish(&Answer{Status: 201, Body: []byte("crew 7")})
		_, a, err := g[2].Begin(t.Context(), "c", "k", 1) // at once, before the outcome is recorded
		is.NoErr(err)
		is.Equal(string(a.Body), "crew 7")
		waitUntilSettled()
		for _, x := range g {
			gr, a, err := x.Begin(t.Context(), "c", "k", 1)
			is.NoErr(err)
			is.True(gr == nil)
			is.Equal(string(a.Body), "crew 7") // a retry after a lost answer gets the same answer
			_, _, err = x.Begin(t.Context(), "c", "k", 2)
			is.Equal(code(err), result.KeyMismatch)
			other, _, err := x.Begin(t.Context(), "d"+fmt.Sprint(x.issuer.name), "k", 1)
			is.NoErr(err) // the same key of another caller is a different key
			other.Release()
		}
	})
}

// Guards against a repeat that is refused with an unknown outcome because the outcome was recorded between the read of
// the shard and the read of the active grants.
func TestRepeatsWhileTheOutcomeIsRecorded(t *testing.T) {
	const rounds = 300 // about one round in ten hits this race
	withGuards(t, func(t *testing.T, _ *memoryStore, _ *fakeNetwork, g []*Service) {
		is := is.New(t)
		for i := range rounds {
			key := fmt.Sprint("k", i)
			gr, _, err := g[i%len(g)].Begin(t.Context(), "c", key, 1)
			is.NoErr(err)
			gr.Finish(&Answer{Status: 201, Body: []byte("crew 7")})
			_, a, err := g[(i+1)%len(g)].Begin(t.Context(), "c", key, 1)
			is.NoErr(err)
			is.Equal(string(a.Body), "crew 7")
		}
	})
}

// Guards against a retry that runs the request again after the VM with the grant was killed before or after it sent the
// request.
func TestKilledHolder(t *testing.T) {
	withGuards(t, func(t *testing.T, store *memoryStore, net *fakeNetwork, g []*Service) {
		is := is.New(t)
		gr, _, err := g[0].Begin(t.Context(), "c", "k", 1)
		is.NoErr(err)
		is.True(gr != nil)
		net.set("a", nil) // killed
		_, _, err = g[1].Begin(t.Context(), "c", "k", 1)
		is.Equal(code(err), result.KeyInProgress) // b can't tell a killed VM from a partitioned one
		for _, x := range g[1:] {
			x.o.Members.(*fakeMembers).set(x.o.Members.Members()[1:]) // a is declared gone
		}
		_, _, err = g[1].Begin(t.Context(), "c", "k", 1)
		is.Equal(code(err), result.KeyOutcomeUnknown)
		is.Equal(result.From(err).Execution, result.Unknown)
		gr.Finish(&Answer{Status: 200}) // a was only paused and resumes
		waitUntilSettled()
		_, a, err := g[2].Begin(t.Context(), "c", "k", 1)
		is.NoErr(err)
		is.Equal(a.Status, 200)
		_ = store
	})
}

// Guards against a claim that is granted without a confirmed write, and against one that is refused because the store's
// answer to its write was lost.
func TestStoreAnswerLost(t *testing.T) {
	withGuards(t, func(t *testing.T, store *memoryStore, _ *fakeNetwork, g []*Service) {
		is := is.New(t)
		store.loseAnswers = 1
		gr, _, err := g[0].Begin(t.Context(), "c", "k", 1)
		is.NoErr(err)
		is.True(gr != nil) // the mark was found by reading back
		_, _, err = g[1].Begin(t.Context(), "c", "k", 1)
		is.Equal(code(err), result.KeyInProgress)
	})
}

// Guards against requests that are refused because other writers briefly exhaust the store's rate limit.
func TestRateLimitIsWaitedOut(t *testing.T) {
	withGuards(t, func(t *testing.T, store *memoryStore, _ *fakeNetwork, g []*Service) {
		is := is.New(t)
		store.refuseWrites = 3
		began := time.Now()
		gr, _, err := g[0].Begin(t.Context(), "c", "k", 1)
		is.NoErr(err)
		gr.Release()
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against requests that hang or run without a claim during a store outage, and against recorded answers that are
// not returned meanwhile.
func TestStoreDown(t *testing.T) {
	withGuards(t, func(t *testing.T, store *memoryStore, _ *fakeNetwork, g []*Service) {
		is := is.New(t)
		for i := range 40 { // loads every shard at its owner
			gr, _, err := g[0].Begin(t.Context(), "c", fmt.Sprint("old", i), 1)
			is.NoErr(err)
			gr.Finish(&Answer{Status: 200})
		}
		waitUntilSettled()
		store.down = true
		began := time.Now()
		for i := range 40 {
			_, _, err := g[i%3].Begin(t.Context(), "c", fmt.Sprint("new", i), 1)
			is.Equal(code(err), result.ClaimUnavailable)
			is.Equal(result.From(err).Execution, result.NotRun)
			is.True(result.From(err).RetryAfter > 0)
			_, a, err := g[i%3].Begin(t.Context(), "c", fmt.Sprint("old", i), 1)
			is.NoErr(err)
			is.Equal(a.Status, 200)
		}
		is.True(time.Since(began) < 2*time.Second)
		key, err := g[1].Issue("c") // issued keys need no store
		is.NoErr(err)
		gr, _, err := g[2].Begin(t.Context(), "c", key, 1)
		is.NoErr(err)
		gr.Finish(&Answer{Status: 200})
		store.down = false
		waitUntilSettled()
		gr, _, err = g[0].Begin(t.Context(), "c", "new1", 1)
		is.NoErr(err)
		gr.Release()
	})
}

// Guards against an issued key that runs twice: on two VMs, after its answer was recorded, after a restart of the issuing
// process, or after its state has expired.
func TestIssuedKeys(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *memoryStore, net *fakeNetwork, g []*Service) {
		is := is.New(t)
		key, err := g[0].Issue("c")
		is.NoErr(err)
		_, _, err = g[1].Begin(t.Context(), "other", key, 1)
		is.Equal(code(err), result.KeyMismatch) // issued to another caller
		gr, _, err := g[1].Begin(t.Context(), "c", key, 1)
		is.NoErr(err)
		for _, x := range g {
			_, _, err = x.Begin(t.Context(), "c", key, 1)
			is.Equal(code(err), result.KeyInProgress)
		}
		gr.Finish(&Answer{Status: 200, Body: []byte("done")})
		waitUntilSettled()
		_, a, err := g[2].Begin(t.Context(), "c", key, 1)
		is.NoErr(err)
		is.Equal(string(a.Body), "done")

		unused, err := g[0].Issue("c")
		is.NoErr(err)
		expired, err := g[0].Issue("c")
		is.NoErr(err)
		time.Sleep(DefaultIssuedKeyLifetime)
		_, _, err = g[1].Begin(t.Context(), "c", expired, 1)
		is.Equal(code(err), result.IssuedKeyExpired)
		is.Equal(result.From(err).Execution, result.Unknown)

		restarted := newGuards(newMemoryStore(), net, "a")[0] // same name, no state
		restarted.issuer.boot, restarted.o.Boot = 2, 2
		for range 2 {
			_, _, err = g[1].Begin(t.Context(), "c", unused, 1)
			is.Equal(code(err), result.KeyOutcomeUnknown)
		}
		net.set("a", nil)
		_, _, err = g[1].Begin(t.Context(), "c", unused, 1)
		is.Equal(code(err), result.IssuedKeyHolderUnreachable) // a may only be partitioned
	})
}

// Guards against memory that grows with the number of issued keys, and against an evicted key that runs again.
func TestIssuedMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	g, err := New(Options{Store: newMemoryStore(), Members: &fakeMembers{self: member("a", 1)}, MaxIssued: 10, MaxIssuedBytes: 1000})
	is.NoErr(err)
	var keys []string
	for range 30 {
		key, err := g.Issue("c")
		is.NoErr(err)
		keys = append(keys, key)
		gr, _, err := g.Begin(t.Context(), "c", key, 1)
		is.NoErr(err)
		gr.Finish(&Answer{Status: 200, Body: make([]byte, 300)})
		is.True(g.issuer.bytes <= 1000)
		is.True(len(g.issuer.keys) <= 10)
	}
	_, _, err = g.Begin(t.Context(), "c", keys[0], 1)
	is.Equal(code(err), result.IssuedKeyExpired)
	for range 11 {
		_, err = g.Issue("c")
	}
	is.Equal(code(err), result.Overloaded) // unused keys are not evicted for new ones
	for _, bad := range []string{"ik1.", "ik1.a", "ik1.a.1.x", "ik1..1." + strings.Repeat("x", 22), strings.Repeat("k", 300), ""} {
		_, _, err = g.Begin(t.Context(), "c", bad, 1)
		is.Equal(code(err), result.KeyMalformed)
	}
}

// Guards against claims that are lost when a head is sealed, objects larger than the store's limit, and entries that
// expire before the retention or never.
func TestSealingAndRetention(t *testing.T) {
	is := is.New(t)
	objects := newMemoryStore()
	now := time.Now()
	open := func() *shardState {
		return &shardState{name: "s", store: objects, now: func() time.Time { return now }, retention: 24 * time.Hour, foldThreshold: 4}
	}
	s := open()
	body := make([]byte, 8<<10)
	for i := range 100 {
		o := op{kind: opBegin, key: keyHash("c", fmt.Sprint(i)), mark: uint64(i + 1)}
		is.True(s.process(t.Context(), []op{o})[0].granted)
		o.kind, o.answer = opFinish, &Answer{Status: 200, Body: body}
		is.NoErr(s.process(t.Context(), []op{o})[0].err)
	}
	is.True(len(s.head.Archives) <= 4)
	is.True(len(s.head.Indexes) > 0) // the older archives are folded
	for _, o := range objects.objects {
		is.True(len(o.Value) < store.MaxValueBytes/2)
	}
	again := func(s *shardState, i int) opResult {
		return s.process(t.Context(), []op{{kind: opBegin, key: keyHash("c", fmt.Sprint(i)), mark: 1000}})[0]
	}
	other := open() // the shard moves to a VM that has nothing in memory
	for i := range 100 {
		is.Equal(again(other, i).entry.State, answered)
	}
	for range 23 {
		now = now.Add(time.Hour)
		is.True(other.process(t.Context(), []op{{kind: opBegin, key: keyHash("c", now.String()), mark: 5}})[0].granted)
	}
	is.Equal(again(other, 5).entry.State, answered)
	for range 8 {
		now = now.Add(time.Hour)
		is.True(other.process(t.Context(), []op{{kind: opBegin, key: keyHash("c", now.String()), mark: 5}})[0].granted)
	}
	is.True(again(other, 5).granted)   // the entry has expired
	is.True(len(objects.objects) < 40) // expired objects are deleted
}

// Guards against a batch of large answers that exceeds the size limit of an object, so that they are never recorded.
func TestManyLargeAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newMemoryStore()
		b := newBatcher(Options{Store: &slowStore{store}, Now: time.Now, Window: DefaultWindow, Retention: time.Hour}, "s")
		const n = 100
		all := func(kind opKind, a *Answer) {
			var wg sync.WaitGroup
			for i := range n {
				wg.Go(func() {
					res := b.submit(t.Context(), op{kind: kind, key: keyHash("c", fmt.Sprint(i)), mark: uint64(i + 1), answer: a})
					if res.err != nil || kind == opBegin && !res.granted {
						t.Error(res)
					}
				})
			}
			wg.Wait()
		}
		all(opBegin, nil)
		all(opFinish, &Answer{Status: 200, Body: make([]byte, maxAnswerBytes)})
		is.Equal(store.tooLarge, 0)
		time.Sleep(time.Second)
	})
}

// Guards against a shard that grants claims although an archive named by its head is missing.
func TestMissingArchiveGrantsNothing(t *testing.T) {
	is := is.New(t)
	objects := newMemoryStore()
	value, err := topo.Encode(head{Archives: []archiveRef{{Name: "s/0-x"}}})
	is.NoErr(err)
	_, err = objects.Put(t.Context(), store.Object{Kind: topo.KindClaims, Name: "s", Value: value})
	is.NoErr(err)
	s := &shardState{name: "s", store: objects, now: time.Now, retention: time.Hour}
	res := s.process(t.Context(), []op{{kind: opBegin, key: "k", mark: 1}})[0]
	is.True(!res.granted)
	is.True(res.err != nil)
}
