package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/internal/endless"
)

// endlessTimeout is long enough that an exchange ends by its bound and not by the context.
const endlessTimeout = time.Minute

const answerHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"

// Guards against an upstream that sends bytes without end and so exhausts the memory of every VM that sends it
// requests. The exchange must end by its own bound, report the correct stage and close the connection.
func TestBytesWithoutEnd(t *testing.T) {
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	for name, c := range map[string]struct {
		beginning, repeated string
		stage               Stage
	}{
		"status line":            {"HTTP/1.1 200 ", "x", Sent},
		"no protocol":            {"", "x", Sent},
		"one header":             {"HTTP/1.1 200 OK\r\nX-Long: ", "x", Sent},
		"headers":                {answerHead, "X-More: y\r\n", Sent},
		"headers of one letter":  {answerHead, "a:\r\n", Sent},
		"continued header":       {answerHead, " y\r\n", Sent},
		"interim answers":        {"", "HTTP/1.1 100 Continue\r\n\r\n", Sent},
		"interim with headers":   {"HTTP/1.1 103 Early Hints\r\n", "Link: y\r\n", Sent},
		"foreign answers":        {"", foreignAnswer, Sent},
		"foreign body":           {"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, Sent},
		"foreign long body":      {"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1000000000000\r\n\r\n", "x", Sent},
		"body without length":    {answerHead + "\r\n", "x", Answered},
		"body of chunks":         {answerHead + "Transfer-Encoding: chunked\r\n\r\n", chunk, Answered},
		"body of a great length": {answerHead + "Content-Length: 1000000000000\r\n\r\n", "x", Answered},
		"chunk size":             {answerHead + "Transfer-Encoding: chunked\r\n\r\n", "0", Answered},
		"chunk extension":        {answerHead + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y", Answered},
		"small chunks":           {answerHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 200) + "\r\nx\r\n", Answered},
		"trailers":               {answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: y\r\n", Answered},
		"one trailer":            {answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "y", Answered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := endless.Serve(t, "", c.beginning, c.repeated)
			p := New(Options{})
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			var err error
			bytes := endless.Allocated(func() {
				var resp *Response
				if resp, err = p.Do(ctx, s.Addr().String(), newRequest()); err != nil {
					return
				}
				_, err = resp.ReadAll(100 << 10)
				resp.Close()
			})
			is.True(err != nil)
			is.Equal(stageOf(err), c.stage)
			is.NoErr(ctx.Err())
			<-s.Closed // the connection is closed
			is.Equal(p.Open(s.Addr().String()), 0)
			t.Logf("%d bytes allocated; %v", bytes, err)
			is.True(bytes < endless.MemoryBound)
		})
	}
}

// Guards against a head of few bytes but many lines, each of which takes over 100 bytes, and against a bound that counts the body's lines.
func TestHeadsAreBoundedByLines(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		lines, body int
		over        bool
	}{{bounded.MaxHeadLines - 3, 8192, false}, {bounded.MaxHeadLines, 0, true}} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		go func() {
			if s, err := l.Accept(); err == nil {
				_, _ = fmt.Fprintf(s, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", c.body, strings.Repeat("a:\n", c.lines), strings.Repeat("\n", c.body))
			}
		}()
		pool := New(Options{})
		defer pool.Close()
		resp, err := pool.Do(t.Context(), l.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h"})
		_, over := bounded.LimitExceeded(err)
		is.Equal(over, c.over)
		if err == nil {
			b, err := resp.ReadAll(1 << 20)
			is.NoErr(err)
			is.Equal(len(b), c.body)
			resp.Close()
		}
	}
}

// Guards against trailers of few bytes but many lines, each of which takes over 100 bytes. net/http takes only trailers that fit into the read
// buffer, so that a larger buffer would admit more lines.
func TestTrailersAreBoundedByLines(t *testing.T) {
	const mostLines = readBufferBytes/len("a:\n") - 1 // the last two lines end with CRLF
	for _, c := range []struct {
		lines int
		over  bool
	}{{mostLines, false}, {mostLines + 1, true}, {100 * mostLines, true}} {
		is := is.New(t)
		trailers := strings.Repeat("a:\n", c.lines-1) + "a:\r\n\r\n"
		s := startScripted(t, answerHead+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"+trailers)
		p := New(Options{})
		defer p.Close()
		var got string
		var err error
		bytes := endless.Allocated(func() { got, err = exchange(t, p, s.Addr().String()) })
		t.Logf("%d lines: %d bytes allocated; %v", c.lines, bytes, err)
		is.True(bytes < endless.MemoryBound)
		if c.over {
			is.Equal(stageOf(err), Answered)
			is.Equal(p.Open(s.Addr().String()), 0) // the connection is closed
			continue
		}
		is.NoErr(err)
		is.Equal(got, "hi")
	}
	is.New(t).True(mostLines <= bounded.MaxHeadLines*3/2) // no more memory than half again that of a head
}

// Guards against an answer to another request that trickles and so keeps a request waiting until its deadline.
func TestATricklingForeignAnswerEndsSoon(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1000\r\n\r\n")
		<-stop
	}()
	p := New(Options{ForeignBodyTimeout: 20 * time.Millisecond})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	_, err = p.Do(ctx, l.Addr().String(), newRequest())
	is.Equal(stageOf(err), Sent)
	is.NoErr(ctx.Err())
}

// Guards against reading endless bytes after a complete answer: the connection is closed after the answer.
func TestBytesWithoutEndBehindAnAnswer(t *testing.T) {
	is := is.New(t)
	s := endless.Serve(t, "", okAnswer, "surplus")
	p := New(Options{})
	defer p.Close()
	bytes := endless.Allocated(func() {
		got, err := exchange(t, p, s.Addr().String())
		is.NoErr(err)
		is.Equal(got, "hi")
		// The connection is closed either after the answer or when the next exchange finds it unusable.
		c, err := p.acquire(t.Context(), s.Addr().String(), "next")
		is.NoErr(err)
		c.discard()
	})
	<-s.Closed
	is.True(bytes < endless.MemoryBound)
}

// Guards against Discard without bounds: a rejected send must not wait for the rest of a rejection that trickles.
func TestDiscardEndsSoon(t *testing.T) {
	is := is.New(t)
	s := startScripted(t, okAnswer+"")
	p := New(Options{})
	defer p.Close()
	resp, err := p.Do(t.Context(), s.Addr().String(), newRequest())
	is.NoErr(err)
	is.NoErr(resp.Discard(100, time.Minute))
	resp.Close()
	is.Equal(p.Open(s.Addr().String()), 1) // the connection is kept after a complete body

	again := endless.Serve(t, "", answerHead+"Transfer-Encoding: chunked\r\n\r\n", "5\r\nagain\r\n")
	resp, err = p.Do(t.Context(), again.Addr().String(), newRequest())
	is.NoErr(err)
	is.True(resp.Discard(100, time.Minute) != nil)
	resp.Close()
	<-again.Closed

	slow := endless.Serve(t, "", answerHead+"Content-Length: 1000000\r\n\r\n", "x")
	resp, err = p.Do(t.Context(), slow.Addr().String(), newRequest())
	is.NoErr(err)
	is.True(resp.Discard(1<<40, time.Nanosecond) != nil)
	resp.Close()
	<-slow.Closed
}
