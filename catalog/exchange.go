package catalog

import (
	"context"
	"encoding/json"
	"errors"
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
)

// exported is a state as peers exchange it: the stored forms, so that each reads them as from the store.
type exported struct {
	Revision      uint64          `json:"revision"` // of the store
	Boot          uint64          `json:"boot"`
	Generation    uint64          `json:"generation"`              // of the sender's state
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
	errStoreLost  = errors.New("this entry VM does not reach the store")
	errRestarted  = errors.New("the peer has started anew")
)

// Export returns the state in force, what has changed after a generation. With after above 0 it waits for a change, for a time.
func (c *Catalog) Export(ctx context.Context, after uint64) (uint64, []byte, error) {
	if after > 0 {
		c.awaitGrowth(ctx, after)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded[c.opts.Kinds.Configuration] || !c.loaded[c.opts.Kinds.Upstreams] {
		return 0, nil, trace.Wrap(errIncomplete)
	}
	if after > 0 && len(c.unreachable) > 0 {
		return 0, nil, trace.Wrap(errStoreLost) // a follower has to look for another watcher
	}
	x := exported{Revision: c.revision, Boot: c.boot, Generation: c.generation}
	if c.tableAt > after {
		x.Configuration = c.rawTable
	}
	for name, r := range c.entries {
		e := exportedEntry{Name: name, Version: r.version, Leaving: r.entry.Leaving}
		if r.at > after {
			e.Value = r.value
		}
		x.Upstreams = append(x.Upstreams, e)
	}
	b, err := json.Marshal(x)
	return x.Revision, b, trace.Wrap(err)
}

// awaitGrowth waits until the generation is above after, for exportWait at most.
func (c *Catalog) awaitGrowth(ctx context.Context, after uint64) {
	end := time.NewTimer(exportWait)
	defer end.Stop()
	for {
		c.mu.Lock()
		grown, done := c.grown, c.generation > after
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
			if !listed[name] && x.Revision > c.revision {
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
		r.entry.Leaving, r.at = true, c.generation
		c.left[start(r.entry)] = now
		changed = true
	}
	return changed
}

func (c *Catalog) isFollowing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.following
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

// followPeers follows the watcher that is named, and lets this VM watch the store itself while that fails. A VM that watches and is cut
// off from the store follows any peer meanwhile, and goes on trying the store.
func (c *Catalog) followPeers(ctx context.Context) error {
	var at position
	_ = c.opts.Clock.Sleep(ctx, peerCheck) // the store answers sooner, as a rule; an end of ctx ends the loop
	for ctx.Err() == nil {
		address, standIn := "", false
		if c.opts.Watcher != nil {
			address = c.opts.Watcher()
		}
		if address == "" {
			c.setFollowing(false, "", nil)
			if standIn = c.isCut(); standIn {
				address = c.opts.Peers.Peer()
			}
		}
		if address == "" {
			_ = c.opts.Clock.Sleep(ctx, peerCheck) // an end of ctx ends the loop
			continue
		}
		if address != at.address {
			at = position{address: address}
		}
		err := c.fetchFrom(ctx, &at)
		if !standIn {
			c.setFollowing(err == nil, address, err)
		}
		pause := followPause
		if err != nil {
			pause = peerRetry
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
	return nil
}

// setFollowing notes whether a watcher's state stands in for the own watches, and logs a change.
func (c *Catalog) setFollowing(following bool, address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
