package server_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/emulator/service"
	"bergamotcroft.example/bergamot/result"
)

// failFirstCall makes the first call to any of the fleet's services fail.
func (f *fleet) failFirstCall(fault service.Fault) {
	var hit atomic.Bool
	for _, s := range f.services {
		s.OnCall(func(*http.Request, []byte) service.Fault {
			if hit.CompareAndSwap(false, true) {
				return fault
			}
			return service.None
		})
	}
}

// Guards against a booking that runs twice when its connection breaks or its answer is lost, cut off or exchanged with another,
// and against an error that hides that the booking may have run.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		fault service.Fault
		runs  int
		code  result.Code
	}{
		"no fault":       {service.None, 1, result.OK},
		"crash before":   {service.CrashBefore, 0, result.KeyOutcomeUnknown},
		"answer lost":    {service.LoseAnswer, 1, result.KeyOutcomeUnknown},
		"answer cut":     {service.CutAnswer, 1, result.KeyOutcomeUnknown},
		"answer crossed": {service.CrossedAnswer, 1, result.KeyOutcomeUnknown},
		"invalid status": {service.InvalidStatus, 1, result.KeyOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.addService("b1")
			f.addService("b2")
			v := f.start(nil)
			f.failFirstCall(c.fault)
			r := v.do("POST", "/services/booking/bookings", `{"key":"k"}`)
			is.NoErr(r.err)
			code, execution := r.refusal()
			is.Equal(code, c.code)
			if code != result.OK {
				is.Equal(execution, result.Unknown)
			}
			is.Equal(f.ledger.Runs("k"), c.runs)
		})
	}
}

// Guards against a read that fails although another server could answer it.
func TestIdempotentCallIsRepeated(t *testing.T) {
	for _, fault := range []service.Fault{service.CrashBefore, service.LoseAnswer, service.CutAnswer, service.CrossedAnswer, service.RefuseNotRun, service.InvalidStatus} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			f := newFleet(t)
			f.addService("b1")
			f.addService("b2")
			v := f.start(nil)
			f.failFirstCall(fault)
			is.New(t).Equal(v.get("/services/booking/bookings/1").status, http.StatusOK)
		})
	}
}

// Guards against a booking that fails because one server is down: nothing was sent to it, so another server may run the booking.
func TestBookingSkipsServerThatIsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.addService("b1").Close()
	f.addService("b2")
	v := f.start(nil)
	for i := range 8 {
		key := fmt.Sprint("k", i)
		is.Equal(v.do("POST", "/services/booking/bookings", `{"key":"`+key+`"}`).status, http.StatusOK)
		is.Equal(f.ledger.Runs(key), 1)
	}
}

// Guards against a poison request that crashes more than two upstreams, and against the refusal of other requests because of it.
func TestPoisonCrashesAtMostTwo(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"), fastEngine("e2"), fastEngine("e3"), fastEngine("e4"))
	v := f.start(nil)
	crashes := func() (n int) {
		for _, e := range f.engines {
			n += e.Counts().Crashes
		}
		return n
	}
	r := v.do("POST", "/v1/completions", prompt("POISON", 5, false))
	code, execution := r.refusal()
	is.Equal(code, result.Quarantined)
	is.Equal(execution, result.Unknown)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(crashes(), 2)
	var wg sync.WaitGroup
	for range 5 { // the caller repeats the request
		wg.Go(func() {
			code, execution := v.do("POST", "/v1/completions", prompt("POISON", 5, false)).refusal()
			if code != result.Quarantined || execution != result.NotRun {
				t.Error(errors.New("the repeated request is not refused"), code, execution)
			}
		})
	}
	wg.Wait()
	is.Equal(crashes(), 2)
	v.openStream(prompt("fine", 9, true)).readAll().isComplete(t, expectedText("fine", 9))
}
