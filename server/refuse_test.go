package server_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/emulator/engine"
	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

// Guards against refusals with a wrong code, status or execution, and against invalid requests that reach an upstream.
func TestBadRequestsAreRefused(t *testing.T) {
	f := newFleet(t, fastEngine("e1"))
	f.addService("b1")
	v := f.start(func(s *settings.Settings) {
		s.Callers.MaxBodyBytes, s.Callers.BodyTimeout = 2000, topo.Duration(100*time.Millisecond)
	})
	good := prompt("x", 1, false)
	for name, c := range map[string]struct {
		method, path, body string
		header             []string
		code               result.Code
		status             int
	}{
		"no key":               {"POST", "/v1/completions", good, []string{"Authorization", ""}, result.Unauthenticated, 401},
		"wrong key":            {"POST", "/v1/completions", good, []string{"Authorization", "Bearer x"}, result.Unauthenticated, 401},
		"long key":             {"POST", "/v1/completions", good, []string{"Authorization", "Bearer " + strings.Repeat("k", 5000)}, result.Unauthenticated, 401},
		"not JSON":             {"POST", "/v1/completions", "{", nil, result.MalformedRequest, 400},
		"list":                 {"POST", "/v1/completions", "[]", nil, result.MalformedRequest, 400},
		"no prompt":            {"POST", "/v1/completions", `{"model":"m"}`, nil, result.MalformedRequest, 400},
		"no model":             {"POST", "/v1/completions", `{"prompt":"x"}`, nil, result.MalformedRequest, 400},
		"reserved field":       {"POST", "/v1/completions", `{"model":"m","prompt":"x","priority":0}`, nil, result.MalformedRequest, 400},
		"several answers":      {"POST", "/v1/completions", `{"model":"m","prompt":"x","n":2}`, nil, result.MalformedRequest, 400},
		"negative tokens":      {"POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, nil, result.MalformedRequest, 400},
		"unknown model":        {"POST", "/v1/completions", `{"model":"z","prompt":"x"}`, nil, result.UnknownModel, 404},
		"unknown class":        {"POST", "/v1/completions", good, []string{gateway.HeaderClass, "z"}, result.MalformedRequest, 400},
		"body too large":       {"POST", "/v1/completions", prompt(strings.Repeat("x", 3000), 1, false), nil, result.BodyTooLarge, 413},
		"deadline passed":      {"POST", "/v1/completions", good, []string{gateway.HeaderDeadline, "0"}, result.DeadlineTooShort, 400},
		"deadline no number":   {"POST", "/v1/completions", good, []string{gateway.HeaderDeadline, "soon"}, result.MalformedRequest, 400},
		"unknown path":         {"GET", "/v2/models", "", nil, result.UnknownRoute, 404},
		"wrong method":         {"GET", "/v1/completions", "", nil, result.UnknownRoute, 404},
		"unknown service":      {"GET", "/services/z/x", "", nil, result.UnknownService, 404},
		"unknown route":        {"POST", "/services/booking/bookingsandmore", "{}", nil, result.UnknownRoute, 404},
		"long idempotency key": {"POST", "/services/booking/bookings", "{}", []string{gateway.HeaderKey, strings.Repeat("k", 300)}, result.KeyMalformed, 400},
		"no claims kept":       {"POST", "/services/booking/bookings", "{}", []string{gateway.HeaderKey, "k"}, result.ClaimUnavailable, 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := v.do(c.method, c.path, c.body, c.header...)
			is.NoErr(r.err)
			code, execution := r.refusal()
			is.Equal(code, c.code)
			is.Equal(r.status, c.status)
			is.Equal(execution, result.NotRun)
			is.Equal(r.header.Get("Retry-After") != "", code.Info().Retry)
		})
	}
	t.Run("slow body", func(t *testing.T) {
		is := is.New(t)
		body, write := io.Pipe()
		defer func() { _ = write.Close() }()
		go func() { _, _ = write.Write([]byte(`{"model"`)) }()
		req := v.request("POST", "/v1/completions", "")
		req.Body = body
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	})
	is.New(t).Equal(len(f.engines[0].Counts().Starts), 0)
	is.New(t).Equal(len(f.ledger.All()), 0)
}

// Guards against a slow header that keeps a connection open for ever, and against a header of unbounded size.
func TestHeadersAreBounded(t *testing.T) {
	f := newFleet(t, fastEngine("e1"))
	v := f.start(func(s *settings.Settings) { s.Callers.HeaderTimeout = topo.Duration(100 * time.Millisecond) })
	for name, text := range map[string]string{
		"slow":  "GET /v1/models HTTP/1.1\r\nHost: x\r\n",
		"large": "GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", v.CallerAddress())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.NoErr(c.SetDeadline(time.Now().Add(waitLimit)))
			_, _ = c.Write([]byte(text))
			answer, _ := io.ReadAll(c) // ends when the server closes the connection
			is.True(!strings.Contains(string(answer), "200 OK"))
		})
	}
}

// Guards against a wrong execution in a refusal: unknown after the deadline of a request that an engine holds, not_run only if
// the request reached no engine.
func TestRefusalReportsExecution(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(func(s *settings.Settings) { s.Policies.Retry.Settings = []byte(`{"hedge_factor": 0}`) })

	f.injectFaultOnce(func(p engine.Point) bool { return p.Index == 0 }, engine.Hang)
	code, execution := v.do("POST", "/v1/completions", prompt("hang", 5, false), gateway.HeaderDeadline, "300").refusal()
	is.Equal(code, result.DeadlineExceeded)
	is.Equal(execution, result.Unknown) // the engine has received the request

	f.engines[0].Close()
	// A request on a kept-alive connection may reach the engine's socket as it closes; its execution is then rightly unknown.
	// This request removes that connection from the pool, so that the next one has to dial.
	v.do("POST", "/v1/completions", prompt("first", 5, false))
	code, execution = v.do("POST", "/v1/completions", prompt("down", 5, false)).refusal()
	is.True(code != result.OK)
	is.Equal(execution, result.NotRun) // the connection is refused
}

// Guards against accepting new work under a configuration that may be out of date.
func TestUnconfirmedConfigurationTakesNoWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(nil)
	v.source.SetAllowsNewWork(false)
	r := v.do("POST", "/v1/completions", prompt("x", 1, false))
	code, execution := r.refusal()
	is.Equal(code, result.StaleEntryVM)
	is.Equal(execution, result.NotRun)
	is.True(r.header.Get("Retry-After") != "")
	v.source.SetAllowsNewWork(true)
	is.Equal(v.do("POST", "/v1/completions", prompt("x", 1, false)).status, http.StatusOK)
}

// Guards against a caller that does not read its stream and so occupies an engine or memory without limit.
func TestSlowCallerIsCutOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(func(s *settings.Settings) {
		s.Callers.WriteTimeout, s.Gateway.RelayRing = topo.Duration(200*time.Millisecond), 8
	})
	c, err := net.Dial("tcp", v.CallerAddress())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	const tokens = 1 << 20 // 180 MB of events
	body := prompt("slow", tokens, true)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	is.NoErr(err)
	f.eventually("the caller is cut off", func() bool {
		return strings.Contains(v.metricsText(), `bergamot_gateway_requests_total{code="3010"} 1`)
	})
	is.Equal(v.do("POST", "/v1/completions", prompt("x", 1, false)).status, http.StatusOK)
}

// writeCertificate writes a new self-signed certificate and returns it.
func writeCertificate(t *testing.T, dir, name string) *x509.Certificate {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(dir, "cert.pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "key.pem"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	c, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return c
}

// Guards against an administration listener that never reloads its certificate.
func TestAdministrationCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f := newFleet(t, fastEngine("e1"))
	store := emulator.New(emulator.Options{WatchTimeout: time.Second})
	node := configuration.New(configuration.Options{Store: store, Name: "test"})
	_, err := node.Update(t.Context(), "test", func(to *topo.Configuration) error {
		base := to.Revision
		*to = *f.config
		to.Revision = base
		return nil
	})
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(writeCertificate(t, dir, "first"))
	v := f.startStore(store, func(s *settings.Settings) {
		s.Name, s.Operators.Listen = "vm1", "127.0.0.1:0"
		s.Operators.Certificate, s.Operators.Key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
		s.Callers.ReloadEvery = topo.Duration(100 * time.Millisecond)
	})
	second := writeCertificate(t, dir, "second")
	pool.AddCert(second)
	f.eventually("new connections see the new certificate", func() bool {
		c, err := tls.Dial("tcp", v.AdminAddress(), &tls.Config{RootCAs: pool})
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].Equal(second)
	})
}

// Guards against a changed certificate that interrupts an open stream or does not take effect.
func TestCertificateReloadCutsNothing(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f := newFleet(t, fastEngine("e1"))
	gate := make(chan struct{})
	f.engines[0].OnStream(func(p engine.Point) engine.Fault {
		if p.Index == 10 {
			<-gate
		}
		return engine.None
	})
	pool := x509.NewCertPool()
	pool.AddCert(writeCertificate(t, dir, "first"))
	http.DefaultTransport.(*http.Transport).TLSClientConfig = &tls.Config{RootCAs: pool}
	defer func() { http.DefaultTransport.(*http.Transport).TLSClientConfig = nil }()
	v := f.startTLS(func(s *settings.Settings) {
		s.Callers.Certificate, s.Callers.Key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
		s.Callers.ReloadEvery = topo.Duration(100 * time.Millisecond)
	})
	s := v.openStream(prompt("tls", 30, true))
	is.True(s.next())
	second := writeCertificate(t, dir, "second")
	pool.AddCert(second)
	f.eventually("new connections see the new certificate", func() bool {
		c, err := tls.Dial("tcp", v.CallerAddress(), &tls.Config{RootCAs: pool})
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].Equal(second)
	})
	close(gate)
	s.readAll().isComplete(t, expectedText("tls", 30))
}
