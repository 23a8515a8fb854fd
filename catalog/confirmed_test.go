package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxAge returns the highest age of a confirmation that the catalogs state within a time.
func maxAge(d time.Duration, catalogs ...*Catalog) (oldest time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, c := range catalogs {
			age, _ := c.Confirmed()
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Guards against a VM that counts as unconfirmed although the store answers it or its watcher: at each age above the time to live, it
// refuses requests that it could answer. Changes of upstreams end the calls of followers at any time, also just before a confirmation.
func TestHealthyVMsStayConfirmed(t *testing.T) {
	for _, every := range []time.Duration{time.Hour, 170 * time.Millisecond, 1990 * time.Millisecond} {
		f := newServingStore("a")
		runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
			leader, follower := runFollowed(run)
			changes, stop := time.NewTicker(every), make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-changes.C:
						f.put("servers", "b", `{"s":"x"}`)
						f.remove("servers", "b")
					case <-stop:
						return
					}
				}
			}()
			is.True(maxAge(20*time.Second, leader, follower) <= 2100*time.Millisecond)
			// A connection goes silent: the next call uses another one.
			f.update(func() { f.silences++ })
			is.True(maxAge(6*time.Second, leader, follower) <= 2850*time.Millisecond) // the shortest time to live in package edge
		})
	}
}

// Guards against a follower that states a younger confirmation than its watcher has: it would answer 401 or 404 by a configuration that
// the store has replaced.
func TestAFollowerKnowsTheAgeOfItsConfirmation(t *testing.T) {
	for phase := range 8 {
		f := newServingStore("a")
		runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
			_, follower := runFollowed(run)
			time.Sleep(time.Duration(phase) * 250 * time.Millisecond)
			down := time.Now()
			f.update(func() { f.down = true })
			for time.Since(down) < 6*time.Second {
				time.Sleep(10 * time.Millisecond)
				age, ok := follower.Confirmed()
				is.True(ok)
				is.True(!time.Now().Add(-age).After(down))
			}
		})
	}
}

// Guards against a confirmation by a peer that has none.
func TestAPeerWithoutAConfirmationConfirmsNothing(t *testing.T) {
	is := is.New(t)
	sender := New(Options{Store: newFakeStore(), Decoder: testDecoder{}, Kinds: kinds})
	is.NoErr(sender.Import([]byte(`{"unanswered":true,"configuration":{"v":8},"upstreams":[]}`), "peer"))
	_, b, err := sender.Export(t.Context(), 0)
	is.NoErr(err)
	c := New(Options{Store: newFakeStore(), Decoder: testDecoder{}, Kinds: kinds})
	is.NoErr(c.Import(b, "peer"))
	_, confirmed := c.Confirmed()
	is.True(!confirmed)
	is.Equal(version(c), uint64(8))
}
