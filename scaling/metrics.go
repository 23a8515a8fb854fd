package scaling

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"bergamotcroft.example/bergamot/policy"
)

func countOrder(answer string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bergamot_capacity_orders_total{answer=%q}", answer)).Inc()
}

func reclaimedServers(service, dataCentre string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("bergamot_capacity_reclaimed_total{service=%q,data_centre=%q}", service, dataCentre))
}

// updateMetrics sets the series of the services. The holder of the lease is the only VM whose series are current.
func (c *Controller) updateMetrics(list []Service) {
	for i := range list {
		x := &list[i]
		cost := 0.0
		for j := range x.DataCentres {
			d := &x.DataCentres[j]
			for kind := range d.Kinds {
				r := &d.Kinds[kind]
				o := Order{x.Name, d.Name, policy.ServerKind(kind), 0}
				labels := fmt.Sprintf("{service=%q,data_centre=%q,kind=%q}", x.Name, d.Name, o.Kind)
				metrics.GetOrCreateGauge("bergamot_capacity_serving"+labels, nil).Set(float64(r.Serving + r.Settling))
				starting := c.kind(o).starting(c.opts.Clock.Now(), r.Serving+r.Settling, x.Startup)
				metrics.GetOrCreateGauge("bergamot_capacity_starting"+labels, nil).Set(float64(starting))
				if plan := c.services[x.Name].plan.Desired; j < len(plan) {
					metrics.GetOrCreateGauge("bergamot_capacity_desired"+labels, nil).Set(float64(plan[j][kind]))
				}
				cost += r.Price * float64(r.Serving+r.Settling+r.Leaving+starting)
			}
		}
		metrics.GetOrCreateGauge(fmt.Sprintf("bergamot_capacity_cost_rate{service=%q}", x.Name), nil).Set(cost)
		metrics.GetOrCreateGauge(fmt.Sprintf("bergamot_capacity_demand{service=%q}", x.Name), nil).Set(x.Demand)
	}
}

// describe returns the servers of each data centre and kind for a log line: serving, starting, leaving and desired.
func describe(s *policy.ScalingState, desired policy.ServerCounts) string {
	var b strings.Builder
	for i := range s.DataCentres {
		d := &s.DataCentres[i]
		for kind := range d.Kinds {
			k := &d.Kinds[kind]
			fmt.Fprintf(&b, "%s/%s:%d+%d-%d>%d ", d.DataCentre, policy.ServerKind(kind), k.Serving, k.Starting, k.Leaving, desired[i][kind])
		}
	}
	return strings.TrimSpace(b.String())
}
