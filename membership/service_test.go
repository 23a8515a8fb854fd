package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/store"
)

// fakeNetwork connects services in one process.
type fakeNetwork struct {
	mu       sync.Mutex
	inbox    map[string]chan []byte
	services map[string]*Service // by peer address
}

// fakeTransport is the Transport of one service in a fakeNetwork.
type fakeTransport struct {
	w       *fakeNetwork
	address string
	in      chan []byte
	closed  chan struct{}
}

func (p *fakeTransport) Send(to string, b []byte) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	select {
	case p.w.inbox[to] <- append([]byte(p.address+"\x00"), b...):
	default: // full or unknown: lost, as with UDP
	}
}

func (p *fakeTransport) Receive(b []byte) (int, string, error) {
	select {
	case d := <-p.in:
		i := slices.Index(d, 0)
		return copy(b, d[i+1:]), string(d[:i]), nil
	case <-p.closed:
		return 0, "", ErrTransportClosed
	}
}

func (p *fakeTransport) Close() error { close(p.closed); return nil }

func (w *fakeNetwork) ExchangeTable(ctx context.Context, address string, r *peerv1.ExchangeTableRequest) (*peerv1.ExchangeTableResponse, error) {
	w.mu.Lock()
	s := w.services[address]
	w.mu.Unlock()
	if s == nil {
		return nil, errors.New("no answer")
	}
	return s.ExchangeTable(ctx, r)
}

// join starts a service with the seeds and the platform list of o, which may be wrong or stale.
func (w *fakeNetwork) join(t *testing.T, name string, o Options) (s *Service, stop func()) {
	t.Helper()
	p := &fakeTransport{w: w, address: name + ":1", in: make(chan []byte, 100), closed: make(chan struct{})}
	o.Self = Member{Name: name, Address: p.address, PeerAddress: name + ":2", CallerAddress: name + ":3", Cores: 2}
	o.Transport, o.Secret, o.Exchanger, o.Seed = p, "secret", w, 7
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	w.inbox[p.address], w.services[o.Self.PeerAddress] = p.in, s
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		w.mu.Lock()
		delete(w.services, o.Self.PeerAddress)
		w.mu.Unlock()
	}
}

// Guards against a service that does not join through stale seeds or with the store down, loses the order of changes,
// or leaks goroutines.
func TestServiceLifeCycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &fakeNetwork{inbox: map[string]chan []byte{}, services: map[string]*Service{}}
		down := func(context.Context) ([]store.VM, error) { return nil, store.ErrUnavailable }
		stale := func(context.Context) ([]store.VM, error) {
			return []store.VM{{Name: "gone", Address: "gone"}, {Name: "a", Address: "a"}, {Name: "e1", Address: "e1", Upstream: true}}, nil
		}
		a, stopA := w.join(t, "a", Options{Seeds: []string{"nobody:2"}, VMs: down})
		b, stopB := w.join(t, "b", Options{Seeds: []string{"nobody:2", "a:2"}, VMs: down})
		c, stopC := w.join(t, "c", Options{VMs: stale, PeerPort: "2"})
		is.True(!b.TableChecked()) // its table holds only itself so far
		time.Sleep(30 * time.Second)
		is.True(b.TableChecked())
		for _, s := range []*Service{a, b, c} {
			is.Equal(len(s.Members()), 3)
			reachable, known := s.Reachable()
			is.Equal(reachable, 3)
			is.Equal(known, 3)
		}

		var states []State
		cancelled := 0
		a.Subscribe(func(m Member) {
			if m.Name == "c" && (len(states) == 0 || states[len(states)-1] != m.State) {
				states = append(states, m.State)
			}
		})
		a.Subscribe(func(Member) { cancelled++ })()
		var events []string
		b.Handle("k", func(e Event) { events = append(events, e.Origin+string(e.Payload)) })
		for i := range 3 {
			is.NoErr(a.Broadcast("k", []byte(fmt.Sprint(i))))
		}
		is.Equal(a.Broadcast("k", make([]byte, MaxEventBytes+1)), ErrEventTooLarge)
		b.SetRevision(4)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		slices.Sort(events)
		is.Equal(events, []string{"a0", "a1", "a2"})
		is.Equal(a.NewestRevision(), uint64(4))
		m, _ := a.Member("b")
		is.Equal(m.ConfigRevision, uint64(4))

		c.Leave()
		time.Sleep(3 * time.Second)
		stopC()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(states, []State{Leaving, Gone})
		is.Equal(cancelled, 0)
		is.Equal(len(a.Members()), 2)
		stopB()
		stopA()
	})
}

// Guards against forged datagrams: one with a wrong authentication code must be refused.
func TestForgedDatagramIsRefused(t *testing.T) {
	is := is.New(t)
	sealed := Seal("secret", []byte("payload"))
	payload, ok := Open("secret", sealed)
	is.True(ok)
	is.Equal(string(payload), "payload")
	for i := range sealed {
		forged := slices.Clone(sealed)
		forged[i] ^= 1
		_, ok := Open("secret", forged)
		is.True(!ok)
	}
	_, ok = Open("other", sealed)
	is.True(!ok)
	_, ok = Open("secret", sealed[:macBytes-1])
	is.True(!ok)
}

// Guards against a UDP transport that blocks after it was closed, or returns a wrong sender.
func TestUDP(t *testing.T) {
	is := is.New(t)
	a, err := ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	b, err := ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	buffer := make([]byte, 100)
	a.Send(b.Address(), []byte("hello"))
	n, from, err := b.Receive(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "hello")
	is.Equal(from, a.Address())
	is.NoErr(a.Close())
	_, _, err = a.Receive(buffer)
	is.Equal(err, ErrTransportClosed)
	is.NoErr(b.Close())
}
