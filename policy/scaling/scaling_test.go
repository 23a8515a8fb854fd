package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

const (
	tick    = 100 * time.Millisecond
	startup = 4 * time.Second
)

// day is a recorded demand, by tick, with the times at which preemptible servers of a data centre are taken away. A data centre of
// -1 means that none are to be had anywhere.
type day struct {
	demand   []float64
	reclaims []reclaim
}

type reclaim struct{ at, until, dc int }

// newDay returns four minutes of waves of 11 s with a swing of 0.27, bursts of one of three classes, and reclaims.
func newDay(r *rand.Rand) day {
	d := day{demand: make([]float64, 2400)}
	base := 45 + 20*r.Float64()
	for i := 50; i < len(d.demand); i++ {
		d.demand[i] = base * (1 + 0.27*math.Sin(2*math.Pi*float64(i)/110))
	}
	for at := 300; at < len(d.demand); at += 300 + r.IntN(300) {
		factor, end := 1.7+0.4*r.Float64(), min(at+30+r.IntN(111), len(d.demand))
		for i := at; i < end; i++ {
			d.demand[i] *= 1 + (factor-1)/3
		}
	}
	for at := 600; at < len(d.demand)-200; at += 400 + r.IntN(400) {
		until := at + 80 + r.IntN(30)
		d.reclaims = append(d.reclaims, reclaim{at, until, r.IntN(3)})
		if r.IntN(4) == 0 {
			d.reclaims = append(d.reclaims, reclaim{at, until, -1})
		}
	}
	return d
}

func (d *day) available(i, dc int, kind policy.ServerKind) bool {
	for _, r := range d.reclaims {
		if kind == policy.Preemptible && i >= r.at && i < r.until && (r.dc == dc || r.dc < 0) {
			return false
		}
	}
	return true
}

// cloud carries out plans as the platform does.
type cloud struct {
	policy.ScalingState
	starts              map[int][]*start // by tick
	cost, work, lacking float64          // lacking: work without servers
}

type start struct {
	dc   int
	kind policy.ServerKind
	n    int
}

func newCloud() *cloud {
	c := &cloud{ScalingState: policy.ScalingState{Min: 1, Max: 94, Startup: startup}, starts: map[int][]*start{}}
	for i, price := range []float64{1, 0.8, 1.25} {
		d := policy.ServersAt{DataCentre: string(rune('a' + i))}
		d.Kinds[policy.OnDemand] = policy.Servers{Serving: []int{47, 47, 46}[i], Price: price}
		d.Kinds[policy.Preemptible].Price = 0.22 * price
		c.DataCentres = append(c.DataCentres, d)
	}
	return c
}

func (c *cloud) order(i, dc int, kind policy.ServerKind, n int, available bool) {
	k := &c.DataCentres[dc].Kinds[kind]
	switch add := n - k.Present(); {
	case add <= 0:
		k.Serving += add
	case available:
		k.Starting += add
		at := i + int(startup/tick)
		c.starts[at] = append(c.starts[at], &start{dc, kind, add})
	default:
		k.UnavailableUntil = time.Duration(i)*tick + 2*time.Second
	}
}

func (c *cloud) reclaim(i, dc int) {
	for _, list := range c.starts {
		for _, s := range list {
			if s.dc == dc && s.kind == policy.Preemptible {
				s.n = 0
			}
		}
	}
	k := &c.DataCentres[dc].Kinds[policy.Preemptible]
	k.Serving, k.Starting, k.UnavailableUntil = 0, 0, time.Duration(i)*tick+8500*time.Millisecond
}

func (c *cloud) step(i int, demand float64) {
	for _, s := range c.starts[i] {
		k := &c.DataCentres[s.dc].Kinds[s.kind]
		k.Starting, k.Serving = k.Starting-s.n, k.Serving+s.n
	}
	delete(c.starts, i)
	serving := 0
	for dc := range c.DataCentres {
		for _, k := range c.DataCentres[dc].Kinds {
			serving += k.Serving
			c.cost += k.Price * float64(k.Present()) * tick.Seconds()
		}
	}
	c.work += demand
	c.lacking += max(demand-float64(serving), 0)
	c.Demand = append(c.Demand[max(len(c.Demand)-319, 0):], policy.DemandSample{At: time.Duration(i) * tick, Servers: demand})
}

// play runs a scaler against a day. check is called with each plan.
func play(p policy.Scaler, d day, check func(i int, c *cloud, plan policy.ScalingPlan)) *cloud {
	c := newCloud()
	for i, demand := range d.demand {
		due := i%5 == 0 // as often as the controller asks without a change of the servers
		for _, r := range d.reclaims {
			if r.at == i && r.dc >= 0 {
				c.reclaim(i, r.dc)
				due = true
			}
		}
		c.step(i, demand)
		if !due {
			continue
		}
		plan := p.Plan(time.Duration(i)*tick, &c.ScalingState)
		check(i, c, plan)
		for dc := range plan.Desired {
			for kind := range policy.ServerKinds {
				c.order(i, dc, kind, plan.Desired[dc][kind], d.available(i, dc, kind))
			}
		}
	}
	return c
}

// hindsight returns the least cost of servers that carry the demand of each start-up time to come, also after the loss of the
// preemptible servers of any data centre. The same bounds on utilisation hold for it, and it is told of each reclaim.
func hindsight(p *Demand, d day) float64 {
	c := newCloud()
	for i := 0; i < len(d.demand); i += 5 {
		peak := 0.0
		for _, x := range d.demand[i:min(i+5+int(startup/tick), len(d.demand))] {
			peak = max(peak, x)
		}
		for dc := range c.DataCentres {
			k := &c.DataCentres[dc].Kinds[policy.Preemptible]
			k.UnavailableUntil = 0
			if !d.available(i, dc, policy.Preemptible) {
				k.UnavailableUntil = math.MaxInt64
			}
		}
		counts := p.cheapest(time.Duration(i)*tick, &c.ScalingState, requirement{int(math.Ceil(peak / p.Utilisation)), int(math.Ceil(peak / p.LossUtilisation))})
		for dc := range counts {
			for kind, n := range counts[dc] {
				c.cost += 5 * tick.Seconds() * float64(n) * c.DataCentres[dc].Kinds[kind].Price
			}
		}
	}
	return c.cost
}

func newDemand(t testing.TB) *Demand {
	t.Helper()
	p, err := kernel.Load[*Demand]("scaling.demand", nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a scaler that pays for far more than the demand needs, and against one that leaves demand without servers at a burst
// or a reclaim. The bounds are those of the work plan.
func TestCostAndShortage(t *testing.T) {
	for seed := range uint64(7) {
		d := newDay(rand.New(rand.NewPCG(seed, 5)))
		c := play(newDemand(t), d, func(i int, c *cloud, plan policy.ScalingPlan) {
			for dc, n := range plan.Desired {
				if n[policy.OnDemand] < c.Min || n[policy.OnDemand]+n[policy.Preemptible] > c.Max || c.DataCentres[dc].Kinds[policy.OnDemand].Serving < c.Min {
					t.Fatalf("seed %d: %v at tick %d in data centre %d", seed, n, i, dc)
				}
			}
		})
		fixed, best := play(&Fixed{}, d, func(int, *cloud, policy.ScalingPlan) {}), hindsight(newDemand(t), d)
		t.Logf("seed %d: cost %.0f, fixed count %.0f, hindsight %.0f, ratio %.2f, without capacity %.4f", seed, c.cost, fixed.cost, best, c.cost/best, c.lacking/c.work)
		if c.cost > 1.5*best || c.lacking > 0.01*c.work {
			t.Errorf("seed %d: cost %.2f times that in hindsight, %.4f of the demand without capacity", seed, c.cost/best, c.lacking/c.work)
		}
	}
}

// Guards against a capacity that falls before demand is known, or while replacements do not serve yet.
func TestKindsChangeBeforeDemandIsKnown(t *testing.T) {
	c := play(newDemand(t), day{demand: make([]float64, 100)}, func(i int, c *cloud, _ policy.ScalingPlan) {
		serving := 0
		for dc := range c.DataCentres {
			serving += c.DataCentres[dc].Kinds[policy.OnDemand].Serving + c.DataCentres[dc].Kinds[policy.Preemptible].Serving
		}
		if serving < 140 {
			t.Fatalf("%d servers at tick %d", serving, i)
		}
	})
	for dc := range c.DataCentres {
		if n := c.DataCentres[dc].Kinds; n[policy.OnDemand].Serving != 1 || n[policy.Preemptible].Serving < 45 {
			t.Errorf("%+v in data centre %d", n, dc)
		}
	}
}

// Guards against orders that follow each wave, or the noise of the samples: each one takes servers away that the next wave needs.
func TestSteadyWavesDoNotOscillate(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 7))
		d := day{demand: make([]float64, 1200)}
		for i := range d.demand {
			d.demand[i] = max(60*(1+0.27*math.Sin(2*math.Pi*float64(i)/110))*(1+0.1*r.NormFloat64()), 0)
		}
		last, fell := 0, false
		play(newDemand(t), d, func(i int, _ *cloud, plan policy.ScalingPlan) {
			if i > 700 { // the first waves are known
				fell = fell || plan.Total < last
				if fell && plan.Total > last {
					t.Fatalf("seed %d: from %d to %d servers at tick %d after a fall", seed, last, plan.Total, i)
				}
			}
			last = plan.Total
		})
	}
}

// Guards against a first plan for a part of the fleet: the servers of a fleet that starts register over some seconds.
func TestTheFirstPlanWaitsForRegistrations(t *testing.T) {
	p := newDemand(t)
	s := &policy.ScalingState{Min: 1, Max: 94, Startup: startup, DataCentres: make([]policy.ServersAt, 3)}
	for dc := range s.DataCentres {
		k := &s.DataCentres[dc].Kinds
		k[policy.OnDemand].Price, k[policy.Preemptible].Price = 1, 0.22
	}
	for i := range 80 {
		now := time.Duration(i+1) * tick
		for dc := range s.DataCentres {
			s.DataCentres[dc].Kinds[policy.OnDemand].Serving = min(i+1, 45)
		}
		plan := p.Plan(now, s)
		if i < 45 && sum(plan.Desired) != sum(present(s)) {
			t.Fatalf("%+v while servers register", plan)
		}
		if i == 79 && plan.Total < 3*45 {
			t.Errorf("%+v for %d servers", plan, 3*45)
		}
	}
}

// Guards against room for the loss of a second data centre that is bought at the price of on-demand servers while preemptible ones
// can't be had in the first.
func TestALossIsReplacedByCheapServersElsewhere(t *testing.T) {
	p := newDemand(t)
	s := &policy.ScalingState{Min: 1, Max: 94, Startup: startup, Total: 60, DataCentres: make([]policy.ServersAt, 3)}
	for dc := range s.DataCentres {
		k := &s.DataCentres[dc].Kinds
		k[policy.OnDemand] = policy.Servers{Serving: 1, Price: 1}
		k[policy.Preemptible] = policy.Servers{Serving: 19, Price: 0.22}
	}
	for i := range 200 {
		s.Demand = append(s.Demand, policy.DemandSample{At: time.Duration(i+1) * tick, Servers: 35})
	}
	now := 200 * tick
	p.Plan(now, s)
	s.DataCentres[2].Kinds[policy.Preemptible] = policy.Servers{Price: 0.22, UnavailableUntil: now + 10*time.Second}
	plan := p.Plan(now+tick, s)
	onDemand := 0
	for dc := range plan.Desired {
		onDemand += plan.Desired[dc][policy.OnDemand]
	}
	if onDemand != 3 || plan.Total < 47 {
		t.Errorf("%+v after a loss", plan)
	}
}

// Guards against servers that are taken away, and ordered again seconds later, because none are to be had in one data centre for a moment.
func TestNothingIsTakenAwayWhileNoneAreToBeHad(t *testing.T) {
	p := newDemand(t)
	s := &policy.ScalingState{Min: 1, Max: 94, Startup: startup, Total: 90, DataCentres: make([]policy.ServersAt, 3)}
	for i := range 200 {
		s.Demand = append(s.Demand, policy.DemandSample{At: time.Duration(i+1) * tick, Servers: 55})
	}
	for dc := range s.DataCentres {
		k := &s.DataCentres[dc].Kinds
		k[policy.OnDemand].Price, k[policy.Preemptible].Price = 1, 0.22
	}
	now := 200 * tick
	for range 3 { // the servers of the plan serve
		for dc, n := range p.Plan(now, s).Desired {
			for kind := range n {
				s.DataCentres[dc].Kinds[kind].Serving = n[kind]
			}
		}
		now += tick
	}
	s.DataCentres[0].Kinds[policy.Preemptible].UnavailableUntil = now + 2*time.Second
	if plan := p.Plan(now, s); sum(plan.Desired) < sum(present(s)) {
		t.Errorf("%+v for %+v", plan, s.DataCentres)
	}
}
