// Package conns keeps a pool of connections to upstreams and carries one HTTP/1.1 exchange at a time on each.
//
// It is used in place of http.Transport because the caller has to know whether a request may have reached its upstream:
// http.Transport retries some requests on its own and does not report whether any byte was written.
//
// Invariants: a request is written at most once; a connection is reused only after a complete answer with no bytes
// after it, and never for a request with the ID of an earlier one; an answer that belongs to another request is never
// returned.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/internal/recvbuf"
)

// Options configures a Pool. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration // bound on establishing a connection
	// SilenceLimit is the time without acknowledgements from the peer after which a connection ends, for example when a
	// link is cut.
	SilenceLimit time.Duration
	MaxIdle      int           // bound on idle connections per upstream
	IdleTimeout  time.Duration // for connections whose upstream states no keep-alive timeout
	// ForeignBodyTimeout bounds the reading of an answer to another request.
	ForeignBodyTimeout time.Duration
	// ReadBuffers bounds what the kernel holds of answers; nil: not bounded.
	ReadBuffers *recvbuf.Budget
}

const (
	// Links take below 5 ms one way. An unreachable upstream must not use up a request's target time.
	defaultDialTimeout  = 250 * time.Millisecond
	defaultSilenceLimit = 2 * time.Second // half of the shortest deadline in use
	defaultMaxIdle      = 16
	defaultIdleTimeout  = 4 * time.Second
	// A late answer to another request has usually arrived completely. One that trickles would use up the time of the
	// request that waits for it.
	defaultForeignBodyTimeout = 250 * time.Millisecond
	// idleMargin is subtracted from the upstream's keep-alive timeout, so that no request is sent while it closes.
	idleMargin      = 500 * time.Millisecond
	readBufferBytes = 4 << 10 // a typical answer of a plain service fits
	// socketReadBytes is the kernel's buffer for reading until a long answer is read. Most events of a stream fit.
	socketReadBytes = 8 << 10
)

// Pool keeps idle connections by upstream.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu         sync.Mutex
	idle       map[string][]*conn    // by address, most recently used last
	open       map[string]int        // number of connections by address, including idle ones
	dialProbes map[string]*dialProbe // by address
	closed     bool

	probes    context.Context // of all probes; ends with the pool
	endProbes context.CancelFunc
}

var (
	dials      = metrics.NewCounter("bergamot_upstream_dials_total")
	dialErrors = metrics.NewCounter("bergamot_upstream_dial_errors_total")
	overBounds = metrics.NewCounter("bergamot_upstream_answers_over_bound_total")
	reuses     = metrics.NewCounter("bergamot_upstream_connections_reused_total")
)

// New returns a pool.
func New(o Options) *Pool {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.SilenceLimit, defaultSilenceLimit)
	setDefault(&o.MaxIdle, defaultMaxIdle)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.ForeignBodyTimeout, defaultForeignBodyTimeout)
	if o.ReadBuffers == nil {
		o.ReadBuffers = recvbuf.NewBudget(0)
	}
	p := &Pool{opts: o, idle: map[string][]*conn{}, open: map[string]int{}, dialProbes: map[string]*dialProbe{}}
	p.probes, p.endProbes = context.WithCancel(context.Background())
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.SilenceLimit / 2, Interval: o.SilenceLimit / 4, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			_ = recvbuf.SetInitial(c, socketReadBytes) // after an error the kernel's default holds, and the connection works
			return setUserTimeout(c, o.SilenceLimit)
		},
	}
	return p
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// setUserTimeout makes the kernel end a connection whose sent data is not acknowledged in time.
func setUserTimeout(c syscall.RawConn, limit time.Duration) error {
	err := c.Control(func(fd uintptr) {
		// An error is ignored: the option only shortens the time until a cut link is noticed, and keep-alive probes and
		// deadlines work without it.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	return err
}

// conn is one connection. It is owned by one exchange or by the pool's idle list.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	raw     *boundedSource
	r       *bufio.Reader
	buffer  *recvbuf.Buffer
	expires time.Time // when an idle connection is too old to be reused
	idleAt  time.Time // when the last exchange of an idle connection ended
	carried []uint64  // hashes of the IDs of the last requests, oldest first
	// unshared is set for a connection of a request without an ID, as its answers can't be matched to it.
	unshared bool
}

// maxCarried bounds conn.carried. A repeated answer comes with one of the next answers.
const maxCarried = 32

// carry records that the connection carries a request.
func (c *conn) carry(id string) {
	if id == "" {
		c.unshared = true
		return
	}
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
}

// mayCarry reports whether no answer to an earlier request on the connection can be taken for one to a request with this ID.
func (c *conn) mayCarry(id string) bool {
	return id != "" && !slices.Contains(c.carried, xxhash.Sum64String(id))
}

var errClosed = errors.New("the connection pool is closed")

// acquire returns a usable idle connection that may carry a request with this ID, or a new one.
func (p *Pool) acquire(ctx context.Context, address, id string) (*conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		c := p.popIdle(address, func(c *conn) bool { return c.mayCarry(id) })
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.expires) && idleAndOpen(c.Conn) {
			reuses.Inc()
			return c, nil
		}
		c.discard()
	}
}

// popIdle removes and returns the most recently used idle connection for which suits returns true, or returns nil.
func (p *Pool) popIdle(address string, suits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if !suits(c) {
			continue
		}
		if list = slices.Delete(list, i, i+1); len(list) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = list
		}
		return c
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dials.Inc()
	c, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		dialErrors.Inc()
		return nil, err
	}
	return p.newConn(c, address)
}

// newConn returns a connection of the pool over c.
func (p *Pool) newConn(c net.Conn, address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, errClosed
	}
	p.open[address]++
	raw := &boundedSource{Reader: c}
	raw.removeLimit()
	out := &conn{Conn: c, pool: p, address: address, raw: raw, r: bufio.NewReaderSize(raw, readBufferBytes)}
	if tcp, ok := c.(*net.TCPConn); ok {
		out.buffer = p.opts.ReadBuffers.Add(tcp, socketReadBytes)
	}
	return out, nil
}

// boundedSource reads from a connection up to a limit that its user sets for the part being read.
type boundedSource struct {
	io.Reader
	what        string
	left, bound int64
	head        *bounded.HeadCounter // of the head that is being read; nil: none
}

func (s *boundedSource) setLimit(what string, bound int64) {
	s.what, s.left, s.bound, s.head = what, bound, bound, nil
}

// limitHead limits the bytes and lines of a head.
func (s *boundedSource) limitHead(what string) {
	s.setLimit(what, bounded.HeadBytes)
	s.head = &bounded.HeadCounter{}
}

// removeLimit removes the limit; the reader of a body applies its own.
func (s *boundedSource) removeLimit() { s.setLimit("", math.MaxInt64) }

// Read implements io.Reader.
func (s *boundedSource) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, &bounded.Error{Input: s.what, Limit: s.bound}
	}
	n, err := s.Reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if s.head != nil {
		ended := s.head.Count(p[:n])
		if s.head.Lines > bounded.MaxHeadLines {
			return 0, &bounded.Error{Input: "number of lines of the " + s.what, Limit: bounded.MaxHeadLines}
		}
		if ended {
			s.head = nil // a body follows
		}
	}
	return n, err
}

// release returns c to the pool. life is the upstream's keep-alive timeout; 0: not stated.
func (c *conn) release(life time.Duration) {
	if life <= 0 {
		life = c.pool.opts.IdleTimeout
	} else {
		life -= idleMargin
	}
	if life <= 0 || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	c.buffer.Shrink()
	c.idleAt = time.Now()
	c.expires = c.idleAt.Add(life)
	p := c.pool
	p.mu.Lock()
	keep := !p.closed && len(p.idle[c.address]) < p.opts.MaxIdle
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !keep {
		c.discard()
	}
}

// Reset closes a connection at once, so that its peer does not take the close for the end of the request or answer alone. Bytes that have
// not been delivered are dropped.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a connection that has ended
	}
	_ = c.Close()
}

// abort resets a connection whose exchange is not complete.
func (c *conn) abort() {
	Reset(c.Conn)
	c.discard()
}

func (c *conn) discard() {
	_ = c.Close()
	c.buffer.Release()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// ReportRefusal calls refused if an address refuses connections, as after the end of its process. It waits for probeWait at most and
// returns whether it has called refused; a refusal that comes later, for example because a packet was lost, is reported by a goroutine of
// its own. Concurrent calls share one probe, whose result is reused for probeTTL.
func (p *Pool) ReportRefusal(ctx context.Context, address string, refused func()) bool {
	t := p.probe(address)
	wait := time.NewTimer(probeWait)
	defer wait.Stop()
	select {
	case <-t.done:
		t.report(refused)
		return t.refused
	case <-wait.C:
	case <-ctx.Done():
	}
	go t.report(refused)
	return false
}

// probe returns a current probe of an address, and starts it if there is none.
func (p *Pool) probe(address string) *dialProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	t := p.dialProbes[address]
	if t == nil || t.expired(now) {
		t = &dialProbe{at: now, done: make(chan struct{})}
		p.dialProbes[address] = t
		go t.run(p.probes, address)
	}
	return t
}

// dialProbe is one attempt to connect to an address.
type dialProbe struct {
	at      time.Time
	done    chan struct{}
	refused bool // valid once done is closed
}

func (t *dialProbe) run(ctx context.Context, address string) {
	defer close(t.done)
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = c.Close()
	}
	t.refused = errors.Is(err, syscall.ECONNREFUSED)
}

// report waits for the end of the probe and calls refused if the connection was refused.
func (t *dialProbe) report(refused func()) {
	if <-t.done; t.refused {
		refused()
	}
}

// expired reports whether the probe has ended and its result is too old to be reused.
func (t *dialProbe) expired(now time.Time) bool {
	select {
	case <-t.done:
		return now.Sub(t.at) > probeTTL
	default:
		return false
	}
}

const (
	probeTTL     = 100 * time.Millisecond // all exchanges that one crash ends fail within this time
	probeWait    = 50 * time.Millisecond  // a refusal usually takes one round trip
	probeTimeout = 5 * time.Second        // a lost connection request is repeated after 1 s and 3 s
)

// Open returns the number of connections to an address.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// CloseIdle closes the idle connections to an address. It is called for upstreams that are gone.
func (p *Pool) CloseIdle(address string) {
	all := func(*conn) bool { return true }
	for c := p.popIdle(address, all); c != nil; c = p.popIdle(address, all) {
		c.discard()
	}
}

// closeIdleSince closes the connections to an address that have been idle since before t, the time at which a request was sent that got
// no answer in time. Connections go silent together; one that has carried an answer since then is sound.
func (p *Pool) closeIdleSince(address string, t time.Time) {
	before := func(c *conn) bool { return c.idleAt.Before(t) }
	for c := p.popIdle(address, before); c != nil; c = p.popIdle(address, before) {
		c.discard()
	}
}

// Sweep closes expired idle connections and removes old probes. It must be called periodically.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, t := range p.dialProbes {
		if t.expired(now) {
			delete(p.dialProbes, address)
		}
	}
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

// Close closes all idle connections and ends the probes. Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.endProbes()
	p.mu.Lock()
	p.closed = true
	var addresses []string
	for a := range p.idle {
		addresses = append(addresses, a)
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.CloseIdle(a)
	}
}

// idleAndOpen reports whether an idle connection is open and has nothing to read. Bytes after a complete answer belong
// to no request, and an end of the stream means that the upstream has closed the connection.
func idleAndOpen(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true // do not wait for data
	})
	return err == nil && open
}
