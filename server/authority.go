package server

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/admin"
	"bergamotcroft.example/bergamot/control"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// authority holds the components that act under leases, and the administration API.
type authority struct {
	leases     *lease.Manager
	orders     *orders.Service
	controller *control.Controller
	roles      *control.Roles
	admin      *listener // nil: none
}

// buildAuthority creates leases, orders, planned changes and the administration API. Without a platform it creates none of them.
func (s *Server) buildAuthority() error {
	set, store := s.opts.Settings, s.authorityStore()
	if _, ok := store.(noStore); ok || s.members.node == nil {
		return nil
	}
	a := &authority{}
	busy := func(group int) bool { return a.orders.Busy(group) }
	a.leases = lease.New(lease.Options{
		Store: store, Members: s.members.list, Name: set.Name, Incarnation: s.members.list.Self().Boot, Groups: set.Control.Groups,
		Term: set.Control.Term.D(), Busy: busy, Logger: s.log,
	})
	a.orders = orders.New(orders.Options{
		Store: store, Authority: a.leases, Engine: upstream.OrderClient{Client: s.client}, Name: set.Name, Logger: s.log,
	})
	s.control = a
	o, err := s.controlOptions()
	if err != nil {
		return err
	}
	return s.buildControl(o)
}

// authorityStore returns a view of the store with the part of the call rate that is reserved for leases, orders, plans and
// accepted configurations.
func (s *Server) authorityStore() store.Store {
	if c, ok := s.members.store.(*store.Client); ok {
		return c.Authority()
	}
	return s.members.store
}

// unreachableMargin is added, for clock differences, to the time after which an entry VM that is cut off refuses new work.
const unreachableMargin = 3 * time.Second

func (s *Server) controlOptions() (control.Options, error) {
	set, m := s.opts.Settings, s.members
	expires, err := set.Control.Credits.ExpiresAt()
	if err != nil {
		return control.Options{}, trace.Wrap(err)
	}
	c := set.Control.Credits
	return control.Options{
		Self: set.Name, Store: s.authorityStore(), Configurations: m.node, Reports: control.UpstreamReports{Client: s.client},
		List: m.list, Authority: s.control.leases, Runner: s.control.orders, Mover: control.BroadcastMover{List: m.list}, Logger: s.log,
		Limits: control.Limits{RefuseAfter: set.Platform.Unconfirmed.D() + unreachableMargin},
		Costs: control.PlatformCosts{URL: set.Platform.URL, Client: http.DefaultClient, CreditBalance: plan.Credits{
			Balance: c.Balance, Expires: expires, PerEngineSecond: c.PerEngineSecond, PerGigabyte: c.PerGigabyte,
		}},
	}, nil
}

// buildControl creates the controllers and the administration listener.
func (s *Server) buildControl(o control.Options) error {
	set, m, a := s.opts.Settings, s.members, s.control
	a.controller = control.NewController(o)
	planner := func() policy.RolePlanner {
		p, err := kernel.Load[policy.RolePlanner](set.Policies.Roles.ID, set.Policies.Roles.Settings)
		if err != nil { // not expected: the check of the settings makes the same call
			s.log.Error("role planner", zap.Error(err))
			p, _ = kernel.Load[policy.RolePlanner]("roles.fixed", nil)
		}
		return p
	}
	a.roles = control.NewRoles(o, mixSource{s}, nil, planner)
	m.list.Handle(control.EventMoveStreams, s.moveStreams)
	if set.Operators.Listen == "" {
		return nil
	}
	operators := make([]admin.Operator, len(set.Operators.Keys))
	for i, k := range set.Operators.Keys {
		operators[i] = admin.Operator{Name: k.Operator, KeySHA: k.KeySHA, Role: admin.Role(k.Role)}
	}
	api := admin.New(admin.Options{
		Operators: operators, Plans: control.NewPlans(o), Store: m.store, Source: s.source, History: m.node, List: m.list,
		Reports: o.Reports, Wake: a.controller.Wake, Logger: s.log,
	})
	mux := http.NewServeMux()
	mux.Handle(api.Handler())
	var err error
	if a.admin, err = newListener(set.Operators.Listen, adminConnections, mux, s.log, s.limits); err != nil {
		return err
	}
	if set.Operators.Certificate != "" {
		return a.admin.useTLS(set.Operators.Certificate, set.Operators.Key)
	}
	return nil
}

// adminConnections bounds the connections to the administration listener.
const adminConnections = 256

// moveStreams handles the event by which a planned change moves this entry VM's streams off an engine.
func (s *Server) moveStreams(e membership.Event) {
	var m control.MoveStreams
	if err := json.Unmarshal(e.Payload, &m); err != nil {
		s.log.Warn("event not understood", zap.String("kind", e.Kind), zap.Error(err))
		return
	}
	go s.gateway.MoveStreams(m.From)
}

// mixSource estimates the load mix offered to the whole fleet as the load of this entry VM times the number of entry VMs, because
// callers are distributed over the entry VMs by size.
type mixSource struct{ s *Server }

// Mix implements control.LoadMixSource.
func (m mixSource) Mix(model string) (mix policy.Mix, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), mixTimeout)
	defer cancel()
	for _, c := range m.s.source.Current().Models {
		if c.Name == model && c.Version != "" {
			model += "@" + c.Version
			break
		}
	}
	err := m.s.gateway.Do(ctx, func(now time.Duration, sched *scheduler.Scheduler) { mix = sched.Mix(now, model) })
	if err != nil { // the function may still run
		return policy.Mix{}, false
	}
	n := float64(len(m.s.members.list.Members()))
	mix.PrefillTokensPerSecond *= n
	mix.DecodeTokensPerSecond *= n
	return mix, true
}

// engines returns the engines of the configuration in force.
func (s *Server) engines() []topo.Upstream {
	c := s.source.Current()
	if c == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.Upstreams), func(u topo.Upstream) bool { return u.Kind != topo.KindEngine })
}

// mixTimeout bounds the wait for the scheduler's goroutine.
const mixTimeout = time.Second

// wireAuthority adds the actors of the authority.
func (s *Server) wireAuthority() {
	if s.control != nil {
		s.addContext("leases", s.control.leases.Run)
		s.addContext("orders", func(ctx context.Context) error { return s.control.orders.SettleLoop(ctx, s.engines) })
		s.addContext("plans", s.control.controller.Run)
		s.addContext("roles", func(ctx context.Context) error { return s.control.roles.Run(ctx, s.source.Current) })
		s.addListener(s.control.admin)
	}
}
