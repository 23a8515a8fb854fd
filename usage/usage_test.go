package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/store"
)

// Guards against counts in a wrong window: clocks that are off by seconds, of which one steps, must not move the windows.
func TestWindowsFollowTheMedianClock(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4*time.Second, 0, 3*time.Millisecond, -3*time.Second, -2*time.Millisecond)
	first := w.window() + 1
	w.run(20 * time.Second)
	w.vms[0].skew, w.vms[1].skew = -5*time.Second, 7*time.Second
	w.run(30 * time.Second)
	w.check(first, w.window()-2, 0)
	for k, late := range w.sentAt {
		is.True(late >= settleTime-10*time.Millisecond && late < due) // window k
		_ = k
	}
}

// Guards against a killed holder whose windows stay unreported, or are reported again with other counts: before the send, after
// it, and when its answer was lost.
func TestASuccessorRepeatsWhatTheRecordHolds(t *testing.T) {
	for name, at := range map[string]func(w *world, kill func()){
		"before the record": func(w *world, kill func()) { w.onPut = func() { w.storeDown = true; kill() } },
		"before the send":   func(w *world, kill func()) { w.down = true; w.onPut = kill },
		"at the send":       func(w *world, kill func()) { w.lostSend = 1; w.onSend = kill },
		"later":             func(w *world, kill func()) { w.run(2 * time.Second); kill() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0, 0, 0, 0, 0, 0)
			first := w.window() + 1
			w.run(20 * time.Second)
			at(w, func() { w.vms[0].dead = true })
			w.run(6 * time.Second)
			if !w.vms[0].dead {
				t.Fatal("the holder was not killed")
			}
			w.down, w.storeDown = false, false
			w.takeOver(w.vms[1], 40*time.Second)
			w.check(first, w.window()-2, 40) // what the killed VM had counted since it was last asked, or all it had in its successor's windows
		})
	}
}

// Guards against a report of a holder that was suspended while it wrote the record, after another has begun.
func TestASuspendedHolderSendsNothing(t *testing.T) {
	w := newWorld(t, 0, 0, 0, 0)
	first := w.window() + 1
	w.run(20 * time.Second)
	v := w.vms[0]
	w.onPut = func() {
		v.paused = true
		w.takeOver(w.vms[1], 20*time.Second)
		v.paused = false
	}
	w.run(30 * time.Second)          // send fails the test for a VM without the lease
	w.check(first, w.window()-2, 20) // what the suspended VM could not tell its successor
}

// Guards against a second, different report after a write to the store whose answer was lost.
func TestALostAnswerOfTheStore(t *testing.T) {
	w := newWorld(t, 0, 0, 0)
	first := w.window() + 1
	for range 3 {
		w.run(7 * time.Second)
		w.lostPuts = 1
		w.run(6 * time.Second)
		w.storeDown = false
	}
	w.run(10 * time.Second)
	w.check(first, w.window()-2, 0)
}

// Guards against reports that are dropped or changed while the platform's API is down or refuses them for their rate.
func TestTheAPIIsDownThenBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 0, 0)
	first := w.window() + 1
	w.run(12 * time.Second)
	w.down = true
	before := w.sends
	w.run(20 * time.Second)
	is.True(w.sends-before < 40) // backs off
	w.down, w.limited = false, 3
	w.run(20 * time.Second)
	w.check(first, w.window()-2, 0)
}

// Guards against counts that are lost, or counted twice, when a VM stops after it has handed them to two others.
func TestAStoppedVMsCountsCountOnce(t *testing.T) {
	w := newWorld(t, 0, 0, 0, 0)
	first := w.window() + 1
	w.run(13 * time.Second)
	stopped := w.vms[3]
	_, sources := stopped.counter.HandOver()
	w.vms[1].counter.TakeOver(sources)
	w.vms[2].counter.TakeOver(sources)
	stopped.dead = true
	w.run(20 * time.Second)
	w.check(first, w.window()-2, 0)
}

// Guards against wrong reports, which can't be corrected, of a holder that is cut off from the other VMs.
func TestAHolderThatIsCutOffReportsNothingWrong(t *testing.T) {
	w := newWorld(t, 0, 0, 0, 0)
	first := w.window() + 1
	w.run(13 * time.Second)
	w.vms[0].cut = true
	w.run(20 * time.Second)
	w.vms[0].cut = false
	w.run(20 * time.Second)
	w.check(first, w.window()-2, 0)
}

// Guards against different reports for a window after the store was set back to a copy without the record of it: of the same
// holder, and of one that held the duty before the VM that made the reports.
func TestAStoreSetBackToACopy(t *testing.T) {
	is := is.New(t)
	for _, killed := range []bool{false, true} {
		w := newWorld(t, 0, 0, 0, 0, 0, 0)
		first := w.window() + 1
		w.run(15 * time.Second)
		w.takeOver(w.vms[1], 15*time.Second)
		copied := w.object
		w.run(15 * time.Second)
		w.object, w.era = copied, w.era+1
		if !killed {
			w.run(20 * time.Second)
			w.check(first, w.window()-2, 0)
			continue
		}
		last := w.window()
		w.vms[1].dead = true
		w.takeOver(w.vms[0], 30*time.Second) // send fails the test at a different report
		w.check(last+4, w.window()-2, 0)
		is.True(w.reports[last+4] != nil)
	}
}

// Guards against a report that is sent as an earlier write, whose answer was lost, has it and then as a later write has it, with
// requests that were counted in between.
func TestALostWriteIsNotReplaced(t *testing.T) {
	w := newWorld(t, 0, 0, 0)
	first := w.window() + 1
	w.run(7 * time.Second)
	w.lostPuts = 1
	w.run(5 * time.Second) // the store is away from the write on
	sent := w.now.Add(-5 * time.Second)
	w.vms[2].counter.BeganAt("account0", sent)
	w.truth[WindowOf(sent.Add(w.offset), window)]["account0"]++
	w.storeDown, w.putsDown = false, true
	w.run(2 * time.Second)
	w.putsDown = false
	w.run(20 * time.Second)
	w.check(first, w.window()-2, 1)
}

// Guards against any other order of faults after which a window has two different reports, or a VM without the lease sends.
func TestReportsNeverDiffer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 0, time.Second, 0, -2*time.Second, 0)
		var copied store.Object
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			next := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "next")]
			h := w.holder
			suspend := func() {
				if next != h {
					h.paused = true
					w.takeOver(next, 8*time.Second)
					h.paused = false
				}
			}
			switch rapid.IntRange(0, 9).Draw(rt, "fault") {
			case 0:
				w.onPut = suspend
			case 1:
				w.onSend = nil
				w.lostSend = rapid.IntRange(1, 4).Draw(rt, "lost")
			case 2:
				w.lostPuts = 1
			case 3:
				w.down = !w.down
			case 4:
				w.takeOver(next, 0)
			case 5:
				h.cut = !h.cut
			case 6:
				copied = w.object
			case 7:
				if copied.Version != 0 {
					w.object, w.era = copied, w.era+1
				}
			case 8:
				w.vms[0].skew = time.Duration(rapid.IntRange(-5, 5).Draw(rt, "skew")) * time.Second
			}
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * tick)
			w.storeDown = false
		}
	})
}
