package ingress

import (
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/internal/recvbuf"
)

// conn is a connection of a client.
type conn struct {
	*net.TCPConn
	secure      *tls.Conn // over TCPConn; nil: no TLS
	listener    *listener
	multiplexed bool // HTTP/2
	readBuffer  *recvbuf.Buffer
	// verified is set once a request on the connection has proved to be a peer's.
	verified atomic.Bool
	// headEnded is set between the end of a head and awaitHead. net/http reads in another goroutine while a handler runs.
	headEnded atomic.Bool
	// The fields below are used by the reading goroutine only.
	head   bounded.HeadCounter
	start  []byte // the first bytes, which tell HTTP/2 from HTTP/1
	frames frameCounter

	// The fields below are guarded by the Guard's mutex.
	held    int64
	since   time.Time // of the present state
	writing time.Time // start of a large write; zero: none
	unsent  int64     // size of that write, part of held
	whole   bool      // the request has been read completely
	served  bool      // a request was read completely before
	gone    bool      // no longer counted; the connection is closed
}

// errRefused is returned to net/http, which closes the connection without an answer.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the client holds too much")}

// evictable reports whether the connection may be closed in favour of another.
func (c *conn) evictable(now time.Time) bool {
	if c.whole {
		return !c.writing.IsZero() && now.Sub(c.writing) >= slowWrite
	}
	return !c.multiplexed || !c.verified.Load()
}

// yieldsMemory reports whether closing the connection helps other clients. Those of other entry VMs are kept, unless they send large heads,
// or many streams or long messages before they are verified.
func (c *conn) yieldsMemory() bool { return !c.listener.peers || c.held > connBytes }

// before reports whether c is closed before d.
func (c *conn) before(d *conn) bool {
	switch {
	case c.held != d.held:
		return c.held > d.held
	case c.served != d.served:
		return d.served
	}
	return c.since.Before(d.since)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.stream().Read(p)
	if n > 0 {
		if refusal := c.count(p[:n]); refusal != "" {
			c.refuse(refusal)
			return 0, errRefused
		}
	}
	return n, err
}

// count counts bytes that have been read. It returns the reason for which the connection must be closed, if there is one.
func (c *conn) count(b []byte) string {
	switch {
	case c.multiplexed && c.verified.Load():
		return ""
	case c.multiplexed:
		return c.countFrames(b)
	case c.headEnded.Load():
		return ""
	}
	return c.countHead(b)
}

// beginsHTTP2 reports whether the bytes that have been read and b, the next ones, begin a connection of HTTP/2.
func (c *conn) beginsHTTP2(b []byte) bool {
	if !c.listener.peers || len(c.start) == len(prefaceStart) {
		return false
	}
	c.start = append(c.start, b[:min(len(b), len(prefaceStart)-len(c.start))]...)
	return string(c.start) == prefaceStart
}

// countHead counts bytes of a head. It returns the reason for which the connection must be closed, if there is one.
func (c *conn) countHead(b []byte) string {
	if c.beginsHTTP2(b) {
		g := c.listener.guard
		g.mu.Lock()
		c.multiplexed = true
		g.mu.Unlock()
		c.headEnded.Store(true)
		c.frames.skip = prefaceBytes - c.head.Size
		return c.countFrames(b)
	}
	if c.head.Count(b) {
		c.headEnded.Store(true)
	}
	switch {
	case c.head.Lines > maxLines:
		return "lines"
	case c.head.EmptyLines > maxEmptyLines:
		return "empty_lines"
	}
	extra := cost(c.head.Size, c.head.Lines)
	if extra == 0 {
		return ""
	}
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone || !g.charge(c, c.base()+extra) {
		return "memory"
	}
	return ""
}

// refuse closes the connection to the client. net/http closes it as well, which has no effect.
func (c *conn) refuse(reason string) {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.gone {
		g.note(c.listener.name, reason)
		g.remove(c)
	}
}

// Write implements net.Conn. A slow client holds what is being written to it.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) <= largeWrite {
		return c.stream().Write(p)
	}
	g := c.listener.guard
	g.mu.Lock()
	if !c.gone {
		c.writing, c.unsent = time.Now(), int64(len(p))
		g.held += c.unsent
		c.held += c.unsent
		for g.short() && g.evict("memory", func(o *conn) bool { return o != c && o.yieldsMemory() }) {
		}
	}
	g.mu.Unlock()
	n, err := c.stream().Write(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.gone {
		g.held -= c.unsent
		c.held -= c.unsent
		c.writing, c.unsent = time.Time{}, 0
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	g.remove(c)
	g.mu.Unlock()
	return c.stream().Close()
}

// CloseWrite ends what is sent to the client, which may send on.
func (c *conn) CloseWrite() error {
	if c.secure != nil {
		return c.secure.CloseWrite()
	}
	return c.TCPConn.CloseWrite()
}

// ReadFrom implements io.ReaderFrom. That of net.TCPConn would pass by Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// base returns the memory of the connection without a request.
func (c *conn) base() int64 {
	if c.secure != nil {
		return connBytes + tlsBytes
	}
	return connBytes
}

// stream returns the connection that carries plain text.
func (c *conn) stream() net.Conn {
	if c.secure != nil {
		return c.secure
	}
	return c.TCPConn
}

// beginRequest counts a request whose head has been read, and reports whether there is room for it.
func (c *conn) beginRequest(extra int64) bool {
	c.headEnded.Store(true)
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return false
	}
	c.since = time.Now()
	return g.charge(c, c.base()+extra)
}

// admit notes that the request has been read completely. It reports false if the connection has been closed.
func (c *conn) admit() bool {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return false
	}
	c.whole, c.served = true, true
	return true
}

// awaitHead prepares for the next request. A connection of HTTP/2 carries frames, not heads; net/http calls it idle between streams.
func (c *conn) awaitHead() {
	if c.multiplexed {
		return
	}
	c.readBuffer.Shrink() // of a body that has not been read to its end
	c.head = bounded.HeadCounter{}
	c.headEnded.Store(false)
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return
	}
	c.whole, c.since = false, time.Now()
	g.charge(c, c.base())
}

// body is a request's body. Its end admits the request. What a client that is not verified sends to the peers' listener is held until the
// whole body has been read.
type body struct {
	io.ReadCloser
	conn       *conn
	length     int64 // below 0: not stated
	head, read int64
	enlarged   bool // a larger kernel's buffer has been asked for
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.enlargeBuffer()
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if c := b.conn; c.listener.peers && n > 0 && b.read > ordinaryData {
		if refusal := c.hold(connBytes + b.head + dataCost(b.read)); refusal != "" {
			c.refuse(refusal)
			return 0, errRefused
		}
	}
	if err != nil {
		b.conn.readBuffer.Shrink()
	}
	if errors.Is(err, io.EOF) && !b.conn.admit() {
		err = errRefused
	}
	return n, err
}

// enlargeBuffer enlarges the kernel's buffer for a large body when it is read first, and for one without a length when much of it has been
// read. Peers are verified by short messages.
func (b *body) enlargeBuffer() {
	if b.enlarged || b.conn.listener.peers {
		return
	}
	switch {
	case b.length > minReadBytes:
		b.conn.readBuffer.Grow(b.length)
	case b.length < 0 && b.read > minReadBytes:
		b.conn.readBuffer.Grow(math.MaxInt64)
	default:
		return
	}
	b.enlarged = true
}
