// Package endless provides a test server whose responses never end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// MemoryBound is how many bytes a reader of an endless response may allocate beyond its usual memory.
const MemoryBound = 1 << 20

// IDHeader names the request header whose value replaces "$ID" in the beginning of a response, so that the response can name its request.
type IDHeader string

// Server answers each request with a fixed beginning and then repeats a text until the connection is closed.
type Server struct {
	net.Listener
	Closed chan struct{} // receives one value for each connection that the peer has closed
}

// closedBacklog is the number of closed connections that a test may leave unread in Server.Closed.
const closedBacklog = 64

// Serve starts a Server on a loopback port until the test ends.
func Serve(t testing.TB, id IDHeader, beginning, repeated string) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Listener: l, Closed: make(chan struct{}, closedBacklog)}
	write := Writer(id, beginning, repeated)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { s.Closed <- struct{}{} }()
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c, r)
				}
			}()
		}
	}()
	return s
}

// blockBytes is the approximate size of one write.
const blockBytes = 16 << 10

// Writer returns a function that answers a request with a fixed beginning and then repeats a text until the connection is closed.
func Writer(id IDHeader, beginning, repeated string) func(c net.Conn, r *http.Request) {
	more := []byte(strings.Repeat(repeated, max(1, blockBytes/len(repeated))))
	return func(c net.Conn, r *http.Request) {
		_, err := io.WriteString(c, strings.ReplaceAll(beginning, "$ID", r.Header.Get(string(id))))
		for err == nil {
			_, err = c.Write(more)
		}
	}
}

// Allocated returns the bytes that the process allocates while f runs.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
