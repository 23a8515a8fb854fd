package store

import (
	"errors"

	"bergamotcroft.example/bergamot/result"
)

// Coded gives a store error its result code. Errors that have one stay as they are.
func Coded(err error) error {
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
