package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/policy/spill"
)

// addSpill lets spill.gain decide on other data centres in place of the router's fixed charge.
func (e *Edge) addSpill(m *routing.Measured) error {
	gain, err := kernel.Load[*spill.Gain]("spill.gain", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	gain.OnChange = func(model, from, to string, before, share float64) {
		e.log.Info("share changed", zap.String("model", model), zap.String("from", from), zap.String("to", to), zap.Float64("before", before),
			zap.Float64("share", share))
	}
	gain.OnSent = countSpill
	m.Spill = gain
	m.Heard = func() (map[string]bool, bool) { return heardDataCentres(e.list.Members(), e.settings.VM) }
	return nil
}

// countSpill counts a prompt that was computed in another data centre.
func countSpill(from, to, reason string, promptBytes int) {
	labels := fmt.Sprintf(`{from=%q,to=%q,reason=%q}`, from, to, reason)
	metrics.GetOrCreateCounter("bergamot_spill_requests_total" + labels).Inc()
	metrics.GetOrCreateCounter("bergamot_spill_prompt_bytes_total" + labels).Add(promptBytes)
}

// heardDataCentres returns the data centres with a member that is heard from, and whether no member but self is.
func heardDataCentres(all []membership.Member, self string) (heard map[string]bool, alone bool) {
	heard, alone = map[string]bool{}, true
	for i := range all {
		m := &all[i]
		ok := m.Name == self || !m.Suspect && (m.State == membership.Alive || m.State == membership.Leaving)
		heard[m.DataCentre] = heard[m.DataCentre] || ok
		if ok && m.Name != self {
			alone = false
		}
	}
	return heard, alone
}
