package conns

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the time that a Retry-After header may ask for. An upstream that asks for longer gets one
// request after this time.
const maxRetryAfter = 10 * time.Minute

// RetryAfter returns the time in a Retry-After header, in seconds with fractions. It returns 0 if the header is
// missing, negative or not a number. It also returns 0 for a date, which RFC 9110 allows: clocks here may differ by
// seconds.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
