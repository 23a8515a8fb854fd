package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve serves h on loopback within the limits and returns the address.
func serve(t testing.TB, g *Guard, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 64 << 10}
	protected := g.Protect(s, l, "callers", false)
	go func() { _ = s.Serve(protected) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// answer reads an answer and returns its status, or 0 if the connection was closed.
func answer(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the connection may be closed
	return resp.StatusCode
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
})

// largestHead is a head of legal size with the most lines.
func largestHead() string {
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	return head + strings.Repeat("a:\n", (16384-len(head)-2)/3) + "\r\n"
}

// snapshot returns the sums that the Guard holds and those that its connections hold.
func snapshot(g *Guard) (held, sum int64, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		sum += c.held
	}
	return g.held, sum, len(g.conns)
}

// Guards against a limit that a single request of legal size meets while nothing else is held, on the smallest VM (144 MB).
func TestASingleRequestOfLegalSizeIsServed(t *testing.T) {
	is := is.New(t)
	g := New(Options{MemoryBytes: 144 << 20, Descriptors: 1000})
	c := dial(t, serve(t, g, ok))
	for range 3 { // also on a kept-alive connection
		_, err := io.WriteString(c, largestHead())
		is.NoErr(err)
		is.Equal(answer(c), http.StatusOK)
	}
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+strings.Repeat("\n", 4<<20))
	is.NoErr(err)
	is.Equal(answer(c), http.StatusOK) // lines of the body don't count
}

// Guards against heads that take more memory together than the budget, and against a budget that stays used up.
func TestHeadsShareTheBudget(t *testing.T) {
	is := is.New(t)
	g := New(Options{MemoryBytes: 48 << 20, Descriptors: 1000})
	address := serve(t, g, ok)
	head := strings.TrimSuffix(largestHead(), "\r\n")
	var conns []net.Conn
	for range 40 {
		c := dial(t, address)
		conns = append(conns, c)
		_, _ = io.WriteString(c, head) // the connection may be closed meanwhile
	}
	c := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(answer(c), http.StatusOK) // an ordinary request has room
	held, sum, _ := snapshot(g)
	is.Equal(held, sum)
	is.True(held <= g.maxBytes)
	var text strings.Builder
	g.WriteMetrics(&text)
	is.True(strings.Contains(text.String(), "bergamot_ingress_held_limit_bytes 6291456\n"))
	for _, c := range conns {
		_ = c.Close()
	}
	_ = c.Close()
	for {
		if held, _, n := snapshot(g); n == 0 {
			is.Equal(held, int64(0))
			return
		}
		time.Sleep(time.Millisecond) // the server notices the closes; otherwise the test does not end
	}
}

// Guards against a connection limit that ends a request that has been read, or that keeps new clients out while others only stay open.
func TestOpenConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	g := New(Options{Descriptors: 16}) // 8 connections
	running, finish := make(chan struct{}), make(chan struct{})
	address := serve(t, g, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-finish
		}
	}))
	first := dial(t, address)
	_, err := io.WriteString(first, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	for range 30 {
		dial(t, address)
	}
	c := dial(t, address)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(answer(c), http.StatusOK)
	_, _, n := snapshot(g)
	is.True(n <= 8)
	close(finish)
	is.Equal(answer(first), http.StatusOK)
}

// Guards against a request that goes to a handler as complete although its connection was closed for others.
func TestABodyOfAClosedConnectionIsNotComplete(t *testing.T) {
	is := is.New(t)
	g := New(Options{MemoryBytes: 48 << 20})
	begun, failed := make(chan struct{}), make(chan error, 1)
	address := serve(t, g, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
	}))
	c := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabc")
	is.NoErr(err)
	<-begun
	g.mu.Lock()
	for c := range g.conns { // one
		g.close(c, "memory")
	}
	g.mu.Unlock()
	is.True(<-failed != nil)
}

// Guards against endless lines and empty lines, each of which a client sends without ever sending a request.
func TestLinesWithoutEndCloseTheConnection(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{strings.Repeat("\r\n", maxEmptyLines+1), "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", maxLines)} {
		c := dial(t, serve(t, New(Options{MemoryBytes: 1 << 30}), ok))
		_, _ = io.WriteString(c, text) // the connection may be closed meanwhile
		is.True(answer(c) != http.StatusOK)
	}
}

// BenchmarkOrdinaryRequest is the cost of a request on a kept-alive connection, with and without a Guard.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, g := range map[string]*Guard{"without": nil, "with": New(Options{MemoryBytes: 144 << 20, Descriptors: 4100})} {
		b.Run(name, func(b *testing.B) {
			c := dial(b, serve(b, g, ok))
			_ = c.SetDeadline(time.Time{})
			r := bufio.NewReader(c)
			text := []byte("POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Deadline: 3000\r\nX-Model: m\r\nX-Token-Count: 900,60\r\n" +
				"X-Prompt-Part: aa:512,b:388\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against frames of HTTP/2 that are counted as heads without end: net/http calls such a connection idle between two streams, and
// the peers' calls on it would be cut.
func TestFramesOfHTTP2AreNoHead(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	hold := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Verified(r.Context()) // as package peer does for a peer's call
		if r.URL.Path == "/hold" {
			close(began)
			<-release
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := &http.Server{Handler: hold, ReadHeaderTimeout: time.Minute, Protocols: &http.Protocols{}}
	s.Protocols.SetUnencryptedHTTP2(true)
	g := New(Options{MemoryBytes: 4 << 20, Descriptors: 1000})
	protected := g.Protect(s, l, "peers", true)
	go func() { _ = s.Serve(protected) }() // ends with Close
	defer s.Close()
	tr := &http.Transport{Protocols: &http.Protocols{}}
	tr.Protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: tr}
	url := "http://" + l.Addr().String()
	post := func(path, body string) error {
		resp, err := client.Post(url+path, "text/plain", strings.NewReader(body))
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	is.NoErr(post("/first", "x")) // the connection is idle once
	held := make(chan error, 1)
	go func() { held <- post("/hold", "x") }()
	<-began
	for range 20 {
		is.NoErr(post("/call", strings.Repeat("x", 64<<10)))
	}
	close(release)
	is.NoErr(<-held)
}
