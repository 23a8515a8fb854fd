package server_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/settings"
)

// blockAtToken makes the engines block before a token until the returned function is called.
func (f *fleet) blockAtToken(index int) (open func()) {
	gate := make(chan struct{})
	for _, e := range f.engines {
		e.OnStream(func(p engine.Point) engine.Fault {
			if p.Index == index {
				<-gate
			}
			return engine.None
		})
	}
	return func() { close(gate) }
}

// Guards against a planned stop that interrupts a stream, accepts new work while it drains, or is shortened by a second signal.
func TestStopDuringStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"), fastEngine("e2"))
	open := f.blockAtToken(10)
	v := f.start(nil)
	var streams []*stream
	for range 8 {
		s := v.openStream(prompt("stop", 30, true))
		is.True(s.next())
		streams = append(streams, s)
	}
	v.Stop()
	v.Stop() // a second SIGTERM
	var last reply
	f.eventually("new work is refused", func() bool {
		last = v.do("POST", "/v1/completions", prompt("new", 1, false))
		return last.status != http.StatusOK
	})
	code, execution := last.refusal()
	is.Equal(code, result.ShuttingDown)
	is.Equal(execution, result.NotRun)
	open()
	for _, s := range streams {
		s.readAll().isComplete(t, expectedText("stop", 30))
	}
	err := <-v.ended
	v.ended <- err
	is.NoErr(err) // exits with 0
}

// Guards against a planned stop that refuses callers that may still keep the address of the VM.
func TestLeavingKeepsServing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	v := f.start(nil)
	go v.Gateway().Drain(t.Context(), waitLimit, waitLimit)
	f.eventually("connections are closed after their answer", func() bool {
		r := v.do("POST", "/v1/completions", prompt("kept", 3, false))
		is.Equal(r.status, http.StatusOK) // callers may still keep the address
		return r.closed
	})
}

// Guards against a stream that keeps the process running after the drain limit, and against one that is then ended as if it
// were complete.
func TestDrainLimitHandsOver(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	open := f.blockAtToken(10)
	defer open()
	v := f.start(func(s *settings.Settings) { s.Shutdown.Drain = 0 })
	s := v.openStream(prompt("long", 30, true))
	is.True(s.next())
	v.Stop()
	s.readAll()
	is.Equal(s.code, result.ShuttingDown)
	is.True(!s.done)
	err := <-v.ended
	v.ended <- err
	is.NoErr(err)
}
