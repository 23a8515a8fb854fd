package client

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/endless"
	"bergamotcroft.example/bergamot/result"
)

// Guards against unbounded memory use when an entry VM, or another server at its address, sends an endless answer.
func TestEntryVMsWithoutEnd(t *testing.T) {
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string][2]string{
		"headers":   {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"body":      {"HTTP/1.1 200 OK\r\n" + chunked, chunk},
		"error":     {"HTTP/1.1 500 X\r\n" + chunked, chunk},
		"one line":  {"HTTP/1.1 200 OK\r\n" + chunked + "6\r\ndata: \r\n", chunk},
		"one event": {"HTTP/1.1 200 OK\r\n" + chunked, "8\r\ndata: x\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := endless.Serve(t, "", c[0], c[1])
			client, err := New(Options{InitialAddresses: []string{s.Addr().String()}, Key: "k", Attempts: 1, MaxAnswer: 100 << 10})
			is.NoErr(err)
			taken := endless.Allocated(func() { _, err = client.Do(t.Context(), &Request{Method: "GET", Path: "/x"}) })
			t.Logf("%d bytes, %v", taken, err)
			is.True(err != nil)
			is.True(taken < endless.MemoryBound)
			taken = endless.Allocated(func() {
				err = client.Stream(t.Context(), &Request{Method: "POST", Path: "/x"}, func(Event) error { return nil })
			})
			t.Logf("%d bytes, %v", taken, err)
			is.True(err != nil && result.CodeOf(err) != result.OK)
			is.True(taken < endless.MemoryBound)
		})
	}
}
