package quarantine

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// connectedLedgers returns the ledgers of n entry VMs that receive one another's messages after a delay.
func connectedLedgers(n int, delay time.Duration) []*Ledger {
	all := make([]*Ledger, n)
	for i := range all {
		all[i] = NewLedger(LedgerOptions{Broadcast: func(fp Fingerprint, crash uint32) {
			for j, other := range all {
				if j != i {
					time.AfterFunc(delay, func() { other.Receive(fp, crash) })
				}
			}
		}})
	}
	return all
}

// runOnce runs a request once at an upstream, which crashes if crashes is set. It reports whether the request was sent.
func runOnce(l *Ledger, fp Fingerprint, upstream string, crashes bool) bool {
	if l.Check(fp) != nil {
		return false
	}
	done, wait, err := l.Begin(fp)
	if err != nil {
		return false
	}
	defer done()
	if wait > 0 {
		time.Sleep(wait)
		if l.Confirm(fp) != nil {
			return false
		}
	}
	l.RunSent(fp, upstream)
	time.Sleep(20 * time.Millisecond)
	if crashes {
		l.RunBroken(fp, upstream)
		l.ProcessEnded(upstream)
	} else {
		l.RunEnded(fp, upstream)
		l.Completed(fp)
	}
	return true
}

// crashUpstream records a run that crashes its upstream at once.
func crashUpstream(l *Ledger, fp Fingerprint, upstream string) {
	l.RunSent(fp, upstream)
	l.RunBroken(fp, upstream)
	l.ProcessEnded(upstream)
}

func upstreamName(i int) string { return "u" + strconv.Itoa(i) }

// Guards against a request that crashes more than three upstreams because each of its retries reaches another entry VM
// before the last crash is known there.
func TestACrashingRequestReachesThreeUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(5, 30*time.Millisecond)
		reached := 0
		for i := range 20 { // each retry follows at once
			if runOnce(all[i%len(all)], 7, upstreamName(i), true) {
				reached++
			}
			time.Sleep(2 * time.Millisecond)
		}
		is.Equal(reached, 3)
		for _, l := range all {
			err := l.Check(7)
			is.True(err != nil && err.RetryAfter > 0)
			is.True(l.Check(8) == nil) // no other request is refused
		}
	})
}

// Guards against retries, some time after a first crash, that overtake the reports of newer crashes.
func TestRetriesLongAfterAFirstCrashReachThreeUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(5, 30*time.Millisecond)
		reached := 0
		for i := range 20 {
			if runOnce(all[i%len(all)], 7, upstreamName(i), true) {
				reached++
			}
			pause := 2 * time.Millisecond
			if i == 0 {
				pause = 100 * time.Millisecond
			}
			time.Sleep(pause)
		}
		is.Equal(reached, 3)
	})
}

// Guards against an innocent request that is refused because its upstreams crashed for other reasons: one crash counts
// once across all entry VMs, a run that completes clears the fingerprint everywhere, and only crashes in a row count.
func TestInnocentRequestsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(3, 30*time.Millisecond)
		for _, l := range all { // runs that end in the same crash
			l.RunSent(7, "u")
			l.RunSent(7, "u")
		}
		for _, l := range all {
			l.RunBroken(7, "u")
			l.ProcessEnded("u")
			l.RunBroken(7, "u")
		}
		time.Sleep(50 * time.Millisecond)
		for i := range 9 {
			is.True(runOnce(all[i%3], 7, upstreamName(2*i), true))
			time.Sleep(50 * time.Millisecond)
			is.True(runOnce(all[(i+1)%3], 7, upstreamName(2*i+1), false))
			time.Sleep(50 * time.Millisecond)
		}
		for _, l := range all {
			_, wait, err := l.Begin(7)
			is.True(err == nil)
			is.Equal(wait, time.Duration(0))
		}
	})
}

// Guards against two last allowed runs at once, at one entry VM or at two, against a claim that is never released, and
// against a refusal that never expires.
func TestLastRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(2, 30*time.Millisecond)
		l, other := all[0], all[1]
		crashUpstream(l, 7, "u1")
		crashUpstream(l, 7, "u2")
		time.Sleep(50 * time.Millisecond)
		done, wait, err := l.Begin(7)
		is.True(err == nil && wait > 0)
		_, _, err = l.Begin(7)
		is.True(err != nil && err.RetryAfter < time.Second) // the request may be innocent, so the caller may retry soon
		time.Sleep(wait)
		is.True(l.Confirm(7) == nil)
		_, _, err = other.Begin(7) // the last run was announced
		is.True(err != nil)
		done()
		time.Sleep(50 * time.Millisecond)
		done, _, err = other.Begin(7) // the last run was released
		is.True(err == nil)
		time.Sleep(50 * time.Millisecond)
		done()
		time.Sleep(50 * time.Millisecond)
		done, _, err = l.Begin(7)
		is.True(err == nil)
		crashUpstream(l, 7, "u3")
		done()
		time.Sleep(50 * time.Millisecond)
		is.True(l.Check(7) != nil && other.Check(7) != nil)
		time.Sleep(11 * time.Minute)
		is.True(l.Check(7) == nil)
	})
}

// Guards against two entry VMs that announce the last allowed run at the same moment and both make it.
func TestLastRunsAnnouncedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(2, 30*time.Millisecond)
		crashUpstream(all[0], 7, "u1")
		crashUpstream(all[0], 7, "u2")
		time.Sleep(50 * time.Millisecond)
		for _, l := range all {
			_, _, err := l.Begin(7)
			is.True(err == nil)
		}
		time.Sleep(60 * time.Millisecond)
		runs := 0
		for _, l := range all {
			if l.Confirm(7) == nil {
				runs++
			}
		}
		is.True(runs <= 1)
	})
}

// Guards against a second crash of an upstream that is taken for the first because the upstream has restarted under the
// same name.
func TestCrashesOfOneName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := connectedLedgers(3, 30*time.Millisecond)
		reached := 0
		for i := range 12 {
			if runOnce(all[i%3], 7, "u", true) {
				reached++
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(reached, 3)
	})
}

// Guards against a crash that is not counted because the upstream stopped responding or restarted at once, so that its
// registration shows the end of the process only later.
func TestACrashThatShowsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := connectedLedgers(1, 0)[0]
		for i := range 3 {
			is.True(l.Check(7) == nil)
			l.RunSent(7, upstreamName(i))
			n, crashed := l.RunBroken(7, upstreamName(i))
			is.True(!crashed && n == i)
			time.Sleep(4 * time.Second)
			is.Equal(l.ProcessEnded(upstreamName(i)), map[Fingerprint]int{7: i + 1})
		}
		is.True(l.Check(7) != nil)
		l.RunSent(8, "v")
		l.RunBroken(8, "v")
		time.Sleep(6 * time.Second)
		is.Equal(len(l.ProcessEnded("v")), 0) // too late: the break was no crash
		l.RunSent(8, "w")
		l.RunEnded(8, "w")
		is.Equal(len(l.ProcessEnded("w")), 0) // the run had ended with an answer
	})
}

// Guards against an entry VM that has restarted or was cut off and never learns which requests are refused.
func TestRefusalsAreRebroadcast(t *testing.T) {
	is := is.New(t)
	broadcasts := map[Fingerprint]int{}
	l := NewLedger(LedgerOptions{Broadcast: func(fp Fingerprint, crash uint32) {
		if crash >= firstCrash {
			broadcasts[fp]++
		}
	}})
	for fp := range Fingerprint(5) {
		for i := range 3 {
			crashUpstream(l, fp+1, upstreamName(i))
		}
	}
	crashUpstream(l, 9, "u") // suspect, but not refused
	clear(broadcasts)
	l.RebroadcastRefused(2)
	l.RebroadcastRefused(2)
	l.RebroadcastRefused(2)
	is.Equal(broadcasts, map[Fingerprint]int{1: 6, 2: 3, 3: 3, 4: 3, 5: 3})
}

// Guards against entries of ended runs that are never removed.
func TestRunsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := connectedLedgers(1, 0)[0]
		for i := range 100 {
			l.RunSent(Fingerprint(i), upstreamName(i%7))
			if i%2 == 0 {
				l.RunBroken(Fingerprint(i), upstreamName(i%7))
			} else {
				l.RunEnded(Fingerprint(i), upstreamName(i%7))
			}
		}
		l.ProcessEnded("u1")
		time.Sleep(7 * time.Second)
		l.RunSent(1, "u")
		l.RunEnded(1, "u")
		is.Equal(len(l.runs.byUpstream), 0)
		is.Equal(len(l.runs.endedProcesses), 0)
	})
}

// Guards against a table that grows without bound, and against the eviction of a refused fingerprint from a full table.
func TestLedgerIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLedger(LedgerOptions{MaxEntries: 32})
		for i := range 3 {
			crashUpstream(l, 1, upstreamName(i))
		}
		n := rapid.IntRange(0, 500).Draw(rt, "requests")
		for i := range n {
			crashUpstream(l, Fingerprint(i+2), "u")
		}
		if len(l.entries) > 32 {
			rt.Fatalf("%d entries", len(l.entries))
		}
		if l.Check(1) == nil {
			rt.Fatal("the refused fingerprint was evicted")
		}
	})
}
