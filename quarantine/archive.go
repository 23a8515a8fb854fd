package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// Archive stores the fingerprints that a Ledger refuses, so that the bound on crashes holds when all entry VMs restart
// at once. The store is read once, at the start, and written only when a fingerprint becomes refused. No request waits
// for the store.
type Archive struct {
	opts    ArchiveOptions
	pending chan pendingRefusal
	written []writtenRefusal
}

// ArchiveOptions configures an Archive. Store and Ledger are required.
type ArchiveOptions struct {
	Store  store.Store
	Ledger *Ledger
	// Expiry is how long a refusal is kept; default 10 min, as in a Ledger.
	Expiry time.Duration
	Clock  store.Clock
	Log    *zap.Logger
}

// archiveKind is the kind of the objects. Their names are fingerprints in hexadecimal.
const archiveKind = "crashing-requests"

const (
	archiveQueueCapacity = 64          // refusals waiting to be written; few, since each takes three crashes
	archiveWriteAttempts = 6           // attempts per write; with the store's back-off they take about a second
	archiveSweepInterval = time.Minute // between two removals of expired refusals
)

type pendingRefusal struct {
	fp      Fingerprint
	crashes []uint32
}

// storedRefusal is the stored form of a refusal.
type storedRefusal struct {
	Crashes []uint32 `json:"crashes"`
	AtMS    int64    `json:"at_ms"` // Unix milliseconds
}

type writtenRefusal struct {
	name    string
	version uint64
	at      time.Time
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
	return &Archive{opts: o, pending: make(chan pendingRefusal, archiveQueueCapacity)}
}

// Enqueue queues a refused fingerprint to be written. It does not block; if the queue is full, the refusal is not
// written.
func (a *Archive) Enqueue(fp Fingerprint, crashes []uint32) {
	select {
	case a.pending <- pendingRefusal{fp, crashes}:
	default:
		a.opts.Log.Warn("refusal not archived", zap.Uint64("fingerprint", uint64(fp)), zap.String("why", "queue is full"))
	}
}

// Run passes the stored refusals to the ledger and then writes queued refusals until ctx ends.
func (a *Archive) Run(ctx context.Context) error {
	for failures := 0; ; failures++ {
		err := a.load(ctx)
		if err == nil {
			break
		}
		a.opts.Log.Info("archive of refusals not read", zap.Int("failures", failures+1), zap.Error(err))
		if a.opts.Clock.Sleep(ctx, store.Backoff(failures+1)) != nil {
			return nil
		}
	}
	t := time.NewTicker(archiveSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-a.pending:
			a.write(ctx, r)
		case <-t.C:
			a.sweep(ctx)
		}
	}
}

func (a *Archive) load(ctx context.Context) error {
	list, _, err := a.opts.Store.List(ctx, archiveKind, "")
	if err != nil && !errors.Is(err, store.ErrNotFound) { // ErrNotFound: the kind has no objects
		return err
	}
	now := a.opts.Clock.Now()
	loaded := 0
	for i := range list {
		o := &list[i]
		var v storedRefusal
		fp, err := strconv.ParseUint(o.Name, 16, 64)
		if err == nil {
			err = json.Unmarshal(o.Value, &v)
		}
		if err != nil || now.Sub(time.UnixMilli(v.AtMS)) > a.opts.Expiry {
			a.remove(ctx, o.Name, o.Version) // the entry VM that wrote it may be gone
			continue
		}
		for _, id := range v.Crashes[:min(len(v.Crashes), a.opts.Ledger.opts.Limit)] {
			a.opts.Ledger.Receive(Fingerprint(fp), max(id, firstCrash))
		}
		loaded++
	}
	a.opts.Log.Info("archive of refusals read", zap.Int("objects", len(list)), zap.Int("in_force", loaded))
	return nil
}

func (a *Archive) write(ctx context.Context, r pendingRefusal) {
	now := a.opts.Clock.Now()
	value, err := json.Marshal(storedRefusal{r.crashes, now.UnixMilli()})
	if err != nil {
		a.opts.Log.Error("refusal not archived", zap.Error(err)) // can't happen: all fields are numbers
		return
	}
	name := strconv.FormatUint(uint64(r.fp), 16)
	var version uint64
	for try := range archiveWriteAttempts {
		version, err = a.opts.Store.Put(ctx, store.Object{Kind: archiveKind, Name: name, Value: value})
		if err == nil || errors.Is(err, store.ErrConflict) || a.opts.Clock.Sleep(ctx, store.Backoff(try+1)) != nil {
			break
		}
	}
	a.opts.Log.Info("refusal archived", zap.Uint64("fingerprint", uint64(r.fp)), zap.Error(err))
	if err == nil {
		a.written = append(a.written, writtenRefusal{name, version, now})
	}
}

// sweep removes expired refusals that this entry VM wrote. Those of entry VMs that are gone are removed when an entry
// VM next starts.
func (a *Archive) sweep(ctx context.Context) {
	now := a.opts.Clock.Now()
	for len(a.written) > 0 && now.Sub(a.written[0].at) > a.opts.Expiry {
		a.remove(ctx, a.written[0].name, a.written[0].version)
		a.written = a.written[1:]
	}
}

func (a *Archive) remove(ctx context.Context, name string, version uint64) {
	if err := a.opts.Store.Delete(ctx, archiveKind, name, version); err != nil && !errors.Is(err, store.ErrNotFound) {
		a.opts.Log.Info("expired refusal not removed", zap.String("name", name), zap.Error(err)) // retried at the next start
	}
}
