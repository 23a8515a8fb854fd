package scheduler

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// Load reports arrive late, so the expected time of an attempt is known only after the reports that cover it have
// arrived. A measurement therefore stays pending until then and is compared with the time expected under the reported
// load. Compared with the load known at dispatch, busy engines would look slow as soon as reports lag by seconds.

const (
	maxReports    = 32              // reports kept per upstream
	maxPending    = 64              // pending measurements per upstream
	maxPendingAge = 5 * time.Second // age at which a measurement is evaluated without a report that covers it
)

// measurement is one timed part of an attempt.
type measurement struct {
	kind     policy.ObservationKind
	from, to time.Duration
	tokens   int     // generated tokens, for ObservedDecode
	work     float64 // prompt tokens to compute, for ObservedFirstToken
	urgent   bool    // top priority, which does not wait for the prompts queued at the engine
}

// history holds the recent load reports and pending measurements of one upstream.
type history struct {
	reports        []policy.LoadReport // oldest first
	pending        []measurement
	reportsPrefill bool // the upstream has reported its prefill speed
}

func (s *Scheduler) historyOf(i int) *history {
	for len(s.histories) <= i {
		s.histories = append(s.histories, history{})
	}
	return &s.histories[i]
}

// addMeasurement adds m to the pending measurements of upstream i. The oldest is dropped if there are too many.
func (s *Scheduler) addMeasurement(i int, m measurement) {
	h := s.historyOf(i)
	if len(h.pending) >= maxPending {
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
	h.pending = append(h.pending, m)
}

// recordReport stores a load report and passes the pending measurements that it covers to the health tracker.
func (s *Scheduler) recordReport(now time.Duration, i int, rep policy.LoadReport) {
	h := s.historyOf(i)
	if len(h.reports) >= maxReports {
		h.reports = append(h.reports[:0], h.reports[1:]...)
	}
	h.reports = append(h.reports, rep)
	h.reportsPrefill = h.reportsPrefill || rep.PrefillTokensPS > 0
	s.observeReport(now, s.fleet.Upstreams[i], rep)
	kept := h.pending[:0]
	for _, m := range h.pending {
		if m.to > rep.At && now-m.to < maxPendingAge {
			kept = append(kept, m)
			continue
		}
		u := s.fleet.Upstreams[i]
		// If the upstream reports its prefill speed, the time to a first token adds only noise: the order of requests
		// in its queue is not known here.
		if m.kind == policy.ObservedFirstToken && h.reportsPrefill && !s.opts.Health.Excluded(now, i) {
			continue
		}
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: i, Kind: m.kind, Measured: m.to - m.from, Expected: h.expectedTime(u, m), Tokens: m.tokens,
		})
	}
	h.pending = kept
}

// observeReport compares the speeds that an upstream reports with its specification. All entry VMs receive the reports,
// so each detects a slow upstream before its own requests have run there.
func (s *Scheduler) observeReport(now time.Duration, u *policy.Upstream, rep policy.LoadReport) {
	mean := rep // the mean load over the interval of the report instead of the load at its end
	mean.Running = int(math.Ceil(rep.DecodeStreams))
	mean.PrefillTokens = 0
	if rep.DecodeTokensPS > 0 { // prompt tokens per decode step, if each step had some
		mean.PrefillTokens = rep.PrefillTokensPS * rep.DecodeStreams / rep.DecodeTokensPS
	}
	if rep.DecodeTokensPS > 0 && rep.DecodeStreams > 0 {
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: u.Index, Kind: policy.ReportedDecode, Expected: stepTime(u, mean),
			Measured: seconds(rep.DecodeStreams / rep.DecodeTokensPS),
		})
	}
	// Steps with less than a whole chunk give no useful speed; with enough prompt tokens waiting, each step has a whole
	// chunk.
	if rep.PrefillTokensPS > 0 && rep.PrefillTokens >= 2*chunkTokens && u.Spec.PrefillTokensPerSecond > 0 {
		expected := seconds(chunkTokens / u.Spec.PrefillTokensPerSecond)
		if rep.DecodeStreams > 0 {
			expected = stepTime(u, mean)
		}
		s.opts.Health.Observe(now, policy.Observation{
			Upstream: u.Index, Kind: policy.ReportedPrefill, Expected: expected, Measured: seconds(chunkTokens / rep.PrefillTokensPS),
		})
	}
}

// expectedTime returns the time that the measured part of an attempt should have taken at u under the reported load.
func (h *history) expectedTime(u *policy.Upstream, m measurement) time.Duration {
	if m.kind == policy.ObservedFirstToken {
		return h.expectedFirst(u, m)
	}
	sum, n := 0.0, 0
	for _, rep := range h.reports {
		if rep.At >= m.from && rep.At <= m.to {
			sum += stepTime(u, rep).Seconds()
			n++
		}
	}
	if n == 0 {
		sum, n = stepTime(u, h.reportAt(m.to)).Seconds(), 1
	}
	return seconds(sum / float64(n) * float64(m.tokens))
}

func (h *history) expectedFirst(u *policy.Upstream, m measurement) time.Duration {
	if u.Spec.PrefillTokensPerSecond <= 0 {
		return 0
	}
	rep := h.reportAt(m.from)
	tokens := m.work
	if m.urgent {
		tokens += min(rep.PrefillTokens, chunkTokens)
	} else {
		tokens += rep.PrefillTokens
	}
	return seconds(tokens/u.Spec.PrefillTokensPerSecond) + stepTime(u, rep)
}

// reportAt returns the last report made at or before t, or the first one.
func (h *history) reportAt(t time.Duration) policy.LoadReport {
	best := h.reports[0]
	for _, rep := range h.reports {
		if rep.At <= t {
			best = rep
		}
	}
	return best
}

// stepTime returns the time of one decode step of u under the reported load.
func stepTime(u *policy.Upstream, rep policy.LoadReport) time.Duration {
	if u.Spec.DecodeTokensPerSecond <= 0 {
		return 0
	}
	batch := float64(max(u.Spec.MaxBatch, 1))
	t := batch / u.Spec.DecodeTokensPerSecond * (0.5 + 0.5*min(float64(rep.Running)/batch, 1))
	if rep.PrefillTokens > 0 && u.Spec.PrefillTokensPerSecond > 0 {
		t += min(rep.PrefillTokens, chunkTokens) / u.Spec.PrefillTokensPerSecond
	}
	return seconds(t)
}
