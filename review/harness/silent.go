//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	silentRounds    = 5
	silentServers   = 4                       // of the service
	roundBookings   = 12                      // of one round
	bookingTime     = 700 * time.Millisecond  // that a booking takes at its server
	silentRemoval   = 100 * time.Millisecond  // from the silence to the removal of an entry
	silentBookings  = 3400 * time.Millisecond // from the silence to the bookings: all machines are in touch again
	silentLinger    = 1600 * time.Millisecond // the server serves for drain_ms and so long, then exits
	silentNewServer = 300 * time.Millisecond  // from the start of the new server to the silence
	silentRest      = 4 * time.Second
)

func init() { register("silent-connections", 3, silentConnections) }

// silentProxy forwards connections and can make the open ones silent: they stay open and carry nothing any more.
type silentProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   *atomic.Bool // of the connections that are open now
	open     []net.Conn
}

func newSilentProxy(target string) (*silentProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &silentProxy{listener: l, target: target, silent: &atomic.Bool{}}
	go p.accept()
	return p, nil
}

func (p *silentProxy) accept() {
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
		go forwardUnless(silent, near, far)
		go forwardUnless(silent, far, near)
	}
}

// forwardUnless copies from one connection to another until silent is set. After that it reads and drops what comes.
func forwardUnless(silent *atomic.Bool, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if !silent.Load() {
			if _, werr := to.Write(b[:n]); werr != nil || err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the open connections silent. New ones work.
func (p *silentProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = &atomic.Bool{}
}

func (p *silentProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		_ = c.Close()
	}
}

// silentConnections lets the open connections to the store go silent once in each round, just before a server leaves that never
// reports that it drains. It checks that no booking that a client sends later than drain_ms after the removal of the server's
// entry, when all entry VMs are in touch again, reaches that server.
func silentConnections(r *rig, trouble bool) (bool, error) {
	proxy, err := newSilentProxy(r.store.address())
	if err != nil {
		return false, err
	}
	defer proxy.close()
	r.storeAddress = proxy.listener.Addr().String()
	for i, v := range r.vms {
		if err := r.writeSettings(v, i); err != nil {
			return false, err
		}
	}
	if err := r.store.objects.Put("config", "main", standin.Config(3, host, "other", 4*time.Second)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var runs []serverRun
	ended := func(x serverRun) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, x)
	}
	var servers []*server
	start := func() error {
		n := len(servers)
		s, err := r.startServer(serverOptions{
			id: fmt.Sprintf("i-app-%d", n), zone: fmt.Sprintf("zone-%d", n%len(r.vms)), ended: ended,
			work: func(string) time.Duration { return bookingTime },
		})
		servers = append(servers, s)
		return err
	}
	for range silentServers {
		if err := start(); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * stableBound)

	removed := map[string]time.Time{} // by server
	var outcomes []standin.Outcome
	for round := range silentRounds {
		if err := start(); err != nil { // the new server starts first
			return false, err
		}
		time.Sleep(silentNewServer)
		id, leaving := fmt.Sprintf("i-app-%d", round), servers[round]
		silentAt := time.Now()
		if trouble {
			proxy.silence()
			r.note("the open connections to the store go silent; new ones work")
		}
		time.Sleep(silentRemoval)
		leaving.leaving.Store(true)
		r.store.objects.Delete("servers", id)
		removed[id] = time.Now()
		r.note("%s leaves: the store has accepted the removal of its entry", id)
		exited := make(chan struct{})
		time.AfterFunc(drainBound+silentLinger, func() {
			defer close(exited)
			leaving.exit()
			r.note("%s exits", id)
		})
		time.Sleep(time.Until(silentAt.Add(silentBookings)))
		var clients sync.WaitGroup
		for c := range roundBookings {
			clients.Go(func() {
				o := sendOne(r.vms[c%len(r.vms)], standin.Attempt{
					ID: fmt.Sprintf("%04x%06x", round+1, c+1), Host: host, Path: "/once/booking", Deadline: 4 * time.Second,
				})
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			})
		}
		clients.Wait()
		<-exited
		time.Sleep(silentRest)
	}

	mu.Lock()
	defer mu.Unlock()
	sent := map[string]standin.Outcome{}
	lost := 0
	for _, o := range outcomes {
		sent[o.ID] = o
		if o.Status != http.StatusOK || !o.Whole {
			lost++
		}
	}
	late := 0
	for _, x := range runs {
		o, known := sent[x.id]
		at, left := removed[x.server]
		r.note("booking %s reaches %s at %s and runs; answered: %v", x.id, x.server, r.at(x.arrived), x.whole)
		if !known || !left || !o.Sent.After(at.Add(drainBound)) {
			continue
		}
		late++
		r.note("broken: booking %s, sent %s after the removal of %s, reaches it", x.id, o.Sent.Sub(at).Round(time.Millisecond), x.server)
	}
	r.note("%d bookings, %d of them without a whole answer; %d reached a server and were sent later than %s after its removal",
		len(outcomes), lost, late, drainBound)
	if len(runs) == 0 {
		return false, fmt.Errorf("no booking reached a server")
	}
	return late == 0, nil
}
