package server

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/claims"
	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/discovery"
	"bergamotcroft.example/bergamot/limits"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// members holds the components through which entry VMs cooperate.
type members struct {
	udp      *membership.UDP
	listener net.Listener
	list     *membership.Service
	client   *peer.Client
	fetch    *peer.Client // for long polls, whose answers are held back until something changes
	server   *peer.Server
	claims   *claims.Service
	limits   *limits.Limiter
	tracker  *discovery.Tracker
	node     *configuration.Node // nil with a fixed configuration
	store    store.Store
}

func (m *members) close() {
	if m.udp != nil {
		_ = m.udp.Close()
	}
	if m.listener != nil {
		_ = m.listener.Close()
	}
}

// loopbackAddress is the peer listen address of an entry VM without peers.
const loopbackAddress = "127.0.0.1:0"

// fetchTimeout bounds a configuration fetch, whose answer the peer may hold back for 10 s.
const fetchTimeout = 15 * time.Second

// buildMembers creates membership and the components that use it.
func (s *Server) buildMembers() error {
	set := s.opts.Settings
	m := &members{}
	s.members = m
	secret, address := set.Peers.Secret, set.Peers.Listen
	if address == "" {
		secret, address = rand.Text(), loopbackAddress
	}
	var err error
	if m.listener, err = net.Listen("tcp", address); err != nil {
		return trace.Wrap(err)
	}
	if m.udp, err = membership.ListenUDP(m.listener.Addr().String()); err != nil {
		return trace.Wrap(err)
	}
	m.store = s.store()
	m.client = peer.NewClient(peer.ClientOptions{Secret: secret})
	m.fetch = peer.NewClient(peer.ClientOptions{Secret: secret, Timeout: fetchTimeout})
	handlers := &peer.Handlers{}
	if m.server, err = peer.New(peer.Options{Listener: m.listener, Secret: secret, Handlers: handlers, Limits: s.limits}); err != nil {
		return trace.Wrap(err)
	}
	if err := s.buildMembership(secret); err != nil {
		return err
	}
	if err := s.buildShared(); err != nil {
		return err
	}
	handlers.ExchangeTable, handlers.ExchangeShares = m.list.ExchangeTable, m.limits.ExchangeShares
	handlers.Claim, handlers.IssuedKey = m.claims.Claim, m.claims.IssuedKey
	if m.node != nil {
		handlers.GetConfiguration = m.serveConfiguration
	}
	return nil
}

// buildMembership creates the membership service of this entry VM.
func (s *Server) buildMembership(secret string) error {
	set, m := s.opts.Settings, s.members
	self := m.listener.Addr().String()
	if set.Peers.Advertise != "" {
		self = set.Peers.Advertise
	}
	cores := set.Cores
	if cores == 0 {
		cores = runtime.NumCPU()
	}
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return trace.Wrap(err)
	}
	m.list, err = membership.New(membership.Options{
		Self: membership.Member{
			Name: set.Name, Address: self, PeerAddress: self, CallerAddress: s.advertisedAddress(), DataCentre: set.DataCentre, Cores: cores,
		},
		Transport: m.udp, Secret: secret, Exchanger: m.client, Seeds: set.Peers.Seeds, VMs: m.store.VMs, PeerPort: port, Log: s.log,
		WasDeclaredGone: func() { m.claims.InvalidateIssuedKeys() },
	})
	return trace.Wrap(err)
}

// buildShared creates the components that use the member list.
func (s *Server) buildShared() error {
	set, m := s.opts.Settings, s.members
	s.source = s.opts.Source
	switch {
	case s.source != nil:
	case set.Platform.Configuration != "":
		source, err := fileSource(set.Platform.Configuration)
		if err != nil {
			return err
		}
		s.source = source
		s.log.Info("configuration in force", zap.Uint64("revision", source.Current().Revision), zap.String("file", set.Platform.Configuration))
	default:
		m.node = configuration.New(configuration.Options{
			Store: m.store, WriteStore: s.authorityStore(), Members: m.list, Fetcher: fetcher{m.fetch}, Name: set.Name, Logger: s.log,
			MaxUnconfirmed: set.Platform.Unconfirmed.D(),
		})
		s.source = m.node
	}
	var err error
	if m.claims, err = claims.New(claims.Options{Store: m.store, Members: m.list, Peer: m.client, Log: s.log}); err != nil {
		return trace.Wrap(err)
	}
	if m.limits, err = limits.New(limits.Options{Members: m.list, Exchanger: m.client}); err != nil {
		return trace.Wrap(err)
	}
	m.tracker, err = discovery.New(discovery.Options{
		Members: m.list, Source: s.source, VMs: m.store.VMs, Log: s.log, Subset: s.subset.containsInForce(s.source),
		Check: func(ctx context.Context, u topo.Upstream) discovery.Health {
			load, err := s.client.Load(ctx, &u)
			return discovery.Health{Reachable: err == nil, Leaving: load.Leaving}
		},
	})
	return trace.Wrap(err)
}

// wireMembers adds the actors of the components in members.
func (s *Server) wireMembers() {
	m := s.members
	s.addContext("membership", m.list.Run)
	s.addContext("peer", m.server.Run)
	s.addContext("claims", m.claims.Run)
	s.addContext("limits", m.limits.Run)
	s.addContext("discovery", func(ctx context.Context) error {
		defer m.tracker.Subscribe(func(u discovery.Status) { s.gateway.SetAccepting(u.Upstream, u.State == discovery.Accepting) })()
		return m.tracker.Run(ctx)
	})
	if m.node != nil {
		s.addContext("configuration", m.node.Run)
	}
	s.addContext("revision", func(ctx context.Context) error {
		defer s.source.Subscribe(func(c *topo.Configuration) {
			if c != nil {
				m.list.SetRevision(c.Revision)
			}
		})()
		<-ctx.Done()
		return nil
	})
}

// reportReachability reports to discovery whether an attempt reached its upstream.
func (s *Server) reportReachability(upstream string, reachable bool) {
	s.members.tracker.Report(upstream, discovery.Health{Reachable: reachable})
}

func (s *Server) addressOptions() addresses.Options {
	set := s.opts.Settings.Shutdown
	return addresses.Options{
		Members: s.members.list, Drain: set.Drain.D(), Spread: set.Spread.D(), Finish: set.Finish.D(),
		Caller: func(r *http.Request) string { return s.gateway.Caller(r) }, // a closure, because the gateway does not exist yet
	}
}

// addresses returns the handler of GET /v1/addresses. An account determines its caller's addresses, as in package limits.
func (s *Server) addresses() http.Handler { return addresses.Handler(s.addressOptions()) }

// limiter adapts limits.Limiter to the gateway.
type limiter struct{ l *limits.Limiter }

// Acquire implements gateway.Limiter.
func (l limiter) Acquire(caller string, of topo.Limits, tokens int) (func(int), *result.Error) {
	p, err := l.l.Admit(caller, of, float64(tokens))
	if err != nil {
		return nil, result.From(err)
	}
	return func(used int) { p.Done(float64(used)) }, nil
}

// fetcher fetches configurations from other entry VMs.
type fetcher struct{ c *peer.Client }

// Fetch implements configuration.Fetcher. The deadline of ctx limits how long the peer may hold the answer back.
func (f fetcher) Fetch(ctx context.Context, m membership.Member, r configuration.FetchRequest) (configuration.FetchAnswer, error) {
	var a configuration.FetchAnswer
	_, value, err := f.c.GetConfiguration(ctx, m.PeerAddress, r.Have)
	if err == nil {
		err = json.Unmarshal(value, &a)
	}
	return a, trace.Wrap(err)
}

// fetchMargin is the part of a fetch's deadline that is reserved for the transfer of the answer.
const fetchMargin = time.Second

func (m *members) serveConfiguration(ctx context.Context, have uint64) (uint64, []byte, error) {
	wait := time.Duration(0)
	if end, ok := ctx.Deadline(); ok {
		wait = max(time.Until(end)-fetchMargin, 0)
	}
	a, err := m.node.Serve(ctx, configuration.FetchRequest{Have: have, Wait: wait})
	if err != nil {
		return 0, nil, err
	}
	b, err := json.Marshal(a)
	return a.Revision, b, trace.Wrap(err)
}

// store returns the platform's store, or noStore if the settings name no platform.
func (s *Server) store() store.Store {
	set := s.opts.Settings
	switch {
	case s.opts.Store != nil:
		return s.opts.Store
	case set.Platform.URL != "":
		return store.NewClient(store.Options{
			BaseURL: set.Platform.URL, Name: store.NewWriterMark(set.Name), Groups: set.Control.Groups,
			Rates:   store.Rates{Reads: set.Platform.ReadsPerS, Writes: set.Platform.WritesPerS},
			Members: func() int { return len(s.members.list.Members()) },
		})
	}
	return noStore{}
}

// noStore is the store of an entry VM without a platform. It is never available.
type noStore struct{}

var errNoPlatform = errors.New("the settings name no platform")

func (noStore) Get(context.Context, string, string) (store.Object, error) {
	return store.Object{}, store.ErrUnavailable
}

func (noStore) List(context.Context, string, string) ([]store.Object, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (noStore) Put(context.Context, store.Object) (uint64, error) {
	return 0, store.ErrUnavailable
}

func (noStore) Delete(context.Context, string, string, uint64) error { return store.ErrUnavailable }

func (noStore) Watch(context.Context, string, uint64) ([]store.Event, uint64, error) {
	return nil, 0, store.ErrUnavailable
}

func (noStore) VMs(context.Context) ([]store.VM, error) { return nil, errNoPlatform }
