package quarantine

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/store"
)

// fakeStore is an in-memory store that can be made unavailable.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	objects map[string]store.Object // by kind and name
	version uint64
	down    bool
}

func storeKey(kind, name string) string { return kind + "/" + name }

func (s *fakeStore) List(_ context.Context, kind, _ string) ([]store.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	var out []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			out = append(out, o)
		}
	}
	return out, s.version, nil
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[storeKey(kind, name)]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, o store.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	if old := s.objects[storeKey(o.Kind, o.Name)]; old.Version != o.Version {
		return 0, store.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.objects[storeKey(o.Kind, o.Name)] = o
	return o.Version, nil
}

func (s *fakeStore) Delete(_ context.Context, kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[storeKey(kind, name)].Version != version {
		return store.ErrConflict
	}
	delete(s.objects, storeKey(kind, name))
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// startLedger starts the ledger and the archive of one process of an entry VM.
func startLedger(ctx context.Context, s *fakeStore) *Ledger {
	var a *Archive
	l := NewLedger(LedgerOptions{OnRefused: func(fp Fingerprint, crashes []uint32) { a.Enqueue(fp, crashes) }})
	a = NewArchive(ArchiveOptions{Store: s, Ledger: l})
	go func() { _ = a.Run(ctx) }()
	return l
}

// Guards against a request that crashes three more upstreams after a restart of all entry VMs, and against expired
// objects that stay in the store.
func TestRefusalsOutliveAllEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{objects: map[string]store.Object{
			storeKey(archiveKind, "no fingerprint"): {Name: "no fingerprint"}, storeKey(archiveKind, "9"): {Name: "9", Value: []byte(`[]`)},
		}}
		ctx, kill := context.WithCancel(t.Context())
		l := startLedger(ctx, s)
		time.Sleep(time.Second)
		is.Equal(s.count(), 0) // unreadable objects are removed
		s.setDown(true)        // the store is unavailable for a moment
		for i := range 3 {
			crashUpstream(l, 7, upstreamName(i))
		}
		crashUpstream(l, 8, "u")
		time.Sleep(50 * time.Millisecond)
		s.setDown(false)
		time.Sleep(5 * time.Second)
		is.Equal(s.count(), 1)
		kill()
		s.setDown(true)
		l = startLedger(t.Context(), s)
		time.Sleep(time.Second)
		is.True(l.Check(7) == nil) // the refusals have not been read yet
		s.setDown(false)
		time.Sleep(10 * time.Second)
		is.True(l.Check(7) != nil)
		is.True(l.Check(8) == nil)
		time.Sleep(11 * time.Minute)
		is.True(l.Check(7) == nil)
		last, end := context.WithCancel(t.Context())
		startLedger(last, s)
		time.Sleep(time.Second)
		is.Equal(s.count(), 0) // the process that wrote it has ended, so the next start removes it
		for i := range 3 {
			crashUpstream(l, 10, upstreamName(i))
		}
		time.Sleep(time.Second)
		is.Equal(s.count(), 1)
		time.Sleep(12 * time.Minute)
		is.Equal(s.count(), 0) // the process that wrote it removes it
		end()
	})
}
