package health

import (
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() { kernel.Register(&Reachable{}) }

// Reachable is Relative with a shorter memory for upstreams that accept no connection. One refused connection says more than any
// measurement: the upstream is excluded at once and tried again soon, each time after a longer pause. That bound has no
// share: what can't be connected to serves nobody.
//
// Load it answers: servers that crash or go dark under load, where each request would otherwise try several of them first.
type Reachable struct {
	Relative
	DownMS    int `json:"down_ms"`     // pause after the first failed connection
	DownMaxMS int `json:"down_max_ms"` // longest pause
	StallMS   int `json:"stall_ms"`    // pause after an attempt that stalls

	down []outage
}

// outage is the state of an upstream that accepted no connection.
type outage struct {
	until   time.Duration
	pause   time.Duration
	stalled time.Duration // until when it counts as stalled
}

// ModuleInfo implements kernel.Module.
func (*Reachable) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "health.reachable", New: func() kernel.Module {
		relative := (*Relative)(nil).ModuleInfo().New().(*Relative)
		return &Reachable{Relative: *relative, DownMS: 200, DownMaxMS: 1600, StallMS: 400}
	}}
}

func (h *Reachable) outage(i int) *outage {
	for len(h.down) <= i {
		h.down = append(h.down, outage{})
	}
	return &h.down[i]
}

// Observe implements policy.HealthTracker.
func (h *Reachable) Observe(now time.Duration, o policy.Observation) {
	d := h.outage(o.Upstream)
	if o.Stalled {
		if now < d.stalled || h.mayStall(now, o.Upstream) {
			d.stalled = now + time.Duration(h.StallMS)*time.Millisecond
		}
		return
	}
	if o.Unreachable {
		if d.pause == 0 {
			d.pause = time.Duration(h.DownMS) * time.Millisecond
		} else if now >= d.until { // the trial has failed; others in flight with it change nothing
			d.pause = min(2*d.pause, time.Duration(h.DownMaxMS)*time.Millisecond)
		}
		d.until = now + d.pause
		return
	}
	if !o.Failed {
		*d = outage{}
	}
	h.Relative.Observe(now, o)
}

// Excluded implements policy.HealthTracker.
func (h *Reachable) Excluded(now time.Duration, i int) bool {
	return i < len(h.down) && (now < h.down[i].until || now < h.down[i].stalled) || h.Relative.Excluded(now, i)
}

// Reason implements policy.Reasoner.
func (h *Reachable) Reason(now time.Duration, i int) string {
	switch {
	case i < len(h.down) && now < h.down[i].until:
		return "no connection"
	case i < len(h.down) && now < h.down[i].stalled:
		return "stalled"
	default:
		return "slow"
	}
}

// mayStall bounds the stalled share of a set: under a peak all upstreams are late, and leaving most of them out helps nobody.
func (h *Reachable) mayStall(now time.Duration, i int) bool {
	used, out := 0, 0
	for j := range h.ups {
		if h.set(j) != h.set(i) || !h.ups[j].used {
			continue
		}
		used++
		if j < len(h.down) && now < h.down[j].stalled {
			out++
		}
	}
	return float64(out+1) <= h.MaxShare*float64(used)
}

// Reset implements policy.HealthTracker.
func (h *Reachable) Reset(i int) {
	*h.outage(i) = outage{}
	h.Relative.Reset(i)
}
