package health

import (
	"errors"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

// Relative compares each upstream's ratio of measured to expected time with the median of its peers, which are all other
// upstreams. A slow upstream gets a smaller share of the work through Factor, and only probes once it is excluded.
type Relative struct {
	Exclude    float64 `json:"exclude"`     // factor from which an upstream is excluded
	Notice     float64 `json:"notice"`      // factor below which an upstream counts as normal
	Readmit    float64 `json:"readmit"`     // factor below which a probe is good
	MaxShare   float64 `json:"max_share"`   // largest excluded share of the upstreams of one set
	Failures   int     `json:"failures"`    // consecutive failures after which an upstream is excluded
	ProbeMS    int     `json:"probe_ms"`    // time between probes of an excluded upstream
	GoodProbes int     `json:"good_probes"` // consecutive good probes after which it is readmitted
	TrialMS    int     `json:"trial_ms"`    // time without a probe after which it gets ordinary work again
	Smoothing  float64 `json:"smoothing"`   // weight of one measurement
	MinSamples int     `json:"min_samples"` // measurements of one kind before they are used
	upstreams  []state
	sets       []string // by upstream; kept when its state is reset
	scratch    []float64
}

type state struct {
	kinds      [kindCount]ratio
	factor     float64
	excluded   bool
	failures   int
	goodProbes int // consecutive good probes
	lastProbe  time.Duration
	used       bool
}

// ratio is the smoothed quotient of measured and expected time for one kind of observation.
type ratio struct {
	value      float64
	samples    int
	measuredAt time.Duration // of the last observation
}

// minPeerMedian is the lower bound of the peers' median. Idle peers take less than their expected time; compared with them
// alone, an engine that is merely busy would look slow.
const minPeerMedian = 0.5

// maxRatioAge is the age up to which a ratio counts against an upstream. An upstream that gets no work gets no new
// measurements either, so an old ratio would count for ever.
const maxRatioAge = 15 * time.Second

const kindCount = int(policy.ReportedPrefill) + 1

// minRatio and maxRatio bound one measurement, so that a single outlier does not outweigh the following ones.
const (
	minRatio = 0.1
	maxRatio = 20
)

// ModuleInfo implements kernel.Module.
func (*Relative) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "health.relative", New: func() kernel.Module {
		return &Relative{
			Exclude: 3, Notice: 2, Readmit: 1.8, MaxShare: 1.0 / 3, Failures: 3, ProbeMS: 2000, GoodProbes: 2, TrialMS: 60000,
			Smoothing: 0.25, MinSamples: 3,
		}
	}}
}

// Validate implements kernel.Validator.
func (h *Relative) Validate() error {
	if h.Exclude <= h.Readmit || h.Readmit < 1 || h.MaxShare < 0 || h.MaxShare > 1 || h.Smoothing <= 0 || h.Smoothing > 1 {
		return errors.New("needs exclude > readmit >= 1, 0 <= max_share <= 1 and 0 < smoothing <= 1")
	}
	return nil
}

func (h *Relative) stateOf(i int) *state {
	for len(h.upstreams) <= i {
		h.upstreams = append(h.upstreams, state{factor: 1})
	}
	h.upstreams[i].used = true
	return &h.upstreams[i]
}

// Observe implements policy.HealthTracker.
func (h *Relative) Observe(now time.Duration, o policy.Observation) {
	if o.Stalled {
		return // the attempt is observed once it has ended
	}
	s := h.stateOf(o.Upstream)
	if o.Failed {
		s.failures++
		s.goodProbes = 0
		if s.failures >= h.Failures {
			h.exclude(now, o.Upstream)
		}
		return
	}
	s.failures = 0
	if o.Expected <= 0 || int(o.Kind) >= kindCount {
		return
	}
	k := &s.kinds[o.Kind]
	v := min(max(float64(o.Measured)/float64(o.Expected), minRatio), maxRatio)
	if s.excluded {
		h.observeExcluded(s, o.Kind, v, h.peerMedian(int(o.Kind), o.Upstream))
		return
	}
	weight := h.Smoothing
	if k.samples < h.MinSamples {
		weight = 1 / float64(k.samples+1)
	}
	k.value += weight * (v - k.value)
	k.samples++
	k.measuredAt = now
	h.updateFactor(now, o.Upstream)
}

// observeExcluded records a measurement of an excluded upstream. Enough consecutive good probes readmit it and drop its earlier
// measurements. Any slow measurement resets the count, but only probes raise it: speeds that a slow upstream reports for
// little work without other load look normal.
func (h *Relative) observeExcluded(s *state, kind policy.ObservationKind, v, median float64) {
	if median == 0 {
		median = 1
	}
	if v >= h.Readmit*median {
		s.goodProbes = 0
		return
	}
	if kind != policy.ObservedFirstToken && kind != policy.ObservedCall {
		return
	}
	if s.goodProbes++; s.goodProbes >= h.GoodProbes {
		*s = state{factor: 1, used: true}
	}
}

func (h *Relative) exclude(now time.Duration, i int) {
	if s := &h.upstreams[i]; !s.excluded && h.mayExclude(i) {
		s.excluded, s.lastProbe, s.goodProbes = true, now, 0
	}
}

// updateFactor sets the factor of i to the worst of its ratios relative to the peers' median.
func (h *Relative) updateFactor(now time.Duration, i int) {
	s := &h.upstreams[i]
	s.factor = 1
	for k := range kindCount {
		if s.kinds[k].samples < h.MinSamples || now-s.kinds[k].measuredAt > maxRatioAge {
			continue
		}
		if m := h.peerMedian(k, i); m > 0 {
			s.factor = max(s.factor, s.kinds[k].value/max(m, minPeerMedian))
		}
	}
	if s.factor >= h.Exclude {
		h.exclude(now, i)
	}
}

// peerMedian returns the median ratio of i's peers, of all sets, or 0 when fewer than two have been measured.
func (h *Relative) peerMedian(kind, i int) float64 {
	h.scratch = h.scratch[:0]
	for j := range h.upstreams {
		if r := h.upstreams[j].kinds[kind]; j != i && h.upstreams[j].used && r.samples >= h.MinSamples {
			h.scratch = append(h.scratch, r.value)
		}
	}
	if len(h.scratch) < 2 {
		return 0
	}
	slices.Sort(h.scratch)
	return h.scratch[len(h.scratch)/2]
}

// mayExclude reports whether one more upstream of i's set may be excluded. With one bound over all upstreams, the healthy ones
// of other models would allow the exclusion of every upstream of one model.
func (h *Relative) mayExclude(i int) bool {
	used, out := 0, 0
	for j := range h.upstreams {
		if h.setOf(j) != h.setOf(i) {
			continue
		}
		if h.upstreams[j].used {
			used++
		}
		if h.upstreams[j].excluded {
			out++
		}
	}
	return float64(out+1) <= h.MaxShare*float64(used)
}

func (h *Relative) setOf(i int) string {
	if i < len(h.sets) {
		return h.sets[i]
	}
	return ""
}

// SetPeerGroup implements policy.HealthTracker.
func (h *Relative) SetPeerGroup(i int, set string) {
	for len(h.sets) <= i {
		h.sets = append(h.sets, "")
	}
	h.sets[i] = set
}

// Factor implements policy.HealthTracker.
func (h *Relative) Factor(i int) float64 {
	if i >= len(h.upstreams) {
		return 1
	}
	if f := h.upstreams[i].factor; f >= h.Notice {
		return f
	}
	return 1
}

// Excluded implements policy.HealthTracker.
func (h *Relative) Excluded(now time.Duration, i int) bool {
	if i >= len(h.upstreams) || !h.upstreams[i].excluded {
		return false
	}
	if h.trialDue(now, i) {
		h.upstreams[i] = state{factor: 1, used: true}
		return false
	}
	return true
}

// WouldExclude implements policy.ExclusionPreviewer.
func (h *Relative) WouldExclude(now time.Duration, i int) bool {
	return i < len(h.upstreams) && h.upstreams[i].excluded && !h.trialDue(now, i)
}

// trialDue reports whether the excluded upstream i gets ordinary work again because it has not been probed for long.
func (h *Relative) trialDue(now time.Duration, i int) bool {
	return now-h.upstreams[i].lastProbe > time.Duration(h.TrialMS)*time.Millisecond
}

// Probe implements policy.HealthTracker. The scheduler sends a probe as a second attempt beside an ordinary one, so it
// delays no request.
func (h *Relative) Probe(now time.Duration, i int, r *policy.Request) bool {
	if !h.Excluded(now, i) || !r.Idempotent {
		return false
	}
	s := &h.upstreams[i]
	if now-s.lastProbe < time.Duration(h.ProbeMS)*time.Millisecond {
		return false
	}
	s.lastProbe = now
	return true
}

// Reset implements policy.HealthTracker.
func (h *Relative) Reset(i int) {
	s := h.stateOf(i)
	*s = state{factor: 1, used: true}
}
