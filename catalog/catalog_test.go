package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/store"
)

// testDecoder decodes test values: configurations {"v":N} and entries {"s":"service","l":true,"b":N}.
type testDecoder struct{}

func (testDecoder) Configuration(value []byte) (*routes.Table, error) {
	var w struct{ V uint64 }
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, err
	}
	return routes.New(w.V, nil, nil, routes.Limits{}), nil
}

func (testDecoder) Entry(name string, value []byte) (Entry, error) {
	var w struct {
		S string
		L bool
		B int64
	}
	if err := json.Unmarshal(value, &w); err != nil {
		return Entry{}, err
	}
	if w.S == "" {
		return Entry{}, errors.New("no service")
	}
	return Entry{ID: name, Service: w.S, Leaving: w.L, StartTimeMS: w.B}, nil
}

// fakeStore is an in-memory store that can be down, return nothing to watches or lose its history.
type fakeStore struct {
	store.Store
	mu             sync.Mutex
	revision       uint64
	objects        map[string]store.Object // by kind/name
	events         []recordedEvent
	down           bool
	oldestRevision uint64        // a watch from an older revision fails with store.ErrWatchGap
	silent         bool          // watches return no events
	silences       int           // times that the waiting watches have become silent for good, while new calls work
	watchLimit     time.Duration // after which a waiting watch is cut off; 0: none is
	changed        chan struct{}
	lists          int
	watches        int // of upstreams
}

type recordedEvent struct {
	revision uint64
	event    store.Event
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]store.Object{}, changed: make(chan struct{}), revision: 1}
}

// newServingStore returns a store with a configuration and upstreams of one service.
func newServingStore(upstreams ...string) *fakeStore {
	f := newFakeStore()
	f.put("config", "main", `{"v":1}`)
	for _, name := range upstreams {
		f.put("servers", name, `{"s":"x"}`)
	}
	return f
}

func (f *fakeStore) put(kind, name, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	o := store.Object{Kind: kind, Name: name, Version: f.revision, Value: []byte(value)}
	f.objects[kind+"/"+name] = o
	f.record(store.Event{Object: o})
}

func (f *fakeStore) remove(kind, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	o := f.objects[kind+"/"+name]
	delete(f.objects, kind+"/"+name)
	f.record(store.Event{Object: o, Deleted: true})
}

func (f *fakeStore) has(kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.objects[kind+"/"+name]
	return ok
}

// names returns the names of all objects of a kind, in order and without separators.
func (f *fakeStore) names(kind string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, o := range f.objects {
		if o.Kind == kind {
			out = append(out, o.Name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

func (f *fakeStore) record(e store.Event) {
	f.events = append(f.events, recordedEvent{f.revision, e})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) List(ctx context.Context, kind, _ string) ([]store.Object, uint64, error) {
	f.mu.Lock()
	down := f.down
	f.lists++
	var out []store.Object
	for _, o := range f.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	revision := f.revision
	f.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return out, revision, nil
}

func (f *fakeStore) Watch(ctx context.Context, kind string, from uint64) ([]store.Event, uint64, error) {
	end := time.NewTimer(2 * time.Second)
	defer end.Stop()
	f.mu.Lock()
	if kind == kinds.Upstreams {
		f.watches++
	}
	silences, cut := f.silences, make(<-chan time.Time)
	if f.watchLimit > 0 {
		cut = time.After(f.watchLimit)
	}
	f.mu.Unlock()
	for {
		f.mu.Lock()
		var out []store.Event
		if f.silences > silences {
			f.mu.Unlock()
			<-end.C
			time.Sleep(watchMargin)
			return nil, from, store.ErrUnavailable
		}
		for _, c := range f.events {
			if c.revision > from && c.event.Object.Kind == kind {
				out = append(out, c.event)
			}
		}
		down, gap, silent, revision, changed := f.down, from < f.oldestRevision, f.silent, f.revision, f.changed
		f.mu.Unlock()
		switch {
		case gap:
			return nil, from, store.ErrWatchGap
		case down:
			<-end.C
			return nil, from, store.ErrUnavailable
		case len(out) > 0 && !silent:
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-cut:
			return nil, from, store.ErrUnavailable
		case <-end.C:
			if silent {
				return nil, from, store.ErrUnavailable // the connection was cut without a reset
			}
			return nil, revision, nil
		case <-ctx.Done():
			return nil, from, store.ErrUnavailable
		}
	}
}

// watchMargin is how long after the end of a silent watch its caller gives it up.
const watchMargin = 600 * time.Millisecond

var kinds = Kinds{Configuration: "config", Name: "main", Upstreams: "servers"}

// runCatalogs calls body in virtual time with a function that runs a catalog, on f unless its options name another store.
func runCatalogs(t *testing.T, f *fakeStore, body func(is *is.I, run func(o Options) *Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f.changed = make(chan struct{}) // a channel made outside the bubble would stop virtual time
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		body(is, func(o Options) *Catalog {
			if o.Decoder, o.Kinds = (testDecoder{}), kinds; o.Store == nil {
				o.Store = f
			}
			c := New(o)
			all.Go(func() { is.NoErr(c.Run(ctx)) })
			return c
		})
		cancel()
		all.Wait()
	})
}

// runCatalog calls body in virtual time with a running catalog on f.
func runCatalog(t *testing.T, f *fakeStore, peers Peers, body func(is *is.I, c *Catalog)) {
	runCatalogs(t, f, func(is *is.I, run func(o Options) *Catalog) {
		c := run(Options{Peers: peers})
		time.Sleep(time.Second)
		body(is, c)
	})
}

func version(c *Catalog) uint64 {
	if t := c.Table(); t != nil {
		return t.Version
	}
	return 0
}

func names(c *Catalog) string {
	out := ""
	for _, e := range c.State().Entries {
		out += e.ID
		if e.Leaving {
			out += "-"
		}
	}
	return out
}

// Guards against a change that takes effect late although the store answers.
func TestChangesAreInForceAtOnce(t *testing.T) {
	f := newFakeStore()
	f.put("config", "main", `{"v":3}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		is.Equal(version(c), uint64(3))
		f.put("config", "main", `{"v":7}`)
		f.put("servers", "a", `{"s":"x"}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(version(c), uint64(7))
		is.Equal(names(c), "a")
	})
}

// Guards against a return to an older configuration, received from the store or from a peer that lags.
func TestTheConfigurationNeverGoesBack(t *testing.T) {
	f := newFakeStore()
	f.put("config", "main", `{"v":9}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		is.NoErr(c.Import([]byte(`{"revision":50,"configuration":{"v":8},"upstreams":[]}`), "peer"))
		is.Equal(version(c), uint64(9))
		f.put("config", "main", `{"v":8}`)
		time.Sleep(time.Second)
		is.Equal(version(c), uint64(9))
		f.put("config", "main", `not json`)
		time.Sleep(time.Second)
		is.Equal(version(c), uint64(9))
	})
}

// Guards against a watch that returns nothing while its connection stays open: a new list has to find the change that the
// watch missed. A watch that waited 10 s failed the CONFIG check of scale-1 on both sites.
func TestASilentWatchIsNoticed(t *testing.T) {
	f := newFakeStore()
	f.put("config", "main", `{"v":1}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		f.update(func() { f.silent = true })
		f.put("config", "main", `{"v":2}`)
		time.Sleep(3 * time.Second)
		is.Equal(version(c), uint64(2))
	})
}

// Guards against changes that are missed when the store has lost the history that a watch continues from.
func TestLostHistoryIsListedAgain(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x"}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		f.update(func() {
			f.revision++
			f.events, f.oldestRevision = nil, f.revision
			delete(f.objects, "servers/a")
			f.objects["servers/b"] = store.Object{Kind: "servers", Name: "b", Version: f.revision, Value: []byte(`{"s":"x"}`)}
		})
		time.Sleep(3 * time.Second)
		is.Equal(names(c), "b")
	})
}

// Guards against an outage of the store that removes all upstreams: entries that expired during the outage are kept for two
// seconds after it, and only those that have not registered again by then are removed.
func TestEntriesAreKeptOverAnOutage(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x"}`)
	f.put("servers", "b", `{"s":"x"}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		f.update(func() { f.down = true })
		time.Sleep(5 * time.Second)
		f.remove("servers", "a")
		f.remove("servers", "b")
		time.Sleep(time.Second)
		is.Equal(names(c), "ab")
		f.update(func() { f.down = false })
		time.Sleep(1500 * time.Millisecond)
		is.Equal(names(c), "ab")
		f.put("servers", "a", `{"s":"x"}`)
		time.Sleep(1600 * time.Millisecond)
		is.Equal(names(c), "a") // three seconds after its return the store's entries are binding
	})
}

// Guards against late detection of the end of an outage, which would treat an upstream that leaves long after the outage as
// one that expired in it. It came about by waiting for a watch that hung in the outage, and failed the DRAIN check of ruheraum
// trouble-1.
func TestTheStoresReturnIsNoticedSoon(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x"}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		f.update(func() { f.down = true })
		time.Sleep(9 * time.Second)
		f.update(func() { f.down = false })
		time.Sleep(3 * time.Second)
		f.remove("servers", "a")
		time.Sleep(500 * time.Millisecond)
		is.Equal(names(c), "")
	})
}

// Guards against an upstream that reported that it leaves and gets work again because of an old registration, and against one
// that is still excluded after a restart.
func TestAStartThatLeftStaysOut(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x","b":1}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		f.put("servers", "a", `{"s":"x","b":1,"l":true}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "a-")
		f.put("servers", "a", `{"s":"x","b":1}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "a-")
		f.put("servers", "a", `{"s":"x","b":2}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "a")
	})
}

// Guards against an upstream's own report that it leaves being undone by an older read of the store, its next heartbeat or the
// passing of time, and against a report that affects another start of the upstream.
func TestUpstreamsLeavingReportIsFinal(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x","b":2}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		c.MarkLeaving("a", 1, "upstream") // from the previous start
		is.Equal(names(c), "a")
		c.MarkLeaving("a", 2, "upstream")
		is.Equal(names(c), "a-")
		f.put("servers", "a", `{"s":"x","b":2}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "a-")
		time.Sleep(2 * leavingRetention)
		f.put("servers", "a", `{"s":"y","b":2}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "a-")
		c.MarkLeaving("b", 7, "upstream") // not registered here yet
		f.put("servers", "b", `{"s":"x","b":7}`)
		f.put("servers", "a", `{"s":"x","b":3}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "ab-")
	})
}

// Guards against an unreadable entry that hides other entries or keeps its upstream in use.
func TestUnreadableEntriesNameNoUpstream(t *testing.T) {
	f := newFakeStore()
	f.put("servers", "a", `{"s":"x"}`)
	f.put("servers", "b", `{"s":7}`)
	f.put("servers", "c", `{"s":"x"}`)
	runCatalog(t, f, nil, func(is *is.I, c *Catalog) {
		is.Equal(names(c), "ac")
		f.put("servers", "a", `]`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "c")
		f.put("servers", "a", `{"s":"x"}`)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(c), "ac")
	})
}

// fakePeer is a peer that returns a fixed state and counts the fetches.
type fakePeer struct {
	mu      sync.Mutex
	value   string
	fetches int
}

func (p *fakePeer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fetches
}

func (p *fakePeer) Peer() string { return "peer:1" }

func (p *fakePeer) Fetch(context.Context, string, uint64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	return []byte(p.value), nil
}

// Guards against a VM that cannot reach the store and misses changes that its peers have, and against one that calls peers while
// the store answers.
func TestPeersStandInForTheStore(t *testing.T) {
	f := newFakeStore()
	f.put("config", "main", `{"v":1}`)
	f.put("servers", "a", `{"s":"x"}`)
	f.put("servers", "b", `{"s":"x"}`)
	p := &fakePeer{}
	runCatalog(t, f, p, func(is *is.I, c *Catalog) {
		p.mu.Lock()
		p.value = fmt.Sprintf(`{"revision":90,"configuration":{"v":5},"upstreams":[{"name":"b","version":80,"value":{"s":"x","l":true}},` +
			`{"name":"old","version":2,"value":{"s":"x"}},{"name":"n","version":85,"value":{"s":"x"}}]}`)
		p.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(p.count(), 0)
		f.update(func() { f.down = true })
		time.Sleep(4 * time.Second)
		is.Equal(version(c), uint64(5))
		is.Equal(names(c), "b-n") // the peer has no a, and old is older than this VM's last list of the store
		is.True(p.count() > 0)
	})
}

// Guards against a peer that exports an empty state before it has a complete one.
func TestAnIncompleteStateIsNotExported(t *testing.T) {
	is := is.New(t)
	c := New(Options{Store: newFakeStore(), Decoder: testDecoder{}, Kinds: kinds})
	_, _, err := c.Export(t.Context(), 0)
	is.True(errors.Is(err, errIncomplete))
}
