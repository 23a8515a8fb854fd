// Package server assembles the packages of an entry VM into one run.Group, so that tests, the demo and `bergamotd run` all start
// the same server.
//
// Invariant: a planned stop drains the gateway before it stops anything that serves requests, and a repeated stop signal has
// no effect.
package server

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/ingress"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// Options configures a Server.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Source   configuration.Source // nil: from the settings
	Store    store.Store          // nil: from the settings
}

// Server is one entry VM.
type Server struct {
	opts    Options
	log     *zap.Logger
	client  *upstream.Client
	members *members
	control *authority
	source  configuration.Source
	gateway *gateway.Gateway
	subset  *subsets
	reports *loadReports
	limits  *ingress.Guard // of what clients hold; nil: not bounded
	callers *listener
	metrics *listener
	group   run.Group

	stopOnce sync.Once
	stop     chan struct{}
}

// New builds a server and opens its listeners.
func New(o Options) (*Server, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	s := &Server{opts: o, log: o.Log, stop: make(chan struct{})}
	s.subset = &subsets{vm: o.Settings.Name, perGroup: o.Settings.Upstreams.Subset}
	if err := s.build(); err != nil {
		s.closeListeners()
		return nil, trace.Wrap(err)
	}
	s.wire()
	return s, nil
}

// build creates the components in the order of their dependencies.
func (s *Server) build() error {
	set := s.opts.Settings
	if set.MemoryBytes > 0 {
		s.limits = ingress.New(ingress.Options{MemoryBytes: set.MemoryBytes, Clients: set.Callers.MaxConnections, Log: s.log})
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.reports = newLoadReports(s)
	s.client = upstream.New(upstream.Options{
		OnLoad:  s.reports.enqueue,
		EntryVM: set.Name, DialTimeout: set.Upstreams.DialTimeout.D(), HeaderTimeout: set.Upstreams.HeaderTimeout.D(),
		StallTimeout: set.Upstreams.StallTimeout.D(),
	})
	if err := s.buildMembers(); err != nil {
		return err
	}
	sched, err := newScheduler(set)
	if err != nil {
		return err
	}
	m := s.members
	s.gateway = gateway.New(gateway.Options{
		Source: s.source, Scheduler: sched, Client: s.client, Log: s.log, Addresses: s.addresses(), Guard: m.claims,
		Subset: func(c *topo.Configuration) []topo.Upstream { return s.subset.forConfiguration(c).list },
		Limits: limiter{m.limits}, ConfirmState: s.checkConfirmedSince, OnPause: s.onPause, OnReachability: s.reportReachability,
		Quarantine: quarantine.New(quarantine.Options{
			List: m.list, Settle: set.Quarantine.Settle.D(), Expiry: set.Quarantine.Expiry.D(),
		}),
		MaxBody: set.Callers.MaxBodyBytes, MaxAnswer: set.Gateway.MaxAnswerBytes, BodyTimeout: set.Callers.BodyTimeout.D(),
		WriteTimeout: set.Callers.WriteTimeout.D(), DefaultDeadline: set.Gateway.DefaultDeadline.D(),
		MaxDeadline: set.Gateway.MaxDeadline.D(), RelayRing: set.Gateway.RelayRing, LoopRing: set.Gateway.LoopRing,
		CallerSeries: set.Gateway.CallerSeries, ServiceTimeout: set.Gateway.ServiceTimeout.D(),
	})
	s.callers.server.Handler = s.gateway
	if err := s.buildAuthority(); err != nil {
		return err
	}
	s.callers.protect(s.limits, "callers")
	s.metrics.protect(s.limits, "metrics")
	if s.control != nil {
		s.control.admin.protect(s.limits, "operators")
	}
	return nil
}

// listen opens the listeners. Run serves them.
func (s *Server) listen() error {
	set := s.opts.Settings
	var err error
	if s.callers, err = newListener(set.Callers.Listen, set.Callers.MaxConnections, nil, s.log, s.limits); err != nil {
		return err
	}
	h := s.callers.server
	h.ReadHeaderTimeout, h.IdleTimeout, h.MaxHeaderBytes = set.Callers.HeaderTimeout.D(), set.Callers.IdleTimeout.D(), set.Callers.MaxHeaderBytes
	if set.Callers.Certificate != "" {
		if err := s.callers.useTLS(set.Callers.Certificate, set.Callers.Key); err != nil {
			return err
		}
	}
	if set.Metrics.Listen == "" {
		return nil
	}
	s.metrics, err = newListener(set.Metrics.Listen, metricsConnections, http.HandlerFunc(s.serveMetrics), s.log, s.limits)
	return err
}

// metricsConnections bounds the connections to the metrics listener.
const metricsConnections = 64

// wire adds the actors to the run.Group. When one of them ends, all are interrupted.
func (s *Server) wire() {
	s.wireMembers()
	s.wireAuthority()
	s.addContext("gateway", s.gateway.Run)
	s.addContext("reports", s.reports.runPolls)
	s.addContext("reports on answers", s.reports.runAnswers)
	s.addListener(s.callers)
	s.addListener(s.metrics)
	s.watchCertificate("certificate", s.callers)
	if s.control != nil {
		s.watchCertificate("operators' certificate", s.control.admin)
	}
	s.group.Add(func() error {
		<-s.stop
		s.drain()
		return nil
	}, func(error) { s.Stop() })
}

// watchCertificate adds an actor that reloads a listener's certificate, if it has one.
func (s *Server) watchCertificate(name string, l *listener) {
	if l == nil || l.certificate == nil {
		return
	}
	every := s.opts.Settings.Callers.ReloadEvery.D()
	s.addContext(name, func(ctx context.Context) error { return l.certificate.watch(ctx, every) })
}

// addContext adds an actor that runs until its context ends.
func (s *Server) addContext(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Add(func() error { return trace.Wrap(f(ctx), "%s", name) }, func(error) { cancel() })
}

func (s *Server) addListener(l *listener) {
	if l != nil {
		s.group.Add(l.serve, func(error) { l.shutdown() })
	}
}

// Run serves until Stop has been called and the server has drained, or until an actor fails.
func (s *Server) Run() error {
	set := s.opts.Settings
	s.log.Info("serving", zap.String("vm", set.Name), zap.String("data_centre", set.DataCentre), zap.String("callers", s.CallerAddress()))
	err := s.group.Run()
	s.client.Close()
	s.log.Info("stopped", zap.Error(err))
	return trace.Wrap(err)
}

// Stop begins a graceful stop. Further calls have no effect.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// drain keeps accepting requests until the addresses that callers keep have expired, then waits for running requests to finish.
func (s *Server) drain() {
	s.members.list.Leave()
	wait := s.addressOptions().LeaveDelay()
	drain := s.opts.Settings.Shutdown.Drain.D()
	if s.opts.Settings.Shutdown.Unlisted {
		wait = 0
	}
	s.gateway.Drain(context.Background(), wait, max(drain-wait, 0))
}

// checkConfirmedSince returns an error unless the configuration has been confirmed since a pause of the process was detected.
// Leases, limits and claims detect pauses themselves by the same clock.
func (s *Server) checkConfirmedSince(since time.Duration) error {
	f := s.source.Freshness()
	if !f.AllowsNewWork || f.ConfirmationAge > since {
		return errUnconfirmed
	}
	return nil
}

// onPause requests a confirmation of the configuration immediately. Otherwise new work would be refused until the next scheduled
// confirmation.
func (s *Server) onPause() {
	if s.members.node != nil {
		s.members.node.ConfirmNow()
	}
}

var errUnconfirmed = errors.New("the configuration is not confirmed since the pause")

// CallerAddress returns the address of the caller listener.
func (s *Server) CallerAddress() string { return s.callers.address() }

// MetricsAddress returns the address of the metrics listener, or "".
func (s *Server) MetricsAddress() string {
	if s.metrics == nil {
		return ""
	}
	return s.metrics.address()
}

// AdminAddress returns the address of the administration listener, or "".
func (s *Server) AdminAddress() string {
	if s.control == nil || s.control.admin == nil {
		return ""
	}
	return s.control.admin.address()
}

// PeerAddress returns the address at which other entry VMs reach this one.
func (s *Server) PeerAddress() string { return s.members.list.Self().PeerAddress }

// Members returns the member table of this entry VM.
func (s *Server) Members() []membership.Member { return s.members.list.Members() }

// Gateway returns the gateway, for tests.
func (s *Server) Gateway() *gateway.Gateway { return s.gateway }

func (s *Server) closeListeners() {
	if s.members != nil {
		s.members.close()
	}
	listeners := []*listener{s.callers, s.metrics}
	if s.control != nil {
		listeners = append(listeners, s.control.admin)
	}
	for _, l := range listeners {
		if l != nil {
			_ = l.socket.Close()
		}
	}
}

// advertisedAddress returns the address that callers are given for this entry VM.
func (s *Server) advertisedAddress() string {
	if a := s.opts.Settings.Callers.Advertise; a != "" {
		return a
	}
	return s.callers.address()
}
