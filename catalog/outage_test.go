package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a follower that keeps an upstream that expired in an outage, because another change came before the watcher's removal.
func TestFollowersDropUpstreamsThatExpiredInAnOutage(t *testing.T) {
	const goneWithin = 2*time.Second + 3*time.Second // upstreams return within 2 s, and a large fleet has 3 s to stop using one
	for _, outage := range []time.Duration{2700 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		for offset := -time.Second; offset < 2500*time.Millisecond; offset += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("outage=%s,change=%s", outage, offset), func(t *testing.T) {
				f := newServingStore("a", "b", "c")
				runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
					leader, follower := runFollowed(run)
					is.Equal(names(follower), "abc")
					f.update(func() { f.down = true })
					time.Sleep(outage - time.Second)
					f.remove("servers", "a")
					time.Sleep(time.Second + min(offset, 0))
					if offset < 0 {
						f.put("servers", "c", `{"s":"x","l":true}`)
						time.Sleep(-offset)
					}
					f.update(func() { f.down = false })
					if offset >= 0 {
						time.Sleep(offset)
						f.put("servers", "c", `{"s":"x","l":true}`)
					}
					time.Sleep(goneWithin - max(offset, 0))
					is.Equal(names(leader), "bc-")
					is.Equal(names(follower), "bc-")
				})
			})
		}
	}
}

// Guards against followers that keep a removed upstream, or lack one that serves, after disruptions of the store and of watchers in any order.
func TestFollowersAgreeWithTheStoreAfterDisruptions(t *testing.T) {
	const (
		calm  = 7 * time.Second // longer than the detection of an outage and ReturnGrace together
		steps = 25
	)
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newServingStore("a", "b", "c", "d", "e")
			runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
				stores := []*cutStore{{fakeStore: f}, {fakeStore: f}, {fakeStore: f}}
				first, second := run(Options{Store: stores[0]}), run(Options{Store: stores[1]})
				time.Sleep(time.Second)
				peers := watchersByAddress{"first": {watched: first}, "second": {watched: second}}
				followed := follow(peers, "first", "second")
				followed.Store = stores[2]
				follower := run(followed)
				time.Sleep(2 * time.Second)
				for range steps {
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					name := string(rune('a' + random.IntN(7)))
					watcher := peers[[]string{"first", "second"}[random.IntN(2)]]
					switch random.IntN(8) {
					case 0, 1:
						f.put("servers", name, fmt.Sprintf(`{"s":"x","b":%d}`, random.IntN(8)/7)) // mostly the same start
					case 2, 3:
						if f.has("servers", name) {
							f.remove("servers", name)
						}
					case 4:
						f.update(func() { f.down = !f.down })
					case 5:
						s := stores[random.IntN(len(stores))]
						s.cut.Store(!s.cut.Load())
					case 6:
						watcher.setUnreachable(random.IntN(2) == 0)
					case 7:
						f.put("config", "main", fmt.Sprintf(`{"v":%d}`, f.revision+1))
					}
				}
				f.update(func() { f.down = false })
				for _, s := range stores {
					s.cut.Store(false)
				}
				for _, w := range peers {
					w.setUnreachable(false)
				}
				time.Sleep(calm)
				want := f.names("servers")
				is.Equal(names(first), want)
				is.Equal(names(second), want)
				is.Equal(names(follower), want)
			})
		})
	}
}
