package health

import (
	"errors"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

// Relative compares each upstream's time per unit of work with the median of its peers. A slow upstream gets a smaller
// share through Factor, and none but probes once it is excluded.
type Relative struct {
	Exclude    float64 `json:"exclude"`     // excluded from this factor on
	Notice     float64 `json:"notice"`      // below this factor an upstream counts as normal
	Readmit    float64 `json:"readmit"`     // admitted again below this factor
	MaxShare   float64 `json:"max_share"`   // of the upstreams of one set, excluded at most
	Failures   int     `json:"failures"`    // in a row, after which the upstream is excluded
	ProbeMS    int     `json:"probe_ms"`    // between probes of an excluded upstream
	GoodProbes int     `json:"good_probes"` // in a row, after which it is admitted again
	TrialMS    int     `json:"trial_ms"`    // without a probe, after which it is tried with ordinary work
	Smoothing  float64 `json:"smoothing"`   // weight of one measurement
	MinSamples int     `json:"min_samples"` // before an upstream is judged
	ups        []state
	sets       []string // by upstream; outlives a reset of its state
	scratch    []float64
}

type state struct {
	kinds     [kinds]ratio
	factor    float64
	excluded  bool
	failures  int
	good      int // probes in a row that were not slow
	lastProbe time.Duration
	used      bool
}

// ratio is the smoothed measured time over expected time of one kind of observation.
type ratio struct {
	value float64
	n     int
	at    time.Duration // of the last one
}

// medianFloor bounds the median from below. Expected times are on the safe side for idle peers; against those alone an engine
// that is merely busy would look slow.
const medianFloor = 0.5

// staleAfter is the age from which a kind of measurement no longer counts against an upstream. An upstream that is avoided
// gets no new ones, so an old one would stay for ever.
const staleAfter = 15 * time.Second

const kinds = int(policy.ReportedPrefill) + 1

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

func (h *Relative) at(i int) *state {
	for len(h.ups) <= i {
		h.ups = append(h.ups, state{factor: 1})
	}
	h.ups[i].used = true
	return &h.ups[i]
}

// Observe implements policy.HealthTracker.
func (h *Relative) Observe(now time.Duration, o policy.Observation) {
	if o.Stalled {
		return // measured with the others once it has ended
	}
	s := h.at(o.Upstream)
	if o.Failed {
		s.failures++
		s.good = 0
		if s.failures >= h.Failures {
			h.exclude(now, o.Upstream)
		}
		return
	}
	s.failures = 0
	if o.Expected <= 0 || int(o.Kind) >= kinds {
		return
	}
	k := &s.kinds[o.Kind]
	v := min(max(float64(o.Measured)/float64(o.Expected), minRatio), maxRatio)
	if s.excluded {
		h.probed(s, o.Kind, v, h.median(int(o.Kind), o.Upstream))
		return
	}
	weight := h.Smoothing
	if k.n < h.MinSamples {
		weight = 1 / float64(k.n+1)
	}
	k.value += weight * (v - k.value)
	k.n++
	k.at = now
	h.judge(now, o.Upstream)
}

// probed takes a measurement of an excluded upstream. Enough good probes in a row admit it again, and what was measured
// before is void. Any slow measurement ends the row; only probes can be good, since the speeds reported for small work
// beside nothing else look normal on a slow upstream.
func (h *Relative) probed(s *state, kind policy.ObservationKind, v, median float64) {
	if median == 0 {
		median = 1
	}
	if v >= h.Readmit*median {
		s.good = 0
		return
	}
	if kind != policy.ObservedFirstToken && kind != policy.ObservedCall {
		return
	}
	if s.good++; s.good >= h.GoodProbes {
		*s = state{factor: 1, used: true}
	}
}

func (h *Relative) exclude(now time.Duration, i int) {
	if s := &h.ups[i]; !s.excluded && h.mayExclude(i) {
		s.excluded, s.lastProbe, s.good = true, now, 0
	}
}

// judge sets the factor of i as the worst of its ratios against the median of the peers.
func (h *Relative) judge(now time.Duration, i int) {
	s := &h.ups[i]
	s.factor = 1
	for k := range kinds {
		if s.kinds[k].n < h.MinSamples || now-s.kinds[k].at > staleAfter {
			continue
		}
		if m := h.median(k, i); m > 0 {
			s.factor = max(s.factor, s.kinds[k].value/max(m, medianFloor))
		}
	}
	if s.factor >= h.Exclude {
		h.exclude(now, i)
	}
}

// median returns the median ratio of i's peers, or 0 when fewer than two have been measured.
func (h *Relative) median(kind, i int) float64 {
	h.scratch = h.scratch[:0]
	for j := range h.ups {
		if r := h.ups[j].kinds[kind]; j != i && h.ups[j].used && r.n >= h.MinSamples {
			h.scratch = append(h.scratch, r.value)
		}
	}
	if len(h.scratch) < 2 {
		return 0
	}
	slices.Sort(h.scratch)
	return h.scratch[len(h.scratch)/2]
}

// mayExclude bounds the excluded share of the set that i belongs to. A bound over all upstreams would let healthy ones of
// other models make room to exclude every upstream of one.
func (h *Relative) mayExclude(i int) bool {
	used, out := 0, 0
	for j := range h.ups {
		if h.set(j) != h.set(i) {
			continue
		}
		if h.ups[j].used {
			used++
		}
		if h.ups[j].excluded {
			out++
		}
	}
	return float64(out+1) <= h.MaxShare*float64(used)
}

func (h *Relative) set(i int) string {
	if i < len(h.sets) {
		return h.sets[i]
	}
	return ""
}

// Place implements policy.HealthTracker.
func (h *Relative) Place(i int, set string) {
	for len(h.sets) <= i {
		h.sets = append(h.sets, "")
	}
	h.sets[i] = set
}

// Factor implements policy.HealthTracker.
func (h *Relative) Factor(i int) float64 {
	if i >= len(h.ups) {
		return 1
	}
	if f := h.ups[i].factor; f >= h.Notice {
		return f
	}
	return 1
}

// Excluded implements policy.HealthTracker.
func (h *Relative) Excluded(now time.Duration, i int) bool {
	if i >= len(h.ups) || !h.ups[i].excluded {
		return false
	}
	if s := &h.ups[i]; now-s.lastProbe > time.Duration(h.TrialMS)*time.Millisecond {
		*s = state{factor: 1, used: true}
		return false
	}
	return true
}

// Probe implements policy.HealthTracker. The scheduler sends probes as second attempts beside an ordinary one, so a
// probe delays no request.
func (h *Relative) Probe(now time.Duration, i int, r *policy.Request) bool {
	if !h.Excluded(now, i) || !r.Idempotent {
		return false
	}
	s := &h.ups[i]
	if now-s.lastProbe < time.Duration(h.ProbeMS)*time.Millisecond {
		return false
	}
	s.lastProbe = now
	return true
}

// Reset implements policy.HealthTracker.
func (h *Relative) Reset(i int) {
	s := h.at(i)
	*s = state{factor: 1, used: true}
}
