// Package spill decides how much of a data centre's demand goes to engines of other data centres.
//
// Invariant: all entry VMs of a data centre that know the same loads compute the same shares, and each sends that share of its own
// requests, so that together they send as much, without a message.
package spill

import (
	"errors"
	"math"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() { kernel.Register(&Gain{}) }

// Gain moves demand in proportion to the difference between the waits here and there, and sends a request only if its own gain
// exceeds the bytes and the delay. See docs/design/leaving-the-data-centre.md.
//
// It suits loads whose waves (about 10 s) are long against the age of load reports (some 10 ms), where all data centres have engines of
// the same kinds.
type Gain struct {
	Seed          uint64  `json:"seed"`
	StartMS       float64 `json:"start_ms"`        // difference of the waits, after the charge, from which demand moves
	StopMS        float64 `json:"stop_ms"`         // difference below which it stops; also where the share reaches 0
	SpanMS        float64 `json:"span_ms"`         // further difference at which all demand would move
	SmoothMS      float64 `json:"smooth_ms"`       // least time constant of the shares
	ReportDelayMS float64 `json:"report_delay_ms"` // usual age of load reports from other data centres
	DelayMS       float64 `json:"delay_ms"`        // time of a round trip to another data centre
	PromptMS      float64 `json:"prompt_ms"`       // charge per 1,000 prompt tokens
	KVMSPerGB     float64 `json:"kv_ms_per_gb"`    // charge for KV cache that is fetched from another data centre, beside its time
	TypicalTokens float64 `json:"typical_tokens"`  // prompt tokens of the request whose charge counts in the shares

	// OnChange is called when a share has changed noticeably; nil: not called.
	OnChange func(model, from, to string, before, share float64)
	// OnSent is called for each prompt that was computed in another data centre, with an estimate of its bytes; nil: not called.
	OnSent func(from, to, reason string, promptBytes int)

	models map[string]*shares
}

// shares holds the shares of one model's demand.
type shares struct {
	plannedAt time.Duration
	here      string
	to        []share // in the order of the data centres' first appearance
}

type share struct {
	dataCentre string
	active     bool // the difference has exceeded StartMS and not fallen below StopMS since
	share      float64
	reported   float64 // last value passed to OnChange
	reportedAt time.Duration
}

const (
	// maxReportAge is the age of reports from which a share only falls: the loads exchange voids older ones.
	maxReportAge = time.Second
	// usualReportAge is above the interval at which a VM confirms that engines are idle, so that only late reports damp the shares
	// more than report_delay_ms does.
	usualReportAge = 600 * time.Millisecond
	// spanPerDelay and smoothPerDelay keep the loop of shares and waits stable when reports are late. A wait changes by at most a few
	// seconds per second, so a share must not react to a difference smaller than what a few report delays change.
	spanPerDelay   = 10
	smoothPerDelay = 2
	// A share is reported when it begins, ends or has changed by minReportedChange, at most once in reportInterval.
	minReportedChange = 0.1
	reportInterval    = time.Second
	// negligibleShare is the share below which demand no longer moves.
	negligibleShare = 0.005
)

// ModuleInfo implements kernel.Module.
func (*Gain) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "spill.gain", New: func() kernel.Module {
		return &Gain{
			Seed: 1, StartMS: 80, StopMS: 30, SpanMS: 500, SmoothMS: 100, ReportDelayMS: 30, DelayMS: 8, PromptMS: 2, KVMSPerGB: 5,
			TypicalTokens: 9000,
		}
	}}
}

// Provision implements kernel.Provisioner.
func (p *Gain) Provision() error {
	p.models = map[string]*shares{}
	return nil
}

// Validate implements kernel.Validator.
func (p *Gain) Validate() error {
	if p.StopMS < 0 || p.StartMS < p.StopMS || p.SpanMS <= 0 || p.SmoothMS <= 0 || p.ReportDelayMS < 0 || p.DelayMS < 0 || p.PromptMS < 0 || p.KVMSPerGB < 0 {
		return errors.New("start_ms must be at least stop_ms, span_ms and smooth_ms positive, the others not negative")
	}
	return nil
}

// Preview implements policy.SpillPreviewer.
func (p *Gain) Preview() policy.Spill {
	c := *p
	c.OnChange, c.OnSent = nil, nil
	c.models = make(map[string]*shares, len(p.models))
	for model, s := range p.models {
		c.models[model] = &shares{plannedAt: s.plannedAt, here: s.here, to: slices.Clone(s.to)}
	}
	return &c
}

// Plan implements policy.Spill.
func (p *Gain) Plan(now time.Duration, model, here string, loads []policy.DataCentreLoad, alone bool) {
	s := p.models[model]
	if s == nil || s.here != here {
		s = &shares{here: here, plannedAt: now}
		p.models[model] = s
	}
	dt := now - s.plannedAt
	s.plannedAt = now
	own, others := policy.DataCentreLoad{Wait: math.Inf(1)}, 0
	for _, l := range loads {
		switch {
		case l.DataCentre == here && l.Engines > 0:
			own = l
		case l.Engines > 0 && (l.Heard || alone):
			others++
		}
	}
	for i := range s.to { // a data centre that is no longer listed gets nothing
		if !listed(loads, s.to[i].dataCentre) {
			s.to[i].active, s.to[i].share = false, 0
		}
	}
	for _, l := range loads {
		if l.DataCentre == here {
			continue
		}
		t := s.find(l.DataCentre)
		switch {
		case l.Engines == 0 || !l.Heard && !alone:
			t.active, t.share = false, 0
		case alone:
			// The loads lack what others send. Every request is decided by its own gain, which rests on the times that this VM's
			// requests take.
			t.active, t.share = true, 1/float64(others)
		case own.Engines == 0:
			t.active, t.share = true, 1/float64(others)
		default:
			p.follow(t, own, l, dt)
		}
	}
	sum := 0.0
	for i := range s.to {
		sum += s.to[i].share
	}
	for i := range s.to {
		t := &s.to[i]
		if sum > 1 {
			t.share /= sum
		}
		p.reportChange(now, model, here, t)
	}
}

// follow moves a share towards the one that the difference of the waits calls for.
func (p *Gain) follow(t *share, own, there policy.DataCentreLoad, dt time.Duration) {
	age := max(own.Age, there.Age)
	delay := p.ReportDelayMS / 1000
	if age > usualReportAge {
		delay = max(delay, min(age, maxReportAge).Seconds())
	}
	gain := own.Wait - there.Wait - p.charge(p.TypicalTokens, 0)
	switch {
	case gain > p.StartMS/1000:
		t.active = true
	case gain < p.StopMS/1000:
		t.active = false
	}
	target := 0.0
	if t.active {
		target = min(max((gain-p.StopMS/1000)/max(p.SpanMS/1000, spanPerDelay*delay), 0), 1)
	}
	if age > maxReportAge {
		target = min(target, t.share)
	}
	smooth := max(p.SmoothMS/1000, smoothPerDelay*delay)
	t.share += (target - t.share) * -math.Expm1(-dt.Seconds()/smooth)
	if !t.active && t.share < negligibleShare {
		t.share = 0
	}
}

func listed(loads []policy.DataCentreLoad, dataCentre string) bool {
	for _, l := range loads {
		if l.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (s *shares) find(dataCentre string) *share {
	for i := range s.to {
		if s.to[i].dataCentre == dataCentre {
			return &s.to[i]
		}
	}
	s.to = append(s.to, share{dataCentre: dataCentre})
	return &s.to[len(s.to)-1]
}

// Share returns the share of a model's demand that may go to a data centre.
func (p *Gain) Share(model, dataCentre string) float64 {
	if s := p.models[model]; s != nil {
		for _, t := range s.to {
			if t.dataCentre == dataCentre {
				return t.share
			}
		}
	}
	return 0
}

// Target implements policy.Spill. A hash of the request's identifier takes the place of a random number, so that a request that waits
// is assigned once and not at each look.
func (p *Gain) Target(r *policy.Request) string {
	s := p.models[r.Model]
	if s == nil {
		return ""
	}
	point := float64(policy.Mix64(policy.Mix64(r.ID+0x9e3779b97f4a7c15)^p.Seed)>>11) / (1 << 53)
	for _, t := range s.to {
		if point -= t.share; point < 0 {
			return t.dataCentre
		}
	}
	return ""
}

// Charge implements policy.Spill.
func (p *Gain) Charge(r *policy.Request, kvBytes float64) float64 {
	return p.charge(float64(r.PromptTokens), kvBytes)
}

func (p *Gain) charge(promptTokens, kvBytes float64) float64 {
	return (p.DelayMS + p.PromptMS*promptTokens/1000 + p.KVMSPerGB*kvBytes/1e9) / 1000
}

// Goes implements policy.Spill. A request with a cached prefix elsewhere goes without a share, for a larger gain: prefixes are spread
// over the data centres, so such requests do not come together.
func (p *Gain) Goes(r *policy.Request, o policy.SpillOffer) policy.SpillReason {
	if o.Only {
		return policy.SpillOnly
	}
	gain := o.Here - o.There - p.Charge(r, o.KVBytes)
	switch {
	case gain > 0 && p.Target(r) == o.To:
		return policy.SpillShortage
	case gain > p.StartMS/1000 && o.Prefix:
		return policy.SpillPrefix
	}
	return policy.SpillNone
}
