package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endingConn is a connection in memory on which the upstream sends some bytes and then closes or resets it.
type endingConn struct {
	net.Conn
	earlier, data string // what is read before and in the exchange under test; no read takes of both
	step          int    // bytes per read; 0: all
	rst           bool   // reports a reset once, and the end after it, as Linux does
}

func (c *endingConn) Read(b []byte) (int, error) {
	if c.step > 0 && len(b) > c.step {
		b = b[:c.step]
	}
	from := &c.data
	if c.earlier != "" {
		from = &c.earlier
	}
	if *from != "" {
		n := copy(b, *from)
		*from = (*from)[n:]
		return n, nil
	}
	if c.rst {
		c.rst = false
		return 0, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return 0, io.EOF
}

func (c *endingConn) Write(b []byte) (int, error)       { return len(b), nil }
func (c *endingConn) Close() error                      { return nil }
func (c *endingConn) SetDeadline(_ time.Time) error     { return nil }
func (c *endingConn) SetReadDeadline(_ time.Time) error { return nil }

// addIdle puts a connection into the pool, as if an earlier exchange had left it there.
func addIdle(p *Pool, address string, c net.Conn) {
	raw := &boundedSource{Reader: c}
	raw.removeLimit()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]++
	p.idle[address] = append(p.idle[address], &conn{
		Conn: c, pool: p, address: address, raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes), expires: time.Now().Add(time.Hour),
	})
}

// cutShape is a whole answer: what comes before it on the connection, its head, its body as sent, and its content.
type cutShape struct {
	name, method       string
	before, head, body string
	content            string
	endsWithItsConn    bool
	http10             bool // HTTP/1.0
	status             int
	invalid            bool   // its status, or one before it, is none (RFC 9110, section 15): never taken
	earlier            string // the answer to an earlier request on the connection
}

func chunks(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String() + "0\r\n"
}

func cutShapes() []cutShape {
	const (
		text     = "The whole answer of 33 bytes.\r\n\r\n"
		ok       = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n"
		stream   = ok + "Content-Type: text/event-stream\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n"
		events   = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
		early    = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
		switches = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	)
	length := func(s string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(s)) }
	return []cutShape{
		{name: "length", head: ok + length(text), body: text, content: text},
		{name: "length first", head: "HTTP/1.1 200 OK\r\n" + length(text) + "X-Id: a\r\nX-Seal: s\r\n", body: text, content: text},
		{name: "length 0", head: ok + length("")},
		{name: "length twice", head: ok + length(text) + length(text), body: text, content: text},
		{name: "folded length", head: ok + "Content-Length:\r\n 33\r\n", body: text, content: text},
		{name: "no reason", head: "HTTP/1.1 200\r\nX-Id: a\r\n" + length(text), body: text, content: text},
		{name: "HTTP/1.0 with length", head: "HTTP/1.0 200 OK\r\nX-Id: a\r\n" + length(text), body: text, content: text},
		{name: "odd bytes", head: ok + "X-Odd: \x80\xff\t;,\"\r\n" + length(text), body: text, content: text},
		{name: "chunks", head: ok + chunked, body: chunks(text[:7], text[7:]) + "\r\n", content: text},
		{name: "chunks with extension", head: ok + chunked, body: "21;x=\"y\"\r\n" + text + "\r\n0;z\r\n\r\n", content: text},
		{name: "chunks with trailers", head: ok + chunked + "Trailer: X-T, X-U\r\n", body: chunks(text) + "X-T: 1\r\nX-U: 2\r\n\r\n", content: text},
		{name: "chunks and length", head: ok + length("other") + chunked, body: chunks(text) + "\r\n", content: text},
		{name: "no chunk", head: ok + chunked, body: "0\r\n\r\n"},
		{name: "no length", head: ok, body: text, content: text, endsWithItsConn: true},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\nX-Id: a\r\n", body: text, content: text, endsWithItsConn: true, http10: true},
		{name: "1xx, length", before: early, head: ok + length(text), body: text, content: text},
		{name: "1xx, chunks", before: early, head: ok + chunked, body: chunks(text) + "\r\n", content: text},
		{name: "1xx, no length", before: early, head: ok, body: text, content: text, endsWithItsConn: true},
		{name: "101, length", before: switches, head: ok + length(text), body: text, content: text},
		{name: "099, length", invalid: true, before: "HTTP/1.1 099 X\r\n\r\n", head: ok + length(text), body: text, content: text},
		{name: "another's, length", before: foreignAnswer, head: ok + length(text), body: text, content: text},
		{name: "another's chunks, length", before: "HTTP/1.1 200 OK\r\nX-Id: b\r\n" + chunked + "\r\n" + chunks(text) + "\r\n", head: ok + length(text), body: text, content: text},
		{name: "another's, chunks", before: foreignAnswer + foreignAnswer, head: ok + chunked, body: chunks(text) + "\r\n", content: text},
		{name: "another's, no length", before: foreignAnswer, head: ok, body: text, content: text, endsWithItsConn: true},
		{name: "1xx, another's, 1xx, length", before: early + foreignAnswer + switches, head: ok + length(text), body: text, content: text},
		{name: "after an exchange, length", earlier: okAnswer, head: ok + length(text), body: text, content: text},
		{name: "after an exchange, chunks", earlier: okAnswer, head: ok + chunked, body: chunks(text) + "\r\n", content: text},
		{name: "after an exchange, no length", earlier: okAnswer, head: ok, body: text, content: text, endsWithItsConn: true},
		{name: "HEAD", method: http.MethodHead, head: ok + length(text)},
		{name: "HEAD, chunks", method: http.MethodHead, head: ok + chunked},
		{name: "HEAD, no length", method: http.MethodHead, head: ok},
		{name: "204", status: 204, head: "HTTP/1.1 204 No Content\r\nX-Id: a\r\n"},
		{name: "204 with length", status: 204, head: "HTTP/1.1 204 No Content\r\nX-Id: a\r\n" + length(text)},
		{name: "304 with length", status: 304, head: "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\n" + length(text)},
		{name: "not run", head: ok + "X-Not-Run: 1\r\n" + length(text), body: text, content: text},
		{name: "599", status: 599, head: "HTTP/1.1 599 X\r\nX-Id: a\r\n" + length(text), body: text, content: text},
		{name: "600", status: 600, invalid: true, head: "HTTP/1.1 600 X\r\nX-Id: a\r\n" + length(text), body: text, content: text},
		{name: "events in chunks", head: stream + chunked, body: chunks(events[:21], events[21:30], events[30:]) + "\r\n", content: events},
		{name: "events with length", head: stream + length(events), body: events, content: events},
		{name: "events without length", head: stream, body: events, content: events, endsWithItsConn: true},
	}
}

// Guards against a cut answer that counts as whole: each shape of an answer is cut at each byte, by an orderly close and by a reset.
func TestCutAnswersFail(t *testing.T) {
	cuts, whole := 0, 0
	for _, s := range cutShapes() {
		if s.status == 0 {
			s.status = 200
		}
		if s.method == "" {
			s.method = http.MethodPost
		}
		head := s.before + s.head + "\r\n"
		all := head + s.body
		for cut := 0; cut <= len(all); cut++ {
			for _, rst := range []bool{false, true} {
				for _, step := range []int{0, 1, 7} {
					cuts++
					status, content, err := exchangeCut(t, &s, all[:cut], rst, step)
					taken := err == nil
					want, wantContent := cut == len(all), s.content
					if s.endsWithItsConn {
						want, wantContent = (cut > len(head) || s.http10 && cut == len(head)) && !rst, s.body[:max(cut-len(head), 0)]
					}
					want = want && !s.invalid
					if taken {
						whole++
					}
					if taken != want || taken && (status != s.status || content != wantContent) {
						t.Errorf("%s, %d of %d bytes, head %d, reset %v, %d a read: status %d, content %q, %v", s.name, cut, len(all), len(head), rst, step, status, content, err)
					}
				}
			}
		}
	}
	t.Logf("%d cuts of %d shapes, %d of them whole", cuts, len(cutShapes()), whole)
}

// exchangeCut carries out an exchange on a connection on which data arrives before it ends.
func exchangeCut(t *testing.T, s *cutShape, data string, rst bool, step int) (status int, content string, err error) {
	t.Helper()
	p := New(Options{})
	defer p.Close()
	const address = "127.0.0.1:1"
	addIdle(p, address, &endingConn{earlier: s.earlier, data: data, rst: rst, step: step})
	if s.earlier != "" {
		if _, err := exchange(t, p, address); err != nil {
			t.Fatal(err)
		}
	}
	q := newRequest()
	q.Method = s.method
	resp, err := p.Do(t.Context(), address, q)
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	b, err := resp.ReadAll(1 << 10)
	return resp.Status, string(b), err
}

// Guards against a success without a length that ends at its head and counts as whole, and against the loss of an answer that has no body.
func TestAnswersThatEndAtTheirHead(t *testing.T) {
	for _, c := range []struct {
		method, head string
		status       int
		whole        bool
	}{
		{http.MethodPost, "HTTP/1.1 200 OK", 200, false},
		{http.MethodGet, "HTTP/1.1 206 X", 206, false},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nConnection: close", 200, false},
		{http.MethodPost, "HTTP/1.0 200 OK", 200, true},
		{http.MethodHead, "HTTP/1.1 200 OK", 200, true},
		{http.MethodPost, "HTTP/1.1 204 X", 204, true},
		{http.MethodPost, "HTTP/1.1 205 X", 205, true}, // has no body; some servers close after its head
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0", 200, true},
		{http.MethodPost, "HTTP/1.1 304 X", 304, true},
		{http.MethodPost, "HTTP/1.1 404 X", 404, true}, // no success
		{http.MethodPost, "HTTP/1.1 500 X", 500, true},
	} {
		status, content, err := exchangeCut(t, &cutShape{method: c.method}, c.head+"\r\nX-Id: a\r\n\r\n", false, 0)
		if (err == nil) != c.whole || c.whole && (status != c.status || content != "") || !c.whole && stageOf(err) != Answered {
			t.Errorf("%s, %q: %d %q %v", c.method, c.head, status, content, err)
		}
	}
}

// Guards against a request that waits until its deadline for the rest of a line that is no answer.
func TestAShortLineThatIsNoAnswerFailsAtOnce(t *testing.T) {
	for _, line := range []string{"BAD\r\n", "\r\n\r\n", "HTTP\n", "HTTP/1\r\n"} {
		is := is.New(t)
		s := startScripted(t, line)
		p := New(Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := p.Do(ctx, s.Addr().String(), newRequest())
		is.NoErr(ctx.Err())
		is.Equal(stageOf(err), Sent)
		cancel()
		p.Close()
	}
}
