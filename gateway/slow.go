package gateway

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// exclusionEvery is how often the exclusions are looked at.
const exclusionEvery = time.Second

// exclusions tells operators which upstreams get no ordinary work since they are slow or fail. It belongs to the loop's goroutine,
// but for count.
type exclusions struct {
	log   *zap.Logger
	total *metrics.Counter
	next  time.Duration
	now   map[string]bool
	count atomic.Int64
}

func newExclusions(log *zap.Logger, set *metrics.Set) *exclusions {
	return &exclusions{log: log, total: set.NewCounter("bergamot_gateway_exclusions_total"), now: map[string]bool{}}
}

// look logs what has changed since the last look.
func (x *exclusions) look(now time.Duration, s *scheduler.Scheduler) {
	if now < x.next {
		return
	}
	x.next = now + exclusionEvery
	f := s.Fleet()
	seen := 0
	for i, u := range f.Upstreams {
		excluded := f.Health.Excluded(now, i)
		if excluded {
			seen++
		}
		if excluded == x.now[u.Spec.Name] {
			continue
		}
		if !excluded {
			delete(x.now, u.Spec.Name)
			x.log.Info("upstream readmitted", zap.String("upstream", u.Spec.Name))
			continue
		}
		x.now[u.Spec.Name] = true
		x.total.Inc()
		reason := "slow"
		if r, ok := f.Health.(policy.Reasoner); ok {
			reason = r.Reason(now, i)
		}
		x.log.Warn("upstream excluded", zap.String("upstream", u.Spec.Name), zap.String("reason", reason), zap.Float64("slower", f.Health.Factor(i)))
	}
	x.count.Store(int64(seen))
}
