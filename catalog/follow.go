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
	// settleDelay is the pause after an event before the next watch, so that changes in quick succession cost one call.
	settleDelay = 100 * time.Millisecond
	// sharedSettleDelay is the pause of a VM that passes upstreams on to followers. In a fleet with followers some upstream renews its entry or
	// changes at nearly any time, and each answer of the store is also a message to each follower. With the pause, a change is in
	// force within a fraction of the two seconds in which an upstream that leaves must get no new work.
	sharedSettleDelay = 250 * time.Millisecond
	// followedFor is how long a VM counts as followed after a call of a follower, of which each makes one every maxExportWait at least.
	followedFor = 10 * time.Second
	// peerCheckInterval is how often a VM checks whether it has to follow a peer; peerRetryDelay is the pause after a failed call.
	peerCheckInterval = 200 * time.Millisecond
	peerRetryDelay    = 400 * time.Millisecond
	minRetryDelay     = 50 * time.Millisecond  // between two calls to a store that does not answer
	maxRetryDelay     = 150 * time.Millisecond // detects the store's return before entries that expired in the outage are judged
	// listTimeout bounds a list call, so that the store's return is detected within a second. After every longListEvery failures
	// a list with longListTimeout runs beside the short ones, for a store that answers slowly.
	listTimeout     = 650 * time.Millisecond
	longListTimeout = 2500 * time.Millisecond
	longListEvery   = 3
	// unansweredAfter distinguishes a call that the store has left unanswered from one that it has cut off; a watch waits for two seconds.
	unansweredAfter = 2 * time.Second
	// outageFailures is the number of failed calls in a row that make an outage. One is not enough: a connection can go silent and a
	// waiting watch can be cut off while the store is available and upstreams renew their entries.
	outageFailures = 2
	expireInterval = 250 * time.Millisecond
	// probeInterval is the longest pause between two calls to the store of a VM that has assigned watchers. Together with
	// listTimeout it stays below the three seconds within which a configuration has to be in force.
	probeInterval = 2 * time.Second
	// maxConfigurationWait bounds awaitConfiguration. It leaves time for the list of upstreams within the same three seconds.
	maxConfigurationWait = 2 * time.Second
)

// Peers fetches the state of another entry VM.
type Peers interface {
	// Peer returns the address of a peer that may reach the store, or "". Consecutive calls return different peers.
	Peer() string
	// Fetch returns a peer's state as encoded by Export, limited to the changes after a generation of that peer. With after 0 it
	// returns the whole state immediately; otherwise the peer waits for a change for a limited time.
	Fetch(ctx context.Context, address string, after uint64) ([]byte, error)
}

// Run keeps the state up to date until ctx ends.
func (c *Catalog) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return c.watchKind(ctx, c.opts.Kinds.Configuration, c.listConfiguration, c.configurationEvent)
	})
	g.Go(func() error { return c.watchKind(ctx, c.opts.Kinds.Upstreams, c.listUpstreams, c.upstreamEvent) })
	g.Go(func() error { return c.maintain(ctx) })
	if c.opts.Peers != nil {
		g.Go(func() error { return c.followPeers(ctx) })
	}
	return g.Wait()
}

// watchKind lists a kind and then watches it from the listed revision, until ctx ends.
func (c *Catalog) watchKind(ctx context.Context, kind string, list func(context.Context) (uint64, error), apply func(time.Time, store.Event) bool) error {
	from, listed := uint64(0), false
	var longListRunning atomic.Bool // a list with longListTimeout is in flight
	for failures := 0; ctx.Err() == nil; {
		if c.isFollowing() {
			listed = false
			_ = c.opts.Clock.Sleep(ctx, peerCheckInterval) // the loop ends when ctx does
			continue
		}
		var err error
		began := c.opts.Clock.Now()
		if !listed {
			from, err = listWithin(ctx, list, listTimeout)
			if listed = err == nil; listed {
				c.recordReachable(kind)
				c.confirmKind(kind, began)
			}
		} else {
			from, err = c.watch(ctx, kind, from, apply)
			if errors.Is(err, store.ErrWatchGap) {
				c.opts.Log.Info("store history lost; listing again", zap.String("kind", kind), zap.Uint64("revision", from))
				listed = false
				continue
			}
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errFollowing) {
			listed = false
			continue
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		listed = false // a list detects sooner than a watch that the store answers again
		if c.opts.Clock.Now().Sub(began) > unansweredAfter {
			c.recordUnanswered(kind)
		}
		if failures < outageFailures {
			c.opts.Log.Info("call to the store failed; listing again", zap.String("kind", kind), zap.String("error", firstLine(err)))
		} else {
			c.recordUnreachable(kind, err)
		}
		if failures%longListEvery == 0 && !longListRunning.Swap(true) {
			go func() {
				defer longListRunning.Store(false)
				_, _ = listWithin(ctx, list, longListTimeout) // the loop reports failures
			}()
		}
		wait := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
		if c.hasWatchers() && failures >= outageFailures {
			wait = probeInterval
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

// awaitConfiguration waits while the configuration can't be read: its list is short, so it is the cheaper probe of whether the
// store is back. It gives up after maxConfigurationWait, in case only that kind fails.
func (c *Catalog) awaitConfiguration(ctx context.Context) {
	for end := c.opts.Clock.Now().Add(maxConfigurationWait); c.isUnreachable(c.opts.Kinds.Configuration) && c.opts.Clock.Now().Before(end); {
		if c.opts.Clock.Sleep(ctx, minRetryDelay) != nil {
			return
		}
	}
}

func (c *Catalog) isUnreachable(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unreachable := c.unreachableSince[kind]
	return unreachable
}

// listWithin calls list with a timeout.
func listWithin(ctx context.Context, list func(context.Context) (uint64, error), timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return list(ctx)
}

// watch makes one watch call from a revision, applies its events and returns the revision to continue from.
func (c *Catalog) watch(ctx context.Context, kind string, from uint64, apply func(time.Time, store.Event) bool) (uint64, error) {
	events, next, err := c.opts.Store.Watch(ctx, kind, from)
	if err != nil {
		return from, err
	}
	answered := c.opts.Clock.Now()
	c.recordReachable(kind)
	if len(events) == 0 {
		c.confirmKind(kind, answered)
		return max(next, from), nil
	}
	err = c.updateFromStore(kind, func(now time.Time) bool {
		changed := false
		c.noteRevision(now, next)
		if kind == c.opts.Kinds.Upstreams {
			c.listedRevision = max(c.listedRevision, next)
		}
		for _, e := range events {
			changed = apply(now, e) || changed
		}
		return changed
	})
	if err != nil {
		return from, err
	}
	c.confirmKind(kind, answered)
	_ = c.opts.Clock.Sleep(ctx, c.settleTime(kind)) // watchKind checks whether ctx has ended
	return max(next, from), nil
}

// settleTime returns the pause after an event of a kind.
func (c *Catalog) settleTime(kind string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == c.opts.Kinds.Upstreams && !c.followedAt.IsZero() && c.opts.Clock.Now().Sub(c.followedAt) < followedFor {
		return sharedSettleDelay
	}
	return settleDelay
}

var errFollowing = errors.New("a watcher is followed")

// updateFromStore is update for the result of a call to the store. If a watcher has been followed since the call began, upstreams are
// dropped with errFollowing: the watcher may never learn of an entry that was removed at once.
func (c *Catalog) updateFromStore(kind string, f func(now time.Time) bool) (err error) {
	c.update(func(now time.Time) bool {
		if c.following && kind == c.opts.Kinds.Upstreams {
			err = errFollowing
			return false
		}
		return f(now)
	})
	return err
}

func (c *Catalog) configurationEvent(_ time.Time, e store.Event) bool {
	if e.Deleted || e.Object.Name != c.opts.Kinds.Name {
		return false
	}
	return c.adoptConfiguration(e.Object.Value, "store")
}

func (c *Catalog) upstreamEvent(now time.Time, e store.Event) bool {
	if e.Deleted {
		return c.handleDeletion(now, e.Object.Name)
	}
	return c.adoptEntry(now, e.Object.Name, e.Object.Version, e.Object.Value, "store")
}

func (c *Catalog) listConfiguration(ctx context.Context) (uint64, error) {
	objects, revision, err := c.opts.Store.List(ctx, c.opts.Kinds.Configuration, "")
	if err != nil {
		return 0, err
	}
	c.update(func(now time.Time) bool {
		changed := false
		c.noteRevision(now, revision)
		c.listed[c.opts.Kinds.Configuration] = true
		for _, o := range objects {
			changed = c.configurationEvent(now, store.Event{Object: o}) || changed
		}
		return changed
	})
	return revision, nil
}

// listUpstreams replaces the entries by those in the store.
func (c *Catalog) listUpstreams(ctx context.Context) (uint64, error) {
	objects, revision, err := c.opts.Store.List(ctx, c.opts.Kinds.Upstreams, "")
	if err != nil {
		return 0, err
	}
	err = c.updateFromStore(c.opts.Kinds.Upstreams, func(now time.Time) bool {
		changed := false
		listed := map[string]bool{}
		if revision < c.listedRevision {
			return false // a newer list or watch was applied first
		}
		c.noteRevision(now, revision)
		if store.EraOf(revision) > store.EraOf(c.listedRevision) {
			c.eraListRevision = revision
		}
		c.listedRevision, c.listed[c.opts.Kinds.Upstreams] = revision, true
		for _, o := range objects {
			listed[o.Name] = true
			changed = c.adoptEntry(now, o.Name, o.Version, o.Value, "store") || changed
		}
		for name := range c.entries {
			if !listed[name] {
				changed = c.handleDeletion(now, name) || changed
			}
		}
		return changed
	})
	return revision, err
}

// recordReachable records that the store has answered a call for a kind.
func (c *Catalog) recordReachable(kind string) {
	c.opts.OnContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	delete(c.unanswered, kind)
	if since, ok := c.unreachableSince[kind]; ok {
		delete(c.unreachableSince, kind)
		c.reachableSince[kind] = now
		c.opts.Log.Info("store regained", zap.String("kind", kind), zap.Duration("after", now.Sub(since)))
	}
}

// confirmKind records that the state of a kind here is that of the store at a time. Only the configuration is confirmed.
func (c *Catalog) confirmKind(kind string, at time.Time) {
	if kind == c.opts.Kinds.Configuration {
		c.confirm(at)
	}
}

// confirm records that the configuration here is that of the store at a time, and tells the followers: if they learned of it with the next
// change or after maxExportWait only, their confirmation would be up to twice as old as that of this VM.
func (c *Catalog) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.confirmed) {
		return
	}
	c.confirmed = at
	c.generation++
	c.wakeFollowers()
}

// confirmedAgeMS returns the age of the confirmation, rounded up, or -1 if there is none. The lock must be held.
func (c *Catalog) confirmedAgeMS() int64 {
	if c.confirmed.IsZero() {
		return -1
	}
	return (c.opts.Clock.Now().Sub(c.confirmed) + time.Millisecond - 1).Milliseconds()
}

// recordUnanswered records that the store has left a call for a kind unanswered, so that followers switch to another watcher.
func (c *Catalog) recordUnanswered(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unanswered[kind] {
		c.unanswered[kind] = true
		c.wakeFollowers()
	}
}

// recordUnreachable records that the store does not answer calls for a kind.
func (c *Catalog) recordUnreachable(kind string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.unreachableSince[kind]; ok {
		return
	}
	c.unreachableSince[kind] = c.opts.Clock.Now()
	c.wakeFollowers() // followers switch to another watcher
	storeLosses.Inc()
	c.opts.Log.Warn("store lost", zap.String("kind", kind), zap.Uint64("revision", c.revision), zap.String("error", firstLine(err)))
}

// maintain calls expire at regular intervals until ctx ends.
func (c *Catalog) maintain(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
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
