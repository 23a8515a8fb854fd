// Package catalog holds an entry VM's copy of the operator's configuration and of the upstreams that registered themselves
// in the store.
//
// Both are watched in the store. While the store is unreachable, a newer state is fetched from a peer that has one. A
// request never waits for these reads.
//
// Invariants: the configuration's version never decreases within a process; an upstream that has reported that it leaves
// does not become available again under the same identifier and process start; entries that are missing right after an
// outage of the store are kept until their upstreams have had the time to register again.
package catalog

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Entry is an upstream that registered itself.
type Entry struct {
	ID          string
	StartTimeMS int64 // start time of the process as the upstream reports it; distinguishes two starts under one identifier
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Leaving     bool
	Role        topo.Role
	Models      []string
	Version     string // of the upstream's software; empty: not stated, or unreadable
	Preemptible bool   // the platform may take the upstream away at short notice
	// LeavesIn is the time that remained when the upstream first stated it; 0: not stated.
	LeavesIn time.Duration
}

// Decoder decodes stored values.
type Decoder interface {
	Configuration(value []byte) (*routes.Table, error)
	// Entry returns an error for a value that describes no usable upstream.
	Entry(name string, value []byte) (Entry, error)
}

// KeyHider is a Decoder for configurations that contain secret keys.
type KeyHider interface {
	// HideKeys returns a configuration that can be decoded like the given one and contains no keys. It is kept and passed to peers.
	HideKeys(value []byte) []byte
}

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Configuration string
	Name          string // name of the object that holds the configuration
	Upstreams     string
}

// Options configures a Catalog. Store, Decoder and Kinds are required.
type Options struct {
	Store   store.Store
	Decoder Decoder
	Kinds   Kinds
	// ReturnGrace is the time after an outage for which missing entries are kept.
	ReturnGrace time.Duration
	// Peers fetches states from peers; nil: no peers.
	Peers Peers
	// Watchers returns the addresses of the entry VMs that watch the store for this one, in order of preference, or none
	// if this one watches the store itself. nil: always none.
	Watchers func() []string
	Log      *zap.Logger
	Clock    store.Clock
	// OnAdopted is called with each new store revision that takes effect on this VM. It must not block.
	OnAdopted func(revision uint64)
	// OnPlans is called with the plans for software versions that a peer has sent. It must not block.
	OnPlans func(revision uint64, value []byte, from string)
	// OnContact is called with each answer of the store, or of a peer that reaches the store. It must not block.
	OnContact func()
}

// DefaultReturnGrace is slightly more than the two seconds within which upstreams register again after an outage.
const DefaultReturnGrace = 2050 * time.Millisecond

// State is the configuration and the upstreams in force. It is immutable.
type State struct {
	Table   *routes.Table // nil before the first configuration
	Entries []Entry       // sorted by identifier
}

// Catalog keeps State up to date with the store while Run runs.
type Catalog struct {
	opts Options

	mu               sync.Mutex
	table            *routes.Table
	rawTable         []byte // without keys if the decoder is a KeyHider
	revision         uint64 // highest store revision in force on this VM
	listedRevision   uint64 // store revision of the last list of upstreams, or of the events applied since
	entries          map[string]*record
	leavingStarts    map[string]time.Time // by startKey: when the start was last recorded as leaving
	unreadable       map[string]bool      // names of entries that can't be read, which were logged
	goneStarts       map[string]goneStart // by startKey: starts whose entry was removed
	eraListRevision  uint64               // store revision of the first list of upstreams in the store's present era
	eraSince         time.Time            // when the store's present era was first seen; zero: it was never restored
	peerChecks       int                  // states of peers still to be fetched because the store's copy may be older
	listed           map[string]bool      // kinds for which a complete list was received
	observers        []func(State)
	unreachableSince map[string]time.Time // by kind: when the current outage was recorded
	reachableSince   map[string]time.Time // by kind: when the last outage ended
	unanswered       map[string]bool      // kinds whose last call the store left unanswered
	followedAt       time.Time            // last call of a follower
	confirmed        time.Time            // when the store last answered that the configuration here is its own
	boot             uint64               // random identifier of this process; generations of two processes do not compare
	generation       uint64               // number of the last change of the local state or confirmation, for followers
	stateGeneration  uint64               // generation of the last change of the local state
	tableGeneration  uint64               // generation at which table changed
	plans            []byte               // stored plans for software versions, passed on to followers
	plansRevision    uint64
	plansGeneration  uint64        // generation at which plans changed
	changed          chan struct{} // closed when generation increases or the store becomes unreachable
	following        bool          // the state comes from a watcher; this VM does not watch the store
	watchersAssigned bool          // other entry VMs are assigned to watch the store for this one
}

// record is an entry with its stored value and its bookkeeping.
type record struct {
	entry      Entry
	value      []byte
	version    uint64
	missing    time.Time // since when the store no longer has the entry; zero while the store has it
	generation uint64    // Catalog.generation at the last change
	heldBack   bool      // the entry is in a copy of the store from before its removal; it counts as leaving
}

// goneStart is a start of an upstream whose entry was removed in an era of the store.
type goneStart struct {
	at  time.Time
	era uint64
}

var (
	tableVersion     = metrics.NewGauge("bergamot_configuration_version", nil)
	upstreamsKnown   = metrics.NewGauge("bergamot_upstreams_known", nil)
	unreadableValues = metrics.NewCounter("bergamot_store_entries_unreadable_total")
	storeLosses      = metrics.NewCounter("bergamot_store_losses_total")
)

// New returns a Catalog without a configuration or upstreams.
func New(o Options) *Catalog {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	if o.ReturnGrace <= 0 {
		o.ReturnGrace = DefaultReturnGrace
	}
	if o.OnAdopted == nil {
		o.OnAdopted = func(uint64) {}
	}
	if o.OnPlans == nil {
		o.OnPlans = func(uint64, []byte, string) {}
	}
	if o.OnContact == nil {
		o.OnContact = func() {}
	}
	return &Catalog{
		opts: o, entries: map[string]*record{}, leavingStarts: map[string]time.Time{}, unreadable: map[string]bool{}, goneStarts: map[string]goneStart{}, unreachableSince: map[string]time.Time{},
		reachableSince: map[string]time.Time{}, unanswered: map[string]bool{}, listed: map[string]bool{}, changed: make(chan struct{}),
		boot: rand.Uint64(),
	}
}

// State returns the configuration and the upstreams in force.
func (c *Catalog) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

func (c *Catalog) state() State {
	s := State{Table: c.table}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		s.Entries = append(s.Entries, c.entries[id].entry)
	}
	return s
}

// Table returns the configuration in force, or nil.
func (c *Catalog) Table() *routes.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Confirmed returns the time since the store last answered that the configuration here is its own, to this VM or to a peer that has told
// it. ok is false before the first answer.
func (c *Catalog) Confirmed() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed.IsZero() {
		return 0, false
	}
	return c.opts.Clock.Now().Sub(c.confirmed), true
}

// Subscribe calls f with the current state and then with each new one, in order. f must not block.
func (c *Catalog) Subscribe(f func(State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observers = append(c.observers, f)
	f(c.state())
}

// update runs f under the lock and calls the observers if f returns true, which means that the state changed.
func (c *Catalog) update(f func(now time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.revision
	c.generation++ // the generation of the changes that f makes
	changed := f(c.opts.Clock.Now())
	if c.revision > before {
		c.opts.OnAdopted(c.revision)
	}
	if !changed {
		c.generation--
		return
	}
	c.stateGeneration = c.generation
	c.wakeFollowers()
	upstreamsKnown.Set(float64(len(c.entries)))
	s := c.state()
	for _, f := range c.observers {
		f(s)
	}
}

// peerChecksPerEra is how many states of peers a VM fetches after each restoration of the store, and after its start if there was
// one before. Two, since one peer may have started or been cut off as well.
const peerChecksPerEra = 2

// noteRevision records a store revision in force. In a later era of the store, entries may be missing that the store has lost,
// and others may be back that were removed. The lock must be held.
func (c *Catalog) noteRevision(now time.Time, revision uint64) {
	if era := store.EraOf(revision); era > store.EraOf(c.revision) {
		c.eraSince, c.peerChecks = now, peerChecksPerEra
		if c.revision > 0 {
			c.opts.Log.Warn("store restored; entries that it lost are kept for a while", zap.Uint64("era", era), zap.Uint64("revision", c.revision))
			for _, kind := range []string{c.opts.Kinds.Configuration, c.opts.Kinds.Upstreams} {
				c.reachableSince[kind] = now
			}
		}
	}
	c.revision = max(c.revision, revision)
}

// wakeFollowers wakes the Export calls of followers that wait for a change. The lock must be held.
func (c *Catalog) wakeFollowers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// adoptConfiguration decodes a configuration and puts it in force if it is newer than the current one. It reports whether
// the configuration was put in force.
func (c *Catalog) adoptConfiguration(value []byte, from string) bool {
	t, err := c.opts.Decoder.Configuration(value)
	if err != nil {
		unreadableValues.Inc()
		c.opts.Log.Error("configuration unreadable", zap.String("from", from), zap.Error(err))
		return false
	}
	if c.table != nil && t.Version <= c.table.Version {
		return false
	}
	old := uint64(0)
	if c.table != nil {
		old = c.table.Version
	}
	raw := value
	if h, ok := c.opts.Decoder.(KeyHider); ok {
		raw = h.HideKeys(value)
	}
	c.table, c.rawTable, c.tableGeneration = t, slices.Clone(raw), c.generation
	tableVersion.Set(float64(t.Version))
	c.opts.Log.Info("configuration in force", zap.Uint64("version", t.Version), zap.Uint64("before", old),
		zap.Int("routes", len(t.Routes)), zap.Int("services", len(t.Services)), zap.String("from", from))
	return true
}

// adoptEntry decodes an entry received from the store or a peer and records it unless it is older than the recorded one. It
// reports whether the state changed.
func (c *Catalog) adoptEntry(now time.Time, name string, version uint64, value []byte, from string) bool {
	old := c.entries[name]
	if old != nil && version < old.version {
		return false
	}
	e, err := c.opts.Decoder.Entry(name, value)
	if err != nil {
		unreadableValues.Inc()
		c.logUnreadable(name, from, err)
		return old != nil && c.drop(now, name, "unreadable entry")
	}
	delete(c.unreadable, name)
	heldBack := c.isHeldBack(&e, version)
	if _, leaving := c.leavingStarts[startKey(e)]; leaving {
		e.Leaving = true // a start that was leaving stays so
	}
	if e.Leaving {
		c.leavingStarts[startKey(e)] = now
	}
	e.Leaving = e.Leaving || heldBack
	if old != nil {
		returned := !old.missing.IsZero()
		old.missing = time.Time{}
		old.version, old.value, old.heldBack = version, slices.Clone(value), heldBack
		if sameEntry(old.entry, e) {
			if returned { // followers may have removed it
				old.generation = c.generation
			}
			return returned
		}
	}
	c.entries[name] = &record{entry: e, version: version, value: slices.Clone(value), generation: c.generation, heldBack: heldBack}
	c.opts.Log.Info("upstream", zap.String("upstream", name), zap.String("service", e.Service), zap.String("address", e.Address),
		zap.String("version", e.Version), zap.String("role", string(e.Role)), zap.Bool("leaving", e.Leaving), zap.Uint64("revision", version), zap.String("from", from))
	return true
}

// maxUnreadable bounds the names of entries that are logged once until they can be read again.
const maxUnreadable = 256

// logUnreadable logs an entry that can't be read, once, since its writer may write it again several times a second.
func (c *Catalog) logUnreadable(name, from string, err error) {
	if c.unreadable[name] || len(c.unreadable) >= maxUnreadable {
		return
	}
	c.unreadable[name] = true
	c.opts.Log.Warn("upstream entry unreadable", zap.String("upstream", name), zap.String("from", from), zap.String("error", firstLine(err)))
}

// isHeldBack reports whether an entry was removed in an earlier era of the store than that in which it is back. It may be in the
// store's copy only; it is used again if the upstream registers anew or keeps the entry for heldBackTime.
func (c *Catalog) isHeldBack(e *Entry, version uint64) bool {
	gone, ok := c.goneStarts[startKey(*e)]
	if !ok {
		return false
	}
	if store.EraOf(version) > gone.era && version <= c.eraListRevision {
		return true
	}
	delete(c.goneStarts, startKey(*e))
	return false
}

// heldBackTime is longer than the store keeps the entry of an upstream that does not renew it, three heartbeats.
const heldBackTime = 10 * time.Second

// startKey identifies one process start of an upstream.
func startKey(e Entry) string {
	return e.ID + "@" + time.UnixMilli(e.StartTimeMS).UTC().Format(time.RFC3339Nano)
}

// sameEntry ignores the value of LeavesIn, which differs in each heartbeat of an upstream that is taken away.
func sameEntry(a, b Entry) bool {
	return a.StartTimeMS == b.StartTimeMS && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Version == b.Version && a.Leaving == b.Leaving && a.LeavesIn > 0 == (b.LeavesIn > 0) && a.Preemptible == b.Preemptible && a.Role == b.Role && slices.Equal(a.Models, b.Models)
}

// drop removes an entry and reports whether it existed.
func (c *Catalog) drop(now time.Time, name, why string) bool {
	r, ok := c.entries[name]
	if !ok {
		return false
	}
	delete(c.entries, name)
	c.goneStarts[startKey(r.entry)] = goneStart{now, store.EraOf(c.revision)}
	if r.entry.Leaving && !r.heldBack {
		c.leavingStarts[startKey(r.entry)] = now
	}
	c.opts.Log.Info("upstream gone", zap.String("upstream", name), zap.String("service", r.entry.Service), zap.String("why", why))
	return true
}

// handleDeletion removes an entry that the store no longer has and reports whether the state changed. Right after an outage
// it only marks the entry as missing, because the entry may have expired only because the upstream could not renew it;
// expire removes it if it does not return.
func (c *Catalog) handleDeletion(now time.Time, name string) bool {
	delete(c.unreadable, name)
	r, ok := c.entries[name]
	if !ok {
		return false
	}
	if c.recovering(now) && !r.entry.Leaving {
		if r.missing.IsZero() {
			r.missing = now
			c.opts.Log.Info("upstream missing after an outage of the store", zap.String("upstream", name))
		}
		return false
	}
	return c.drop(now, name, "entry removed")
}

// recovering reports whether the store is unreachable, or was so recently that upstreams may not have registered again yet.
func (c *Catalog) recovering(now time.Time) bool {
	if len(c.unreachableSince) > 0 {
		return true
	}
	for _, at := range c.reachableSince {
		if now.Sub(at) < c.opts.ReturnGrace {
			return true
		}
	}
	return false
}

// expire drops entries that are still missing after ReturnGrace, and forgets leaving starts after leavingRetention.
func (c *Catalog) expire(now time.Time) bool {
	if c.recovering(now) {
		return false
	}
	changed := false
	for name, r := range c.entries {
		if !r.missing.IsZero() {
			changed = c.drop(now, name, "not registered again after an outage") || changed
		}
	}
	for name, r := range c.entries {
		switch {
		case r.heldBack && now.Sub(c.eraSince) > heldBackTime:
			delete(c.goneStarts, startKey(r.entry))
			changed = c.adoptEntry(now, name, r.version, r.value, "kept in the restored store") || changed
		case r.entry.Leaving && !r.heldBack:
			c.leavingStarts[startKey(r.entry)] = now // keeps the key while the start is registered
		}
	}
	for s, gone := range c.goneStarts {
		if now.Sub(gone.at) > leavingRetention {
			delete(c.goneStarts, s)
		}
	}
	for s, at := range c.leavingStarts {
		if now.Sub(at) > leavingRetention {
			delete(c.leavingStarts, s)
		}
	}
	return changed
}

// leavingRetention is how long the key of a leaving start is kept after its entry is gone. Stale reads and peers lag by seconds.
const leavingRetention = 5 * time.Minute

// MarkLeaving records that one start of an upstream takes no more work, as reported by a source other than the store,
// such as the upstream itself. Neither the store nor a peer undoes it.
func (c *Catalog) MarkLeaving(id string, startTimeMS int64, from string) {
	c.update(func(now time.Time) bool {
		c.leavingStarts[startKey(Entry{ID: id, StartTimeMS: startTimeMS})] = now
		r, ok := c.entries[id]
		if !ok || r.entry.Leaving && !r.heldBack || r.entry.StartTimeMS != startTimeMS {
			return false
		}
		c.markLeaving(now, r)
		c.opts.Log.Info("upstream", zap.String("upstream", id), zap.String("service", r.entry.Service), zap.Bool("leaving", true),
			zap.String("from", from))
		return true
	})
}

func (c *Catalog) markLeaving(now time.Time, r *record) {
	r.entry.Leaving, r.heldBack, r.generation = true, false, c.generation
	c.leavingStarts[startKey(r.entry)] = now
}

// firstLine returns the first line of an error's text, at most 160 bytes, for log fields.
func firstLine(err error) string {
	s := err.Error()
	if i := strings.IndexByte(s, '\n'); i > 0 {
		s = s[:i]
	}
	return s[:min(len(s), 160)]
}
