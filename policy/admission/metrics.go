package admission

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// maxAccountSeries bounds the accounts with a series of their own; the others share "other".
const maxAccountSeries = 64

// objectiveMetrics counts what Objective decides.
type objectiveMetrics struct {
	inTime, late *metrics.Counter
	gauges       map[string]*metrics.Counter // waiting requests by account
	other        *metrics.Counter
}

func newObjectiveMetrics() *objectiveMetrics {
	return &objectiveMetrics{
		inTime: metrics.GetOrCreateCounter(`bergamot_admission_dispatched_total{standing="in_time"}`),
		late:   metrics.GetOrCreateCounter(`bergamot_admission_dispatched_total{standing="late"}`),
		gauges: map[string]*metrics.Counter{}, other: metrics.GetOrCreateCounter(`bergamot_admission_waiting{account="other"}`),
	}
}

func (m *objectiveMetrics) dispatched(r *policy.Request) {
	if r.Late {
		m.late.Inc()
	} else {
		m.inTime.Inc()
	}
}

func (m *objectiveMetrics) refused(c result.Code) {
	metrics.GetOrCreateCounter(`bergamot_admission_refused_total{reason="` + c.Info().Name + `"}`).Inc()
}

// waiting adds n to the waiting requests of r's account.
func (m *objectiveMetrics) waiting(r *policy.Request, n int) {
	name := r.Caller
	if name == "" {
		name = r.Class
	}
	c, ok := m.gauges[name]
	if !ok && len(m.gauges) < maxAccountSeries {
		c = metrics.GetOrCreateCounter(fmt.Sprintf(`bergamot_admission_waiting{account=%q}`, name))
		m.gauges[name] = c
	} else if !ok {
		c = m.other
	}
	c.AddInt64(int64(n))
}
