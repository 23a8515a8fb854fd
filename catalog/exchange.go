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
)

// exported is a state as peers exchange it: the stored forms, so that each reads them as from the store.
type exported struct {
	Revision      uint64          `json:"revision"`
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
)

// Export returns the state in force, what has changed after a revision. With after above 0 it waits for a change, for a time.
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
	x := exported{Revision: c.revision}
	if c.tableAt == 0 || c.tableAt > after {
		x.Configuration = c.rawTable
	}
	for name, r := range c.entries {
		e := exportedEntry{Name: name, Version: r.version, Leaving: r.entry.Leaving}
		if r.version > after {
			e.Value = r.value
		}
		x.Upstreams = append(x.Upstreams, e)
	}
	b, err := json.Marshal(x)
	return x.Revision, b, trace.Wrap(err)
}

// awaitGrowth waits until the revision is above after, for exportWait at most.
func (c *Catalog) awaitGrowth(ctx context.Context, after uint64) {
	end := time.NewTimer(exportWait)
	defer end.Stop()
	for {
		c.mu.Lock()
		grown, done := c.grown, c.revision > after
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
	return nil
}

func (c *Catalog) importEntry(now time.Time, e exportedEntry, from string, revision uint64) bool {
	changed := false
	if len(e.Value) > 0 && (c.entries[e.Name] != nil || e.Version > c.revision || revision > c.revision && c.revision == 0) {
		changed = c.takeEntry(now, e.Name, e.Version, e.Value, from)
	}
	if r := c.entries[e.Name]; r != nil && e.Leaving && !r.entry.Leaving {
		r.entry.Leaving = true
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

// followWatchers follows the watcher that is named, and lets this VM watch the store itself while that fails.
func (c *Catalog) followWatchers(ctx context.Context) error {
	last := ""
	for ctx.Err() == nil {
		address := c.opts.Watcher()
		if address == "" {
			c.setFollowing(false, "", nil)
			_ = c.opts.Clock.Sleep(ctx, peerCheck) // an end of ctx ends the loop
			continue
		}
		after := uint64(0)
		if address == last {
			c.mu.Lock()
			after = c.revision
			c.mu.Unlock()
		}
		err := c.fetchFrom(ctx, address, after)
		c.setFollowing(err == nil, address, err)
		if last = address; err != nil {
			last = ""
			_ = c.opts.Clock.Sleep(ctx, peerCheck)
		}
	}
	return nil
}

func (c *Catalog) fetchFrom(ctx context.Context, address string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, followPatience)
	defer cancel()
	value, err := c.opts.Peers.Fetch(ctx, address, after)
	if err != nil {
		return err
	}
	return c.Import(value, address)
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
