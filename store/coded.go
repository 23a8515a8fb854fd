package store

import (
	"errors"

	"bergamotcroft.example/bergamot/result"
)

// WithCode wraps a store error with its result code. Errors that already have a code are returned unchanged.
func WithCode(err error) error {
	var coded *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		return err
	case errors.Is(err, ErrOutcomeUnknown):
		return result.New(result.StoreOutcomeUnknown, "the outcome of the write is not known yet").WithCause(err)
	case errors.Is(err, ErrConflict):
		return result.New(result.StoreConflict, "the object was changed by another writer").WithCause(err)
	}
	return result.New(result.StoreUnavailable, "the store can't be used now").WithCause(err)
}
