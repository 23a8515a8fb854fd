package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/store"
)

// memoryStore is an in-memory store with atomic writes and injected faults.
type memoryStore struct {
	store.Store
	mu           sync.Mutex
	objects      map[string]store.Object
	down         bool
	loseAnswers  int // number of next writes that take effect but whose answers are lost
	refuseWrites int // number of next writes that the rate limit refuses
	puts         int
	gets         int
	tooLarge     int // writes refused because of their size
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]store.Object{}} }

func (m *memoryStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gets++
	if m.down {
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, o store.Object) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.puts++
	if m.down {
		return 0, store.ErrUnavailable
	}
	if m.refuseWrites > 0 {
		m.refuseWrites--
		return 0, store.ErrRateLimited
	}
	if len(o.Value) > store.MaxValueBytes {
		m.tooLarge++
		return 0, store.ErrTooLarge
	}
	id := o.Kind + "/" + o.Name
	if m.objects[id].Version != o.Version {
		return 0, store.ErrConflict
	}
	o.Version++
	m.objects[id] = o
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, store.ErrOutcomeUnknown
	}
	return o.Version, nil
}

func (m *memoryStore) Delete(_ context.Context, kind, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[kind+"/"+name].Version != version {
		return store.ErrConflict
	}
	delete(m.objects, kind+"/"+name)
	return nil
}

// fakeMembers is a member list that the test sets.
type fakeMembers struct {
	membership.List
	self membership.Member
	mu   sync.Mutex
	all  []membership.Member
}

func (m *fakeMembers) Self() membership.Member { return m.self }

func (m *fakeMembers) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]membership.Member(nil), m.all...)
}

func (m *fakeMembers) set(all []membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = all
}

// fakeNetwork calls the guards directly. An error returned by the hook before drops the call; one returned by the hook
// after drops its answer.
type fakeNetwork struct {
	mu     sync.Mutex
	guards map[string]*Service
	before func(ctx context.Context) error
	after  func(ctx context.Context) error
}

var errNoAnswer = errors.New("no answer")

func newFakeNetwork() *fakeNetwork {
	pass := func(context.Context) error { return nil }
	return &fakeNetwork{guards: map[string]*Service{}, before: pass, after: pass}
}

func (n *fakeNetwork) guardAt(address string) *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.guards[address]
}

func (n *fakeNetwork) set(address string, s *Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.guards[address] = s
}

func deliver[Req, Res any](ctx context.Context, n *fakeNetwork, address string, r *Req, f func(*Service, context.Context, *Req) (*Res, error)) (*Res, error) {
	if err := n.before(ctx); err != nil {
		return nil, err
	}
	g := n.guardAt(address)
	if g == nil {
		return nil, errNoAnswer
	}
	res, err := f(g, ctx, r)
	if err != nil {
		return nil, err
	}
	if err := n.after(ctx); err != nil {
		return nil, err
	}
	return res, nil
}

func (n *fakeNetwork) Claim(ctx context.Context, address string, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return deliver(ctx, n, address, r, (*Service).Claim)
}

func (n *fakeNetwork) IssuedKey(ctx context.Context, address string, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error) {
	return deliver(ctx, n, address, r, (*Service).IssuedKey)
}

func member(name string, boot uint64) membership.Member {
	return membership.Member{Name: name, Boot: boot, Incarnation: boot, PeerAddress: name, Cores: 2}
}

// newGuards returns guards with the given names that share one store and have each other as members.
func newGuards(store store.Store, n *fakeNetwork, names ...string) []*Service {
	var all []membership.Member
	for _, name := range names {
		all = append(all, member(name, 1))
	}
	var out []*Service
	for _, m := range all {
		s, err := New(Options{Store: store, Members: &fakeMembers{self: m, all: all}, Peer: n, Now: time.Now})
		if err != nil {
			panic(err)
		}
		n.set(m.Name, s)
		out = append(out, s)
	}
	return out
}
