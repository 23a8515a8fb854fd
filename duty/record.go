package duty

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// KindRecord is the kind of the stored objects in which duties keep what a successor has to know.
const KindRecord = "duty-records"

// Record is the stored state of a duty, in one object that only the holder writes. It is not safe for concurrent use.
//
// Writes are conditional, so that a former holder can't replace what its successor has written. After a failed write the
// record must be loaded again before the next one.
type Record[T any] struct {
	Store  store.Store
	Name   string // of the object
	Writer string // name of this entry VM

	fencing uint64 // for which the record was loaded; 0: not loaded
	version uint64
	value   T
}

// Load returns the stored state, the zero value before the first write. It calls the store only once for each fencing
// number, and again after a failed write.
func (r *Record[T]) Load(ctx context.Context, fencing uint64) (T, error) {
	if r.fencing == fencing && fencing != 0 {
		return r.value, nil
	}
	var zero T
	o, err := r.Store.Get(ctx, KindRecord, r.Name)
	switch {
	case errors.Is(err, store.ErrNotFound):
		r.fencing, r.version, r.value = fencing, 0, zero
		return zero, nil
	case err != nil:
		return zero, trace.Wrap(err)
	}
	v, err := topo.Decode[T](o.Value)
	if err != nil {
		return zero, trace.Wrap(err, "record %q", r.Name)
	}
	r.fencing, r.version, r.value = fencing, o.Version, v
	return v, nil
}

// Save writes the state. Load must have succeeded for the same fencing number. An error may mean that the state has been
// written all the same; the next Load shows it.
func (r *Record[T]) Save(ctx context.Context, fencing uint64, value T) error {
	if r.fencing != fencing || fencing == 0 {
		return trace.BadParameter("record %q is not loaded", r.Name)
	}
	b, err := topo.Encode(value)
	if err != nil {
		return trace.Wrap(err)
	}
	version, err := store.PutSettled(ctx, r.Store, store.Object{
		Kind: KindRecord, Name: r.Name, Version: r.version, Value: b, Writer: store.NewWriterMark(r.Writer),
	}, nil)
	if err != nil {
		r.fencing = 0
		return trace.Wrap(err)
	}
	r.version, r.value = version, value
	return nil
}
