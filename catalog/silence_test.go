package catalog

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/store"
)

// stableTime is how long after a disruption the bounds of the operators apply again, and drainTime how long a removed upstream still
// serves.
const (
	stableTime = 3 * time.Second
	drainTime  = 2 * time.Second
)

// Guards against a removed upstream that is kept, as after an outage, because connections to the store have gone silent.
func TestARemovalDuringASilenceIsInForceInTime(t *testing.T) {
	for _, silences := range []int{1, 2, 3} {
		for offset := time.Duration(0); offset < 2*time.Second; offset += 190 * time.Millisecond {
			t.Run(fmt.Sprintf("silences=%d,offset=%s", silences, offset), func(t *testing.T) {
				f := newServingStore("a", "b")
				runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
					time.Sleep(offset)
					f.update(func() { f.silences++ })
					time.Sleep(100 * time.Millisecond)
					f.remove("servers", "a")
					for range silences - 1 {
						time.Sleep(1300 * time.Millisecond)
						f.update(func() { f.silences++ })
					}
					time.Sleep(stableTime - 100*time.Millisecond)
					is.Equal(names(c), "b")
				})
			})
		}
	}
}

// Guards against removals that are never in force because each watch that the store cuts off counts as an outage.
func TestARemovalIsInForceWhileWatchesAreCutOff(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x"}`)
	f.put("servers", "b", `{"s":"x"}`)
	f.watchLimit = 800 * time.Millisecond
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		time.Sleep(3 * time.Second)
		f.remove("servers", "a")
		time.Sleep(drainTime)
		is.Equal(names(c), "b")
	})
}

// Guards against a watcher that reports silent connections as an outage, so that its followers keep a removed upstream.
func TestAFollowersRemovalDuringASilenceIsInForceInTime(t *testing.T) {
	f := newServingStore("a", "b")
	runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
		_, follower := runFollowed(run)
		f.update(func() { f.silences++ })
		time.Sleep(100 * time.Millisecond)
		f.remove("servers", "a")
		time.Sleep(stableTime - 100*time.Millisecond)
		is.Equal(names(follower), "b")
	})
}

// cutStore is a store that one VM can lose without a reset.
type cutStore struct {
	*fakeStore
	cut atomic.Bool
}

func (s *cutStore) List(ctx context.Context, kind, after string) ([]store.Object, uint64, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return s.fakeStore.List(ctx, kind, after)
}

func (s *cutStore) Watch(ctx context.Context, kind string, from uint64) ([]store.Event, uint64, error) {
	givenUp := time.After(2*time.Second + watchMargin)
	events, next, err := s.fakeStore.Watch(ctx, kind, from)
	if !s.cut.Load() {
		return events, next, err
	}
	select {
	case <-givenUp:
	case <-ctx.Done():
	}
	return nil, from, store.ErrUnavailable
}

// Guards against a follower that stays with a watcher that has lost the store without a reset.
func TestAFollowerLeavesAWatcherThatHearsNothing(t *testing.T) {
	const largeFleetDrainTime = 3 * time.Second
	for offset := time.Duration(0); offset < 2*time.Second; offset += 190 * time.Millisecond {
		t.Run(fmt.Sprint("offset=", offset), func(t *testing.T) {
			f := newServingStore("a", "b")
			runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
				cut := &cutStore{fakeStore: f}
				first := run(Options{Store: cut})
				time.Sleep(time.Second)
				second := run(Options{})
				time.Sleep(time.Second)
				follower := run(follow(watchersByAddress{"first": {watched: first}, "second": {watched: second}}, "first", "second"))
				time.Sleep(time.Second + offset)
				cut.cut.Store(true)
				f.remove("servers", "a")
				time.Sleep(largeFleetDrainTime)
				is.Equal(names(follower), "b")
			})
		})
	}
}
