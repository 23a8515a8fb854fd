package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/routes"
)

// Guards against a stop signal that was handled late: requests cut by the kill, and a port closed while callers hold its address.
func TestAStopWhoseSignalIsHandledLate(t *testing.T) {
	const grace = 8 * time.Second
	now := time.Now()
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second, 5 * time.Second, 7500 * time.Millisecond, time.Minute} {
		is := is.New(t)
		p := planStop(now.Add(-late), now, grace)
		killed := now.Add(max(grace-late, 0)) // a process that still runs was sent the signal within its grace
		is.True(!p.addressesEnd.After(killed.Add(addressDrainTime - grace)))
		is.True(!p.waitingEnd.After(latest(now, killed.Add(-waitingMargin))))
		is.True(!p.answersEnd.After(latest(now, killed.Add(-answerMargin))))
		is.Equal(p.closing, now.Add(grace-closeMargin)) // a stream that has begun is not cut because the signal may have come early
		is.Equal(p.listenUntil, now.Add(minDrainTime))
	}
}

// Guards against a request that is read after the listener has closed, and whose connection ends without an answer.
func TestARequestAfterTheListenerHasClosedIsAnswered(t *testing.T) {
	is := is.New(t)
	front := forward.New(forward.Options{Codec: platform.Codec{}, Table: func() *routes.Table { return nil }}) // refuses all, having no configuration
	s, err := newServer("127.0.0.1:0", front, zap.NewNop(), nil, "")
	is.NoErr(err)
	address := s.listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.serve() }()
	c, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))
	for s.openConns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	e := &Edge{servers: []*server{s}, front: front, log: zap.NewNop()}
	end := time.Now().Add(time.Hour)
	finished := make(chan struct{})
	go func() {
		e.finishRequests(end)
		close(finished)
	}()
	for {
		other, err := net.Dial("tcp4", address)
		if err != nil {
			break
		}
		_ = other.Close()
	}
	_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
	<-finished
	s.close()
	is.NoErr(<-served)
}
