package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a follower that keeps an upstream for good that expired in an outage, because another change came before its watcher
// removed it.
func TestFollowersDropUpstreamsThatExpiredInAnOutage(t *testing.T) {
	const goneWithin = 2*time.Second + 3*time.Second // upstreams return within 2 s, and a large fleet has 3 s to stop using one
	for _, outage := range []time.Duration{2700 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		for offset := -time.Second; offset < 2500*time.Millisecond; offset += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("outage=%s,change=%s", outage, offset), func(t *testing.T) {
				f := newServingStore("a", "b", "c")
				runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
					leader := run(Options{})
					time.Sleep(2 * time.Second)
					follower := run(Options{Peers: &fakeWatcher{watched: leader}, Watchers: func() []string { return []string{"w"} }})
					time.Sleep(2 * time.Second)
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
