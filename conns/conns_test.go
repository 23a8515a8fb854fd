package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// script is an upstream that answers the nth request of all connections with the nth text. An empty text closes the connection.
type script struct {
	net.Listener
	answers  []string
	requests atomic.Int32
	conns    atomic.Int32
	closed   chan struct{} // one for each connection that its peer has closed
}

func serve(t *testing.T, answers ...string) *script {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{Listener: l, answers: answers, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.talk(c)
		}
	}()
	return s
}

func (s *script) talk(c net.Conn) {
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
	ok    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: a\r\n\r\nhi"
	other = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: b\r\n\r\nbad"
)

func request() *Request {
	return &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Mine: func(h http.Header) bool { return h.Get("X-Id") == "a" },
	}
}

func exchange(t *testing.T, p *Pool, address string) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), address, request())
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := resp.ReadAll(100)
	return string(b), err
}

func stage(err error) Stage {
	var e *Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Stage
}

// Guards against a connection for each request, and against one that is used again although the upstream said that it closes it.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	closing := strings.Replace(ok, "X-Id", "Connection: close\r\nX-Id", 1)
	s := serve(t, ok, ok, closing, ok)
	p := New(Options{})
	defer p.Close()
	for range 4 {
		got, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
		is.Equal(got, "hi")
	}
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against an answer to another request that is taken for this one: it may come late, where the next answer is due.
func TestForeignAnswersAreDropped(t *testing.T) {
	is := is.New(t)
	s := serve(t, other+ok, other+other+other+ok)
	p := New(Options{})
	defer p.Close()
	got, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	is.Equal(got, "hi")
	_, err = exchange(t, p, s.Addr().String())
	is.Equal(stage(err), Sent) // too many: the connection is given up, and the request may have run
}

// Guards against the use of a connection on which bytes came after a complete answer.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, ok+"surplus", ok)
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
		for _, text := range []string{ok[:len(ok)-1], "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n2\r\nhi\r\n"} {
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
		is.Equal(stage(err), Answered)
	}
}

// Guards against a request that is sent a second time, or called unsent, after the upstream has read it and closed the connection.
func TestARequestIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := serve(t, ok, "", ok)
	p := New(Options{})
	defer p.Close()
	_, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	_, err = exchange(t, p, s.Addr().String()) // on the kept connection, which closes without an answer
	is.Equal(stage(err), Sent)
	is.Equal(s.requests.Load(), int32(2))
}

// Guards against a refused connection that counts as a request that may have run.
func TestARefusedConnectionSendsNothing(t *testing.T) {
	is := is.New(t)
	s := serve(t)
	address := s.Addr().String()
	is.NoErr(s.Close())
	p := New(Options{})
	defer p.Close()
	_, err := exchange(t, p, address)
	is.Equal(stage(err), NotSent)
}

// Guards against the use of an idle connection that the upstream has closed meanwhile.
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
			_, _ = io.WriteString(c, ok)
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

// Guards against an upstream that goes on working for a caller that has left: the end of the context closes the connection.
func TestCancellationClosesTheConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, "hang")
	p := New(Options{})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, s.Addr().String(), request())
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(stage(<-done), Sent)
	<-s.closed
	is.Equal(p.Open(s.Addr().String()), 0)
}

// Guards against connections that are kept beyond the upstream's own idle timeout, where a request would cross its close.
func TestStatedIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set("Keep-Alive", "timeout=3, max=10")
	is.Equal(keepAlive(h), 3*time.Second)
	h.Set("Keep-Alive", "timeout=0")
	is.True(keepAlive(h) > 0) // stated, and shorter than any margin
	h.Del("Keep-Alive")
	is.Equal(keepAlive(h), time.Duration(0))

	short := strings.Replace(ok, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1)
	s := serve(t, short, ok)
	p := New(Options{})
	defer p.Close()
	for range 2 {
		_, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
	}
	is.Equal(s.conns.Load(), int32(2))
}

// Guards against idle connections that pile up.
func TestSweepClosesOldConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, ok, ok)
	p := New(Options{IdleLife: time.Second})
	defer p.Close()
	_, err := exchange(t, p, s.Addr().String())
	is.NoErr(err)
	is.Equal(p.Open(s.Addr().String()), 1)
	p.Sweep(time.Now().Add(time.Minute))
	is.Equal(p.Open(s.Addr().String()), 0)
}
