package store_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/store"
)

// lossyStore is a store that loses the answers of the next lose writes after they took effect.
type lossyStore struct {
	store.Store
	object store.Object
	lose   int
	puts   int
}

func (l *lossyStore) Get(context.Context, string, string) (store.Object, error) {
	if l.object.Version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return l.object, nil
}

func (l *lossyStore) Put(_ context.Context, o store.Object) (uint64, error) {
	l.puts++
	if o.Version != l.object.Version {
		return 0, store.ErrConflict
	}
	version := l.object.Version + 1
	l.object = o
	l.object.Version = version
	if l.lose > 0 {
		l.lose--
		return 0, store.ErrOutcomeUnknown
	}
	return version, nil
}

// Guards against a writer that does not recognise its own write after a lost answer: it would report a conflict and give up
// a lease that it holds.
func TestSettleFindsTheOwnMark(t *testing.T) {
	is := is.New(t)
	l := &lossyStore{lose: 1}
	version, err := store.PutSettled(t.Context(), l, store.Object{Kind: "k", Name: "n", Writer: "mine"}, nil)
	is.NoErr(err)
	is.Equal(version, uint64(1))
	is.Equal(l.puts, 1) // the write took effect and must not be repeated

	outcome, now, err := store.Settle(t.Context(), l, store.Object{Kind: "k", Name: "n", Version: 0, Writer: "mine"})
	is.NoErr(err)
	is.Equal(outcome, store.Applied)
	is.Equal(now.Writer, "mine")
	outcome, _, err = store.Settle(t.Context(), l, store.Object{Kind: "k", Name: "n", Version: 0, Writer: "other"})
	is.NoErr(err)
	is.Equal(outcome, store.Replaced)
	outcome, _, err = store.Settle(t.Context(), l, store.Object{Kind: "k", Name: "n", Version: 1, Writer: "other"})
	is.NoErr(err)
	is.Equal(outcome, store.Pending)
}
