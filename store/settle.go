package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Outcome is the result of a read-back after a write whose answer was lost.
type Outcome int

// The outcomes of a read-back.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Pending means that the version read is not later than the one that the write expected. The write may have taken
	// effect since then, or may still take effect.
	Pending
	// Replaced means that the version read is a later one of another writer. Only the value can show whether this write
	// took effect before it.
	Replaced
)

// Settle reads back an object after ErrOutcomeUnknown and compares its writer mark with that of the write. It also returns
// the object read, with version 0 if there is none.
func Settle(ctx context.Context, s Store, written Object) (Outcome, Object, error) {
	now, err := s.Get(ctx, written.Kind, written.Name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Pending, Object{}, err
	}
	switch {
	case err != nil: // not created yet, deleted, or a stale read from before the object existed
		return Pending, Object{}, nil
	case now.Writer == written.Writer:
		return Applied, now, nil
	case now.Version <= written.Version:
		return Pending, now, nil
	default:
		return Replaced, now, nil
	}
}

// settleAttempts bounds the read-backs of one write. With a store that loses half of its answers, 8 attempts leave one
// write in 256 without a known outcome.
const settleAttempts = 8

// Contains reports whether a later value shows that a write took effect. known is false if the value does not show it.
type Contains func(now Object) (applied, known bool)

// PutSettled writes o like Store.Put and settles the outcome if the answer is lost. While the outcome is pending, it
// repeats the write with the same condition, so that at most one of them takes effect. If another write has followed,
// contains decides by the marks inside the value; nil means that the value has none. It returns ErrOutcomeUnknown only if
// no attempt settled the outcome or the value does not show it.
func PutSettled(ctx context.Context, s Store, o Object, contains Contains) (uint64, error) {
	if o.Writer == "" {
		o.Writer = NewWriterMark("")
	}
	version, err := s.Put(ctx, o)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return version, err
	}
	for range settleAttempts {
		outcome, now, readErr := Settle(ctx, s, o)
		switch {
		case ctx.Err() != nil:
			return 0, trace.Wrap(ErrOutcomeUnknown)
		case readErr != nil:
			continue
		case outcome == Applied:
			return now.Version, nil
		case outcome == Replaced:
			return settleReplaced(now, contains)
		}
		version, err = s.Put(ctx, o)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, ErrTooLarge) {
			return 0, err
		}
	}
	return 0, trace.Wrap(ErrOutcomeUnknown, "%s/%s not settled", o.Kind, o.Name)
}

func settleReplaced(now Object, contains Contains) (uint64, error) {
	if contains == nil {
		return 0, trace.Wrap(ErrOutcomeUnknown, "%s/%s was replaced by another write", now.Kind, now.Name)
	}
	applied, known := contains(now)
	switch {
	case !known:
		return 0, trace.Wrap(ErrOutcomeUnknown, "%s/%s keeps no mark of the write", now.Kind, now.Name)
	case applied:
		return now.Version, nil
	default:
		return 0, trace.Wrap(ErrConflict)
	}
}

var marks atomic.Uint64

// processID distinguishes the marks of processes with the same name.
var processID = rand.Uint64()

// NewWriterMark returns a writer mark that is unique over all processes.
func NewWriterMark(name string) string {
	return fmt.Sprintf("%s-%016x-%d", name, processID, marks.Add(1))
}
