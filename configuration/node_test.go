package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

func largeConfiguration(accounts, upstreams int) topo.Configuration {
	c := topo.Configuration{Models: []topo.Model{{Name: "m1"}}, Classes: []topo.Class{{Name: "question"}}}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		c.Accounts = append(c.Accounts, topo.Account{
			Caller: name, KeySHA: []string{hash([]byte(name)) + hash([]byte(name+"2"))}, Priority: i % 4,
			Limits: topo.Limits{RequestsPerSecond: 10, TokensPerSecond: 20000, Concurrent: 8},
		})
	}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, topo.Upstream{
			Name: fmt.Sprintf("engine-%05d", i), DataCentre: "riga-a", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Kind: topo.KindEngine,
			Models: []string{"m1@3"}, PrefillTokensPerSecond: 20000, DecodeTokensPerSecond: 3000, MaxBatch: 64, KVPieces: 800,
		})
	}
	return c
}

// Guards against a full-size configuration that exceeds the store's value limit, and against a small change that rewrites
// many chunks.
func TestFullSizeFitsAndSmallChangeWritesFewChunks(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := emulator.New(emulator.Options{})
	n := New(Options{Store: s})
	revision, err := n.Apply(ctx, "first", largeConfiguration(15000, 10000))
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	before := s.Counts().Writes
	_, err = n.Update(ctx, "second", func(c *topo.Configuration) error {
		c.Accounts[77].Priority = 3
		return nil
	})
	is.NoErr(err)
	is.Equal(s.Counts().Writes-before, uint64(3)) // one bucket, the index and the head

	other := New(Options{Store: s})
	is.NoErr(other.readStore(ctx))
	is.Equal(other.Current(), n.Current())
	is.Equal(len(other.Current().Accounts), 15000)
}

// Guards against an entry VM that waits for the next scheduled confirmation although ConfirmNow requested one.
func TestConfirmNowDoesNotWaitForTheSchedule(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	n := New(Options{
		Store: emulator.New(emulator.Options{WatchTimeout: time.Hour}), ConfirmEvery: time.Hour, MaxUnconfirmed: time.Hour, Seed: 1,
	})
	_, err := n.Apply(ctx, "first", largeConfiguration(1, 1))
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	// The steps and the watch confirm once each at the start. Each later request must cause a confirmation of its own.
	for range 5 {
		asked := time.Now()
		n.ConfirmNow()
		for {
			_, confirmed, changed := n.state()
			if confirmed.After(asked) {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Minute):
				t.Fatal("not confirmed")
			}
		}
	}
	cancel()
	is.NoErr(<-ended)
}

// Guards against a lost update: of two changes based on one revision the second must fail, with the author of the first.
func TestRaceTellsTheLoser(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := emulator.New(emulator.Options{})
	n := New(Options{Store: s})
	_, err := n.Apply(ctx, "base", largeConfiguration(1, 1))
	is.NoErr(err)
	c := *n.Current()
	_, err = n.Apply(ctx, "winner", c)
	is.NoErr(err)
	_, err = n.Apply(ctx, "loser", c)
	is.Equal(result.CodeOf(err), result.StoreConflict)
	h, err := n.History(ctx)
	is.NoErr(err)
	is.Equal(h[0].Author, "winner")
	is.Equal(len(h), 2)
}

// Guards against a change that is accepted twice when the answer to the write of the head is lost.
func TestLostAnswersAcceptOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := emulator.New(emulator.Options{Seed: 3})
	n := New(Options{Store: s})
	s.SetFaults(emulator.Faults{LoseAnswers: 0.6})
	for want := uint64(1); want <= 20; want++ {
		got, err := n.Update(ctx, "a", func(c *topo.Configuration) error {
			c.Models = append(c.Models, topo.Model{Name: fmt.Sprint(want)})
			return nil
		})
		is.NoErr(err)
		is.Equal(got, want)
	}
}

// Guards against a store that fills up with old chunks, and against the removal of a chunk that a newer revision uses again.
func TestUnusedChunksAreRemoved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := emulator.New(emulator.Options{})
	n := New(Options{Store: s})
	model := func(name string) func(*topo.Configuration) error {
		return func(c *topo.Configuration) error {
			c.Models = []topo.Model{{Name: name}}
			return nil
		}
	}
	for i := range collectEvery {
		_, err := n.Update(ctx, "a", model(fmt.Sprint(i)))
		is.NoErr(err)
	}
	_, err := n.Update(ctx, "a", model("1")) // reuses the chunk of a revision outside the history before it is removed
	is.NoErr(err)
	removed, err := n.collect(ctx, <-n.collections)
	is.NoErr(err)
	is.Equal(removed, (collectEvery-maxHistory)*2-2)
	other := New(Options{Store: s})
	is.NoErr(other.readStore(ctx))
	is.Equal(other.Current().Models[0].Name, "1")
}

var _ store.Store = (*emulator.Store)(nil)
