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

// Archive keeps in the store which fingerprints a Ledger refuses, so that the bound holds when all entry VMs start anew at once. It is read once,
// at the start, and written only when a fingerprint is refused: nothing on the path of a request waits for it.
type Archive struct {
	opts    ArchiveOptions
	pending chan refusedRecord
	written []storedRefusal
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
	archivePending = 64          // refusals that wait to be written; three servers have ended for each
	archiveTries   = 6           // of a write; with the store's back-off they last about a second
	archiveSweep   = time.Minute // between two looks for what has expired
)

type refusedRecord struct {
	fp      Fingerprint
	crashes []uint32
}

// archived is the stored form.
type archived struct {
	Crashes []uint32 `json:"crashes"`
	AtMS    int64    `json:"at_ms"` // Unix milliseconds
}

type storedRefusal struct {
	name    string
	version uint64
	at      time.Time
}

// NewArchive returns an Archive. Run must run.
func NewArchive(o ArchiveOptions) *Archive {
	positive(&o.Expiry, defaultExpiry)
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Archive{opts: o, pending: make(chan refusedRecord, archivePending)}
}

// Refused notes that a fingerprint is refused from now on. It does not wait.
func (a *Archive) Refused(fp Fingerprint, crashes []uint32) {
	select {
	case a.pending <- refusedRecord{fp, crashes}:
	default:
		a.opts.Log.Warn("refusal not archived", zap.Uint64("fingerprint", uint64(fp)), zap.String("why", "too many wait"))
	}
}

// Run reads what was archived, and then writes until ctx ends.
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
	t := time.NewTicker(archiveSweep)
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
	if err != nil && !errors.Is(err, store.ErrNotFound) { // a kind without objects
		return err
	}
	now := a.opts.Clock.Now()
	taken := 0
	for i := range list {
		o := &list[i]
		var v archived
		fp, err := strconv.ParseUint(o.Name, 16, 64)
		if err == nil {
			err = json.Unmarshal(o.Value, &v)
		}
		if err != nil || now.Sub(time.UnixMilli(v.AtMS)) > a.opts.Expiry {
			a.remove(ctx, o.Name, o.Version) // nobody else will, if its writer is gone
			continue
		}
		for _, id := range v.Crashes[:min(len(v.Crashes), a.opts.Ledger.opts.Limit)] {
			a.opts.Ledger.Heard(Fingerprint(fp), max(id, firstCrash))
		}
		taken++
	}
	a.opts.Log.Info("archive of refusals read", zap.Int("objects", len(list)), zap.Int("in_force", taken))
	return nil
}

func (a *Archive) write(ctx context.Context, r refusedRecord) {
	now := a.opts.Clock.Now()
	value, err := json.Marshal(archived{r.crashes, now.UnixMilli()})
	if err != nil {
		a.opts.Log.Error("refusal not archived", zap.Error(err)) // numbers alone do not cause it
		return
	}
	name := strconv.FormatUint(uint64(r.fp), 16)
	var version uint64
	for try := range archiveTries {
		version, err = a.opts.Store.Put(ctx, store.Object{Kind: archiveKind, Name: name, Value: value})
		if err == nil || errors.Is(err, store.ErrConflict) || a.opts.Clock.Sleep(ctx, store.Backoff(try+1)) != nil {
			break
		}
	}
	a.opts.Log.Info("refusal archived", zap.Uint64("fingerprint", uint64(r.fp)), zap.Error(err))
	if err == nil {
		a.written = append(a.written, storedRefusal{name, version, now})
	}
}

// sweep removes what this entry VM wrote and has expired. What others leave behind is removed at the next start of an entry VM.
func (a *Archive) sweep(ctx context.Context) {
	now := a.opts.Clock.Now()
	for len(a.written) > 0 && now.Sub(a.written[0].at) > a.opts.Expiry {
		a.remove(ctx, a.written[0].name, a.written[0].version)
		a.written = a.written[1:]
	}
}

func (a *Archive) remove(ctx context.Context, name string, version uint64) {
	if err := a.opts.Store.Delete(ctx, archiveKind, name, version); err != nil && !errors.Is(err, store.ErrNotFound) {
		a.opts.Log.Info("expired refusal not removed", zap.String("name", name), zap.Error(err)) // the next start tries again
	}
}
