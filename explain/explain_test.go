package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recorded is a log as a collector stores it: with the time and the VM's name before each line.
const recorded = `   1.0751 front-linz-2 ts=2026-05-12T08:00:11.0751Z level=info msg=send request=84f0 attempt=1 prompt_at=i-7b@m1 upstream=i-9e@m2 tokens=18052 expected=619 waited=243
   1.1288 front-wien-b-2 ts=2026-05-12T08:00:11.1288Z level=warn msg="upstream excluded" upstream=i-9e@m2 slower=1
   1.2000 front-wien-b-2 ts=2026-05-12T08:00:11.2000Z level=info msg=send request=other attempt=1 upstream=i-9e@m2
   9.0000 front-wien-b-2 ts=2026-05-12T08:00:19.0000Z level=info msg="upstream gone" upstream=i-9e
   not a log line
   2.1704 front-linz-2 ts=2026-05-12T08:00:12.1704Z level=info msg=request request=84f0 result=key_outcome_unknown error="4001 key_outcome_unknown: connection reset by peer"
   2.1000 front-linz-2 ts=2026-05-12T08:00:12.1000Z level=info msg="send failed" request=84f0 upstream=i-3a@m3 stage=1 error="connection reset by peer"
   1.0000 front-graz-1 ts=2026-05-12T08:00:11.0000Z level=info msg="upstream excluded" upstream=i-ff@m9
`

// Guards against a timeline that has lines of other requests or of upstreams not involved, or is not in order of time.
func TestRequestTimeline(t *testing.T) {
	is := is.New(t)
	first, second, _ := strings.Cut(recorded, "   2.1704")
	var out strings.Builder
	is.NoErr(Request(&out, "84f0", strings.NewReader("   2.1704"+second), strings.NewReader(first)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	for i, want := range []string{"send attempt=1", "upstream excluded", "send failed", "request result=key_outcome_unknown"} {
		is.True(strings.Contains(lines[i], want))
	}
	is.True(strings.HasPrefix(strings.TrimSpace(lines[2]), "+1.025 s"))
	is.True(strings.Contains(lines[3], `error="4001 key_outcome_unknown: connection reset by peer"`))
}

// Guards against an empty timeline without an error for an identifier that no log contains.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	err := Request(&strings.Builder{}, "none", strings.NewReader(recorded))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "none"))
}
