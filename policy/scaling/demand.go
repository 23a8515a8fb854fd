package scaling

import (
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

// Demand follows the peak of the demand over the last wave, with the cheapest servers that carry it also after all preemptible
// servers of one data centre have been taken away.
//
// It is designed for demand in waves of 11 to 13 s with bursts of some seconds, and servers that start within a few seconds. It
// does not suit servers that take longer to start than a burst lasts: it would always be late.
type Demand struct {
	// Utilisation is the share of the servers that a peak may keep busy. Callers expect the first event within 300 ms, and a
	// prompt of 17,000 tokens takes 0.18 s, so that a prompt may wait for at most one other.
	Utilisation float64 `json:"utilisation"`
	// LossUtilisation is the same after the loss of a data centre's preemptible servers, until their replacements serve.
	LossUtilisation float64 `json:"loss_utilisation"`
	RegisterMS      int     `json:"register_ms"` // time without a registration after which all servers of the start count as registered
	WaveMS          int     `json:"wave_ms"`     // duration of a wave of demand
	SmoothMS        int     `json:"smooth_ms"`   // least time over which samples are averaged; single ones show one prompt more or less
	DeadBand        float64 `json:"dead_band"`   // by which the demand must fall before the plan follows
	// UpStep is added to a demand above the highest one, so that a wave that rises little by little does not cause an order at
	// each look.
	UpStep   float64 `json:"up_step"`
	DownStep float64 `json:"down_step"` // by which the plan falls at most, each start-up time
	MaxAhead float64 `json:"max_ahead"` // bound on the forecast over a start-up time, relative to the demand now
	// BalanceWeight is the price of a server beyond a data centre's even share, relative to a server of mean price that is not
	// preemptible. Callers are spread evenly, so that such a server's work comes from other data centres.
	BalanceWeight float64 `json:"balance_weight"`

	found       int           // servers at the start
	foundAt     time.Duration // last change of found
	planned     bool          // found is final
	firstDemand time.Duration // time of the first sample above 0; 0: none yet
	level       float64       // demand that the plan carries
	lastChange  time.Duration // last change of level
}

// ModuleInfo implements kernel.Module.
func (*Demand) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "scaling.demand", New: func() kernel.Module {
		return &Demand{
			Utilisation: 0.6, LossUtilisation: 0.8, RegisterMS: 2000, WaveMS: 13000, SmoothMS: 1000, DeadBand: 0.08, UpStep: 0.03, DownStep: 0.2, MaxAhead: 1.25, BalanceWeight: 0.15,
		}
	}}
}

// Validate implements kernel.Validator.
func (p *Demand) Validate() error {
	if p.Utilisation <= 0 || p.Utilisation > 1 || p.LossUtilisation < p.Utilisation || p.RegisterMS < 0 || p.WaveMS <= 0 || p.SmoothMS <= 0 || p.DeadBand <= 0 || p.DeadBand >= 1 ||
		p.DownStep <= 0 || p.DownStep > 1 || p.UpStep < 0 || p.UpStep >= p.DeadBand || p.MaxAhead < 1 || p.BalanceWeight < 0 {
		return errors.New("utilisation, loss_utilisation, wave_ms, smooth_ms, dead_band, up_step, down_step, register_ms, max_ahead or balance_weight is out of range")
	}
	return nil
}

// Plan implements policy.Scaler.
func (p *Demand) Plan(now time.Duration, s *policy.ScalingState) policy.ScalingPlan {
	settled := p.follow(now, s)
	if !p.planned {
		p.planned = p.countFound(now, s)
		if !p.planned {
			return policy.ScalingPlan{Desired: present(s), Total: p.found, Need: p.level, Reason: "servers are registering"}
		}
	}
	r := requirement{total: int(math.Ceil(p.level / p.Utilisation)), afterLoss: int(math.Ceil(p.level / p.LossUtilisation))}
	reason := "demand"
	if !settled {
		r.total = max(r.total, p.found)
		reason = "demand not known yet"
	}
	additions := r
	if anyUnavailable(now, s) {
		additions.afterLoss = 0 // but nothing that is there is taken away for it
	}
	target := p.cheapest(now, s, additions)
	desired := inOrder(s, target, r)
	return policy.ScalingPlan{Desired: desired, Total: sum(target), Need: p.level, Reason: reason}
}

// countFound counts the servers that are there at the start, and reports whether all have registered: their number has not changed
// for RegisterMS. The registrations of a fleet that starts arrive over some seconds. A later holder knows its predecessor's total.
func (p *Demand) countFound(now time.Duration, s *policy.ScalingState) bool {
	n := sum(present(s))
	if s.Total > 0 {
		p.found = min(n, s.Total)
		return true
	}
	if n != p.found {
		p.found, p.foundAt = n, now
	}
	return now-p.foundAt >= time.Duration(p.RegisterMS)*time.Millisecond
}

// anyUnavailable reports whether preemptible servers can't be had somewhere, as after a loss. Until they are back, room for a second loss
// would be bought with on-demand servers at several times the price.
func anyUnavailable(now time.Duration, s *policy.ScalingState) bool {
	for i := range s.DataCentres {
		if s.DataCentres[i].Kinds[policy.Preemptible].UnavailableUntil > now {
			return true
		}
	}
	return false
}

func sum(c policy.ServerCounts) int {
	n := 0
	for i := range c {
		n += c[i][policy.OnDemand] + c[i][policy.Preemptible]
	}
	return n
}

// follow updates the demand that the plan carries, and reports whether it is known over a wave and a start-up time.
func (p *Demand) follow(now time.Duration, s *policy.ScalingState) bool {
	wave := time.Duration(p.WaveMS) * time.Millisecond
	means := p.means(s.Demand, s.Startup)
	for _, m := range means {
		if p.firstDemand == 0 && m.Servers > 0 {
			p.firstDemand = m.At
		}
	}
	peak, held := 0.0, 0.0 // over a wave, and over twice as long
	for _, m := range means {
		if m.At > now-2*wave {
			held = max(held, m.Servers)
		}
		if m.At > now-wave {
			peak = max(peak, m.Servers)
		}
	}
	if up := max(peak, p.ahead(now, means, s.Startup)); up > p.level {
		p.level = (1 + p.UpStep) * up
		p.lastChange = now
	}
	settled := p.firstDemand > 0 && now-p.firstDemand >= wave+s.Startup
	if settled && held < (1-p.DeadBand)*p.level && now-p.lastChange >= s.Startup {
		p.level = max((1+p.UpStep)*held, (1-p.DownStep)*p.level)
		p.lastChange = now
	}
	return settled
}

// means averages the samples over SmoothMS, or over a start-up time if that is longer: a server that is ordered for a shorter peak
// serves only after it.
func (p *Demand) means(samples []policy.DemandSample, startup time.Duration) []policy.DemandSample {
	out := make([]policy.DemandSample, 0, len(samples))
	width := max(time.Duration(p.SmoothMS)*time.Millisecond, startup)
	sum, first := 0.0, 0
	for i, x := range samples {
		sum += x.Servers
		for samples[first].At <= x.At-width {
			sum -= samples[first].Servers
			first++
		}
		out = append(out, policy.DemandSample{At: x.At, Servers: max(sum/float64(i-first+1), 0)})
	}
	return out
}

// ahead returns the demand that is expected after a start-up time, or 0. Only a demand that has left the range of the wave before is
// continued: near its peak, a wave still rises fast enough to forecast a quarter more than it reaches. A burst of one class of
// three adds a quarter and more.
func (p *Demand) ahead(now time.Duration, means []policy.DemandSample, startup time.Duration) float64 {
	if len(means) == 0 || startup <= 0 {
		return 0
	}
	last := means[len(means)-1]
	span := min(startup, 2*time.Second)
	before, earlier := 0.0, last
	for i := len(means) - 1; i >= 0; i-- {
		switch age := last.At - means[i].At; {
		case age <= span:
			earlier = means[i]
		case means[i].At > now-time.Duration(p.WaveMS)*time.Millisecond:
			before = max(before, means[i].Servers)
		}
	}
	if last.Servers < (1+2*p.DeadBand)*before || last.At <= earlier.At {
		return 0
	}
	slope := (last.Servers - earlier.Servers) / (last.At - earlier.At).Seconds()
	return min(last.Servers+max(slope, 0)*startup.Seconds(), p.MaxAhead*last.Servers)
}
