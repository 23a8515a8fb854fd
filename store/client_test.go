package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/store"
)

// fakeClock is a clock whose Sleep advances it and returns at once.
type fakeClock struct {
	mu    sync.Mutex
	now   time.Time
	slept time.Duration
}

func (s *fakeClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *fakeClock) Sleep(ctx context.Context, d time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(max(d, 0))
	s.slept += max(d, 0)
	return ctx.Err()
}

func startStore(t *testing.T, seed uint64, opt store.Options) (*emulator.Store, *store.Client) {
	s := emulator.New(emulator.Options{Seed: seed})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	opt.BaseURL, opt.Timeout = server.URL, time.Hour // no timeouts on a slow machine
	if opt.Clock == nil {
		opt.Clock = &fakeClock{now: time.Unix(1_800_000_000, 0)}
	}
	return s, store.NewClient(opt)
}

// Guards against store errors that the client does not map back from their HTTP status.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, c := startStore(t, 1, store.Options{})
	_, err := c.Get(ctx, "k", "a/b")
	is.True(errors.Is(err, store.ErrNotFound))
	v, err := c.Put(ctx, store.Object{Kind: "k", Name: "a/b", Value: []byte("x")})
	is.NoErr(err)
	_, err = c.Put(ctx, store.Object{Kind: "k", Name: "a/b"})
	is.True(errors.Is(err, store.ErrConflict))
	_, err = c.Put(ctx, store.Object{Kind: "k", Name: "c", Value: make([]byte, store.MaxValueBytes+1)})
	is.True(errors.Is(err, store.ErrTooLarge))
	events, _, err := c.Watch(ctx, "k", 0)
	is.NoErr(err)
	is.Equal(events[0].Object.Name, "a/b")
	s.SetFaults(emulator.Faults{Down: true})
	_, err = c.Put(ctx, store.Object{Kind: "k", Name: "a/b", Version: v})
	is.True(errors.Is(err, store.ErrUnavailable))
	s.SetFaults(emulator.Faults{LoseAnswers: 1})
	_, err = c.Put(ctx, store.Object{Kind: "k", Name: "a/b", Version: v})
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
}

// Guards against a VM that exceeds its share of the rates, and against leases and orders that starve among 2,200 VMs.
func TestCallsKeepToTheShare(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	_, c := startStore(t, 1, store.Options{
		Clock: clock, Members: func() int { return 100 }, Groups: 10, Rates: store.Rates{Reads: 2000, Writes: 200},
	})
	for range 104 { // a burst of 4, then 10 reads a second
		_, err := c.Get(t.Context(), "k", "a")
		is.True(errors.Is(err, store.ErrNotFound))
	}
	is.True(clock.slept > 9900*time.Millisecond && clock.slept < 10100*time.Millisecond)
	clock.slept = 0
	for i := range 110 { // a burst of 10, then 10 writes a second: a tenth of the rate for leases and orders
		_, err := c.Authority().Put(t.Context(), store.Object{Kind: "k", Name: fmt.Sprint(i)})
		is.NoErr(err)
	}
	is.True(clock.slept > 9900*time.Millisecond && clock.slept < 10100*time.Millisecond)
}

type update struct{ base, next string }

// objectModel is the porcupine model of one object under conditional updates; its state is the value.
var objectModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		u := input.(update)
		if output.(string) == "applied" {
			return state.(string) == u.base, u.next
		}
		return state.(string) != u.base, state
	},
}

// Guards against a lost answer that is settled wrongly, so that a write is reported as applied although it was not, or the
// reverse. Read-backs may be stale.
func TestSettledHistoryIsLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Logf("seed %d", seed)
		s, c := startStore(t, seed, store.Options{Rates: store.Rates{Reads: 1e6, Writes: 1e6}})
		s.SetFaults(emulator.Faults{LoseAnswers: 0.5, StaleReads: 0.1, StaleBy: 3 * time.Millisecond})
		var mu sync.Mutex
		var ops []porcupine.Operation
		var wg sync.WaitGroup
		start := time.Now()
		record := func(client int, in update, called time.Duration, out string) {
			mu.Lock()
			defer mu.Unlock()
			ops = append(ops, porcupine.Operation{
				ClientId: client, Input: in, Call: int64(called), Output: out, Return: int64(time.Since(start)),
			})
		}
		for client := range 4 {
			wg.Go(func() {
				for i := range 15 {
					o, _ := c.Get(t.Context(), "k", "o")
					mark := fmt.Sprintf("%d.%d", client, i)
					in := update{string(o.Value), string(o.Value) + mark + " "}
					called := time.Since(start)
					_, err := store.PutSettled(t.Context(), c, store.Object{
						Kind: "k", Name: "o", Version: o.Version, Value: []byte(in.next),
					}, func(now store.Object) (bool, bool) {
						return slices.Contains(strings.Fields(string(now.Value)), mark), true
					})
					switch {
					case err == nil:
						record(client, in, called, "applied")
					case errors.Is(err, store.ErrConflict):
						record(client, in, called, "conflict")
					default:
						t.Errorf("not settled: %v", err)
					}
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(objectModel, ops) {
			t.Fatalf("history is not linearizable, seed %d", seed)
		}
	}
}
