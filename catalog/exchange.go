package catalog

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// In a large fleet a few entry VMs, the watchers, watch the store and the others, their followers, fetch the state from them,
// so that the rate of store calls does not grow with the fleet.

const (
	// maxExportWait is how long a watcher holds a follower's call open when nothing changes.
	maxExportWait = 2 * time.Second
	// fetchTimeout bounds a follower's call, so that a watcher that stops answering is detected as soon as a store watch that
	// stops answering.
	fetchTimeout = maxExportWait + 600*time.Millisecond
	// fetchInterval is the pause between two successful calls, so that changes in quick succession share one call.
	fetchInterval = 50 * time.Millisecond
	// allFailedDelay is the pause after a call to every watcher has failed. A watcher that recovers is used within a second.
	allFailedDelay = time.Second
	// failbackDelay is how long a follower stays with a watcher that is not its first choice. Each return to a first choice that
	// flaps costs a failed call.
	failbackDelay = 10 * time.Second
)

// stateMessage is the encoding of a state between peers. It holds the stored values, which the receiver decodes like those of
// the store.
type stateMessage struct {
	Revision uint64 `json:"revision"` // highest store revision of any kind
	// UpstreamsRevision is the store revision of the list of upstreams; 0 from older processes.
	UpstreamsRevision uint64 `json:"upstreams_revision,omitempty"`
	Boot              uint64 `json:"boot"`
	Generation        uint64 `json:"generation"`           // of the sender's state
	Lost              bool   `json:"lost,omitempty"`       // the sender cannot reach the store
	Unanswered        bool   `json:"unanswered,omitempty"` // the store left the last call of the sender unanswered
	Unchanged         bool   `json:"unchanged,omitempty"`  // nothing has changed; the upstreams are omitted
	// ConfirmedAgeMS is the age of the sender's confirmation, rounded up; below 0: it has none; 0 from older processes.
	ConfirmedAgeMS int64           `json:"confirmed_age_ms,omitempty"`
	Configuration  json.RawMessage `json:"configuration,omitempty"` // omitted when unchanged
	Upstreams      []entryMessage  `json:"upstreams,omitempty"`     // all upstreams
	// Plans for software versions, omitted when unchanged; see package versions.
	Plans         json.RawMessage `json:"plans,omitempty"`
	PlansRevision uint64          `json:"plans_revision,omitempty"`
}

type entryMessage struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"` // omitted when unchanged
	Leaving bool            `json:"leaving,omitempty"`
	// HeldBack is set for an entry that the sender uses only if its upstream keeps it. Leaving is set too, for older processes.
	HeldBack bool `json:"held_back,omitempty"`
}

var (
	errIncomplete = errors.New("the state is not complete yet")
	errStoreLost  = errors.New("the peer cannot reach the store")
	errUnanswered = errors.New("the store does not answer the peer at present")
	errRestarted  = errors.New("the peer has restarted")
)

// Export returns the store revision and the encoded state, without the values that have not changed since generation after. If
// after is above 0, it waits up to maxExportWait for a change or a confirmation, or until the store leaves a call unanswered.
func (c *Catalog) Export(ctx context.Context, after uint64) (uint64, []byte, error) {
	if after > 0 {
		c.awaitChange(ctx, after)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > 0 {
		c.followedAt = c.opts.Clock.Now()
	}
	if !c.listed[c.opts.Kinds.Configuration] || !c.listed[c.opts.Kinds.Upstreams] {
		return 0, nil, trace.Wrap(errIncomplete)
	}
	x := stateMessage{
		Revision: c.revision, UpstreamsRevision: c.listedRevision, Boot: c.boot, Generation: c.generation,
		Lost: len(c.unreachableSince) > 0, Unanswered: len(c.unanswered) > 0, Unchanged: c.stateGeneration <= after,
		ConfirmedAgeMS: c.confirmedAgeMS(),
	}
	if c.tableGeneration > after {
		x.Configuration = c.rawTable
	}
	if c.plansGeneration > after {
		x.Plans, x.PlansRevision = c.plans, c.plansRevision
	}
	if !x.Unchanged {
		x.Upstreams = c.exportEntries(after)
	}
	b, err := json.Marshal(x)
	return x.Revision, b, trace.Wrap(err)
}

// SetPlans records the stored plans for software versions, for VMs that get their state from this one. Older plans than those
// known have no effect.
func (c *Catalog) SetPlans(revision uint64, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.plansRevision || !json.Valid(value) {
		return
	}
	c.generation++
	c.plans, c.plansRevision, c.plansGeneration, c.stateGeneration = slices.Clone(value), revision, c.generation, c.generation
	c.wakeFollowers()
}

// exportEntries returns all entries, with values only for those that have changed since generation after.
func (c *Catalog) exportEntries(after uint64) []entryMessage {
	var out []entryMessage
	for name, r := range c.entries {
		e := entryMessage{Name: name, Version: r.version, Leaving: r.entry.Leaving, HeldBack: r.heldBack}
		if r.generation > after {
			e.Value = r.value
		}
		out = append(out, e)
	}
	return out
}

// awaitChange waits until the generation is above after or the store leaves a call unanswered, for maxExportWait at most.
func (c *Catalog) awaitChange(ctx context.Context, after uint64) {
	end := time.NewTimer(maxExportWait)
	defer end.Stop()
	for {
		c.mu.Lock()
		changed, done := c.changed, c.generation > after || len(c.unreachableSince) > 0 || len(c.unanswered) > 0
		c.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasRemoved reports whether the sender has removed an entry that it does not list. Otherwise the sender has not received the entry, which
// was last changed at a store revision. ownListRevision is that of the receiver's list of upstreams.
func (x *stateMessage) hasRemoved(version, ownListRevision uint64) bool {
	switch {
	case x.Unchanged: // the list is omitted
		return false
	case x.UpstreamsRevision == 0: // an older process
		return x.Revision > ownListRevision
	}
	// The revision of the receiver's list does not matter: the sender may remove an entry long after the list that lacks it.
	return version <= x.UpstreamsRevision
}

// Import applies a peer's state. It never replaces local state by an older one: an older configuration, an older entry, an entry
// that is leaving here or was removed here has no effect. Only a peer that has received an entry's last change can remove it.
func (c *Catalog) Import(value []byte, from string) error {
	var x stateMessage
	if err := json.Unmarshal(value, &x); err != nil {
		return trace.Wrap(err)
	}
	c.adoptState(&x, from)
	return nil
}

// adoptState applies a decoded peer state as described at Import. It reports whether the state was whole: changes may lack the values of
// entries that are not known here.
func (c *Catalog) adoptState(x *stateMessage, from string) (whole bool) {
	whole = true
	var received time.Time
	c.update(func(now time.Time) bool {
		changed := false
		if len(x.Configuration) > 0 {
			changed = c.adoptConfiguration(x.Configuration, from)
		}
		listRevision := cmp.Or(x.UpstreamsRevision, x.Revision)
		newer := !x.Unchanged && listRevision > c.listedRevision
		listed := map[string]bool{}
		for _, e := range x.Upstreams {
			listed[e.Name] = true
			whole = whole && (len(e.Value) > 0 || c.entries[e.Name] != nil || e.Version <= c.listedRevision)
			changed = c.importEntry(now, e, from, listRevision) || changed
		}
		c.noteRevision(now, x.Revision)
		for name, r := range c.entries {
			if !listed[name] && x.hasRemoved(r.version, c.listedRevision) {
				changed = c.drop(now, name, "removed at a peer") || changed
			}
		}
		if newer && whole {
			c.listedRevision = listRevision
		}
		c.peerChecks = max(c.peerChecks-1, 0)
		for _, k := range []string{c.opts.Kinds.Configuration, c.opts.Kinds.Upstreams} {
			c.listed[k] = true
		}
		received = now
		return changed
	})
	if !x.Lost && !x.Unanswered && x.ConfirmedAgeMS >= 0 {
		c.confirm(received.Add(-time.Duration(x.ConfirmedAgeMS) * time.Millisecond))
	}
	if !x.Lost {
		c.opts.OnContact()
	}
	if len(x.Plans) > 0 {
		c.opts.OnPlans(x.PlansRevision, x.Plans, from)
	}
	return whole
}

// importEntry applies an entry of a peer's list of upstreams with a revision. An entry that is unknown here and not newer than the own
// list was removed.
func (c *Catalog) importEntry(now time.Time, e entryMessage, from string, listRevision uint64) bool {
	changed := false
	if len(e.Value) > 0 && (c.entries[e.Name] != nil || e.Version > c.listedRevision) {
		changed = c.adoptEntry(now, e.Name, e.Version, e.Value, from)
	}
	if r := c.entries[e.Name]; r != nil && e.Leaving && !r.entry.Leaving {
		if e.HeldBack {
			c.goneStarts[startKey(r.entry)] = goneStart{now, store.EraOf(listRevision) - 1}
			r.entry.Leaving, r.heldBack, r.generation = true, true, c.generation
		} else {
			c.markLeaving(now, r)
		}
		changed = true
	}
	return changed
}

func (c *Catalog) isFollowing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.following
}

// Following reports whether the state comes from a watcher instead of the store.
func (c *Catalog) Following() bool { return c.isFollowing() }

// hasWatchers reports whether other entry VMs are assigned to watch the store for this one.
func (c *Catalog) hasWatchers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchersAssigned
}

// needsPeers reports whether the store does not answer this VM, has not provided a configuration yet, or may hold an older state
// than the peers.
func (c *Catalog) needsPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreachableSince) > 0 || c.table == nil || c.peerChecks > 0
}

// StoreLost reports whether the store does not answer this VM.
func (c *Catalog) StoreLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unreachableSince) > 0
}

// peerPosition is the last state of a peer that this VM has applied.
type peerPosition struct {
	address    string
	boot       uint64 // identifier of the peer's process
	generation uint64
}

// watcherChoice selects the watcher that a follower calls.
type watcherChoice struct {
	positions map[string]*peerPosition // by address, of the watchers assigned now
	address   string                   // address of the watcher in use
	since     time.Time                // since when address is in use
	failures  int                      // consecutive failures, over all watchers
}

// pick returns the watcher to call next: the one in use while it answers, the next one after a failure, and the first one
// again after failbackDelay.
func (w *watcherChoice) pick(assigned []string, now time.Time) *peerPosition {
	for address := range w.positions {
		if !slices.Contains(assigned, address) {
			delete(w.positions, address)
		}
	}
	next := w.address
	switch i := slices.Index(assigned, w.address); {
	case i < 0:
		next = assigned[0]
	case w.failures > 0:
		next = assigned[(i+1)%len(assigned)]
	case i > 0 && now.Sub(w.since) > failbackDelay:
		next = assigned[0]
	}
	if next != w.address {
		w.address, w.since = next, now
	}
	if w.positions[next] == nil {
		w.positions[next] = &peerPosition{address: next}
	}
	return w.positions[next]
}

// delay returns the time until the next call, given the number of assigned watchers.
func (w *watcherChoice) delay(assigned int) time.Duration {
	switch {
	case w.failures == 0:
		return fetchInterval
	case w.failures%assigned != 0: // another watcher has not been tried in this round
		return 0
	default:
		return allFailedDelay
	}
}

// followPeers fetches the state from one of the assigned watchers until ctx ends; while that fails, this VM watches the store
// itself. A VM without assigned watchers that is cut off from the store fetches from any peer and keeps trying the store.
func (c *Catalog) followPeers(ctx context.Context) error {
	watchers := watcherChoice{positions: map[string]*peerPosition{}}
	var fallback peerPosition
	_ = c.opts.Clock.Sleep(ctx, peerCheckInterval) // the store usually answers sooner; the loop ends when ctx does
	for ctx.Err() == nil {
		var assigned []string
		if c.opts.Watchers != nil {
			assigned = c.opts.Watchers()
		}
		if len(assigned) > 0 {
			position := watchers.pick(assigned, c.opts.Clock.Now())
			err := c.fetchFrom(ctx, position)
			if watchers.failures++; err == nil {
				watchers.failures = 0
			}
			if c.setFollowing(err == nil, true, position.address, err) {
				position.generation = 0 // changes leave out entries that were removed here meanwhile
			}
			_ = c.opts.Clock.Sleep(ctx, watchers.delay(len(assigned)))
			continue
		}
		c.setFollowing(false, false, "", nil)
		address := ""
		if c.needsPeers() {
			address = c.opts.Peers.Peer()
		}
		pause := peerCheckInterval
		if address != "" {
			if address != fallback.address {
				fallback = peerPosition{address: address}
			}
			if pause = fetchInterval; c.fetchFrom(ctx, &fallback) != nil {
				pause = peerRetryDelay
			}
		}
		_ = c.opts.Clock.Sleep(ctx, pause)
	}
	return nil
}

// fetchFrom fetches the changes after position from a peer, applies them and advances position.
func (c *Catalog) fetchFrom(ctx context.Context, position *peerPosition) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	value, err := c.opts.Peers.Fetch(ctx, position.address, position.generation)
	if err != nil {
		return err
	}
	var x stateMessage
	if err := json.Unmarshal(value, &x); err != nil {
		return trace.Wrap(err)
	}
	if position.generation > 0 && x.Boot != position.boot { // the generation counts changes of another process
		*position = peerPosition{address: position.address}
		return trace.Wrap(errRestarted)
	}
	whole := c.adoptState(&x, position.address)
	if position.boot, position.generation = x.Boot, x.Generation; !whole {
		position.generation = 0 // the next call fetches the whole state
	}
	switch {
	case x.Lost:
		return trace.Wrap(errStoreLost)
	case x.Unanswered: // the follower would learn of changes too late if it waited until the store counts as lost
		return trace.Wrap(errUnanswered)
	}
	return nil
}

// setFollowing records whether the state comes from a watcher instead of this VM's own watches, and whether watchers are
// assigned. It logs each change between a watcher and own watches, and reports whether following begins.
func (c *Catalog) setFollowing(following, assigned bool, address string, err error) (begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchersAssigned = assigned
	if errors.Is(err, errStoreLost) && !following {
		now := c.opts.Clock.Now()
		for _, kind := range []string{c.opts.Kinds.Configuration, c.opts.Kinds.Upstreams} {
			if _, ok := c.unreachableSince[kind]; !ok && c.following {
				c.unreachableSince[kind] = now // entries that expire during the outage are kept for ReturnGrace
			}
		}
	}
	if c.following == following {
		return false
	}
	c.following = following
	if following {
		clear(c.unreachableSince) // the watcher reaches the store
		clear(c.unanswered)
		for _, r := range c.entries {
			r.missing = time.Time{} // the watcher decides whether the upstream is gone
		}
		c.opts.Log.Info("following a watcher", zap.String("watcher", address), zap.Uint64("revision", c.revision))
		return true
	}
	c.opts.Log.Info("watching the store", zap.Uint64("revision", c.revision), zap.String("left", address), zap.Error(err))
	return false
}
