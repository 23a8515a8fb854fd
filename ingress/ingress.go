// Package ingress bounds what clients make a process hold before a request of theirs is admitted, over all its listeners together.
//
// A Guard counts for each connection the memory that its reader, its request's head and the parsed header take, the kernel's buffer for
// what is not yet read, and the open connections.
// When the memory or the number is used up, it closes connections whose request has not been read completely: those that hold the
// most first, then those that are slowest. A request that has been read completely is never ended in favour of another.
package ingress

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/internal/recvbuf"
)

// Options configures a Guard.
type Options struct {
	MemoryBytes int64 // memory of the machine; 0: not limited
	Descriptors int   // file descriptors of the process; 0: not limited
	Clients     int   // connections of clients; 0: as Descriptors allows
	Log         *zap.Logger
}

const (
	// MemoryDivisor divides the machine's memory to give the budget. The runtime's soft limit is half of the memory, of which bodies
	// may take 0.25; an entry VM at rest takes about 20 MB.
	MemoryDivisor = 8
	// descriptorDivisor divides the descriptors to give the connections of clients. Each may need another one to an upstream.
	descriptorDivisor = 2
	// peerDivisor divides the descriptors to give the connections of other entry VMs.
	peerDivisor = 8
	// minPeers is the least number of connections of other entry VMs where the number of clients is given.
	minPeers = 64

	// connBytes is the memory of a connection without a request: net/http's goroutine, buffers of 4 KB for reading and writing, and
	// an ordinary head.
	connBytes = 16 << 10
	// tlsBytes is the memory of TLS on a connection: a record of 16 KB that is being read, and the state.
	tlsBytes = 20 << 10
	// ordinaryHeadBytes and ordinaryLines are part of connBytes. Callers send a few hundred bytes in 8 to 20 lines.
	ordinaryHeadBytes = 4 << 10
	ordinaryLines     = 64
	// lineBytes is the memory of a header line in addition to its text: an entry in net/http's map with a name, a slice and a value,
	// and the same again in the copy for the upstream.
	lineBytes = 400
	// textCopies is how often the text of a head is held: as strings and in the request to the upstream.
	textCopies = 2
	// maxLines is above what fits into 16,384 bytes, the largest head that the operators allow: a line has at least 3 bytes.
	maxLines = 6000
	// maxEmptyLines is how many empty lines may come before a request. RFC 9112, section 2.2, asks for at least one.
	maxEmptyLines = 8
	// slowWrite is how long a client may take for one write of an answer before it counts as slow.
	slowWrite = time.Second
	// largeWrite is the size from which a write counts. Smaller ones are in net/http's buffer, which is part of connBytes.
	largeWrite = 4 << 10
)

// Guard holds the budget of a process. A nil Guard limits nothing.
type Guard struct {
	opts     Options
	maxBytes int64
	// readBuffers is a budget as large as maxBytes, for what the kernel holds.
	readBuffers *recvbuf.Budget

	mu      sync.Mutex
	held    int64 // by the process for its connections
	conns   map[*conn]struct{}
	clients int // connections of conns that are not of other entry VMs
	logged  map[event]*occurrences
}

// New returns a Guard for a process with the given limits.
func New(o Options) *Guard {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	budget := o.MemoryBytes / MemoryDivisor
	return &Guard{opts: o, maxBytes: budget, readBuffers: recvbuf.NewBudget(budget), conns: map[*conn]struct{}{}, logged: map[event]*occurrences{}}
}

// Protect makes s count its connections and requests, and returns the listener that s must serve. name is that of the listener in metrics
// and log lines. The Handler of s must be set. If s has a TLSConfig, the listener carries out TLS itself, so that heads are counted in plain
// text: s must use Serve, not ServeTLS, and serves HTTP/1 alone. Peers have no TLS with a Guard.
func (g *Guard) Protect(s *http.Server, l net.Listener, name string, peers bool) net.Listener {
	if g == nil {
		return l
	}
	limit := g.maxConns(peers)
	if peers {
		s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: concurrentStreams, MaxReadFrameSize: maxFrameBytes}
	}
	p := &listener{Listener: l, guard: g, name: name, peers: peers, maxConns: limit}
	p.boundBuffers()
	if s.TLSConfig != nil {
		p.tls = s.TLSConfig.Clone()
		p.tls.NextProtos = []string{"http/1.1"}
	}
	s.Handler = p.handler(s.Handler)
	state := s.ConnState
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if p, ok := c.(*conn); ok && to == http.StateIdle {
			p.awaitHead()
		}
		if state != nil {
			state(c, to)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return p
}

// maxConns returns the number of connections for clients or for peers; 0: not limited.
func (g *Guard) maxConns(peers bool) int {
	o := g.opts
	switch {
	case peers && o.Clients > 0:
		return max(o.Clients*descriptorDivisor/peerDivisor, minPeers)
	case peers:
		return o.Descriptors / peerDivisor
	case o.Clients > 0:
		return o.Clients
	}
	return o.Descriptors / descriptorDivisor
}

type connKey struct{}

// listener is a net.Listener whose connections a Guard counts.
type listener struct {
	net.Listener
	guard    *Guard
	name     string
	peers    bool // connections of other entry VMs have a limit of their own
	maxConns int  // of all listeners with the same peers; 0: not limited
	tls      *tls.Config
}

// Accept implements net.Listener. It does not return connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp, listener: l, since: time.Now()}
		if l.tls != nil {
			c.secure = tls.Server(tcp, l.tls)
		}
		if l.guard.add(c) {
			return c, nil
		}
		_ = tcp.Close() // a connection without a request
	}
}

// handler wraps a server's handler. A request whose header takes more than is left gets 431.
func (l *listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || c.multiplexed {
			h.ServeHTTP(w, r)
			return
		}
		head := headCost(r)
		if !c.beginRequest(head) {
			w.Header().Set("Connection", "close")
			http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !c.admit() {
				return
			}
		} else {
			r.Body = &body{ReadCloser: r.Body, conn: c, head: head, length: r.ContentLength}
		}
		h.ServeHTTP(w, r)
	})
}

// headCost returns the estimated memory of a request's parsed header above that of an ordinary one.
func headCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		lines += len(values)
		size += len(name) * len(values)
		for _, v := range values {
			size += len(v)
		}
	}
	return cost(size, lines)
}

func cost(size, lines int) int64 {
	return int64(max(size-ordinaryHeadBytes, 0)*textCopies + max(lines-ordinaryLines, 0)*lineBytes)
}

// add counts a new connection and reports whether there is room for it.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := c.listener; l.maxConns > 0 && g.count(l.peers) >= l.maxConns; {
		if !g.evict("connections", func(o *conn) bool { return o.listener.peers == l.peers }) {
			g.note(l.name, "connections")
			return false
		}
	}
	g.conns[c] = struct{}{}
	c.readBuffer = g.readBuffers.Add(c.TCPConn, minReadBytes)
	if !c.listener.peers {
		g.clients++
	}
	return g.charge(c, c.base())
}

func (g *Guard) count(peers bool) int {
	if peers {
		return len(g.conns) - g.clients
	}
	return g.clients
}

// charge sets what a connection holds to n and what is being written to it. If that is more than there is, others are closed, or c itself if
// it holds the most; then charge reports false and c is no longer counted. Callers hold g.mu.
func (g *Guard) charge(c *conn, n int64) bool {
	n += c.unsent
	grows := n > c.held
	g.held += n - c.held
	c.held = n
	for grows && g.short() {
		victim := g.victim(func(o *conn) bool { return o == c || o.yieldsMemory() })
		if victim == nil || victim == c {
			g.note(c.listener.name, "memory")
			g.remove(c)
			return false
		}
		g.close(victim, "memory")
	}
	return true
}

func (g *Guard) short() bool { return g.maxBytes > 0 && g.held > g.maxBytes }

// evict closes the first connection to be closed among those that match, and reports whether there was one.
func (g *Guard) evict(reason string, matches func(*conn) bool) bool {
	victim := g.victim(matches)
	if victim == nil {
		return false
	}
	g.close(victim, reason)
	return true
}

// victim returns the connection to be closed first: the one that holds the most, then one that has never had an answer, then the one
// that has been in its state the longest.
func (g *Guard) victim(matches func(*conn) bool) *conn {
	var first *conn
	now := time.Now()
	for c := range g.conns {
		if c.evictable(now) && matches(c) && (first == nil || c.before(first)) {
			first = c
		}
	}
	return first
}

func (g *Guard) close(c *conn, reason string) {
	g.note(c.listener.name, reason)
	g.remove(c)
	_ = c.SetLinger(0) // what a slow client has not read is dropped
	_ = c.TCPConn.Close()
}

func (g *Guard) remove(c *conn) {
	if !c.gone {
		c.gone = true
		g.held -= c.held
		c.held = 0
		c.readBuffer.Release()
		delete(g.conns, c)
		if !c.listener.peers {
			g.clients--
		}
	}
}

// event is what is logged at most once in logInterval.
type event struct{ listener, reason string }

type occurrences struct {
	logged time.Time
	since  int // the last line
}

const logInterval = 10 * time.Second

// WriteMetrics writes what clients hold, and the bound.
func (g *Guard) WriteMetrics(w io.Writer) {
	g.mu.Lock()
	held, clients, peers := g.held, g.count(false), g.count(true)
	g.mu.Unlock()
	metrics.WriteGaugeUint64(w, "bergamot_ingress_held_bytes", uint64(held))
	metrics.WriteGaugeUint64(w, "bergamot_ingress_held_limit_bytes", uint64(g.maxBytes))
	metrics.WriteGaugeUint64(w, "bergamot_ingress_kernel_buffer_bytes", uint64(g.readBuffers.Used()))
	metrics.WriteGaugeUint64(w, `bergamot_ingress_connections{from="clients"}`, uint64(clients))
	metrics.WriteGaugeUint64(w, `bergamot_ingress_connections{from="peers"}`, uint64(peers))
}

// note counts and logs a refusal. Callers hold g.mu.
func (g *Guard) note(name, reason string) {
	metrics.GetOrCreateCounter(`bergamot_ingress_refused_total{listener="` + name + `",reason="` + reason + `"}`).Inc()
	e := event{name, reason}
	o := g.logged[e]
	if o == nil {
		o = &occurrences{}
		g.logged[e] = o
	}
	o.since++
	if now := time.Now(); now.Sub(o.logged) >= logInterval {
		g.opts.Log.Warn("connections of clients closed", zap.String("listener", name), zap.String("reason", reason), zap.Int("number", o.since),
			zap.Int64("held", g.held), zap.Int("connections", len(g.conns)))
		o.logged, o.since = now, 0
	}
}
