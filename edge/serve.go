package edge

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/ingress"
	"bergamotcroft.example/bergamot/platform"
)

// server is an HTTP server on one address.
type server struct {
	listener  net.Listener
	http      *http.Server
	openConns atomic.Int64
	busyConns atomic.Int64 // connections with a request
	mu        sync.Mutex
	states    map[net.Conn]http.ConnState
	closed    chan struct{} // closed by close
	closeOnce sync.Once
}

const (
	headerTimeout = 3 * time.Second // the header time limit that the operators set
	// idleTimeout is above any idle limit that operators set for callers, so that no request arrives on a connection
	// that the server is closing.
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
	// bodilessReadTimeout bounds the reading of requests that need no body: to the directory, the readiness check and
	// the metrics.
	bodilessReadTimeout = headerTimeout
)

// newServer listens on an address. limits may be nil; name is that of the listener in its metrics and log lines.
func newServer(address string, h http.Handler, log *zap.Logger, limits *ingress.Guard, name string) (*server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	errorLog, err := zap.NewStdLogAt(log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &server{listener: l, states: map[net.Conn]http.ConnState{}, closed: make(chan struct{})}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
		ConnState: s.trackConn,
	}
	s.listener = limits.Protect(s.http, l, name, false)
	return s, nil
}

// trackConn counts open and busy connections, so that drain can tell when all requests are answered.
func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.states[c]
	if !known {
		s.openConns.Add(1)
	}
	if known && old == http.StateActive {
		s.busyConns.Add(-1)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, c)
		s.openConns.Add(-1)
		return
	case http.StateActive:
		s.busyConns.Add(1)
	}
	s.states[c] = state
}

// serve serves until close is called. It ends the process's other actors only then, not when the listener is closed.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-s.closed
		return nil
	}
	return trace.Wrap(err)
}

// stopAccepting closes the listener and the idle connections. Each other connection is still served, until it has carried a request:
// Shutdown of the HTTP server would read that and answer nothing.
func (s *server) stopAccepting() {
	_ = s.listener.Close() // it may be closed already
	s.http.SetKeepAlivesEnabled(false)
}

const (
	// closeTimeout bounds the wait for answers that are still being written at the end of a process.
	closeTimeout      = 100 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
)

func (s *server) close() {
	s.closeOnce.Do(func() {
		s.stopAccepting()
		for end := time.Now().Add(closeTimeout); s.busyConns.Load() > 0 && time.Now().Before(end); {
			time.Sleep(closePollInterval)
		}
		_ = s.http.Close()
		close(s.closed)
	})
}

// listen opens the listeners for callers, the directory, the readiness check and the metrics.
func (e *Edge) listen(metricsAddress string) error {
	if e.settings.Listen.Callers == "" {
		return trace.Wrap(errNotListening)
	}
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", e.settings.Listen.Callers, e.front},
		{"ready", e.settings.Listen.Ready, platform.Readiness(e.ready)},
		{"directory", e.settings.Listen.Directory, platform.Directory{Addresses: e.addresses}},
		{"metrics", metricsAddress, http.HandlerFunc(e.serveMetrics)},
	} {
		if l.address == "" {
			continue
		}
		s, err := newServer(l.address, l.handler, e.log, e.limits, l.name)
		if err != nil {
			return err
		}
		if len(e.servers) > 0 { // the front bounds the reading of callers' bodies itself
			s.http.ReadTimeout = bodilessReadTimeout
		}
		e.servers = append(e.servers, s)
	}
	return nil
}

// callers returns the server for callers.
func (e *Edge) callers() *server { return e.servers[0] }

// ready reports whether callers may be directed to this entry VM.
func (e *Edge) ready() bool { return !e.leaving.Load() && e.catalog.Table() != nil && e.knowsCrashes() }

// maxCrashesWait bounds how long a VM that starts is not ready because it has not read which requests crash upstreams. Later than
// that the store is away, and the other entry VMs send what they know.
const maxCrashesWait = 3 * time.Second

// knowsCrashes reports whether this entry VM has read which requests and parts crash upstreams, or has waited long enough.
func (e *Edge) knowsCrashes() bool {
	select {
	case <-e.crashesLoaded:
		return true
	default:
		return time.Since(e.startedAt) > maxCrashesWait
	}
}

// Durations of a stop.
const (
	// addressDrainTime is how long callers may still use an address that they have cached.
	addressDrainTime = 3 * addressTTL
	// minDrainTime leaves time for the last requests of such callers to arrive.
	minDrainTime      = addressDrainTime + 500*time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// Times before the end of the platform's grace period, at which the process is killed.
const (
	waitingMargin = 700 * time.Millisecond // requests that were sent to no upstream are refused
	answerMargin  = 500 * time.Millisecond // all others whose answer has not begun are given up
	// closeMargin is for callers that have not sent a request completely, and for answers that have begun.
	closeMargin = 300 * time.Millisecond
)

// stopTimes are the moments of a planned stop.
type stopTimes struct {
	addressesEnd time.Time // from then on only requests that can be answered in time are taken
	listenUntil  time.Time // callers may use a cached address
	waitingEnd   time.Time
	answersEnd   time.Time
	closing      time.Time // connections are cut
}

// planStop returns the moments of a stop that this entry VM learns of at now. Its signal was sent between earliest and now. What must
// be over when the process is killed counts from earliest; what may go on until then, and what callers are owed since the directory has
// left this VM out, from now.
func planStop(earliest, now time.Time, grace time.Duration) stopTimes {
	if longest := now.Add(-grace); earliest.Before(longest) {
		earliest = longest // the process would have been killed
	}
	killed := earliest.Add(grace)
	p := stopTimes{addressesEnd: earliest.Add(addressDrainTime), waitingEnd: latest(now, killed.Add(-waitingMargin)), answersEnd: latest(now, killed.Add(-answerMargin))}
	p.listenUntil = now.Add(min(minDrainTime, max(grace-waitingMargin, 0)))
	p.closing = now.Add(grace - closeMargin) // for answers that have begun; the process may be killed before
	return p
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unusedConnTime is how long a connection that has carried no request delays the end of a stop.
const unusedConnTime = 500 * time.Millisecond

// drain removes this entry VM from the directory's answers, serves callers that have cached its address and waits for
// running requests. The stop's signal may have been sent as early as earliest.
func (e *Edge) drain(earliest time.Time) {
	start := time.Now()
	p := planStop(earliest, start, e.settings.Bounds.StopGrace)
	e.leaving.Store(true)
	e.list.Leave()
	e.front.Stop(forward.StopPlan{AddressesEnd: p.addressesEnd, AnswersEnd: p.waitingEnd})
	e.log.Info("leaving", zap.Int64("connections", e.callers().openConns.Load()), zap.Int64("busy", e.callers().busyConns.Load()),
		zap.Duration("left", time.Until(p.closing)))
	waiting := time.AfterFunc(time.Until(p.waitingEnd), e.front.RefuseWaiting)
	defer waiting.Stop()
	all := time.AfterFunc(time.Until(p.answersEnd), e.front.EndAll)
	defer all.Stop()
	for now := start; now.Before(p.listenUntil) || now.Before(p.waitingEnd) && e.callers().busyConns.Load() > 0; now = time.Now() {
		time.Sleep(drainPollInterval)
	}
	e.finishRequests(p.closing)
	e.handOverUsage()
	e.log.Info("drained", zap.Duration("took", time.Since(start)), zap.Int64("connections", e.callers().openConns.Load()), zap.Int64("busy", e.callers().busyConns.Load()))
}

// finishRequests closes the listener for callers and the idle connections, and waits until closing for the requests that have arrived
// meanwhile.
func (e *Edge) finishRequests(closing time.Time) {
	callers := e.callers()
	callers.stopAccepting()
	refusesAll := false
	for lastBusy := time.Now(); ; time.Sleep(drainPollInterval) {
		now := time.Now()
		busy := callers.busyConns.Load() > 0
		if busy {
			lastBusy = now
		}
		switch {
		case callers.openConns.Load() == 0:
			return
		case !now.Before(closing):
			e.front.Stop(forward.StopPlan{})
			e.log.Warn("connections of callers are cut", zap.Int64("connections", callers.openConns.Load()), zap.Int64("busy", callers.busyConns.Load()))
			return
		case busy:
		case refusesAll: // no request is running, and none is accepted any more
			return
		case now.Sub(lastBusy) > unusedConnTime: // only connections that have carried nothing are left
			e.front.Stop(forward.StopPlan{})
			refusesAll = true
		}
	}
}
