package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// Archive stores the fingerprints and the parts that a Ledger refuses and the evidence of crashes, so that the bounds on crashes
// hold when entry VMs restart, at once or in turn. The store is read once, at the start, and written only when a refusal or the
// evidence changes. No request waits for the store.
type Archive struct {
	opts            ArchiveOptions
	pending         chan archiveChange
	written         []writtenRefusal
	evidenceChanged chan struct{}
	evidence        storedEvidence
	evidenceLost    atomic.Bool   // evidence may not be what is stored
	loaded          chan struct{} // closed when the ledger has everything that is stored
}

// ArchiveOptions configures an Archive. Store and Ledger are required.
type ArchiveOptions struct {
	Store  store.Store
	Ledger *Ledger
	VM     string // name of this entry VM, also of its earlier processes; empty: no evidence is stored
	// AwaitEraChange waits until the store has been set back to a copy, so that it is in a later era than after, and returns the
	// era; nil: that does not happen.
	AwaitEraChange func(ctx context.Context, after uint64) (uint64, error)
	// Expiry is how long the refusal of a fingerprint is kept; default 10 min, as in a Ledger.
	Expiry time.Duration
	Clock  store.Clock
	Log    *zap.Logger
}

// Kinds of the objects. Their names are fingerprints and parts in hexadecimal.
const (
	archiveKind     = "crashing-requests"
	partArchiveKind = "crashing-parts"
)

const (
	archiveQueueCapacity = 64             // changes waiting to be written; few, since a refusal takes three crashes
	archiveWriteAttempts = 6              // attempts per write; with the store's back-off they take about a second
	archiveSweepInterval = time.Minute    // between two removals of expired refusals
	partArchiveExpiry    = 24 * time.Hour // of the refusal of a part, which is tried again before
)

// archiveChange is an object to be written, or to be removed if the refusal has no crashes.
type archiveChange struct {
	kind, name string
	refusal    storedRefusal
}

// storedRefusal is the stored form of a refusal.
type storedRefusal struct {
	Crashes []uint32 `json:"crashes"`
	AtMS    int64    `json:"at_ms"` // Unix milliseconds
	// Only for parts:
	Mates       []PartID `json:"mates,omitempty"`
	Trials      int      `json:"trials,omitempty"`
	NextTrialMS int64    `json:"next_trial_ms,omitempty"` // Unix milliseconds
}

type writtenRefusal struct {
	kind, name string
	version    uint64
	at         time.Time
}

// NewArchive returns an Archive. It reads and writes nothing until Run is called.
func NewArchive(o ArchiveOptions) *Archive {
	setDefault(&o.Expiry, defaultExpiry)
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Archive{
		opts: o, pending: make(chan archiveChange, archiveQueueCapacity), evidenceChanged: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
}

// Loaded returns a channel that is closed when the ledger has everything that is stored.
func (a *Archive) Loaded() <-chan struct{} { return a.loaded }

// Enqueue queues a refused fingerprint to be written. It does not block; if the queue is full, the refusal is not
// written.
func (a *Archive) Enqueue(fp Fingerprint, crashes []uint32) {
	a.enqueue(archiveChange{archiveKind, objectName(uint64(fp)), storedRefusal{Crashes: crashes}})
}

// Remove queues the removal of a fingerprint that is no longer refused.
func (a *Archive) Remove(fp Fingerprint) {
	a.enqueue(archiveChange{kind: archiveKind, name: objectName(uint64(fp))})
}

// EnqueuePart is like Enqueue, for a refused part.
func (a *Archive) EnqueuePart(s RefusedPart) {
	a.enqueue(partChange(s))
}

func partChange(s RefusedPart) archiveChange {
	return archiveChange{partArchiveKind, objectName(uint64(s.Part)), storedRefusal{
		Crashes: s.Crashes, Mates: s.Mates, Trials: s.Trials, NextTrialMS: s.NextTrial.UnixMilli(),
	}}
}

// RemovePart queues the removal of a part that is no longer refused.
func (a *Archive) RemovePart(part PartID) {
	a.enqueue(archiveChange{kind: partArchiveKind, name: objectName(uint64(part))})
}

func (a *Archive) enqueue(c archiveChange) {
	select {
	case a.pending <- c:
	default:
		a.opts.Log.Warn("refusal not archived", zap.String("kind", c.kind), zap.String("name", c.name), zap.String("why", "queue is full"))
	}
}

func objectName(id uint64) string { return strconv.FormatUint(id, 16) }

// Run passes what is stored to the ledger and then writes queued refusals and changed evidence until ctx ends.
func (a *Archive) Run(ctx context.Context) error {
	load := func(kind string, expiry time.Duration, restore func(uint64, *storedRefusal)) bool {
		return a.retryLoad(ctx, kind, func() error { return a.load(ctx, kind, expiry, restore) })
	}
	if !load(archiveKind, a.opts.Expiry, a.restoreFingerprint) || !load(partArchiveKind, partArchiveExpiry, a.restorePart) ||
		!a.retryLoad(ctx, evidenceKind, func() error { return a.loadEvidence(ctx) }) {
		return nil
	}
	close(a.loaded)
	var evidence sync.WaitGroup
	defer evidence.Wait()
	if a.opts.VM != "" {
		evidence.Go(func() { a.keepEvidence(ctx) })
	}
	t := time.NewTicker(archiveSweepInterval)
	defer t.Stop()
	restored := make(chan struct{}, 1)
	if a.opts.AwaitEraChange != nil {
		go a.awaitRestorations(ctx, restored)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-restored:
			a.rewriteEvidence()
			a.writeLost(ctx)
		case c := <-a.pending:
			if len(c.refusal.Crashes) == 0 {
				a.removeCurrent(ctx, c)
			} else {
				a.write(ctx, c)
			}
		case <-t.C:
			a.sweep(ctx)
		}
	}
}

func (a *Archive) restoreFingerprint(id uint64, v *storedRefusal) {
	for _, crash := range v.Crashes[:min(len(v.Crashes), a.opts.Ledger.opts.Limit)] {
		a.opts.Ledger.Receive(Fingerprint(id), max(crash, firstCrash))
	}
}

func (a *Archive) restorePart(id uint64, v *storedRefusal) {
	const maxCrashes, maxMates = 16, 64 // bounds of what another writer may have stored
	a.opts.Ledger.Parts().Restore(RefusedPart{
		Part: PartID(id), Mates: v.Mates[:min(len(v.Mates), maxMates)], Crashes: v.Crashes[:min(len(v.Crashes), maxCrashes)], Trials: v.Trials,
		NextTrial: time.UnixMilli(v.NextTrialMS),
	})
}

// maxLoadBackoff is the exponent of the longest pause between two attempts to load, 800 ms: a VM that starts is not ready before.
const maxLoadBackoff = 4

// retryLoad calls load until it succeeds. It returns false if ctx has ended.
func (a *Archive) retryLoad(ctx context.Context, kind string, load func() error) bool {
	for failures := 0; ; failures++ {
		err := load()
		if err == nil {
			return true
		}
		a.opts.Log.Info("archive of crashes not read", zap.String("kind", kind), zap.Int("failures", failures+1), zap.Error(err))
		if a.opts.Clock.Sleep(ctx, store.Backoff(min(failures+1, maxLoadBackoff))) != nil {
			return false
		}
	}
}

// load reads the refusals of a kind and passes those in force to restore.
func (a *Archive) load(ctx context.Context, kind string, expiry time.Duration, restore func(uint64, *storedRefusal)) error {
	list, _, err := a.opts.Store.List(ctx, kind, "")
	if err != nil && !errors.Is(err, store.ErrNotFound) { // ErrNotFound: the kind has no objects
		return err
	}
	now := a.opts.Clock.Now()
	loaded := 0
	for i := range list {
		o := &list[i]
		var v storedRefusal
		id, err := strconv.ParseUint(o.Name, 16, 64)
		if err == nil {
			err = json.Unmarshal(o.Value, &v)
		}
		if err != nil || now.Sub(time.UnixMilli(v.AtMS)) > expiry {
			a.remove(ctx, kind, o.Name, o.Version) // the entry VM that wrote it may be gone
			continue
		}
		restore(id, &v)
		loaded++
	}
	a.opts.Log.Info("archive of refusals read", zap.String("kind", kind), zap.Int("objects", len(list)), zap.Int("in_force", loaded))
	return nil
}

// awaitRestorations signals each restoration of the store after a random delay, so that one entry VM writes what the others then
// find there.
func (a *Archive) awaitRestorations(ctx context.Context, restored chan<- struct{}) {
	const maxDelay = 2 * time.Second
	for era := uint64(0); ; {
		var err error
		if era, err = a.opts.AwaitEraChange(ctx, era); err != nil || a.opts.Clock.Sleep(ctx, rand.N(maxDelay)) != nil {
			return
		}
		select {
		case restored <- struct{}{}:
		default: // one signal is pending
		}
	}
}

// writeLost writes the refusals in force that the store does not have, after it was set back to a copy.
func (a *Archive) writeLost(ctx context.Context) {
	var changes []archiveChange
	for fp, crashes := range a.opts.Ledger.Refused() {
		changes = append(changes, archiveChange{archiveKind, objectName(uint64(fp)), storedRefusal{Crashes: crashes}})
	}
	for _, s := range a.opts.Ledger.Parts().Refused() {
		changes = append(changes, partChange(s))
	}
	if len(changes) == 0 {
		return
	}
	stored := map[string]bool{}
	for _, kind := range []string{archiveKind, partArchiveKind} {
		list, err := a.listSoon(ctx, kind)
		if err != nil {
			a.opts.Log.Warn("lost refusals not written again", zap.Error(err)) // other entry VMs try as well
			return
		}
		for _, o := range list {
			stored[kind+"/"+o.Name] = true
		}
	}
	for _, c := range changes {
		if !stored[c.kind+"/"+c.name] {
			a.write(ctx, c)
		}
	}
}

// listSoon lists a kind, with some retries.
func (a *Archive) listSoon(ctx context.Context, kind string) ([]store.Object, error) {
	var err error
	for try := range archiveWriteAttempts {
		var list []store.Object
		if list, _, err = a.opts.Store.List(ctx, kind, ""); err == nil {
			return list, nil
		}
		if errors.Is(err, store.ErrNotFound) {
			return nil, nil
		}
		if a.opts.Clock.Sleep(ctx, store.Backoff(try+1)) != nil {
			break
		}
	}
	return nil, err
}

// write writes a refusal. It replaces the stored refusal of a part, whose trials change.
func (a *Archive) write(ctx context.Context, c archiveChange) {
	now := a.opts.Clock.Now()
	c.refusal.AtMS = now.UnixMilli()
	value, err := json.Marshal(c.refusal)
	if err != nil {
		a.opts.Log.Error("refusal not archived", zap.Error(err)) // can't happen: all fields are numbers
		return
	}
	o := store.Object{Kind: c.kind, Name: c.name, Value: value}
	var version uint64
	for try := range archiveWriteAttempts {
		version, err = a.opts.Store.Put(ctx, o)
		if errors.Is(err, store.ErrConflict) && c.kind == partArchiveKind {
			o.Version, err = a.currentVersion(ctx, c)
			if err == nil {
				version, err = a.opts.Store.Put(ctx, o)
			}
		}
		if err == nil || errors.Is(err, store.ErrConflict) || a.opts.Clock.Sleep(ctx, store.Backoff(try+1)) != nil {
			break
		}
	}
	a.opts.Log.Info("refusal archived", zap.String("kind", c.kind), zap.String("name", c.name), zap.Error(err))
	if err == nil {
		a.written = slices.DeleteFunc(a.written, func(w writtenRefusal) bool { return w.kind == c.kind && w.name == c.name })
		a.written = append(a.written, writtenRefusal{c.kind, c.name, version, now})
	}
}

// currentVersion returns the version of a stored refusal, or 0 if there is none.
func (a *Archive) currentVersion(ctx context.Context, c archiveChange) (uint64, error) {
	o, err := a.opts.Store.Get(ctx, c.kind, c.name)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return o.Version, err
}

// removeCurrent removes a refusal whichever entry VM wrote it.
func (a *Archive) removeCurrent(ctx context.Context, c archiveChange) {
	for try := range archiveWriteAttempts {
		version, err := a.currentVersion(ctx, c)
		if err == nil && version == 0 {
			return
		}
		if err == nil {
			err = a.opts.Store.Delete(ctx, c.kind, c.name, version)
		}
		if err == nil || errors.Is(err, store.ErrNotFound) || a.opts.Clock.Sleep(ctx, store.Backoff(try+1)) != nil {
			return
		}
	}
	a.opts.Log.Info("refusal not removed", zap.String("kind", c.kind), zap.String("name", c.name)) // it expires
}

// sweep removes expired refusals that this entry VM wrote. Those of entry VMs that are gone are removed when an entry
// VM next starts.
func (a *Archive) sweep(ctx context.Context) {
	now := a.opts.Clock.Now()
	a.written = slices.DeleteFunc(a.written, func(w writtenRefusal) bool {
		expiry := a.opts.Expiry
		if w.kind == partArchiveKind {
			expiry = partArchiveExpiry
		}
		if now.Sub(w.at) <= expiry {
			return false
		}
		a.remove(ctx, w.kind, w.name, w.version)
		return true
	})
}

func (a *Archive) remove(ctx context.Context, kind, name string, version uint64) {
	if err := a.opts.Store.Delete(ctx, kind, name, version); err != nil && !errors.Is(err, store.ErrNotFound) {
		a.opts.Log.Info("expired refusal not removed", zap.String("kind", kind), zap.String("name", name), zap.Error(err)) // retried at the next start
	}
}
