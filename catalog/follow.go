package catalog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/store"
)

const (
	// settleAfter is waited after an event before the next watch, so that changes in quick succession cost one call.
	settleAfter = 100 * time.Millisecond
	// peerCheck is how often a VM looks whether it has to follow a peer; peerRetry lies between two calls that fail.
	peerCheck = 200 * time.Millisecond
	peerRetry = 400 * time.Millisecond
	retryMin  = 50 * time.Millisecond  // between two tries of a store that does not answer
	retryMax  = 150 * time.Millisecond // its return is noticed before the entries that lapsed meanwhile have to be judged
	// listPatience bounds a list call, so that the store's return is known to a second. After patientEvery failures a list with
	// longPatience runs beside the short ones, for a store that answers slowly.
	listPatience = 650 * time.Millisecond
	longPatience = 2500 * time.Millisecond
	patientEvery = 3
	expireEvery  = 250 * time.Millisecond
	// probeEvery lies between two tries of a VM that others watch the store for. Together with listPatience it stays below the three seconds in
	// which a configuration has to be in force.
	probeEvery = 2 * time.Second
	// configurationWait leaves the list of upstreams its time within the same three seconds.
	configurationWait = 2 * time.Second
)

// Peers fetches the state of another entry VM.
type Peers interface {
	// Peer returns the address of a peer that may reach the store, or "". Calls in a row name different ones.
	Peer() string
	// Fetch returns a peer's state as Export encodes it, what has changed after a generation of that peer. With 0 it returns all at once;
	// otherwise the peer waits for a change, for a time.
	Fetch(ctx context.Context, address string, after uint64) ([]byte, error)
}

// Run follows the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return c.follow(ctx, c.opts.Kinds.Configuration, c.loadConfiguration, c.configurationEvent)
	})
	g.Go(func() error { return c.follow(ctx, c.opts.Kinds.Upstreams, c.loadUpstreams, c.upstreamEvent) })
	g.Go(func() error { return c.maintain(ctx) })
	if c.opts.Peers != nil {
		g.Go(func() error { return c.followPeers(ctx) })
	}
	return g.Wait()
}

// follow lists a kind and watches it from there on, for ever.
func (c *Catalog) follow(ctx context.Context, kind string, load func(context.Context) (uint64, error), take func(time.Time, store.Event) bool) error {
	from, listed := uint64(0), false
	var patient atomic.Bool // a list with longPatience is under way
	for failures := 0; ctx.Err() == nil; {
		if c.isFollowing() {
			listed = false
			_ = c.opts.Clock.Sleep(ctx, peerCheck) // an end of ctx ends the loop
			continue
		}
		var err error
		if !listed {
			from, err = loadWithin(ctx, load, listPatience)
			listed = err == nil
		} else {
			from, err = c.watch(ctx, kind, from, take)
			if errors.Is(err, store.ErrWatchGap) {
				c.opts.Log.Info("store history lost; listing again", zap.String("kind", kind), zap.Uint64("revision", from))
				listed = false
				continue
			}
		}
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			failures = 0
			c.answered(kind)
			continue
		}
		failures++
		listed = false // a new list shows sooner than a watch whether the store is back
		c.lost(kind, err)
		if failures%patientEvery == 0 && !patient.Swap(true) {
			go func() {
				defer patient.Store(false)
				_, _ = loadWithin(ctx, load, longPatience) // the loop reports failures
			}()
		}
		wait := min(retryMin<<min(failures-1, 4), retryMax)
		if c.hasWatchers() {
			wait = probeEvery
		}
		if c.opts.Clock.Sleep(ctx, wait/2+store.Backoff(0)%(wait/2)) != nil {
			break
		}
		if kind == c.opts.Kinds.Upstreams {
			c.awaitConfiguration(ctx)
		}
	}
	return nil
}

// awaitConfiguration waits while the configuration, whose list is short, can't be read either: one kind shows whether the store is back. It
// gives up after configurationWait, in case that only this kind fails.
func (c *Catalog) awaitConfiguration(ctx context.Context) {
	for end := c.opts.Clock.Now().Add(configurationWait); c.isLost(c.opts.Kinds.Configuration) && c.opts.Clock.Now().Before(end); {
		if c.opts.Clock.Sleep(ctx, retryMin) != nil {
			return
		}
	}
}

func (c *Catalog) isLost(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, lost := c.unreachable[kind]
	return lost
}

// loadWithin lists a kind within a time.
func loadWithin(ctx context.Context, load func(context.Context) (uint64, error), patience time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return load(ctx)
}

// watch waits for changes once and takes them.
func (c *Catalog) watch(ctx context.Context, kind string, from uint64, take func(time.Time, store.Event) bool) (uint64, error) {
	events, next, err := c.opts.Store.Watch(ctx, kind, from)
	if err != nil {
		return from, err
	}
	c.answered(kind)
	if len(events) == 0 {
		return max(next, from), nil
	}
	c.update(func(now time.Time) bool {
		changed := false
		if kind == c.opts.Kinds.Upstreams {
			c.listedAt = max(c.listedAt, next)
		}
		for _, e := range events {
			changed = take(now, e) || changed
		}
		c.revision = max(c.revision, next)
		return changed
	})
	_ = c.opts.Clock.Sleep(ctx, settleAfter) // an end of ctx is seen by follow
	return max(next, from), nil
}

func (c *Catalog) configurationEvent(_ time.Time, e store.Event) bool {
	if e.Deleted || e.Object.Name != c.opts.Kinds.Name {
		return false
	}
	return c.takeConfiguration(e.Object.Value, "store")
}

func (c *Catalog) upstreamEvent(now time.Time, e store.Event) bool {
	if e.Deleted {
		return c.remove(now, e.Object.Name)
	}
	return c.takeEntry(now, e.Object.Name, e.Object.Version, e.Object.Value, "store")
}

func (c *Catalog) loadConfiguration(ctx context.Context) (uint64, error) {
	objects, at, err := c.opts.Store.List(ctx, c.opts.Kinds.Configuration, "")
	if err != nil {
		return 0, err
	}
	c.update(func(now time.Time) bool {
		changed := false
		c.loaded[c.opts.Kinds.Configuration] = true
		for _, o := range objects {
			changed = c.configurationEvent(now, store.Event{Object: o}) || changed
		}
		c.revision = max(c.revision, at)
		return changed
	})
	return at, nil
}

// loadUpstreams replaces the entries by those in the store.
func (c *Catalog) loadUpstreams(ctx context.Context) (uint64, error) {
	objects, at, err := c.opts.Store.List(ctx, c.opts.Kinds.Upstreams, "")
	if err != nil {
		return 0, err
	}
	c.update(func(now time.Time) bool {
		changed := false
		listed := map[string]bool{}
		if at < c.listedAt {
			return false // a slow answer that a newer one has overtaken
		}
		c.listedAt, c.loaded[c.opts.Kinds.Upstreams] = at, true
		for _, o := range objects {
			listed[o.Name] = true
			changed = c.takeEntry(now, o.Name, o.Version, o.Value, "store") || changed
		}
		for name := range c.entries {
			if !listed[name] {
				changed = c.remove(now, name) || changed
			}
		}
		c.revision = max(c.revision, at)
		return changed
	})
	return at, nil
}

// answered notes that the store has answered a call for a kind.
func (c *Catalog) answered(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	c.confirmed = now
	if since, ok := c.unreachable[kind]; ok {
		delete(c.unreachable, kind)
		c.regained[kind] = now
		c.opts.Log.Info("store regained", zap.String("kind", kind), zap.Duration("after", now.Sub(since)))
	}
}

// lost notes that the store has not answered.
func (c *Catalog) lost(kind string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.unreachable[kind]; ok {
		return
	}
	c.unreachable[kind] = c.opts.Clock.Now()
	c.wakeFollowers() // they look for another watcher
	storeLosses.Inc()
	c.opts.Log.Warn("store lost", zap.String("kind", kind), zap.Uint64("revision", c.revision), zap.String("error", short(err)))
}

// maintain drops entries whose grace has passed.
func (c *Catalog) maintain(ctx context.Context) error {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			c.update(c.expire)
		}
	}
}
