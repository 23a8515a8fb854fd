package conns

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// memoryConn is an in-memory connection whose peer has sent some bytes and closed.
type memoryConn struct {
	net.Conn
	r *bytes.Reader
}

func (c *memoryConn) Read(b []byte) (int, error)        { return c.r.Read(b) }
func (c *memoryConn) SetReadDeadline(_ time.Time) error { return nil }
func (c *memoryConn) Close() error                      { return nil }

// Guards against upstream bytes that crash the process, and against an answer to another request that is taken for this
// one's.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte(foreignAnswer + okAnswer))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\n" + okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		raw := &boundedSource{Reader: bytes.NewReader(b)}
		raw.removeLimit()
		p := New(Options{})
		c := &conn{Conn: &memoryConn{r: bytes.NewReader(nil)}, pool: p, raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes)}
		resp, err := c.readAnswer(newRequest())
		if err != nil {
			return
		}
		if resp.Status < 200 || resp.Header.Get("X-Id") != "a" {
			t.Fatalf("%d %v", resp.Status, resp.Header)
		}
		resp.ctx = t.Context()
		body, err := resp.ReadAll(1 << 10)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.Stage != Answered) {
			t.Fatal(err)
		}
		if len(body) > 1<<10 || resp.Length >= 0 && err == nil && int64(len(body)) != resp.Length && !errors.Is(err, io.EOF) {
			t.Fatalf("%d of %d bytes", len(body), resp.Length)
		}
	})
}
