package gateway

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotcroft.example/bergamot/policy"
)

// Guards against an exclusion that operators can't see, and against a log line for each update while it lasts.
func TestExclusionIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	s := newScheduler(t, "e0", "e1", "e2")
	x := newExclusions(zap.New(core), metrics.NewSet())
	x.update(time.Second, s)
	is.Equal(lines.Len(), 0)
	for range 100 {
		s.Fleet().Health.Observe(time.Second, policy.Observation{Upstream: 1, Kind: policy.ObservedCall, Failed: true})
	}
	is.True(s.Fleet().Health.Excluded(time.Second, 1)) // precondition of the checks below
	x.update(1500*time.Millisecond, s)                 // before the interval has passed
	is.Equal(lines.Len(), 0)
	x.update(2*time.Second, s)
	x.update(3*time.Second, s)
	is.Equal(lines.FilterMessage("upstream excluded").Len(), 1)
	is.Equal(lines.FilterMessage("upstream excluded").All()[0].ContextMap()["reason"], "slow")
	is.Equal(x.count.Load(), int64(1))
	s.Fleet().Health.Reset(1)
	x.update(4*time.Second, s)
	is.Equal(lines.FilterMessage("upstream readmitted").Len(), 1)
	is.Equal(x.count.Load(), int64(0))
}
