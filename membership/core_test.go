package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

func protoSize(m proto.Message) int { return proto.Size(m) }

// Guards against packet loss alone making a member uncertain for good.
func TestLossAloneLeavesNobodyUncertainForLong(t *testing.T) {
	w := newNetwork(t, 32, 1)
	w.loss = 0.10
	w.run(2 * time.Minute)
	w.loss = 0
	took := w.runUntil(30*time.Second, "all alive after losses", func(x *node) bool { return x.seesAll(Alive, names(w.nodes)...) })
	t.Logf("settled in %v", took)
}

// Guards against a partition in which one side is declared gone, and against sides that don't rejoin after it.
func TestPartitionMakesUncertainAndHeals(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 48, 2)
	w.run(5 * time.Second)
	side := func(x *node) bool { return x.name < "vm-018" }
	small, large := w.nodes[:18], w.nodes[18:]
	w.blocked = func(a, b *node) bool { return side(a) != side(b) }
	took := w.runUntil(time.Minute, "the other side uncertain", func(x *node) bool {
		other := small
		if side(x) {
			other = large
		}
		return x.seesAll(Uncertain, names(other)...)
	})
	t.Logf("partition seen by all in %v", took)
	reachable, known := w.nodes[0].core.reachable(w.now)
	is.Equal(reachable, 18) // a minority
	is.Equal(known, 48)
	reachable, _ = w.nodes[40].core.reachable(w.now)
	is.Equal(reachable, 30) // a majority

	for _, x := range w.nodes { // the platform still lists all, so that a long silence must not make them gone
		x.core.setListed(w.now, listOf(w.nodes))
	}
	w.run(goneAfter + time.Minute)
	is.Equal(w.nodes[0].stateOf("vm-040"), Uncertain)
	w.blocked = nil
	took = w.runUntil(30*time.Second, "healed", func(x *node) bool { return x.seesAll(Alive, names(w.nodes)...) })
	t.Logf("healed in %v", took)
}

func listOf(ns []*node) map[string]bool {
	m := map[string]bool{}
	for _, x := range ns {
		m[x.name] = true
	}
	return m
}

// Guards against a paused VM that takes the silence of its pause for the failure of all others, and against the others
// keeping it uncertain after it resumes.
func TestPausedMemberComesBack(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 16, 3)
	w.run(5 * time.Second)
	x := w.nodes[5]
	doubt := x.core.table["vm-003"].update(false)
	doubt.Health = suspect
	x.core.mergeUpdate(w.now, doubt, true) // the pause must not use up the time that a suspect has to refute
	x.down = true
	w.runUntil(time.Minute, "paused member uncertain", func(o *node) bool { return o.seesAll(Uncertain, x.name) })
	w.run(2 * time.Minute)
	x.down, w.exchanging = false, false
	is.True(!x.core.isCurrent(w.now)) // its table is out of date after the pause
	w.run(3 * tickInterval)
	is.True(!x.core.isCurrent(w.now))
	w.exchangeTables(x, w.nodes[0], false)
	is.True(x.core.isCurrent(w.now))
	is.True(x.seesAll(Alive, names(w.nodes)...)) // the pause makes no other member uncertain
	reachable, _ := x.core.reachable(w.now)
	is.Equal(reachable, len(w.nodes))
	w.runUntil(30*time.Second, "resumed member alive", func(o *node) bool { return o.seesAll(Alive, x.name) })
}

// Guards against a VM restarted without state being taken for its predecessor, also when the clock was set back.
func TestRestartWithEmptyMemory(t *testing.T) {
	for _, incarnation := range []uint64{5000, 1} {
		t.Run(fmt.Sprint(incarnation), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, 16, 4)
			w.run(5 * time.Second)
			w.nodes[7].core.announceGone(w.now)
			w.nodes[7].down = true
			w.runUntil(20*time.Second, "announced as gone", func(o *node) bool { return o.seesAll(Gone, "vm-007") })
			y := w.start("vm-007", incarnation)
			rejoined := false
			y.core.wasDeclaredGone = func() { rejoined = true }
			is.True(w.exchangeTables(y, w.nodes[2], true))
			w.runUntil(30*time.Second, "restarted member alive", func(o *node) bool {
				return o.seesAll(Alive, "vm-007") && o.seesAll(Alive, names(w.nodes)...)
			})
			is.Equal(rejoined, incarnation == 1)
		})
	}
}

// Guards against a failed join when the seed list names VMs that are gone or unknown: one live seed must be enough,
// without the store.
func TestStaleSeeds(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 12, 5)
	w.run(time.Second)
	w.nodes[0].down = true
	x := w.start("vm-new", 9000)
	is.True(!w.exchangeTables(x, w.nodes[0], true)) // the first seed does not answer
	is.True(w.exchangeTables(x, w.nodes[3], true))
	w.runUntil(10*time.Second, "joined", func(o *node) bool { return o.seesAll(Alive, "vm-new") })
	is.True(x.seesAll(Alive, "vm-011"))
}

// Guards against messages that grow with a mass failure, and against survivors that do not learn of it.
func TestDataCentreFails(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 128, 6)
	w.run(5 * time.Second)
	dead := w.nodes[:43]
	for _, x := range dead {
		x.down = true
	}
	for _, x := range w.nodes {
		x.bytes = 0
	}
	took := w.runUntil(2*time.Minute, "data centre uncertain", func(x *node) bool { return x.seesAll(Uncertain, names(dead)...) })
	for _, x := range w.nodes[43:] {
		is.True(x.seesAll(Alive, names(w.nodes[43:])...))
		is.True(float64(x.bytes)/took.Seconds() < 4096) // even while it spreads
	}
	t.Logf("seen by all in %v", took)
	for _, x := range w.nodes {
		x.core.setListed(w.now.Add(Period), listOf(w.nodes[43:]))
	}
	for i, x := range w.nodes {
		x.down = x.down || i < 100 || i > 110 // the long wait needs only some of the survivors
	}
	w.run(goneAfter + time.Minute)
	is.Equal(w.nodes[100].stateOf("vm-001"), Gone) // the platform no longer lists it
}

// Guards against a leaving VM that others still name to callers.
func TestLeavingIsAnnounced(t *testing.T) {
	w := newNetwork(t, 128, 7)
	w.run(5 * time.Second)
	w.loss = 0.02
	w.nodes[9].core.leave(w.now)
	took := w.runUntil(10*time.Second, "leaving known", func(x *node) bool { return x.seesAll(Leaving, "vm-009") })
	t.Logf("leaving known everywhere in %v", took)
}

// Guards against events that arrive later than 3 s, are delivered twice, or circulate for ever.
func TestEventsReachAllOnce(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 128, 8)
	w.run(5 * time.Second)
	w.loss = 0.05
	for i := range 5 {
		is.True(w.nodes[20*i].core.broadcast("test", []byte(fmt.Sprint(i))))
	}
	took := w.runUntil(3*time.Second, "events delivered", func(x *node) bool {
		for i := range 5 {
			if x != w.nodes[20*i] && x.events[fmt.Sprint(i)] == 0 {
				return false
			}
		}
		return true
	})
	t.Logf("5 events at 128 nodes with 5%% loss in %v", took)
	w.run(30 * time.Second)
	for _, x := range w.nodes {
		is.Equal(x.core.events.len(), 0) // each is repeated a bounded number of times
		for _, n := range x.events {
			is.Equal(n, 1)
		}
	}
}

// Guards against a configuration revision that does not reach all members, or that decreases.
func TestRevisionsSpread(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 32, 9)
	w.run(5 * time.Second)
	w.nodes[3].core.setRevision(w.now, 7)
	w.nodes[3].core.setRevision(w.now, 6)
	took := w.runUntil(3*time.Second, "newest revision", func(x *node) bool { return x.core.newestRevision == 7 })
	t.Logf("revision heard of everywhere in %v", took)
	for _, x := range w.nodes {
		x.core.setRevision(w.now, 7)
	}
	took = w.runUntil(time.Minute, "revisions in force", func(x *node) bool {
		for _, e := range x.core.table {
			if e.m.ConfigRevision != 7 {
				return false
			}
		}
		return true
	})
	t.Logf("all revisions in force known everywhere in %v", took)
	is.Equal(w.nodes[0].core.newestRevision, uint64(7))
}

// Guards against the window accepting an event twice or taking an event of an earlier process for a new one.
func TestWindowTakesEachOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w window
		seen, newest := map[[2]uint64]bool{}, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			id := [2]uint64{rapid.Uint64Range(1, 2).Draw(t, "boot"), rapid.Uint64Range(1, 100).Draw(t, "sequence")}
			first := w.markSeen(id[0], id[1])
			if first && (seen[id] || id[0] < newest) {
				t.Fatalf("event %v taken again", id)
			}
			if !first && !seen[id] && id[0] >= newest && w.newest-id[1] < windowSize {
				t.Fatalf("event %v not taken", id)
			}
			seen[id] = true
			newest = max(newest, id[0])
		}
	})
}

// Guards against members that stay unknown to others for a minute because the fleet has started at once.
func TestAFleetThatStartsAtOnceIsCompleteSoon(t *testing.T) {
	for seed := range uint64(40) {
		w := newNetwork(t, 0, seed)
		w.exchanging = false
		exchanges := map[*node]int{}
		const vms, seeds = 9, 3
		order := w.rng.Perm(vms) // of the starts, within 0.3 s
		exchangeAt := map[*node]time.Time{}
		byNumber := map[int]*node{}
		complete := func() bool {
			return !slices.ContainsFunc(w.nodes, func(x *node) bool { return !x.seesAll(Alive, names(w.nodes)...) })
		}
		for began := w.now; len(byNumber) < vms || !complete(); {
			if w.now.Sub(began) > 8*time.Second {
				t.Fatalf("seed %d: a table is not complete after 8 s", seed)
			}
			if len(byNumber) < vms {
				i := order[len(byNumber)]
				x := w.start(fmt.Sprintf("vm-%03d", i), uint64(1000+i))
				byNumber[i], exchangeAt[x] = x, w.now
			}
			for i := range vms { // the first exchange is with a seed, and repeated if that one is not up
				x := byNumber[i]
				if x == nil || w.now.Before(exchangeAt[x]) {
					continue
				}
				with := byNumber[w.rng.IntN(seeds)]
				if es := x.core.pickRandom(1, ""); exchanges[x] > 0 && len(es) > 0 {
					with = w.byAddr[es[0].m.Address]
				}
				exchangeAt[x] = w.now.Add(joinRetry)
				if with != nil && with != x {
					w.exchangeTables(x, with, exchanges[x] == 0)
					exchangeAt[x] = w.now.Add(tableInterval(exchanges[x]))
					exchanges[x]++
				}
			}
			w.run(tickInterval / 3)
		}
	}
}
