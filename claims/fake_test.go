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

// memory is the platform's store. Its writes are atomic.
type memory struct {
	store.Store
	mu       sync.Mutex
	objects  map[string]store.Object
	down     bool
	lose     int // the next writes take effect and their answers are lost
	limit    int // the next writes are refused by the rate limit
	puts     int
	gets     int
	tooLarge int
}

func newMemory() *memory { return &memory{objects: map[string]store.Object{}} }

func (m *memory) Get(_ context.Context, kind, name string) (store.Object, error) {
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

func (m *memory) Put(_ context.Context, o store.Object) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.puts++
	if m.down {
		return 0, store.ErrUnavailable
	}
	if m.limit > 0 {
		m.limit--
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
	if m.lose > 0 {
		m.lose--
		return 0, store.ErrOutcomeUnknown
	}
	return o.Version, nil
}

func (m *memory) Delete(_ context.Context, kind, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[kind+"/"+name].Version != version {
		return store.ErrConflict
	}
	delete(m.objects, kind+"/"+name)
	return nil
}

// members is a fixed view of the fleet.
type members struct {
	membership.List
	self membership.Member
	mu   sync.Mutex
	all  []membership.Member
}

func (m *members) Self() membership.Member { return m.self }

func (m *members) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]membership.Member(nil), m.all...)
}

func (m *members) set(all []membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = all
}

// network calls the guards at addresses. Its hook may refuse a call before it, or lose its answer.
type network struct {
	mu     sync.Mutex
	guards map[string]*Service
	before func(ctx context.Context) error
	after  func(ctx context.Context) error
}

var errNoAnswer = errors.New("no answer")

func newNetwork() *network {
	pass := func(context.Context) error { return nil }
	return &network{guards: map[string]*Service{}, before: pass, after: pass}
}

func (n *network) at(address string) *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.guards[address]
}

func (n *network) set(address string, s *Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.guards[address] = s
}

func deliver[Req, Res any](ctx context.Context, n *network, address string, r *Req, f func(*Service, context.Context, *Req) (*Res, error)) (*Res, error) {
	if err := n.before(ctx); err != nil {
		return nil, err
	}
	g := n.at(address)
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

func (n *network) Claim(ctx context.Context, address string, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return deliver(ctx, n, address, r, (*Service).Claim)
}

func (n *network) IssuedKey(ctx context.Context, address string, r *peerv1.IssuedKeyRequest) (*peerv1.IssuedKeyResponse, error) {
	return deliver(ctx, n, address, r, (*Service).IssuedKey)
}

func member(name string, boot uint64) membership.Member {
	return membership.Member{Name: name, Boot: boot, Incarnation: boot, PeerAddress: name, Cores: 2}
}

// fleet starts guards with the given names on one store, that all know one another.
func fleet(store store.Store, n *network, names ...string) []*Service {
	var all []membership.Member
	for _, name := range names {
		all = append(all, member(name, 1))
	}
	var out []*Service
	for _, m := range all {
		s, err := New(Options{Store: store, Members: &members{self: m, all: all}, Peer: n, Now: time.Now})
		if err != nil {
			panic(err)
		}
		n.set(m.Name, s)
		out = append(out, s)
	}
	return out
}
