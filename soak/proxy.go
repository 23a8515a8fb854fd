package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/conns"
)

// proxy forwards loopback connections to a target and can disturb them.
type proxy struct {
	listenAddress string

	mu       sync.Mutex
	listener net.Listener // nil while the proxy refuses connections
	target   string
	delay    time.Duration // of each read, in each direction
	cut      cutDirection  // also applies to new connections
	conns    map[*proxiedConn]struct{}
}

// cutDirection is the direction in which a link carries no data.
type cutDirection int

const (
	cutNone cutDirection = iota
	cutBoth
	cutToTarget
	cutFromTarget
)

// proxiedConn is a connection through a proxy.
type proxiedConn struct {
	clientConn, targetConn net.Conn
	mu                     sync.Mutex
	cut                    cutDirection
	healed                 chan struct{} // closed when the cut ends
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", ownIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, target: target, conns: map[*proxiedConn]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// close refuses new connections and resets open ones, as the end of a process does.
func (p *proxy) close() {
	p.refuse()
	p.reset()
}

// vanish refuses new connections and leaves open ones silent, as when a machine loses power and its address is up again.
func (p *proxy) vanish() {
	p.refuse()
	p.silence()
}

func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// reopen accepts connections again.
func (p *proxy) reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp4", p.listenAddress)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// proxyBuffer bounds the kernel's buffers of a proxied connection, so that what one end does not read stays with the other.
const proxyBuffer = 256 << 10

func (p *proxy) serve(clientConn *net.TCPConn) {
	p.mu.Lock()
	target, direction := p.target, p.cut
	p.mu.Unlock()
	targetConn, err := dialFromNextAddress(target)
	if err != nil {
		conns.Reset(clientConn) // as from a closed port
		return
	}
	for _, c := range []*net.TCPConn{clientConn, targetConn.(*net.TCPConn)} {
		_ = c.SetReadBuffer(proxyBuffer)
		_ = c.SetWriteBuffer(proxyBuffer)
	}
	conn := &proxiedConn{clientConn: clientConn, targetConn: targetConn, healed: make(chan struct{})}
	conn.setCut(direction)
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(conn, targetConn, clientConn, cutToTarget) })
	copies.Go(func() { p.copy(conn, clientConn, targetConn, cutFromTarget) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = clientConn.Close()
	_ = targetConn.Close()
}

// dials counts the connections of all proxies to their targets.
var dials atomic.Int32

// dialFromNextAddress connects from another loopback address each time, as the connections of one client may come from several.
func dialFromNextAddress(target string) (net.Conn, error) {
	const hosts = 200
	n := dials.Add(1)
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+n/hosts%hosts), byte(1+n%hosts))}}
	return d.Dial("tcp4", target)
}

func (c *proxiedConn) setCut(direction cutDirection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut != cutNone && direction == cutNone {
		close(c.healed)
		c.healed = make(chan struct{})
	}
	c.cut = direction
}

// waitUntilOpen returns when the connection carries data in a direction.
func (c *proxiedConn) waitUntilOpen(direction cutDirection) {
	for {
		c.mu.Lock()
		isCut, healed := c.cut == cutBoth || c.cut == direction, c.healed
		c.mu.Unlock()
		if !isCut {
			return
		}
		<-healed
	}
}

// copy forwards one direction of a connection. When it ends, both sides are closed.
func (p *proxy) copy(conn *proxiedConn, to, from net.Conn, direction cutDirection) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		conn.waitUntilOpen(direction)
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				err = errWrite
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && direction == cutFromTarget {
				_ = tcp.CloseWrite() // end of the answer
			}
		}
		if err != nil {
			_ = conn.clientConn.Close()
			_ = conn.targetConn.Close()
			return
		}
	}
}

// forEachConn applies f to the open connections.
func (p *proxy) forEachConn(f func(c *proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.forEachConn(func(c *proxiedConn) {
		c.setCut(cutNone)
		for _, side := range []net.Conn{c.clientConn, c.targetConn} {
			conns.Reset(side)
		}
	})
}

// silence cuts the open connections permanently; new ones work.
func (p *proxy) silence() { p.forEachConn(func(c *proxiedConn) { c.setCut(cutBoth) }) }

// setCut cuts or restores the link, for open and new connections.
func (p *proxy) setCut(direction cutDirection) {
	p.mu.Lock()
	p.cut = direction
	p.mu.Unlock()
	p.forEachConn(func(c *proxiedConn) { c.setCut(direction) })
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}
