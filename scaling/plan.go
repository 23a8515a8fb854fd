package scaling

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/policy"
)

// serviceState is what the controller keeps of a service under one lease.
type serviceState struct {
	scaler    policy.Scaler
	demand    []policy.DemandSample
	plannedAt time.Time
	servers   string // that the last plan was made for
	plan      policy.ScalingPlan
	logged    string
}

// sample records the demand, and where the platform takes servers away.
func (c *Controller) sample(now time.Time, x *Service) {
	s := c.services[x.Name]
	if s == nil {
		s = &serviceState{scaler: c.opts.NewScaler()}
		c.services[x.Name] = s
	}
	at := c.at(now)
	if n := len(s.demand); n > 0 && at-s.demand[n-1].At > maxSampleGap {
		s.demand, s.scaler = nil, c.opts.NewScaler() // a peak may have been missed
	}
	s.demand = append(s.demand, policy.DemandSample{At: at, Servers: x.Demand})
	drop := 0
	for drop < len(s.demand) && s.demand[drop].At < at-demandHistory {
		drop++
	}
	s.demand = s.demand[drop:]
	for i := range x.DataCentres {
		d := &x.DataCentres[i]
		for kind := range d.Kinds {
			r, k := &d.Kinds[kind], &c.subject(x.Name, d.Name).kinds[kind]
			// Servers that an order takes away may state a time too; then at least as many as ordered remain. A new holder knows only
			// the last figure of its predecessor, so that what leaves at its first look is a reclaim only if none remains.
			present := r.Serving + r.Settling
			ordered := k.known && (present >= k.lowest(now, x.Startup) || !k.seen && present > 0)
			k.seen, k.present = true, present
			if n := r.Reclaimed; n > k.reclaimed && !ordered {
				k.orderedAt, k.taken = time.Time{}, true // what was ordered there does not start any more
				k.unavailable = now.Add(reclaimPause)
				if n*reclaimNotices >= n+present {
					k.reclaimedUntil = now.Add(reclaimTime)
				}
				s.plannedAt = time.Time{}
				c.opts.Log.Warn("servers are taken away", zap.String("service", x.Name), zap.String("data_centre", d.Name),
					zap.String("kind", policy.ServerKind(kind).String()), zap.Int("leaving", n), zap.Int("serving", r.Serving))
				reclaimedServers(x.Name, d.Name).Add(n - k.reclaimed)
			}
			k.reclaimed = r.Reclaimed
			if now.Before(k.reclaimedUntil) { // the others report it with their next heartbeat
				r.Leaving, r.Serving, r.Settling = r.Leaving+r.Serving+r.Settling, 0, 0
			}
		}
	}
}

// at returns the time as policies use it.
func (c *Controller) at(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(c.since) + time.Second // not 0
}

// starting returns the servers that were ordered and have not registered yet.
func (k *kindState) starting(now time.Time, registered int, startup time.Duration) int {
	if !k.known || now.Sub(k.orderedAt) >= startup+startMargin {
		return 0
	}
	return max(k.ordered-registered, 0)
}

// remaining returns how many of the registered servers remain when the last order has been carried out.
func (k *kindState) remaining(now time.Time, registered int, startup time.Duration) int {
	if !k.known || now.Sub(k.orderedAt) >= startup+startMargin {
		return registered
	}
	return min(registered, k.ordered)
}

// inForce returns the highest number of servers that there may be by the orders, of which some are registered.
func (k *kindState) inForce(registered int) int {
	if !k.known || k.taken {
		return registered
	}
	return max(k.ordered, registered)
}

// room returns how many servers of a kind may be ordered in a data centre while those of the other kind are there or may come.
func (c *Controller) room(x *Service, d *DataCentre, kind policy.ServerKind) int {
	room := x.Max
	for other := range policy.ServerKinds {
		if r := &d.Kinds[other]; other != kind {
			room -= c.kind(Order{x.Name, d.Name, other, 0}).inForce(r.Serving + r.Settling)
		}
	}
	return room
}

// plan returns the orders that lead to the scaler's decision.
func (c *Controller) plan(now time.Time, x *Service) (add, remove []Order) {
	s := c.services[x.Name]
	state := policy.ScalingState{Min: x.Min, Max: x.Max, Startup: x.Startup, Demand: s.demand, Total: c.totals[x.Name]}
	key := make([]byte, 0, 128)
	serving := 0
	for i := range x.DataCentres {
		d := &x.DataCentres[i]
		at := policy.ServersAt{DataCentre: d.Name}
		key = strconv.AppendQuote(key, d.Name)
		for kind := range at.Kinds {
			r, k := &d.Kinds[kind], &c.subject(x.Name, d.Name).kinds[kind]
			present := k.remaining(now, r.Serving+r.Settling, x.Startup)
			settling := min(r.Settling, present)
			at.Kinds[kind] = policy.Servers{
				Serving: present - settling, Starting: settling + k.starting(now, r.Serving+r.Settling, x.Startup), Leaving: r.Leaving + r.Serving + r.Settling - present,
				Price: r.Price, UnavailableUntil: c.at(k.unavailable),
			}
			serving += r.Serving + r.Settling
			if now.Before(k.unavailable) {
				key = append(key, '!') // its end changes the plan
			}
			for _, n := range [...]int{r.Serving, r.Settling, r.Leaving, at.Kinds[kind].Starting} {
				key = append(strconv.AppendInt(key, int64(n), 10), ' ')
			}
		}
		state.DataCentres = append(state.DataCentres, at)
	}
	if serving == 0 {
		return nil, nil // the catalog is empty, or nothing is left to serve with; no figure follows from that
	}
	if now.Sub(s.plannedAt) >= planInterval || string(key) != s.servers {
		s.plannedAt, s.servers = now, string(key)
		s.plan = s.scaler.Plan(c.at(now), &state)
		c.logPlan(x, s, &state)
	}
	for i := range state.DataCentres {
		d := &state.DataCentres[i]
		for kind, desired := range s.plan.Desired[i] {
			o := Order{x.Name, d.DataCentre, policy.ServerKind(kind), desired}
			k, r := c.kind(o), &x.DataCentres[i].Kinds[kind]
			serves := k.remaining(now, r.Serving+r.Settling, x.Startup)
			if room := c.room(x, &x.DataCentres[i], o.Kind); desired > max(serves, room) { // the rest waits until the other kind's servers leave
				if room <= serves {
					continue
				}
				desired, o.Desired = room, room
			}
			switch {
			case !k.known && desired == serves:
			case desired >= serves && now.Before(k.unavailable): // it keeps what is there
			case desired < serves && now.Before(k.keptUntil):
			case k.known && k.ordered == desired && (desired == serves || now.Sub(k.orderedAt) < x.Startup+startMargin):
				// A figure that has not been reached is ordered again only when the servers should have started, or left.
			case desired > serves:
				add = append(add, o)
			default:
				remove = append(remove, o)
			}
		}
	}
	return add, remove
}

func (c *Controller) logPlan(x *Service, s *serviceState, state *policy.ScalingState) {
	text := describe(state, s.plan.Desired)
	if text == s.logged {
		return
	}
	s.logged = text
	c.opts.Log.Info("capacity plan", zap.String("service", x.Name), zap.String("reason", s.plan.Reason), zap.Float64("demand", x.Demand),
		zap.Float64("need", s.plan.Need), zap.Int("total", s.plan.Total), zap.String("servers", text))
}
