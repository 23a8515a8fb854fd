package health

import (
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

func init() { kernel.Register(&Reachable{}) }

// Reachable extends Relative with fast exclusion of upstreams that accept no connection. A failed connection is more conclusive
// than any measurement, so the upstream is excluded at once and retried soon, with exponential back-off. MaxShare does not limit
// these exclusions, since an unreachable upstream serves nobody.
//
// It suits servers that crash or stop answering under load, where each request would otherwise try several of them first.
type Reachable struct {
	Relative
	DownMS    int `json:"down_ms"`     // exclusion after the first failed connection
	DownMaxMS int `json:"down_max_ms"` // longest exclusion after a failed connection
	StallMS   int `json:"stall_ms"`    // exclusion after a stalled attempt, and the first one after an abandoned call
	// SilentMaxMS is the longest exclusion after an abandoned call; the first one doubles with each further call without an answer.
	SilentMaxMS int `json:"silent_max_ms"`

	outages []outage
	silent  map[int]silence // upstreams that have not answered an abandoned call
}

// outage is the state of an upstream that is unreachable or stalled.
type outage struct {
	unreachableUntil time.Duration
	pause            time.Duration
	stalledUntil     time.Duration
}

// silence is the state of an upstream that has not answered an abandoned call.
type silence struct {
	until  time.Duration // then one request is sent to find out whether it answers
	pause  time.Duration
	probed bool // that request has been sent
}

// ModuleInfo implements kernel.Module.
func (*Reachable) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "health.reachable", New: func() kernel.Module {
		relative := (*Relative)(nil).ModuleInfo().New().(*Relative)
		return &Reachable{Relative: *relative, DownMS: 200, DownMaxMS: 1600, StallMS: 400, SilentMaxMS: 6400}
	}}
}

func (h *Reachable) outageOf(i int) *outage {
	for len(h.outages) <= i {
		h.outages = append(h.outages, outage{})
	}
	return &h.outages[i]
}

// Observe implements policy.HealthTracker.
func (h *Reachable) Observe(now time.Duration, o policy.Observation) {
	d := h.outageOf(o.Upstream)
	if o.Stalled {
		if now < d.stalledUntil || h.mayMarkStalled(now, o.Upstream) {
			d.stalledUntil = now + time.Duration(h.StallMS)*time.Millisecond
		}
		return
	}
	if o.Unreachable {
		if d.pause == 0 {
			d.pause = time.Duration(h.DownMS) * time.Millisecond
		} else if now >= d.unreachableUntil { // the retry has failed; attempts in flight with it do not double the pause
			d.pause = min(2*d.pause, time.Duration(h.DownMaxMS)*time.Millisecond)
		}
		d.unreachableUntil = now + d.pause
		return
	}
	if !o.Failed {
		*d = outage{}
	}
	h.Relative.Observe(now, o)
}

// Excluded implements policy.HealthTracker.
func (h *Reachable) Excluded(now time.Duration, i int) bool {
	return h.isOut(now, i) || h.Relative.Excluded(now, i)
}

// WouldExclude implements policy.ExclusionPreviewer.
func (h *Reachable) WouldExclude(now time.Duration, i int) bool {
	return h.isOut(now, i) || h.Relative.WouldExclude(now, i)
}

// isOut reports whether upstream i is silent, unreachable or stalled.
func (h *Reachable) isOut(now time.Duration, i int) bool {
	if s, ok := h.silent[i]; ok && now < s.until {
		return true
	}
	return i < len(h.outages) && (now < h.outages[i].unreachableUntil || now < h.outages[i].stalledUntil)
}

// Reason implements policy.Reasoner.
func (h *Reachable) Reason(now time.Duration, i int) string {
	switch s, ok := h.silent[i]; {
	case ok && now < s.until:
		return "silent"
	case i < len(h.outages) && now < h.outages[i].unreachableUntil:
		return "no connection"
	case i < len(h.outages) && now < h.outages[i].stalledUntil:
		return "stalled"
	default:
		return "slow"
	}
}

// mayMarkStalled reports whether one more upstream of i's set may count as stalled. Under a peak all upstreams are late, and
// excluding most of them helps nobody.
func (h *Reachable) mayMarkStalled(now time.Duration, i int) bool {
	used, out := 0, 0
	for j := range h.upstreams {
		if h.setOf(j) != h.setOf(i) || !h.upstreams[j].used {
			continue
		}
		used++
		if j < len(h.outages) && now < h.outages[j].stalledUntil {
			out++
		}
	}
	return float64(out+1) <= h.MaxShare*float64(used)
}

// Reset implements policy.HealthTracker.
func (h *Reachable) Reset(i int) {
	*h.outageOf(i) = outage{}
	delete(h.silent, i)
	h.Relative.Reset(i)
}

// Silent implements policy.SilenceTracker. At most MaxShare of the upstreams of a set are left out for this reason: under a peak
// most of them are late.
func (h *Reachable) Silent(now time.Duration, i int) {
	s, ok := h.silent[i]
	switch {
	case ok && now < s.until && !s.probed: // of several calls that were sent together, only the first counts
		return
	case !ok && !h.mayMarkSilent(i):
		return
	case !ok:
		s.pause = time.Duration(h.StallMS) * time.Millisecond
	default:
		s.pause = min(2*s.pause, time.Duration(h.SilentMaxMS)*time.Millisecond)
	}
	if h.silent == nil {
		h.silent = map[int]silence{}
	}
	s.until, s.probed = now+s.pause, false
	h.silent[i] = s
}

// Sent implements policy.SilenceTracker.
func (h *Reachable) Sent(now time.Duration, i int) {
	if s, ok := h.silent[i]; ok && now >= s.until {
		s.until, s.probed = now+s.pause, true
		h.silent[i] = s
	}
}

// Answered implements policy.SilenceTracker.
func (h *Reachable) Answered(_ time.Duration, i int) { delete(h.silent, i) }

func (h *Reachable) mayMarkSilent(i int) bool {
	used, out := 0, 1
	for j := range h.upstreams {
		if h.setOf(j) == h.setOf(i) && h.upstreams[j].used {
			used++
			if _, ok := h.silent[j]; ok {
				out++
			}
		}
	}
	return float64(out) <= max(h.MaxShare*float64(used), 1)
}
