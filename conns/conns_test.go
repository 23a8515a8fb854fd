package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedUpstream is an upstream that answers the nth request, over all connections, with the nth text. An empty text
// closes the connection; "hang" leaves the request unanswered.
type scriptedUpstream struct {
	net.Listener
	answers  []string
	requests atomic.Int32
	conns    atomic.Int32
	closed   chan struct{} // receives a value for each connection that its peer has closed
}

func startScripted(t *testing.T, answers ...string) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedUpstream{Listener: l, answers: answers, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(c)
		}
	}()
	return s
}

func (s *scriptedUpstream) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			s.closed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		n := int(s.requests.Add(1)) - 1
		if n >= len(s.answers) || s.answers[n] == "" {
			return
		}
		if s.answers[n] == "hang" {
			_, _ = r.ReadByte()
			s.closed <- struct{}{}
			return
		}
		_, _ = io.WriteString(c, s.answers[n])
	}
}

const (
	okAnswer      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: a\r\n\r\nhi"
	foreignAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: b\r\n\r\nbad"
)

// lastRequest numbers the requests of newRequest.
var lastRequest atomic.Int32

func newRequest() *Request {
	return &Request{
		ID:     fmt.Sprint("request ", lastRequest.Add(1)),
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("X-Id") == "a" },
	}
}

func exchange(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), address, newRequest())
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := resp.ReadAll(100)
	return string(b), err
}

func stageOf(err error) Stage {
	var e *Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Stage
}

// Guards against a new connection for each request, and against the reuse of a connection that the upstream announced
// to close.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	closing := strings.Replace(okAnswer, "X-Id", "Connection: close\r\nX-Id", 1)
	s := startScripted(t, okAnswer, okAnswer, closing, okAnswer)
	p := New(Options{})
	defer p.Close()
	for range 4 {
		got, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
		is.Equal(got, "hi")
	}
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against an answer to another request that is taken for this one's: it may arrive late, in place of the next
// answer.
func TestForeignAnswersAreDropped(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, foreignAnswer+okAnswer, foreignAnswer+foreignAnswer+foreignAnswer+okAnswer)
	p := New(Options{})
	defer p.Close()
	got, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	is.Equal(got, "hi")
	_, err = exchange(t, p, s.Addr().String())
	is.Equal(stageOf(err), Sent) // too many foreign answers: the connection is closed, and the request may have run
}

// Guards against the reuse of a connection on which bytes arrived after a complete answer.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer+"surplus", okAnswer)
	p := New(Options{})
	defer p.Close()
	for range 2 {
		got, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
		is.Equal(got, "hi")
	}
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against a truncated answer that looks complete.
func TestTruncatedAnswersFail(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for _, text := range []string{okAnswer[:len(okAnswer)-1], "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n2\r\nhi\r\n"} {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}()
	p := New(Options{})
	defer p.Close()
	for range 2 {
		_, err := exchange(t, p, l.Addr().String())
		is.Equal(stageOf(err), Answered)
	}
}

// Guards against a request that is sent a second time, or reported as not sent, after the upstream has read it and
// closed the connection.
func TestARequestIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer, "", okAnswer)
	p := New(Options{})
	defer p.Close()
	_, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	_, err = exchange(t, p, s.Addr().String()) // on the reused connection, which closes without an answer
	is.Equal(stageOf(err), Sent)
	is.Equal(s.requests.Load(), int32(2))
}

// Guards against a refused connection that is reported as a request that may have run.
func TestARefusedConnectionSendsNothing(t *testing.T) {
	is := is.New(t)
	s := startScripted(t)
	address := s.Addr().String()
	is.NoErr(s.Close())
	p := New(Options{})
	defer p.Close()
	_, err := exchange(t, p, address)
	is.Equal(stageOf(err), NotSent)
}

// Guards against a request that is sent on an idle connection after it has ended: at its deadline, with its caller or in a stop.
func TestAnEndedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer, okAnswer, okAnswer)
	p := New(Options{})
	defer p.Close()
	_, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.Do(ended, s.Addr().String(), newRequest())
	is.Equal(stageOf(err), NotSent)
	got, err := exchange(t, p, s.Addr().String()) // the idle connection is kept
	is.NoErr(err)
	is.Equal(got, "hi")
	is.Equal(s.requests.Load(), int32(2))
	is.Equal(s.conns.Load(), int32(1))
}

// Guards against the reuse of an idle connection that the upstream has closed.
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	closed := make(chan struct{}, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, okAnswer)
			_ = c.Close()
			closed <- struct{}{}
		}
	}()
	p := New(Options{})
	defer p.Close()
	for range 2 {
		got, err := exchange(t, p, l.Addr().String())
		is.NoErr(err)
		is.Equal(got, "hi")
		<-closed
	}
}

// Guards against an upstream that keeps working for a caller that has disconnected: the end of the context closes the
// connection.
func TestCancellationClosesTheConnection(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, "hang")
	p := New(Options{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, s.Addr().String(), newRequest())
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(stageOf(<-done), Sent)
	<-s.closed
	is.Equal(p.Open(s.Addr().String()), 0)
}

// Guards against connections that are kept beyond the upstream's own idle timeout: a request could be sent while it
// closes.
func TestStatedIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set("Keep-Alive", "timeout=3, max=10")
	is.Equal(keepAliveTimeout(h), 3*time.Second)
	h.Set("Keep-Alive", "timeout=0")
	is.True(keepAliveTimeout(h) > 0) // stated, and below any margin
	h.Del("Keep-Alive")
	is.Equal(keepAliveTimeout(h), time.Duration(0))

	short := strings.Replace(okAnswer, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1)
	s := startScripted(t, short, okAnswer)
	p := New(Options{})
	defer p.Close()
	for range 2 {
		_, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
	}
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against idle connections that accumulate.
func TestSweepClosesOldConnections(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer, okAnswer)
	p := New(Options{IdleTimeout: time.Second})
	defer p.Close()
	_, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	is.Equal(p.Open(s.Addr().String()), 1)
	p.Sweep(time.Now().Add(time.Minute))
	is.Equal(p.Open(s.Addr().String()), 0)
}

// Guards against a request that is sent again on a connection that has carried it, where the first answer may come once more, and
// against a request without an ID that shares a connection with others.
func TestARequestIsNotSentAgainOnItsConnection(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer, okAnswer, okAnswer, okAnswer, okAnswer)
	p := New(Options{})
	defer p.Close()
	do := func(id string) {
		q := newRequest()
		q.ID = id
		resp, err := p.Do(t.Context(), s.Addr().String(), q)
		is.NoErr(err)
		_, err = resp.ReadAll(100)
		is.NoErr(err)
		resp.Close()
	}
	do("a")
	do("b")
	is.Equal(s.conns.Load(), int32(1))
	do("a")
	is.Equal(s.conns.Load(), int32(2))
	do("")
	do("")
	is.Equal(s.conns.Load(), int32(4))
}

// Guards against a connection whose record of requests grows without bound, or forgets the last ones.
func TestCarriedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	var c conn
	for i := range 3 * maxCarried {
		c.carry(fmt.Sprint(i))
	}
	is.Equal(len(c.carried), maxCarried)
	is.True(!c.mayCarry(fmt.Sprint(3*maxCarried - 1)))
	is.True(c.mayCarry("0"))
}
