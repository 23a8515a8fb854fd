package server_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/emulator/service"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// waitLimit bounds every wait, so that a fault makes a test fail instead of hang. No test result depends on its value.
const waitLimit = 60 * time.Second

const apiKey = "key-1"

// fleet holds the emulated upstreams and the configuration of a test.
type fleet struct {
	t        testing.TB
	engines  []*engine.Engine
	services []*service.Service
	ledger   *service.Ledger
	config   *topo.Configuration
}

// fastEngine describes an engine that answers within a few milliseconds.
func fastEngine(name string) topo.Upstream {
	return topo.Upstream{
		Name: name, DataCentre: "a", Models: []string{"m@1"}, PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: 1e6, MaxBatch: 64, KVPieces: 100,
	}
}

func newFleet(t testing.TB, specs ...topo.Upstream) *fleet {
	t.Helper()
	sum := sha256.Sum256([]byte(apiKey))
	f := &fleet{t: t, ledger: service.NewLedger(), config: &topo.Configuration{
		Revision: 1, Models: []topo.Model{{Name: "m", Version: "1"}},
		Classes: []topo.Class{{Name: "long", Priority: 1}},
		Services: []topo.Service{{Name: "booking", Routes: []topo.Route{
			{Method: "GET", PathPrefix: "/", Idempotent: true}, {Method: "POST", PathPrefix: "/bookings"},
		}}},
		Accounts: []topo.Account{{Caller: "c1", KeySHA: []string{hex.EncodeToString(sum[:])}}},
	}}
	for _, spec := range specs {
		e := engine.New(engine.Options{Spec: spec, Step: time.Millisecond, Poison: "POISON"})
		f.must(e.Start("127.0.0.1:0"))
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		f.config.Upstreams = append(f.config.Upstreams, e.Spec())
	}
	return f
}

func (f *fleet) addService(name string) *service.Service {
	s := service.New(service.Options{Spec: topo.Upstream{Name: name, Service: "booking", MaxBatch: 8}}, f.ledger)
	f.must(s.Start("127.0.0.1:0"))
	f.t.Cleanup(s.Close)
	f.services = append(f.services, s)
	f.config.Upstreams = append(f.config.Upstreams, s.Spec())
	return s
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// vm is an entry VM under test.
type vm struct {
	*server.Server
	t      testing.TB
	url    string
	source *server.StaticSource
	ended  chan error
}

// start runs an entry VM in front of the fleet until the test ends.
func (f *fleet) start(change func(*settings.Settings)) *vm { return f.startAt("http://", change) }

func (f *fleet) startTLS(change func(*settings.Settings)) *vm { return f.startAt("https://", change) }

func (f *fleet) startAt(scheme string, change func(*settings.Settings)) *vm {
	f.t.Helper()
	s := settings.Default()
	s.Name, s.DataCentre, s.Callers.Listen, s.Metrics.Listen = "vm1", "a", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown = settings.Shutdown{Drain: topo.Duration(waitLimit), Unlisted: true}
	if change != nil {
		change(s)
	}
	source := server.NewStaticSource(f.config)
	v := f.run(scheme, server.Options{Settings: s, Source: source})
	v.source = source
	return v
}

// startStore runs an entry VM that reads its configuration from the store.
func (f *fleet) startStore(store store.Store, change func(*settings.Settings)) *vm {
	f.t.Helper()
	s := settings.Default()
	s.DataCentre, s.Callers.Listen, s.Metrics.Listen = "a", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown = settings.Shutdown{Drain: topo.Duration(waitLimit), Unlisted: true}
	change(s)
	return f.run("http://", server.Options{Settings: s, Store: store})
}

func (f *fleet) run(scheme string, o server.Options) *vm {
	f.t.Helper()
	v := &vm{t: f.t, ended: make(chan error, 1)}
	srv, err := server.New(o)
	f.must(err)
	v.Server, v.url = srv, scheme+srv.CallerAddress()
	go func() { v.ended <- srv.Run() }()
	f.t.Cleanup(func() {
		srv.Stop()
		select {
		case err := <-v.ended:
			v.ended <- err
		case <-time.After(waitLimit):
			f.t.Error("the server does not stop")
		}
	})
	f.eventually("serving", func() bool { return v.get("/v1/models").status == http.StatusOK })
	return v
}

// eventually waits for a condition that must come true.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: does not happen", what)
		}
	}
}

type reply struct {
	status int
	header http.Header
	body   []byte
	closed bool // the server closes the connection after the answer
	err    error
}

// refusal returns the result code and the execution from the error in a reply.
func (r reply) refusal() (code result.Code, execution result.Execution) {
	var body struct {
		Error struct {
			Code      result.Code
			Execution result.Execution
		}
	}
	_ = json.Unmarshal(r.body, &body)
	return body.Error.Code, body.Error.Execution
}

func (v *vm) request(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, v.url+path, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (v *vm) do(method, path, body string, header ...string) reply {
	resp, err := http.DefaultClient.Do(v.request(method, path, body, header...))
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, b, resp.Close, err}
}

func (v *vm) get(path string) reply { return v.do(http.MethodGet, path, "") }

func prompt(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, text, tokens, stream)
}

// expectedText returns the text that the engines generate for a prompt.
func expectedText(text string, tokens int) string { return engine.Text(engine.Seed("m", text), tokens) }

// stream is a streamed answer, read event by event.
type stream struct {
	resp    *http.Response
	lines   *bufio.Scanner
	text    string
	offset  int
	done    bool
	code    result.Code // of an error event
	refused string      // body of a refusal
}

func (v *vm) openStream(body string, header ...string) *stream {
	v.t.Helper()
	resp, err := http.DefaultClient.Do(v.request(http.MethodPost, "/v1/completions", body, header...))
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { _ = resp.Body.Close() })
	return &stream{resp: resp, lines: bufio.NewScanner(resp.Body)}
}

// next reads one event and reports whether there was one.
func (s *stream) next() bool {
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			s.offset, _ = strconv.Atoi(string(id))
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			s.refused += string(line)
			continue
		}
		var chunk struct {
			Choices []struct{ Text string }
			Error   struct{ Code result.Code }
		}
		switch {
		case string(data) == "[DONE]":
			s.done = true
		case json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0:
			s.text += chunk.Choices[0].Text
		}
		s.code = chunk.Error.Code
		return true
	}
	return false
}

// readAll reads the remaining events.
func (s *stream) readAll() *stream {
	for s.next() {
	}
	return s
}

func (s *stream) isComplete(t *testing.T, text string) {
	t.Helper()
	is := is.NewRelaxed(t)
	if s.resp.StatusCode != http.StatusOK {
		t.Errorf("refused: %s", s.refused)
	}
	is.Equal(s.code, result.OK)
	is.True(s.done)        // the stream ends with its marker
	is.Equal(s.text, text) // every token once, in order, of this request
}

// metricsText returns the metrics page.
func (v *vm) metricsText() string {
	resp, err := http.Get("http://" + v.MetricsAddress() + "/metrics")
	if err != nil {
		v.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}
