package quarantine

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// Guards against a request whose runs end with its caller's time, so that the ends of its servers are not counted.
func TestEndsWithoutASignAreCounted(t *testing.T) {
	const (
		interval     = 500 * time.Millisecond
		routeLimit   = 2 * time.Second
		endsAfter    = 40 * time.Millisecond
		knownAfter   = 3300 * time.Millisecond // the registration runs out
		backAfter    = 3500 * time.Millisecond
		stable       = 3 * time.Second
		allowedLater = 3
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vms := connectedLedgers(3, 30*time.Millisecond)
		downUntil := map[string]time.Time{}
		var thirdEnd time.Time
		ended, late := 0, 0
		for i := range 40 {
			time.Sleep(interval)
			l := vms[i%len(vms)]
			upstream := ""
			for u := range 8 {
				if name := upstreamName((i + u) % 8); time.Now().After(downUntil[name]) {
					upstream = name
					break
				}
			}
			if l.Check(7) != nil {
				continue
			}
			done, wait, err := l.Begin(7)
			if err != nil {
				continue
			}
			time.Sleep(wait)
			if wait > 0 && l.Confirm(7) != nil {
				done()
				continue
			}
			l.RunSent(7, upstream)
			if ended++; ended == 3 {
				thirdEnd = time.Now().Add(endsAfter)
			} else if ended > 3 && time.Since(thirdEnd) > stable {
				late++
			}
			downUntil[upstream] = time.Now().Add(backAfter)
			time.AfterFunc(routeLimit, func() {
				l.RunAbandoned(7, upstream)
				done()
			})
			time.AfterFunc(endsAfter+knownAfter, func() {
				for _, vm := range vms {
					vm.ProcessEnded(upstream)
				}
			})
		}
		is.True(late <= allowedLater)
		is.True(ended >= 3)
		is.True(vms[0].Check(7) != nil)
		time.Sleep(time.Minute)
	})
}

// Guards against a run in flight on a silent connection that is forgotten because its process was known to have ended earlier.
func TestARunThatOutlivesItsProcessIsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger(LedgerOptions{})
		for i := range 3 {
			l.RunSent(7, upstreamName(i))
			time.Sleep(time.Second)
			l.ProcessEnded(upstreamName(i)) // another send was refused
			time.Sleep(2 * time.Second)
			n, crashed, _ := l.RunAbandoned(7, upstreamName(i))
			is.True(crashed)
			is.Equal(n, i+1)
		}
		is.True(l.Check(7) != nil)
	})
}

// Guards against innocent requests that are refused because their servers hung for a while, or ended some time later.
func TestAHangIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var refused atomic.Int32
		l := NewLedger(LedgerOptions{OnRefused: func(Fingerprint, []uint32) { refused.Add(1) }})
		for i := range 6 {
			u := upstreamName(i)
			l.RunSent(7, u)
			time.Sleep(time.Second)
			if i%2 == 0 {
				l.ProcessEnded(u) // wrongly, as the process answers later
			}
			time.Sleep(time.Second)
			if i%2 == 0 {
				l.UpstreamAnswered(u)
			}
			time.Sleep(time.Second)
			_, crashed, _ := l.RunAbandoned(7, u)
			is.True(!crashed)
			time.Sleep(time.Second)
			l.UpstreamAnswered(u) // another request
			l.ProcessEnded(u)
		}
		is.Equal(refused.Load(), int32(0))
		is.True(l.Check(7) == nil)
	})
}

// Guards against a probe for each request that was given up: an upstream that has answered meanwhile is not silent.
func TestAnUpstreamThatAnswersIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger(LedgerOptions{})
		for _, answers := range []bool{true, false} {
			l.RunSent(7, "u")
			time.Sleep(time.Second)
			if answers {
				l.UpstreamAnswered("u")
			}
			_, _, silent := l.RunAbandoned(7, "u")
			is.Equal(silent, !answers)
			time.Sleep(time.Minute)
		}
	})
}
