package conns

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/silence"
)

// Guards against a process whose end is never noticed because the refusal of the connection comes late.
func TestALateRefusalIsReported(t *testing.T) {
	is := is.New(t)
	address, end, err := silence.DropConnects("127.0.0.1:0")
	is.NoErr(err)
	p := New(Options{})
	defer p.Close()
	late := make(chan struct{}, 2)
	for range 2 { // both share one probe
		is.True(!p.ReportRefusal(t.Context(), address, func() { late <- struct{}{} }))
	}
	end()
	for range 2 {
		select {
		case <-late:
		case <-time.After(probeTimeout):
			t.Fatal("the refusal was not reported")
		}
	}
	p.ReportRefusal(t.Context(), address, func() { late <- struct{}{} })
	<-late
	is.Equal(len(late), 0) // each call reports once
}

// Guards against an address that accepts connections and counts as one whose process has ended.
func TestAnAcceptedProbeIsNoRefusal(t *testing.T) {
	is := is.New(t)
	s := startScripted(t)
	p := New(Options{})
	defer p.Close()
	is.True(!p.ReportRefusal(t.Context(), s.Addr().String(), func() { t.Error("reported as refused") }))
}
