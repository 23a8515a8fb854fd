package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// evidenceKind is the kind of the objects with evidence, one for each entry VM, which has its name.
const evidenceKind = "crash-evidence"

const (
	// evidenceInterval is the least time between two writes of a VM's evidence. The first change of a series is written at once.
	evidenceInterval = 250 * time.Millisecond
	// finalWriteTimeout bounds the last write of a process that stops.
	finalWriteTimeout = 150 * time.Millisecond
)

// storedEvidence is what this entry VM's object holds. Only keepEvidence uses it once the archive is loaded.
type storedEvidence struct {
	value   []byte // nil: unknown, or there is no object
	version uint64 // 0: there is no object
}

// EvidenceChanged schedules a write of the ledger's evidence. It does not block.
func (a *Archive) EvidenceChanged() {
	select {
	case a.evidenceChanged <- struct{}{}:
	default: // a write is scheduled
	}
}

// rewriteEvidence schedules a write of the evidence after the store was set back to a copy, which may lack it.
func (a *Archive) rewriteEvidence() {
	a.evidenceLost.Store(true)
	a.EvidenceChanged()
}

// loadEvidence passes the evidence of all entry VMs to the ledger.
func (a *Archive) loadEvidence(ctx context.Context) error {
	list, _, err := a.opts.Store.List(ctx, evidenceKind, "")
	if err != nil && !errors.Is(err, store.ErrNotFound) { // ErrNotFound: the kind has no objects
		return err
	}
	var own Evidence
	var others []Evidence
	for i := range list {
		o := &list[i]
		if o.Name == a.opts.VM {
			a.evidence.version = o.Version
		}
		var e Evidence
		err := json.Unmarshal(o.Value, &e)
		switch {
		case o.Name == a.opts.VM && err == nil:
			own, a.evidence.value = e, o.Value
		case o.Name == a.opts.VM: // overwritten by the next write
		case err != nil || a.opts.Clock.Now().Sub(time.UnixMilli(e.NewestMS)) > a.opts.Expiry:
			a.remove(ctx, evidenceKind, o.Name, o.Version) // the entry VM that wrote it may be gone
		default:
			others = append(others, e)
		}
	}
	a.opts.Ledger.RestoreEvidence(own, others)
	a.opts.Log.Info("evidence of crashes read", zap.Int("objects", len(list)), zap.Int("others", len(others)))
	return nil
}

// keepEvidence writes the ledger's evidence whenever it has changed, until ctx ends.
func (a *Archive) keepEvidence(ctx context.Context) {
	expiry := time.NewTicker(archiveSweepInterval)
	defer expiry.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-a.evidenceChanged:
		case <-expiry.C: // evidence that has expired is removed
		}
		for failures := 0; ctx.Err() == nil; {
			err := a.saveEvidence(ctx)
			if err == nil {
				break
			}
			failures++
			a.opts.Log.Info("evidence of crashes not written", zap.Int("failures", failures), zap.Error(err))
			_ = a.opts.Clock.Sleep(ctx, store.Backoff(min(failures, maxLoadBackoff))) // the loop ends when ctx does
		}
		_ = a.opts.Clock.Sleep(ctx, evidenceInterval) // the loop ends when ctx does
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	if err := a.saveEvidence(final); err != nil {
		a.opts.Log.Warn("last evidence of crashes not written", zap.Error(err))
	}
}

// saveEvidence makes the stored evidence that of the ledger.
func (a *Archive) saveEvidence(ctx context.Context) error {
	if a.evidenceLost.Load() {
		if err := a.readOwnEvidence(ctx); err != nil {
			return err
		}
		a.evidenceLost.Store(false)
	}
	e := a.opts.Ledger.Evidence()
	if e.empty() {
		return a.deleteEvidence(ctx)
	}
	value, err := e.marshal()
	if err != nil {
		return err
	}
	if a.evidence.version > 0 && bytes.Equal(value, a.evidence.value) {
		return nil
	}
	version, err := a.opts.Store.Put(ctx, store.Object{Kind: evidenceKind, Name: a.opts.VM, Value: value, Version: a.evidence.version})
	if err != nil {
		a.evidenceLost.Store(true)
		return err
	}
	a.evidence = storedEvidence{value, version}
	a.opts.Log.Info("evidence of crashes written", zap.Int("requests", len(e.Requests)), zap.Int("part_crashes", len(e.Crashes)),
		zap.Int("sound", len(e.Sound)), zap.Int("bytes", len(value)))
	return nil
}

func (a *Archive) deleteEvidence(ctx context.Context) error {
	if a.evidence.version == 0 {
		return nil
	}
	err := a.opts.Store.Delete(ctx, evidenceKind, a.opts.VM, a.evidence.version)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.evidenceLost.Store(true)
		return err
	}
	a.evidence = storedEvidence{}
	return nil
}

// readOwnEvidence reads this entry VM's object. A write whose answer was lost, one of an earlier process or a restoration of the store
// may have changed it.
func (a *Archive) readOwnEvidence(ctx context.Context) error {
	o, err := a.opts.Store.Get(ctx, evidenceKind, a.opts.VM)
	if errors.Is(err, store.ErrNotFound) {
		a.evidence = storedEvidence{}
		return nil
	}
	if err != nil {
		return err
	}
	a.evidence = storedEvidence{o.Value, o.Version}
	return nil
}
