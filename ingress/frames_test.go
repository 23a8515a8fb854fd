package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// servePeers serves h as the peers' listener does.
func servePeers(t *testing.T, g *Guard, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 8 << 10, Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	protected := g.Protect(s, l, "peers", true)
	go func() { _ = s.Serve(protected) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// sendStreams opens n streams on c, each with size bytes of a body without an end, and returns the first error. The preface arrives in parts.
func sendStreams(c net.Conn, n uint32, size int) error {
	for _, part := range []string{http2.ClientPreface[:1], http2.ClientPreface[1:]} {
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		time.Sleep(time.Millisecond) // so that they are read apart; no verdict depends on it
	}
	f := http2.NewFramer(c, c)
	err := f.WriteSettings()
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for id := uint32(1); id < 2*n && err == nil; id += 2 {
		block.Reset()
		for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "h"}, {":path", "/"}} {
			_ = e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}) // a bytes.Buffer does not fail
		}
		if err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true}); err == nil && size > 0 {
			err = f.WriteData(id, false, make([]byte, size))
		}
	}
	return err
}

// closedBy reports whether the server closes c before its deadline.
func closedBy(c net.Conn) bool {
	_, err := io.Copy(io.Discard, c)
	e, ok := err.(net.Error)
	return !ok || !e.Timeout()
}

// Guards against frames that are counted wrongly where reads cut them.
func TestFramesAreCountedAcrossReads(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	f := http2.NewFramer(&text, nil)
	is.NoErr(f.WritePing(false, [8]byte{}))
	is.NoErr(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("abc"), EndHeaders: true}))
	is.NoErr(f.WriteData(1, false, make([]byte, 300)))
	is.NoErr(f.WriteData(1, true, nil))
	for size := 1; size <= text.Len(); size++ {
		var c frameCounter
		for rest := text.Bytes(); len(rest) > 0; {
			n := min(size, len(rest))
			c.Count(rest[:n])
			rest = rest[n:]
		}
		is.Equal([]int{c.streams, c.control, int(c.data), c.skip, c.headLen}, []int{1, 3, 300, 0, 0})
		is.Equal(c.exceeded(), "")
	}
}

// Guards against a client that is no peer and holds memory through streams or long messages: net/http alone lets each connection open 250
// streams, and what a handler has read of a body was counted nowhere.
func TestUnverifiedStreamsShareTheBudget(t *testing.T) {
	is := is.New(t)
	g := New(Options{MemoryBytes: 8 << 20})
	address := servePeers(t, g, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }))
	for _, c := range []struct {
		streams uint32
		size    int
		fit     int // of 12 connections; each holds 2 MB or an eighth of the 1 MB
	}{{99, 0, 0}, {4, 15 << 10, 8}} {
		for range 12 {
			_ = sendStreams(dial(t, address), c.streams, c.size) // the connection may be closed meanwhile
		}
		for n := 12; n > c.fit; time.Sleep(time.Millisecond) { // the server reads and closes; otherwise the test does not end
			var held, sum int64
			held, sum, n = snapshot(g)
			is.Equal(held, sum)
			is.True(held <= g.maxBytes)
		}
	}
	many := dial(t, address)
	_ = sendStreams(many, maxStreams+1, 0) // the connection may be closed meanwhile
	is.True(closedBy(many))
	message := dial(t, address)
	_, _ = io.WriteString(message, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n") // it may be closed meanwhile
	_, _ = message.Write(make([]byte, 1<<20-1))
	is.True(closedBy(message)) // HTTP/1 as well
}

// Guards against clients that are no peers and keep peers out by connections of HTTP/2 that stay open, and against a verified peer whose
// connection is closed in favour of theirs.
func TestUnverifiedConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	g := New(Options{Descriptors: 64}) // 8 connections
	address := servePeers(t, g, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { Verified(r.Context()) }))
	dials := 0
	tr := &http.Transport{Protocols: &http.Protocols{}, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	tr.Protocols.SetUnencryptedHTTP2(true)
	defer tr.CloseIdleConnections()
	for range 2 { // on a new connection, then on the same one
		for range 20 {
			_ = sendStreams(dial(t, address), 0, 0) // the connection may be closed meanwhile
		}
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		is.NoErr(err)
		resp, err := tr.RoundTrip(q)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(dials, 1) // the verified connection was kept
	_, _, n := snapshot(g)
	is.True(n <= 8)
}

// Guards against limits that a peer meets before its first answer, on the smallest VM (144 MB): as many calls at once as it may open, and the
// longest message.
func TestFirstCallsOfAPeerAreServed(t *testing.T) {
	is := is.New(t)
	g := New(Options{MemoryBytes: 144 << 20, Descriptors: 1000})
	var begun sync.WaitGroup
	address := servePeers(t, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		begun.Done()
		begun.Wait()
	}))
	for _, c := range []struct{ calls, size int }{{concurrentStreams, 1 << 10}, {1, 4 << 20}} {
		tr := &http.Transport{Protocols: &http.Protocols{}}
		tr.Protocols.SetUnencryptedHTTP2(true)
		begun.Add(c.calls)
		statuses := make(chan int, c.calls)
		for range c.calls {
			go func() {
				resp, err := (&http.Client{Transport: tr}).Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, c.size)))
				if err != nil {
					statuses <- 0
					return
				}
				_ = resp.Body.Close()
				statuses <- resp.StatusCode
			}()
		}
		for range c.calls {
			is.Equal(<-statuses, http.StatusOK)
		}
		tr.CloseIdleConnections()
	}
}
