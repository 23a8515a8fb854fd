package quarantine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/store"
)

// shelf is a store in memory that can be down.
type shelf struct {
	store.Store
	mu      sync.Mutex
	objects map[string]store.Object
	down    bool
}

func (s *shelf) List(context.Context, string, string) ([]store.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	var out []store.Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, 1, nil
}

func (s *shelf) Put(_ context.Context, o store.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	if _, ok := s.objects[o.Name]; ok {
		return 0, store.ErrConflict
	}
	o.Version = 1
	s.objects[o.Name] = o
	return 1, nil
}

func (s *shelf) Delete(_ context.Context, _, name string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

func (s *shelf) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *shelf) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// incarnation is the ledger of an entry VM's process with its archive.
func incarnation(ctx context.Context, s *shelf) *Ledger {
	var a *Archive
	l := NewLedger(LedgerOptions{Refused: func(fp Fingerprint, crashes []uint32) { a.Refused(fp, crashes) }})
	a = NewArchive(ArchiveOptions{Store: s, Ledger: l})
	go func() { _ = a.Run(ctx) }()
	return l
}

// Guards against a request that ends three more servers when all entry VMs have started anew, and against objects that stay in the store.
func TestRefusalsOutliveAllEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &shelf{objects: map[string]store.Object{"no fingerprint": {Name: "no fingerprint"}, "9": {Name: "9", Value: []byte(`[]`)}}}
		ctx, kill := context.WithCancel(t.Context())
		l := incarnation(ctx, s)
		time.Sleep(time.Second)
		is.Equal(s.count(), 0) // what can't be read names nothing
		s.set(true)            // the store is away for a moment
		for i := range 3 {
			crash(l, 7, name(i))
		}
		crash(l, 8, "u")
		time.Sleep(50 * time.Millisecond)
		s.set(false)
		time.Sleep(5 * time.Second)
		is.Equal(s.count(), 1)
		kill()
		s.set(true)
		l = incarnation(t.Context(), s)
		time.Sleep(time.Second)
		is.True(l.Check(7) == nil) // the store can't tell it yet
		s.set(false)
		time.Sleep(10 * time.Second)
		is.True(l.Check(7) != nil)
		is.True(l.Check(8) == nil)
		time.Sleep(11 * time.Minute)
		is.True(l.Check(7) == nil)
		last, end := context.WithCancel(t.Context())
		incarnation(last, s)
		time.Sleep(time.Second)
		is.Equal(s.count(), 0) // its writer is gone, so the next start removes it
		for i := range 3 {
			crash(l, 10, name(i))
		}
		time.Sleep(time.Second)
		is.Equal(s.count(), 1)
		time.Sleep(12 * time.Minute)
		is.Equal(s.count(), 0) // its writer removes it
		end()
	})
}
