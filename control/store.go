package control

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// record is a decoded object with its version for a conditional update. Version 0 means that the object does not exist.
type record[T any] struct {
	version uint64
	value   T
}

// read returns an object, or the zero record when there is none.
func read[T any](ctx context.Context, s store.Store, kind, name string) (record[T], error) {
	o, err := s.Get(ctx, kind, name)
	if errors.Is(err, store.ErrNotFound) {
		return record[T]{}, nil
	}
	if err != nil {
		return record[T]{}, store.WithCode(err)
	}
	v, err := topo.Decode[T](o.Value)
	if err != nil {
		return record[T]{}, trace.Wrap(err, "decode %s %q", kind, name)
	}
	return record[T]{o.Version, v}, nil
}

// write updates an object on condition that its version is r.version. A read-back settles a lost answer.
func write[T any](ctx context.Context, opt *Options, kind, name string, r record[T], contains store.Contains) (uint64, error) {
	b, err := topo.Encode(r.value)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	o := store.Object{Kind: kind, Name: name, Version: r.version, Writer: opt.Mark(), Value: b}
	version, err := store.PutSettled(ctx, opt.Store, o, contains)
	return version, store.WithCode(err)
}

// needsReread reports whether the object must be read again after a failed write, instead of returning the error.
func needsReread(err error) bool {
	code := result.CodeOf(err)
	return code == result.StoreConflict || code == result.StoreOutcomeUnknown
}
