package conns

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a header that excludes an upstream for ever, and against a valid header that is ignored.
func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "0": 0, "2": 2 * time.Second, " 1.5 ": 1500 * time.Millisecond, "0.25": 250 * time.Millisecond, "-3": 0, "-Inf": 0, "NaN": 0,
		"soon": 0, "2s": 0, "Fri, 04 Dec 2026 12:00:00 GMT": 0, "1e300": maxRetryAfter, "+Inf": maxRetryAfter, "1e999": 0,
		"99999999999999999999": maxRetryAfter, "601": maxRetryAfter,
	} {
		h := http.Header{}
		if value != "" {
			h.Set("Retry-After", value)
		}
		is.New(t).Equal(RetryAfter(h), want) // value
	}
}
