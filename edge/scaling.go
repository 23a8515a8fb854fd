package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/scaling"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"

	_ "bergamotcroft.example/bergamot/policy/scaling" // registers itself
)

// buildScaling creates the controller of the number of servers, nil if the settings don't ask for it.
func (e *Edge) buildScaling() (*scaling.Controller, error) {
	if !e.settings.Duties.Scale || e.settings.Duties.Address == "" {
		return nil, nil
	}
	const scaler = "scaling.demand"
	if _, err := kernel.Load[policy.Scaler](scaler, nil); err != nil {
		return nil, trace.Wrap(err)
	}
	client := platform.DutyClient{Pool: e.pool, Address: e.settings.Duties.Address, Holder: e.settings.VM}
	control := scaling.New(scaling.Options{
		Lease: e.duties.lease, Group: dutyGroup, Holder: e.settings.VM, Store: e.objects, Observe: e.scaledServices, HandOverPause: e.handOverPause(),
		NewScaler: func() policy.Scaler {
			s, err := kernel.Load[policy.Scaler](scaler, nil)
			if err != nil {
				e.log.Error("scaler", zap.Error(err)) // it was loaded before
			}
			return s
		},
		Send: func(ctx context.Context, t lease.Token, o scaling.Order) error {
			return orderError(client.OrderServers(ctx, t, o.Service, o.DataCentre, o.Desired, o.Kind == policy.Preemptible))
		},
		Clock: store.BootClock{}, Log: e.log,
	})
	e.addActor("capacity orders", control.Run)
	return control, nil
}

func orderError(err error) error {
	switch {
	case errors.Is(err, platform.ErrNoServers):
		return trace.Wrap(scaling.ErrNoServers)
	case errors.Is(err, platform.ErrDutyRateLimited):
		return trace.Wrap(scaling.ErrRateLimited)
	case errors.Is(err, platform.ErrDutyRejected):
		return trace.Wrap(scaling.ErrRejected, "%v", err)
	}
	return err
}

// minReachable is the share of the entry VMs whose demand must be known.
const minReachable = 0.9

// scaledServices returns the services whose servers are ordered, or nil if their servers are not known now.
func (e *Edge) scaledServices() []scaling.Service {
	s := e.catalog.State()
	if s.Table == nil || !e.configurationConfirmed() || !hasScaling(s.Table) {
		return nil
	}
	// The demand of entry VMs that are not heard would be missing, and servers would be taken away for it.
	if reachable, known := e.list.Reachable(); float64(reachable) < minReachable*float64(known) {
		return nil
	}
	fleet := map[string]upstreamLoad{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.gateway.Do(ctx, func(_ time.Duration, sched *scheduler.Scheduler) {
		for _, u := range sched.Fleet().Upstreams {
			fleet[u.Spec.Name] = upstreamLoad{
				role: u.Role, running: float64(u.OwnRunning + u.OtherRunning()), prompt: u.OwnPrefill + u.OtherPrefill(),
			}
		}
	})
	if err != nil {
		return nil // the gateway has stopped
	}
	e.arrivals.note(time.Now(), &s)
	return servicesToScale(&s, fleet, &e.arrivals)
}

func hasScaling(t *routes.Table) bool {
	for _, s := range t.Services {
		if s.Scaling != nil {
			return true
		}
	}
	return false
}

// arrivals holds when upstreams were first seen by the controller of the number of servers. Its zero value is ready to use.
type arrivals struct {
	now  time.Time
	seen map[string]time.Time // by upstream name; zero for those that were there at the first look
}

func (a *arrivals) note(now time.Time, s *catalog.State) {
	seen := make(map[string]time.Time, len(s.Entries))
	for i := range s.Entries {
		name := upstreamName(&s.Entries[i])
		at, ok := a.seen[name]
		if !ok && a.seen != nil {
			at = now
		}
		seen[name] = at
	}
	a.now, a.seen = now, seen
}

// roleOrderTime is how long it takes after a registration until a new engine has got its first order.
const roleOrderTime = time.Second

// settling reports whether a new engine may still be taking its role. Old servers are not taken away for it before.
func (a *arrivals) settling(service *routes.Service, x *catalog.Entry) bool {
	at := a.seen[upstreamName(x)]
	return !at.IsZero() && service.Engine != nil && service.Engine.MovesBetweenRoles && a.now.Sub(at) < service.Engine.RoleChange+roleOrderTime
}

// reclaimGroup returns the group of servers that the platform may take away together, or "" if the number of the service's servers
// is fixed.
func reclaimGroup(s *catalog.State, x *catalog.Entry) string {
	switch {
	case !isScaled(s, x.Service):
		return ""
	case x.Preemptible:
		return x.DataCentre + " " + policy.Preemptible.String()
	}
	return x.DataCentre
}

// takenAway holds the upstreams that the platform takes away, with the time from which it ends them. Its zero value is ready to use.
type takenAway struct {
	mu   sync.Mutex
	from map[string]endTime // by upstream name
}

type endTime struct {
	at     time.Time
	scaled bool // the number of the service's servers is ordered
}

const (
	// takenAwayMargin covers the delay of an entry, by which the stated time seems to end later.
	takenAwayMargin = time.Second
	// takenAwayMemory is how long an end may be noticed after the stated time.
	takenAwayMemory = 30 * time.Second
)

func (a *takenAway) note(now time.Time, s *catalog.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, end := range a.from {
		if now.Sub(end.at) > takenAwayMemory {
			delete(a.from, name)
		}
	}
	for i := range s.Entries {
		x := &s.Entries[i]
		scaled := isScaled(s, x.Service)
		if !x.Leaving || x.LeavesIn <= 0 || !x.Preemptible && !scaled { // a reduction takes servers of either kind away
			continue
		}
		if a.from == nil {
			a.from = map[string]endTime{}
		}
		if name := upstreamName(x); a.from[name].at.IsZero() {
			a.from[name] = endTime{now.Add(x.LeavesIn - takenAwayMargin), scaled}
		}
	}
}

func isScaled(s *catalog.State, service string) bool {
	return s.Table != nil && s.Table.Services[service] != nil && s.Table.Services[service].Scaling != nil
}

// ends returns when the platform may end the servers of scaled services, relative to now.
func (a *takenAway) ends(now time.Time) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]time.Duration{}
	for name, end := range a.from {
		if end.scaled {
			out[name] = end.at.Sub(now)
		}
	}
	return out
}

// now reports whether the platform may have ended the upstream.
func (a *takenAway) now(now time.Time, upstream string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	end, ok := a.from[upstream]
	return ok && !now.Before(end.at)
}

// upstreamLoad is the load of an upstream by all entry VMs.
type upstreamLoad struct {
	role    topo.Role
	running float64 // requests that run or wait
	prompt  float64 // prompt tokens that wait or are being computed
}

// servicesToScale returns the scaled services with their registered servers and their demand.
func servicesToScale(s *catalog.State, fleet map[string]upstreamLoad, a *arrivals) []scaling.Service {
	var out []scaling.Service
	for name, service := range s.Table.Services {
		if service.Scaling == nil {
			continue
		}
		out = append(out, scaledService(s, name, service, fleet, a))
	}
	slices.SortFunc(out, func(a, b scaling.Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func scaledService(s *catalog.State, name string, service *routes.Service, fleet map[string]upstreamLoad, a *arrivals) scaling.Service {
	c := service.Scaling
	out := scaling.Service{Name: name, Min: c.Min, Max: c.Max, Startup: c.Startup}
	byName := map[string]int{}
	add := func(dataCentre string) int {
		i, ok := byName[dataCentre]
		if !ok {
			i = len(out.DataCentres)
			byName[dataCentre] = i
			d := scaling.DataCentre{Name: dataCentre}
			d.Kinds[policy.OnDemand].Price, d.Kinds[policy.Preemptible].Price = c.Price(dataCentre, false), c.Price(dataCentre, true)
			out.DataCentres = append(out.DataCentres, d)
		}
		return i
	}
	for dataCentre := range c.Prices { // servers may be ordered also where none are
		add(dataCentre)
	}
	var d demand
	for i := range s.Entries {
		x := &s.Entries[i]
		if x.Service != name {
			continue
		}
		kind := policy.OnDemand
		if x.Preemptible {
			kind = policy.Preemptible
		}
		r := &out.DataCentres[add(x.DataCentre)].Kinds[kind]
		switch {
		case !x.Leaving && a.settling(service, x):
			r.Settling++
		case !x.Leaving:
			r.Serving++
		case x.Preemptible && x.LeavesIn > 0:
			r.Reclaimed++
			fallthrough
		default:
			r.Leaving++
		}
		d.add(service, x, fleet[upstreamName(x)])
	}
	slices.SortFunc(out.DataCentres, func(a, b scaling.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	out.Demand = d.servers()
	return out
}

// promptStay is how long a prompt's tokens are in hand at an engine that is not overloaded: its computation, the fixed time of a
// prompt and the messages. By Little's law the work in hand, in seconds of an engine, over this time is the engine's utilisation.
const promptStay = 0.15 // seconds

// promptTokensPerS is assumed of an engine's prompts. Speeds of single servers are not used: which one the platform starts is not known before.
const promptTokensPerS = 60000.0

// maxServerDemand bounds the demand at one server, whose queue may also be long since it is slow.
const maxServerDemand = 1.5

// demand sums the work at the servers of a service, as the number of servers that it keeps fully busy.
type demand struct {
	prompt, generating, both    float64 // work
	prompts, generators, others int     // servers
}

func (d *demand) add(service *routes.Service, x *catalog.Entry, l upstreamLoad) {
	if l.role == "" { // the scheduler does not know it yet
		l.role = x.Role
	}
	prompt := 0.0
	if l.prompt > 0 {
		prompt = min(l.prompt/promptTokensPerS/promptStay, maxServerDemand)
	}
	// A step with few streams takes at least half of the time of a full one, so that the throughput with a share u of the slots
	// is 2u/(1+u) of the highest one.
	u := l.running / float64(max(x.Slots, 1))
	generating := min(max(2*u/(1+u), u), maxServerDemand)
	n := 1
	if x.Leaving {
		n = 0 // its work goes elsewhere soon
	}
	switch {
	case service.Engine == nil:
		d.both, d.others = d.both+min(u, maxServerDemand), d.others+n
	case l.role == topo.RolePrefill:
		d.prompt, d.prompts = d.prompt+prompt, d.prompts+n
	case l.role == topo.RoleDecode:
		d.generating, d.generators = d.generating+generating, d.generators+n
	default:
		d.both, d.others = d.both+max(prompt, generating), d.others+n
	}
}

// servers returns the demand in servers of all roles. The split between the roles is maintained for any number of servers, so
// that the role that is busier determines the need.
func (d *demand) servers() float64 {
	split := float64(d.prompts + d.generators)
	busiest := 0.0
	if d.prompts > 0 {
		busiest = d.prompt / float64(d.prompts)
	}
	if d.generators > 0 {
		busiest = max(busiest, d.generating/float64(d.generators))
	}
	return busiest*split + d.both
}
