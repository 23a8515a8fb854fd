package quarantine

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/store"
)

// Guards against servers that one part of many different prompts crashes one after the other, and against the refusal of
// sound requests: those that share the other parts, and those in flight at the crashes.
func TestAPartThatCrashesServersIsRefusedAlone(t *testing.T) {
	cases := []struct {
		name           string
		vms, upstreams int
		deadlyRate     float64
		deadly         func(f *partFleet) []PartID
		warm           time.Duration // of sound load before the first deadly request
	}{
		{"second part under one first part", 9, 9, 1, func(f *partFleet) []PartID { return []PartID{firstParts, deadlyPart} }, 5 * time.Second},
		{"second part, no answers before", 9, 9, 1, func(f *partFleet) []PartID { return []PartID{firstParts, deadlyPart} }, 0},
		{"second part under any first part", 9, 9, 1, func(f *partFleet) []PartID { return []PartID{f.anyOf(firstParts, 20), deadlyPart} }, 5 * time.Second},
		{"first part before any second part", 9, 9, 1, func(f *partFleet) []PartID { return []PartID{deadlyPart, f.anyOf(secondParts, 20)} }, 5 * time.Second},
		{"only shared part", 9, 9, 1, func(f *partFleet) []PartID { return []PartID{deadlyPart} }, 5 * time.Second},
		{"part in the middle", 9, 9, 2, func(f *partFleet) []PartID {
			return []PartID{f.anyOf(firstParts, 4), deadlyPart, f.anyOf(secondParts, 20)}
		}, 5 * time.Second},
		{"two parts at once", 9, 12, 2, func(f *partFleet) []PartID { return []PartID{firstParts, f.anyOf(deadlyPart, 2)} }, 5 * time.Second},
		{"two parts in one prompt", 9, 12, 2, func(f *partFleet) []PartID { return []PartID{firstParts, deadlyPart, secondDeadly} }, 5 * time.Second},
		{"75 VMs", 75, 40, 6, func(f *partFleet) []PartID { return []PartID{f.anyOf(firstParts, 20), deadlyPart} }, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newPartFleet(c.vms, c.upstreams, 30*time.Millisecond)
				f.deadly[deadlyPart], f.deadly[secondDeadly] = true, true
				defer f.rebroadcast()()
				const day = 22 * time.Second
				sound := f.load(day, soundRate(c.upstreams), func() []PartID { return []PartID{f.anyOf(firstParts, 20), f.anyOf(secondParts, 20)} })
				time.Sleep(c.warm)
				f.load(day-c.warm, c.deadlyRate, func() []PartID { return c.deadly(f) }).Wait()
				sound.Wait()
				t.Logf("crashes %d, sent %d, after the fifth %d, sound served %d, broken %d, refused %d", len(f.crashed), len(f.sent),
					f.sentAfterFifthCrash(), f.served, f.innocents, f.refused)
				is.True(f.sentAfterFifthCrash() <= 3)
				is.True(len(f.crashed) <= 14) // for two parts; the first trials are included
				is.Equal(f.refused, 0)
			})
		})
	}
}

// Guards against the refusal of sound parts when many upstreams end at the same moment for other reasons, with 128 requests in
// flight at each.
func TestUpstreamsThatEndTogetherMakeNoPartRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPartFleet(9, 9, 30*time.Millisecond)
		done := f.load(16*time.Second, 400, func() []PartID { return []PartID{f.anyOf(firstParts, 20), f.anyOf(secondParts, 80)} })
		for range 5 {
			time.Sleep(3 * time.Second)
			for _, u := range f.upstreams[:7] {
				f.kill(u)
			}
		}
		done.Wait()
		is.True(f.innocents > 1000) // precondition: hundreds are broken off each time
		is.Equal(f.refused, 0)
	})
}

// crashedRuns is the fingerprint of the last request of crashPart.
var crashedRuns Fingerprint = 1 << 32

// crashPart lets an upstream crash under a run with these parts, some time after the last crash.
func crashPart(l *Ledger, upstream string, parts ...PartID) {
	time.Sleep(crashesTogether)
	crashedRuns++
	fp := crashedRuns
	l.RunSent(fp, upstream, parts...)
	l.RunBroken(fp, upstream)
	l.ProcessEnded(upstream)
}

// Guards against an entry VM that starts, or was cut off, and serves a refused part because it missed the crashes.
func TestAnEntryVMThatMissedTheCrashesRefusesThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPartFleet(3, 1, 30*time.Millisecond)
		f.cut[2] = true
		for i := range 3 {
			crashPart(f.vms[i%2], "u"+strconv.Itoa(i), firstParts, deadlyPart)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(f.vms[0].Parts().Check([]PartID{firstParts, deadlyPart}) != nil)
		is.True(f.vms[2].Parts().Check([]PartID{firstParts, deadlyPart}) == nil)
		f.mu.Lock()
		f.cut[2] = false
		f.mu.Unlock()
		f.vms[1].Parts().Rebroadcast(6)
		time.Sleep(100 * time.Millisecond)
		is.True(f.vms[2].Parts().Check([]PartID{firstParts, deadlyPart}) != nil)
		is.True(f.vms[2].Parts().Check([]PartID{firstParts}) == nil)
		time.Sleep(10 * time.Second) // the trial of the others is not repeated by the VM that was cut off
		wait, err := f.vms[0].Parts().BeginTrial([]PartID{firstParts, deadlyPart})
		is.True(err != nil || wait == 0)
		time.Sleep(6 * time.Second)
		wait, err = f.vms[2].Parts().BeginTrial([]PartID{firstParts, deadlyPart})
		is.True(err == nil && wait > 0)
		time.Sleep(100 * time.Millisecond)
		for _, l := range f.vms {
			is.True(l.Parts().Check([]PartID{firstParts, deadlyPart}) != nil)
		}
	})
}

// Guards against evidence that is too thin at each entry VM: crashes that its peers report count together with those
// that it saw itself.
func TestCrashesSeenOnBothSidesOfACutCountTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPartFleet(2, 1, 30*time.Millisecond)
		f.cut[1] = true
		crashPart(f.vms[0], "a", firstParts, deadlyPart)
		crashPart(f.vms[0], "b", firstParts, deadlyPart)
		crashPart(f.vms[1], "c", firstParts+1, deadlyPart)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.cut[1] = false
		f.mu.Unlock()
		f.vms[0].Parts().Rebroadcast(6)
		time.Sleep(time.Second)
		is.True(f.vms[1].Parts().Check([]PartID{99, deadlyPart}) != nil)
	})
}

// Guards against trials by several entry VMs at once, too many trials of a part that keeps crashing upstreams, and a part
// that stays refused though it is sound again.
func TestARefusedPartIsTriedByOneEntryVMAtATime(t *testing.T) {
	for _, soundAfter := range []time.Duration{0, time.Minute, 10 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newPartFleet(4, 9, 30*time.Millisecond)
			f.deadly[deadlyPart] = true
			defer f.rebroadcast()()
			load := f.load(25*time.Minute, 0.5, func() []PartID { return []PartID{firstParts, deadlyPart} })
			more := f.load(4*time.Minute, 5, func() []PartID { return []PartID{firstParts, deadlyPart} })
			if soundAfter > 0 {
				time.Sleep(soundAfter)
				f.mu.Lock()
				f.deadly[deadlyPart] = false
				f.mu.Unlock()
			}
			more.Wait()
			load.Wait()
			t.Logf("sound after %s: crashes %d, served %d", soundAfter, len(f.crashed), f.served)
			is.True(f.sentAfterFifthCrash() <= 3)
			if soundAfter > 0 {
				is.True(f.served >= 100)
			}
		})
	}
}

// Guards against a request that waits in a queue or at an upstream until its deadline although a part of its prompt has
// become refused.
func TestAWatchedRequestIsToldOfTheRefusal(t *testing.T) {
	synctest.Test(t, testWatchedRequest)
}

func testWatchedRequest(t *testing.T) {
	is := is.New(t)
	l := NewLedger(LedgerOptions{})
	told := map[string]int{}
	watch := func(name string, parts ...PartID) func() {
		return l.Parts().Watch(parts, func(err *result.Error) { told[name]++; is.True(err.RetryAfter > 0) })
	}
	watch("deadly", firstParts, deadlyPart)
	watch("sound", firstParts, secondParts)
	watch("ended", firstParts, deadlyPart)()
	for i := range 3 {
		is.Equal(len(told), 0)
		crashPart(l, "u"+strconv.Itoa(i), firstParts, deadlyPart)
	}
	is.Equal(told, map[string]int{"deadly": 1})
}

// Guards against an entry VM that decides otherwise than its peers because reports reached it in another order, late or twice.
func TestTheOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var notices []PartNotice
		for range rapid.IntRange(1, 30).Draw(t, "notices") {
			n := PartNotice{Kind: PartNoticeKind(rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(t, "kind")), Crash: rapid.Uint32Range(1, 6).Draw(t, "crash")}
			n.Age = time.Duration(n.Crash) * 300 * time.Millisecond
			for i := range rapid.IntRange(1, 3).Draw(t, "parts") {
				n.Parts[i] = PartID(rapid.Uint64Range(1, 4).Draw(t, "part"))
			}
			notices = append(notices, n)
		}
		now := time.Now()
		decide := func(list []PartNotice) (refused []int) {
			l := NewPartLedger(PartLedgerOptions{Now: func() time.Time { return now }})
			for _, n := range list {
				if n.Kind == PartProven {
					continue // applied last: only a part on record is marked
				}
				l.Receive(n)
			}
			for _, n := range list {
				if n.Kind == PartProven {
					l.Receive(n)
				}
			}
			for set := range 16 {
				var parts []PartID
				for i := range 4 {
					if set&(1<<i) != 0 {
						parts = append(parts, PartID(i+1))
					}
				}
				if l.CheckSend(parts) != nil {
					refused = append(refused, set)
				}
			}
			return refused
		}
		other := append(slices.Clone(notices), notices...)
		perm := rapid.Permutation(other).Draw(t, "order")
		if a, b := decide(notices), decide(perm); !slices.Equal(a, b) {
			t.Fatalf("refused %v, in another order %v", a, b)
		}
	})
}

// Guards against records that grow without bound, in memory, under crashes with ever new parts.
func TestRecordsOfPartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLedger(LedgerOptions{})
		p := l.Parts()
		for i := range 3 {
			crashPart(l, "d"+strconv.Itoa(i), deadlyPart)
		}
		for i := range 3000 {
			crashPart(l, upstreamName(i), PartID(1000+2*i), PartID(1001+2*i))
		}
		for i := range 10000 {
			p.Completed([]PartID{PartID(100000 + i)}, nil)
		}
		is.True(len(p.crashes) <= maxCrashRecords && len(p.parts) <= maxPartRecords && len(p.completed) <= maxCompletedParts)
		is.True(p.CheckSend([]PartID{deadlyPart}) != nil) // a refused part is kept
		time.Sleep(defaultExpiry + time.Minute)
		p.Completed([]PartID{1}, nil)
		time.Sleep(time.Minute)
		p.Completed([]PartID{1}, nil)
		is.Equal(len(p.parts), 1)
		is.True(p.CheckSend([]PartID{deadlyPart}) != nil)
	})
}

// Guards against a part that crashes upstreams again after a restart of all entry VMs, or that is tried too often because each
// start forgets the trials.
func TestRefusedPartsOutliveAllEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{objects: map[string]store.Object{}}
		deadly := []PartID{firstParts, deadlyPart}
		start := func() (*Ledger, context.CancelFunc) {
			ctx, kill := context.WithCancel(t.Context())
			var a *Archive
			parts := NewPartLedger(PartLedgerOptions{OnRefused: func(r RefusedPart) { a.EnqueuePart(r) }, OnAdmitted: func(p PartID) { a.RemovePart(p) }})
			l := NewLedger(LedgerOptions{Parts: parts})
			a = NewArchive(ArchiveOptions{Store: s, Ledger: l})
			go func() { _ = a.Run(ctx) }()
			time.Sleep(time.Second)
			return l, kill
		}
		l, kill := start()
		for i := range 3 {
			crashPart(l, upstreamName(i), deadly...)
		}
		time.Sleep(time.Second)
		kill()
		trials := 0
		for range 20 { // restarts, 30 s apart
			l, kill = start()
			is.True(l.Parts().CheckSend(deadly) != nil)
			is.True(l.Parts().Check(deadly[:1]) == nil)
			time.Sleep(29 * time.Second)
			if wait, err := l.Parts().BeginTrial(deadly); err == nil && wait > 0 {
				trials++
			}
			time.Sleep(time.Second)
			kill()
		}
		is.Equal(trials, 2) // at 30 s and 2 min later
		l, kill = start()
		defer kill()
		time.Sleep(16 * time.Minute)
		_, err := l.Parts().BeginTrial(deadly)
		is.True(err == nil)
		l.Parts().Completed(deadly, l.Parts().Known(deadly)) // sound again
		time.Sleep(time.Second)
		is.Equal(s.count(), 0)
	})
}
