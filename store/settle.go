package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Outcome is what a read-back tells about a write whose answer was lost.
type Outcome int

// The outcomes of a read-back.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Pending means that the read shows no later version than the one that the write was based on. The write may have
	// taken effect since, or may still take effect.
	Pending
	// Replaced means that another write has followed. Only the value can tell whether this write came before it.
	Replaced
)

// Settle reads back an object after ErrOutcomeUnknown and looks for the writer's own mark. It returns the object that it read,
// which has version 0 when there is none.
func Settle(ctx context.Context, s Store, written Object) (Outcome, Object, error) {
	now, err := s.Get(ctx, written.Kind, written.Name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Pending, Object{}, err
	}
	switch {
	case err != nil: // not created yet, deleted, or the answer comes from before the object existed
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

// Contains reports whether a later value shows that a write took effect. known is false when the value can't tell.
type Contains func(now Object) (applied, known bool)

// PutSettled writes o like Store.Put and settles a lost answer. While the outcome is pending it writes the same object again
// under the same condition, of which at most one can take effect. When another write has followed, contains decides
// from the marks kept inside the value; nil means that the value keeps none. It returns ErrOutcomeUnknown only when the
// store gave no answer in all attempts or the value can't tell.
func PutSettled(ctx context.Context, s Store, o Object, contains Contains) (uint64, error) {
	if o.Writer == "" {
		o.Writer = NewMark("")
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
			return decide(now, contains)
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

func decide(now Object, contains Contains) (uint64, error) {
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

// process tells the marks of two processes with the same name apart.
var process = rand.Uint64()

// NewMark returns a writer mark that is unique over all processes.
func NewMark(name string) string {
	return fmt.Sprintf("%s-%016x-%d", name, process, marks.Add(1))
}
