package store_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/endless"
	"bergamotcroft.example/bergamot/store"
)

// largestAnswer is the limit on an answer in the client.
const largestAnswer = 16 << 20

// Guards against unbounded memory use when the store's headers, body or refusal never ends: the call must fail at its size
// limit, and the outcome of a write is then unknown.
func TestAnswersWithoutEnd(t *testing.T) {
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	for name, c := range map[string]struct {
		beginning, repeated string
		most                uint64
	}{
		"headers": {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n", endless.MemoryBound},
		"refusal": {"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, endless.MemoryBound},
		"body":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 3*largestAnswer + endless.MemoryBound}, // its buffer doubles
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := endless.Serve(t, "", c.beginning, c.repeated)
			client := store.NewClient(store.Options{BaseURL: "http://" + s.Addr().String(), Timeout: time.Minute, Attempts: 1})
			var err error
			taken := endless.Allocated(func() { _, err = client.Get(t.Context(), "k", "n") })
			t.Logf("%d bytes, %v", taken, err)
			is.True(errors.Is(err, store.ErrUnavailable))
			is.True(taken < c.most)
			_, err = client.Put(t.Context(), store.Object{Kind: "k", Name: "n"})
			is.True(errors.Is(err, store.ErrOutcomeUnknown) || name == "refusal" && errors.Is(err, store.ErrUnavailable))
		})
	}
}
