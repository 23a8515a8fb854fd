package gateway

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// atomicDuration is a time.Duration for concurrent use.
type atomicDuration struct{ v atomic.Int64 }

func (d *atomicDuration) Load() time.Duration   { return time.Duration(d.v.Load()) }
func (d *atomicDuration) Store(v time.Duration) { d.v.Store(int64(v)) }

// metricSet holds the gateway's metrics. Callers and classes beyond maxSeries share the series "other".
type metricSet struct {
	set            *metrics.Set
	preempted      *metrics.Counter
	hedges         *metrics.Counter
	kvMoveFailures *metrics.Counter
	pauses         *metrics.Counter
	resumedStreams *metrics.Counter
	retries        *metrics.Counter

	mu          sync.Mutex
	callers     map[string]*metrics.PrometheusHistogram
	classes     map[string]*metrics.PrometheusHistogram
	firstTokens map[string]*metrics.PrometheusHistogram // by class
	queueTimes  map[string]*metrics.PrometheusHistogram // by class
	maxSeries   int
}

func newMetricSet(maxSeries int) *metricSet {
	s := metrics.NewSet()
	return &metricSet{
		set:            s,
		preempted:      s.NewCounter("bergamot_gateway_preempted_total"),
		hedges:         s.NewCounter("bergamot_gateway_hedges_total"),
		kvMoveFailures: s.NewCounter("bergamot_gateway_kv_moves_failed_total"),
		pauses:         s.NewCounter("bergamot_gateway_pauses_total"),
		resumedStreams: s.NewCounter("bergamot_gateway_streams_resumed_total"),
		retries:        s.NewCounter("bergamot_gateway_retries_total"),
		callers:        map[string]*metrics.PrometheusHistogram{},
		classes:        map[string]*metrics.PrometheusHistogram{},
		firstTokens:    map[string]*metrics.PrometheusHistogram{},
		queueTimes:     map[string]*metrics.PrometheusHistogram{},
		maxSeries:      maxSeries,
	}
}

func (m *metricSet) attemptFailed(o policy.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bergamot_gateway_failed_attempts_total{outcome="%d"}`, o)).Inc()
}

func (m *metricSet) request(x *exchange, caller string, code result.Code, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bergamot_gateway_requests_total{code="%d"}`, code)).Inc()
	m.retries.Add(x.retries)
	if x.resumed {
		m.resumedStreams.Inc()
	}
	if code != result.OK {
		return
	}
	m.histogram(m.callers, "request", "caller", caller).Update(took.Seconds())
	m.histogram(m.classes, "request", "class", x.class).Update(took.Seconds())
}

func (m *metricSet) firstToken(class string, took time.Duration) {
	m.histogram(m.firstTokens, "first_token", "class", class).Update(took.Seconds())
}

func (m *metricSet) queueTime(class string, took time.Duration) {
	m.histogram(m.queueTimes, "queue", "class", class).Update(took.Seconds())
}

// histogram returns the histogram of a label value, or the one of "other" beyond maxSeries values.
func (m *metricSet) histogram(byValue map[string]*metrics.PrometheusHistogram, name, label, value string) *metrics.PrometheusHistogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := byValue[value]; ok {
		return h
	}
	if len(byValue) >= m.maxSeries {
		value = "other"
	}
	h := m.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`bergamot_gateway_%s_seconds{%s=%q}`, name, label, value))
	if len(byValue) < m.maxSeries {
		byValue[value] = h
	}
	return h
}

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.metrics.set.WritePrometheus(w)
	metrics.WriteGaugeUint64(w, "bergamot_gateway_open_requests", uint64(max(g.active.count(), 0)))
	metrics.WriteGaugeUint64(w, "bergamot_gateway_excluded_upstreams", uint64(max(g.loop.exclusions.count.Load(), 0)))
	metrics.WriteGaugeUint64(w, "bergamot_gateway_queued_requests", uint64(max(g.loop.queued.Load(), 0)))
	metrics.WriteGaugeUint64(w, "bergamot_gateway_running_requests", uint64(max(g.loop.running.Load(), 0)))
}
