package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// A few entry VMs of a large fleet watch the store and the others follow them, so that the calls to the store do not grow with the fleet.

const (
	// exportWait is how long a watcher holds a follower's call without a change.
	exportWait = 2 * time.Second
	// followPatience bounds a follower's call, so that a watcher that falls silent is noticed as soon as a silent watch.
	followPatience = exportWait + 600*time.Millisecond
	// followPause lies between two calls, so that changes in quick succession share one.
	followPause = 50 * time.Millisecond
	// lostPause lies between two rounds in which all watchers have failed: their return is known within a second.
	lostPause = time.Second
	// preferAfter is how long a follower stays with a watcher that is not its first choice; one that flaps costs a call each time.
	preferAfter = 10 * time.Second
)

// exported is a state as peers exchange it: the stored forms, so that each reads them as from the store.
type exported struct {
	Revision      uint64          `json:"revision"` // of the store
	Boot          uint64          `json:"boot"`
	Generation    uint64          `json:"generation"`              // of the sender's state
	Lost          bool            `json:"lost,omitempty"`          // the sender does not reach the store
	Unchanged     bool            `json:"unchanged,omitempty"`     // nothing has changed; the upstreams are left out
	Configuration json.RawMessage `json:"configuration,omitempty"` // left out when unchanged
	Upstreams     []exportedEntry `json:"upstreams"`               // all of them
}

type exportedEntry struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"` // left out when unchanged
	Leaving bool            `json:"leaving,omitempty"`
}

var (
	errIncomplete = errors.New("the state is not complete yet")
	errStoreLost  = errors.New("the peer does not reach the store")
	errRestarted  = errors.New("the peer has started anew")
)

// Export returns the state in force, what has changed after a generation. With after above 0 it waits for a change, or for the loss of the
// store, for a time.
func (c *Catalog) Export(ctx context.Context, after uint64) (uint64, []byte, error) {
	if after > 0 {
		c.awaitGrowth(ctx, after)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded[c.opts.Kinds.Configuration] || !c.loaded[c.opts.Kinds.Upstreams] {
		return 0, nil, trace.Wrap(errIncomplete)
	}
	x := exported{Revision: c.revision, Boot: c.boot, Generation: c.generation, Lost: len(c.unreachable) > 0, Unchanged: c.generation == after}
	if c.tableAt > after {
		x.Configuration = c.rawTable
	}
	if !x.Unchanged {
		x.Upstreams = c.exportEntries(after)
	}
	b, err := json.Marshal(x)
	return x.Revision, b, trace.Wrap(err)
}

// exportEntries returns all entries, with the values of those that have changed after a generation.
func (c *Catalog) exportEntries(after uint64) []exportedEntry {
	var out []exportedEntry
	for name, r := range c.entries {
		e := exportedEntry{Name: name, Version: r.version, Leaving: r.entry.Leaving}
		if r.at > after {
			e.Value = r.value
		}
		out = append(out, e)
	}
	return out
}

// awaitGrowth waits until the generation is above after or the store is lost, for exportWait at most.
func (c *Catalog) awaitGrowth(ctx context.Context, after uint64) {
	end := time.NewTimer(exportWait)
	defer end.Stop()
	for {
		c.mu.Lock()
		grown, done := c.grown, c.generation > after || len(c.unreachable) > 0
		c.mu.Unlock()
		if done {
			return
		}
		select {
		case <-grown:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Import takes a peer's state. Nothing goes back: an older configuration, an older entry, an entry that has left here and one
// that was removed here change nothing. Only a peer that is ahead can remove entries.
func (c *Catalog) Import(value []byte, from string) error {
	var x exported
	if err := json.Unmarshal(value, &x); err != nil {
		return trace.Wrap(err)
	}
	c.take(&x, from)
	return nil
}

// take puts a peer's state in force.
func (c *Catalog) take(x *exported, from string) {
	c.update(func(now time.Time) bool {
		changed := false
		if len(x.Configuration) > 0 {
			changed = c.takeConfiguration(x.Configuration, from)
		}
		listed := map[string]bool{}
		for _, e := range x.Upstreams {
			listed[e.Name] = true
			changed = c.importEntry(now, e, from, x.Revision) || changed
		}
		for name := range c.entries {
			if !listed[name] && !x.Unchanged && x.Revision > c.revision {
				changed = c.drop(now, name, "a peer that is ahead lacks it") || changed
			}
		}
		c.revision = max(c.revision, x.Revision)
		for _, k := range []string{c.opts.Kinds.Configuration, c.opts.Kinds.Upstreams} {
			c.loaded[k] = true
		}
		c.confirmed = now
		return changed
	})
}

func (c *Catalog) importEntry(now time.Time, e exportedEntry, from string, revision uint64) bool {
	changed := false
	if len(e.Value) > 0 && (c.entries[e.Name] != nil || e.Version > c.revision || revision > c.revision && c.revision == 0) {
		changed = c.takeEntry(now, e.Name, e.Version, e.Value, from)
	}
	if r := c.entries[e.Name]; r != nil && e.Leaving && !r.entry.Leaving {
		c.markLeaving(now, r)
		changed = true
	}
	return changed
}

func (c *Catalog) isFollowing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.following
}

// hasWatchers says that other entry VMs watch the store for this one, as a rule.
func (c *Catalog) hasWatchers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.named
}

// isCut says that the store does not answer this VM.
func (c *Catalog) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreachable) > 0 || c.table == nil
}

// position is how far this VM has followed a peer.
type position struct {
	address    string
	boot       uint64 // of the peer's process
	generation uint64
}

// choice is a follower's choice among the watchers.
type choice struct {
	at       map[string]*position // by address, of the watchers named now
	address  string               // in use
	since    time.Time            // of address
	failures int                  // in a row, over all watchers
}

// pick returns the watcher to call next: the one in use while it answers, the next one after a failure, and the first one again after a time.
func (w *choice) pick(named []string, now time.Time) *position {
	for address := range w.at {
		if !slices.Contains(named, address) {
			delete(w.at, address)
		}
	}
	next := w.address
	switch i := slices.Index(named, w.address); {
	case i < 0:
		next = named[0]
	case w.failures > 0:
		next = named[(i+1)%len(named)]
	case i > 0 && now.Sub(w.since) > preferAfter:
		next = named[0]
	}
	if next != w.address {
		w.address, w.since = next, now
	}
	if w.at[next] == nil {
		w.at[next] = &position{address: next}
	}
	return w.at[next]
}

// pause returns the time until the next call.
func (w *choice) pause(named int) time.Duration {
	switch {
	case w.failures == 0:
		return followPause
	case w.failures%named != 0: // the next one may do
		return 0
	default:
		return lostPause
	}
}

// followPeers follows one of the watchers that are named, and lets this VM look at the store itself while that fails. A VM that watches and
// is cut off from the store follows any peer meanwhile, and goes on trying the store.
func (c *Catalog) followPeers(ctx context.Context) error {
	watchers := choice{at: map[string]*position{}}
	var standIn position
	_ = c.opts.Clock.Sleep(ctx, peerCheck) // the store answers sooner, as a rule; an end of ctx ends the loop
	for ctx.Err() == nil {
		var named []string
		if c.opts.Watchers != nil {
			named = c.opts.Watchers()
		}
		if len(named) > 0 {
			at := watchers.pick(named, c.opts.Clock.Now())
			err := c.fetchFrom(ctx, at)
			if watchers.failures++; err == nil {
				watchers.failures = 0
			}
			c.setFollowing(err == nil, true, at.address, err)
			_ = c.opts.Clock.Sleep(ctx, watchers.pause(len(named)))
			continue
		}
		c.setFollowing(false, false, "", nil)
		address := ""
		if c.isCut() {
			address = c.opts.Peers.Peer()
		}
		pause := peerCheck
		if address != "" {
			if address != standIn.address {
				standIn = position{address: address}
			}
			if pause = followPause; c.fetchFrom(ctx, &standIn) != nil {
				pause = peerRetry
			}
		}
		_ = c.opts.Clock.Sleep(ctx, pause)
	}
	return nil
}

// fetchFrom fetches what has changed at a peer and moves the position on.
func (c *Catalog) fetchFrom(ctx context.Context, at *position) error {
	ctx, cancel := context.WithTimeout(ctx, followPatience)
	defer cancel()
	value, err := c.opts.Peers.Fetch(ctx, at.address, at.generation)
	if err != nil {
		return err
	}
	var x exported
	if err := json.Unmarshal(value, &x); err != nil {
		return trace.Wrap(err)
	}
	if at.generation > 0 && x.Boot != at.boot { // what was left out was counted from another process's start
		*at = position{address: at.address}
		return trace.Wrap(errRestarted)
	}
	c.take(&x, at.address)
	at.boot, at.generation = x.Boot, x.Generation
	if x.Lost {
		return trace.Wrap(errStoreLost)
	}
	return nil
}

// setFollowing notes whether a watcher's state stands in for the own watches, and logs a change. named says that there are watchers.
func (c *Catalog) setFollowing(following, named bool, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named = named
	if errors.Is(err, errStoreLost) && !following {
		now := c.opts.Clock.Now()
		for _, kind := range []string{c.opts.Kinds.Configuration, c.opts.Kinds.Upstreams} {
			if _, ok := c.unreachable[kind]; !ok && c.following {
				c.unreachable[kind] = now // entries that lapse meanwhile have to be waited for
			}
		}
	}
	if c.following == following {
		return
	}
	c.following = following
	if following {
		clear(c.unreachable) // the watcher reaches the store
		c.opts.Log.Info("following a watcher", zap.String("watcher", address), zap.Uint64("revision", c.revision))
		return
	}
	c.opts.Log.Info("watching the store", zap.Uint64("revision", c.revision), zap.String("left", address), zap.Error(err))
}
