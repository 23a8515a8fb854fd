package server_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against times to the first token and times in the queue that are counted twice, not at all or under another class.
func TestTimesByClass(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(nil)
	v.openStream(prompt("times", 5, true)).readAll().isComplete(t, expectedText("times", 5))
	f.eventually("both times are counted", func() bool { // the answer may arrive before the scheduler has processed the request's events
		text := v.metricsText()
		return strings.Contains(text, `bergamot_gateway_first_token_seconds_count{class=""} 1`) &&
			strings.Contains(text, `bergamot_gateway_queue_seconds_count{class=""} 1`)
	})
	is.True(!strings.Contains(v.metricsText(), `bergamot_gateway_first_token_seconds_count{class="long"}`))
}
