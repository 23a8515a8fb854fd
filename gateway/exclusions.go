package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// exclusionInterval is the time between two updates of the exclusions.
const exclusionInterval = time.Second

// exclusions logs and counts the upstreams that are excluded from ordinary requests, with the reasons. It is used by the
// loop's goroutine only, except for count.
type exclusions struct {
	log        *zap.Logger
	set        *metrics.Set
	total      *metrics.Counter
	nextUpdate time.Duration
	reasons    map[string]string // by name of the upstream
	count      atomic.Int64
}

func newExclusions(log *zap.Logger, set *metrics.Set) *exclusions {
	return &exclusions{log: log, set: set, total: set.NewCounter("bergamot_gateway_exclusions_total"), reasons: map[string]string{}}
}

// update logs the exclusions that have begun or ended since the last update.
func (x *exclusions) update(now time.Duration, s *scheduler.Scheduler) {
	if now < x.nextUpdate {
		return
	}
	x.nextUpdate = now + exclusionInterval
	f := s.Fleet()
	excluded := 0
	for i, u := range f.Upstreams {
		name, reason := u.Spec.Name, s.ExclusionReason(now, i)
		if u.Spec.State == topo.UpstreamWithdrawn {
			delete(x.reasons, name)
			continue
		}
		if reason != "" {
			excluded++
		}
		switch before := x.reasons[name]; {
		case reason == before:
		case reason == "":
			delete(x.reasons, name)
			x.log.Info("upstream readmitted", zap.String("upstream", name), zap.String("reason", before))
		default:
			x.reasons[name] = reason
			x.total.Inc()
			x.set.GetOrCreateCounter(fmt.Sprintf("bergamot_gateway_exclusions_by_reason_total{reason=%q}", reason)).Inc()
			x.log.Warn("upstream excluded", zap.String("upstream", name), zap.String("reason", reason), zap.Float64("slower", f.Health.Factor(i)))
		}
	}
	x.count.Store(int64(excluded))
}
