package server_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/settings"
)

// Guards against clients that hold memory or connections with heads that they don't end, over plain connections and TLS: without a Guard each
// of these heads takes over 1 MB, and 16 connections that stay open keep all others out until they time out.
func TestClientsShareMemoryAndConnections(t *testing.T) {
	for _, secure := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, fastEngine("e1"))
		dir, pool := t.TempDir(), x509.NewCertPool()
		start := f.start
		if secure {
			pool.AddCert(writeCertificate(t, dir, "only"))
			http.DefaultTransport.(*http.Transport).TLSClientConfig = &tls.Config{RootCAs: pool}
			defer func() { http.DefaultTransport.(*http.Transport).TLSClientConfig = nil }()
			start = f.startTLS
		}
		v := start(func(s *settings.Settings) {
			s.MemoryBytes, s.Callers.MaxConnections = 32<<20, 16
			if secure {
				s.Callers.Certificate, s.Callers.Key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
			}
		})
		dial := func() net.Conn {
			c, err := net.Dial("tcp", v.CallerAddress())
			is.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
			is.NoErr(c.SetDeadline(time.Now().Add(waitLimit)))
			if secure {
				return tls.Client(c, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
			}
			return c
		}
		// The counters are those of the process.
		memory, connections := refusedAtCallers(v, "memory"), refusedAtCallers(v, "connections")
		for range 30 {
			_, _ = io.WriteString(dial(), "GET /v1/models HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 5000)) // the connection may be closed meanwhile
		}
		f.eventually("connections are closed for memory", func() bool {
			return refusedAtCallers(v, "memory") > memory
		})
		for range 30 {
			dial()
		}
		c := dial()
		_, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+apiKey+"\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK) // an ordinary request has room
		is.True(strings.Contains(v.metricsText(), "bergamot_ingress_held_limit_bytes 4194304\n"))
		is.True(refusedAtCallers(v, "connections") > connections)
		r := v.do("POST", "/v1/completions", prompt("x", 3, false))
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
	}
}

// refusedAtCallers returns the number of connections of callers that were closed for a reason.
func refusedAtCallers(v *vm, reason string) int {
	_, rest, _ := strings.Cut(v.metricsText(), `bergamot_ingress_refused_total{listener="callers",reason="`+reason+`"} `)
	text, _, _ := strings.Cut(rest, "\n")
	n, _ := strconv.Atoi(text) // 0 if there is none yet
	return n
}
