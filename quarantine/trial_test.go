package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// sendEverySecond sends a request each second through the next of the entry VMs, for d. It returns the seconds in which it was sent.
func sendEverySecond(all []*Ledger, fp Fingerprint, d time.Duration, crashes bool) (sent []int) {
	for i := range int(d / time.Second) {
		time.Sleep(time.Second)
		if runOnce(all[i%len(all)], fp, upstreamName(i), crashes) {
			sent = append(sent, i)
		}
	}
	return sent
}

// Guards against a sound request of many callers that is refused for ten minutes because its upstreams crashed for other reasons.
func TestASoundRequestIsServedSoonAfterItsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(9, 30*time.Millisecond)
		admitted := 0
		for _, l := range all {
			l.opts.OnAdmitted = func(Fingerprint) { admitted++ }
			l.Completed(7)
		}
		for i := range 3 {
			crashUpstream(all[i], 7, upstreamName(i))
		}
		time.Sleep(time.Second)
		is.True(all[5].Check(7) != nil)
		sent := sendEverySecond(all, 7, time.Minute, false)
		is.True(len(sent) >= 20) // refused for 40 s at most
		is.Equal(admitted, 1)
		for _, l := range all {
			is.True(l.Check(7) == nil)
		}
	})
}

// Guards against a crashing request that is tried again and again.
func TestTrialsOfACrashingRequestAreFew(t *testing.T) {
	for name, answered := range map[string]bool{"never answered": false, "answered before": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := connectedLedgers(9, 30*time.Millisecond)
				for _, l := range all {
					if answered {
						l.Completed(7)
					}
				}
				for i := range 3 {
					crashUpstream(all[i], 7, upstreamName(i))
				}
				sent := sendEverySecond(all, 7, 9*time.Minute, true)
				if !answered {
					is.Equal(len(sent), 0)
					return
				}
				is.Equal(len(sent), 2)
				is.True(sent[0] >= 13 && sent[1]-sent[0] >= 120)
			})
		})
	}
}

// Guards against a trial beside another one: all other requests with the content are refused meanwhile.
func TestATrialRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(2, 30*time.Millisecond)
		for _, l := range all {
			l.Completed(7)
		}
		for i := range 3 {
			crashUpstream(all[0], 7, upstreamName(i))
		}
		time.Sleep(requestTrialDelays[0] + trialJitter)
		done, wait, err := all[0].Begin(7)
		is.True(err == nil)
		time.Sleep(wait)
		is.True(all[0].Confirm(7) == nil)
		for _, l := range all {
			_, _, err = l.Begin(7)
			is.True(err != nil && err.RetryAfter > 0)
		}
		done()
		is.True(all[0].Check(7) != nil)
	})
}

// Guards against requests that are forgotten while they are in use, and against memory without a bound.
func TestFingerprintSet(t *testing.T) {
	is := is.New(t)
	s := newFingerprintSet(3, time.Minute)
	now := time.Unix(1000, 0)
	for i := range 3 {
		s.add(Fingerprint(i), now)
	}
	s.add(3, now)
	is.True(s.contains(0, now) && s.contains(3, now))
	now = now.Add(time.Minute)
	is.True(s.contains(3, now) && !s.contains(0, now))
	is.True(!s.contains(3, now.Add(2*time.Minute)))
	for i := range 100 {
		s.add(Fingerprint(i), now)
	}
	is.True(len(s.current)+len(s.older) <= 6)
}
