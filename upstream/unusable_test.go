package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against an answer with an invalid status (RFC 9110, section 15), or with very many lines in its head, that is relayed to the
// caller, or that states that its request has not run.
func TestUnusableHeads(t *testing.T) {
	many := strings.Repeat("a:\r\n", 2000)
	for _, v := range [][2]string{
		{"000"}, {"001"}, {"099"}, {"101"}, {"199"}, {"1000"}, {"20"}, {"0200"}, {"-20"}, {"600"}, {"999"}, {"200", many}, {"500", many},
	} {
		for _, path := range []string{"service", "stream"} {
			t.Run(fmt.Sprint(v[0], " ", len(v[1]), " ", path), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s: r\r\n%s: 1\r\n%sContent-Length: 4\r\n\r\nbody", v[0], HeaderRequestID, HeaderNotRun, v[1])
						}
						_ = c.Close()
					}
				}()
				client := New(Options{HeaderTimeout: 5 * time.Second, StallTimeout: 5 * time.Second, ControlTimeout: 5 * time.Second})
				defer client.Close()
				u := &topo.Upstream{Name: "u", Address: l.Addr().String(), Kind: topo.KindService}
				if path == "service" {
					_, err = client.Call(t.Context(), u, &Call{RequestID: "r", Method: http.MethodPost, Path: "/x", MaxAnswer: 100})
				} else {
					_, err = client.Open(t.Context(), u, &Attempt{RequestID: "r", Attempt: "1", Path: "/v1/completions", Body: []byte("{}")})
				}
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.True(failure.Outcome != policy.RefusedNotRun)
				is.True(failure.Outcome != policy.FailedBeforeSend)
			})
		}
	}
}
