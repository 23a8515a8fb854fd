// Package silence has a proxy for tests whose open connections can go silent for good while new ones work.
package silence

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards connections to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent *atomic.Bool // of the connections that are open now
	open   []net.Conn
}

// NewProxy starts a proxy before a target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, silent: &atomic.Bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections silent: they stay open and carry nothing any more.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = &atomic.Bool{}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		far, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		silent := p.silent
		p.open = append(p.open, near, far)
		p.mu.Unlock()
		go relay(silent, near, far)
		go relay(silent, far, near)
	}
}

// relay copies from one connection to another until silent is set. After that it drops what arrives.
func relay(silent *atomic.Bool, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(b[:n]); werr != nil || err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
