package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections of loopback to a target and can disturb them.
type proxy struct {
	at string // its address

	mu     sync.Mutex
	l      net.Listener // nil: it refuses connections
	target string
	delay  time.Duration // of each piece, one way
	cut    cut           // of connections that are opened from now on, too
	conns  map[*pair]struct{}
}

// cut says which way a link carries nothing.
type cut int

const (
	cutNone cut = iota
	cutBoth
	cutToTarget // one way
	cutFromTarget
)

// pair is a connection through a proxy.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	cut       cut
	healed    chan struct{} // closed when cut ends
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{at: l.Addr().String(), l: l, target: target, conns: map[*pair]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// close refuses connections from now on and resets those that are open, as the end of a process does.
func (p *proxy) close() {
	p.mu.Lock()
	if p.l != nil {
		_ = p.l.Close()
		p.l = nil
	}
	p.mu.Unlock()
	p.reset()
}

// reopen accepts connections again.
func (p *proxy) reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.l != nil {
		return nil
	}
	l, err := net.Listen("tcp4", p.at)
	if err != nil {
		return err
	}
	p.l = l
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(near *net.TCPConn) {
	p.mu.Lock()
	target, state := p.target, p.cut
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		_ = near.SetLinger(0) // the peer sees a reset, as from a closed port
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far, healed: make(chan struct{})}
	c.set(state)
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, far, near, cutToTarget) })
	both.Go(func() { p.copy(c, near, far, cutFromTarget) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

func (c *pair) set(state cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut != cutNone && state == cutNone {
		close(c.healed)
		c.healed = make(chan struct{})
	}
	c.cut = state
}

// wait returns when the link carries again what goes one way.
func (c *pair) wait(way cut) {
	for {
		c.mu.Lock()
		closed, healed := c.cut == cutBoth || c.cut == way, c.healed
		c.mu.Unlock()
		if !closed {
			return
		}
		<-healed
	}
}

// copy carries one way. An end of one side ends the other one.
func (p *proxy) copy(c *pair, to, from net.Conn, way cut) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		c.wait(way)
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				err = errWrite
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && way == cutFromTarget {
				_ = tcp.CloseWrite() // the answer's end
			}
		}
		if err != nil {
			_ = c.near.Close()
			_ = c.far.Close()
			return
		}
	}
}

// each applies f to the open connections.
func (p *proxy) each(f func(c *pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.each(func(c *pair) {
		c.set(cutNone)
		for _, side := range []net.Conn{c.near, c.far} {
			if tcp, ok := side.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = side.Close()
		}
	})
}

// silence cuts the open connections for good; new ones work.
func (p *proxy) silence() { p.each(func(c *pair) { c.set(cutBoth) }) }

// setCut cuts the link, also for new connections, or heals it.
func (p *proxy) setCut(state cut) {
	p.mu.Lock()
	p.cut = state
	p.mu.Unlock()
	p.each(func(c *pair) { c.set(state) })
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
