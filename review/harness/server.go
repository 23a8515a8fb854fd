//go:build review

package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const serverSlots = 16

// serverRun is one run of a request at a server.
type serverRun struct {
	id, server, path, body string
	arrived                time.Time
	lost                   bool // the answer is lost
	whole                  bool // the answer was written
}

// serverOptions configures a server.
type serverOptions struct {
	id, zone string
	service  string // empty: "app"
	work     func(path string) time.Duration
	began    func(serverRun)        // called when a run begins; nil: no call
	ended    func(serverRun)        // called when a run has ended; nil: no call
	crashes  func(body string) bool // whether a request ends the server that begins to run it; nil: none does
	crashed  func()                 // called after a request has ended the server
}

// server is a server of a plain service, as the pages describe it.
type server struct {
	opts     serverOptions
	listener net.Listener
	http     *http.Server
	loses    atomic.Bool // answers are lost at lossRate
	leaving  atomic.Bool // said in all answers
	busy     atomic.Int64
}

// startServer starts a server and registers it.
func (r *rig) startServer(o serverOptions) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{opts: o, listener: l}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }() // until exit
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	r.note("server %s at %s", o.id, l.Addr())
	service := o.service
	if service == "" {
		service = "app"
	}
	return s, r.store.objects.Put("servers", o.id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": o.zone, "slots": serverSlots, "state": "ready", "version": "1",
		"born": time.Now().UnixMilli(),
	})
}

// exit ends the server and its connections.
func (s *server) exit() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := serverRun{id: r.Header.Get("Attempt-Id"), server: s.opts.id, path: r.URL.Path, arrived: time.Now()}
	body, _ := io.ReadAll(r.Body) // a caller that has disconnected is noticed below
	x.body = string(body)
	h := w.Header()
	h.Set("Attempt-Id", x.id)
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	refuse := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.opts.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	defer s.busy.Add(-1)
	if s.busy.Add(1) > serverSlots {
		refuse(http.StatusServiceUnavailable)
		return
	}
	x.lost = s.loses.Load() && rand.Float64() < lossRate
	if s.opts.began != nil {
		s.opts.began(x)
	}
	if s.opts.ended != nil {
		defer func() { s.opts.ended(x) }()
	}
	if s.opts.crashes != nil && s.opts.crashes(x.body) {
		s.exit()
		s.opts.crashed()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.opts.work(x.path)):
	case <-r.Context().Done(): // the caller has closed the connection, or the server has ended
		return
	}
	if x.lost {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0) // the close resets the connection
			_ = c.Close()
		}
		return
	}
	answer := standin.Body(x.id, x.path)
	h.Set("Response-Seal", "seal-"+x.id+"-"+s.opts.id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, err := io.WriteString(w, answer)
	x.whole = err == nil
}
