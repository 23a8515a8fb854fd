package server_test

import (
	"testing"
	"time"

	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against load reports on answers that do not reach the scheduler, so that every upstream would have to be polled.
func TestLoadReportsArriveWithAnswers(t *testing.T) {
	f := newFleet(t, fastEngine("e1"))
	v := f.start(func(s *settings.Settings) { s.Upstreams.ReportEvery = topo.Duration(time.Minute) }) // no poll in this test
	f.eventually("the scheduler has the engine's report", func() bool {
		v.openStream(prompt("load", 5, true)).readAll().isComplete(t, expectedText("load", 5)) // the first answers may carry no report yet
		seen := false
		_ = v.Gateway().Do(t.Context(), func(_ time.Duration, s *scheduler.Scheduler) {
			i, ok := s.Lookup("e1")
			seen = ok && s.Fleet().Upstreams[i].ReportReceived > 0
		})
		return seen
	})
}
