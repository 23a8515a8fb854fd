package upstream

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/endless"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against unbounded memory and calls that hang when an engine or service sends without end: each call must fail at its
// own size limit or timeout.
func TestUpstreamsWithoutEnd(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nBergamot-Request-Id: $ID\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	calls := map[string]func(c *Client, u *topo.Upstream) error{
		"stream": func(c *Client, u *topo.Upstream) error {
			s, err := c.Open(context.Background(), u, &Attempt{RequestID: "r", Attempt: "1", Path: "/v1/completions", Body: []byte("{}")})
			if err != nil {
				return err
			}
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			return err
		},
		"service": func(c *Client, u *topo.Upstream) error {
			_, err := c.Call(context.Background(), u, &Call{RequestID: "r", Method: http.MethodPost, Path: "/x", MaxAnswer: 100 << 10})
			return err
		},
		"load": func(c *Client, u *topo.Upstream) error { _, err := c.Load(context.Background(), u); return err },
	}
	for name, c := range map[string][2]string{
		"headers":   {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"interim":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":      {strings.Replace(whole, "Bergamot-Request-Id", HeaderRequestID, 1) + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"comments":  {strings.Replace(whole, "Bergamot-Request-Id", HeaderRequestID, 1) + "Transfer-Encoding: chunked\r\n\r\n", "4\r\n: x\n\r\n"},
		"rejection": {"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	} {
		for call, f := range calls {
			t.Run(name+" "+call, func(t *testing.T) {
				is := is.New(t)
				s := endless.Serve(t, HeaderRequestID, c[0], c[1])
				client := New(Options{HeaderTimeout: 300 * time.Millisecond, StallTimeout: 300 * time.Millisecond, ControlTimeout: 2 * time.Second})
				defer client.Close()
				u := &topo.Upstream{Name: "u", Address: s.Addr().String(), Kind: topo.KindService}
				var err error
				taken := endless.Allocated(func() { err = f(client, u) })
				t.Logf("%d bytes, %v", taken, err)
				var failure *Failure
				is.True(err != nil)
				is.True(call == "load" || errors.As(err, &failure))
				limit := uint64(endless.MemoryBound)
				if call == "load" {
					limit += 4 * maxControlBytes // memory for decoding a response of the maximum size
				}
				is.True(taken < limit)
				<-s.Closed
			})
		}
	}
}
