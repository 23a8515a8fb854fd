package orders_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotcroft.example/bergamot/configuration"
	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// TestMain fixes the seed, so that CI runs are reproducible.
// A longer run: go test ./orders -run TestWorld -rapid.checks=2000 -rapid.steps=400 -rapid.seed=7.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "45", "rapid.steps": "250"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Guards against two VMs that consider themselves the holder of one lease, conflicting orders at an engine, a former holder's
// order that takes effect, a decreasing fencing number or revision, and new work under an unconfirmed configuration.
func TestWorld(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	steps, totals, codes := 0, [4]int{}, map[result.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		defer w.stop()
		actions := w.actions()
		actions[""] = func(t *rapid.T) {
			steps++
			w.check(t)
		}
		t.Repeat(actions)
		w.checkSettled(t)
		totals[0] += w.orders.done
		totals[1] += w.orders.failed
		totals[2] += w.late
		totals[3] += w.orders.conflicts
		for c, k := range w.codes {
			codes[c] += k
		}
	})
	t.Logf("steps %d, orders done %d, failed %d %v, sent after the lease lapsed %d, conflicts in the stated window %d",
		steps, totals[0], totals[1], codes, totals[2], totals[3])
	if steps < 10_000 && flag.Lookup("rapid.checks").Value.String() == "45" {
		t.Errorf("only %d steps", steps)
	}
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
	run := func(t *rapid.T) {
		w.run(t, time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
	}
	faults := []func(*rapid.T){
		func(t *rapid.T) {
			pick(t).paused = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
		},
		func(t *rapid.T) { w.kill(rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")) },
		func(t *rapid.T) {
			w.endPartitions()
			n := pick(t)
			n.cutStore, n.cutPeers = rapid.Bool().Draw(t, "store"), rapid.Bool().Draw(t, "peers")
			n.cutSince = w.now
		},
		func(t *rapid.T) { pick(t).leaving = true },
		func(t *rapid.T) { w.drawFaults(t) },
		func(t *rapid.T) { w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")].crash() },
		func(t *rapid.T) { w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")].hangs = true },
	}
	return map[string]func(*rapid.T){
		"run":      run,
		"run long": func(t *rapid.T) { w.run(t, time.Duration(rapid.IntRange(3, 12).Draw(t, "s"))*time.Second) },
		"fault":    func(t *rapid.T) { faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")](t) },
		"repair": func(*rapid.T) {
			w.endPartitions()
			w.faults = emulator.Faults{}
			w.store.SetFaults(w.faults)
		},
		"apply": func(t *rapid.T) { pick(t).apply++ },
	}
}

// checkSettled ends all faults and checks that each engine has the order in its record.
func (w *simulation) checkSettled(t *rapid.T) {
	w.noNewOrders, w.pauses = true, false
	w.endPartitions()
	w.store.SetFaults(emulator.Faults{})
	for _, e := range w.engines {
		e.hangs = false
	}
	w.run(t, 3*time.Minute)
	w.check(t)
	for _, e := range w.engines {
		o, err := w.store.Get(t.Context(), topo.KindOrder, e.name)
		if err != nil {
			continue // no order yet
		}
		r, _ := topo.Decode[topo.Order](o.Value)
		if r.State == topo.OrderOpen {
			t.Fatalf("order %s of %s is still open", r.ID, e.name)
		}
		if r.State == topo.OrderDone && e.order.ID != "" && e.order.ID != r.ID {
			t.Fatalf("%s has order %s, its record holds %s", e.name, e.order.ID, r.ID)
		}
	}
}

func (w *simulation) endPartitions() {
	for _, n := range w.nodes {
		n.cutStore, n.cutPeers = false, false
	}
}

func (w *simulation) drawFaults(t *rapid.T) {
	w.faults = emulator.Faults{}
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		w.faults.Down = true
	case 1:
		w.faults.LoseAnswers = 0.5
	case 2:
		w.faults.StaleReads, w.faults.StaleBy = 0.5, staleBy
	case 3:
		w.faults.WatchDelay, w.faults.WatchGaps = staleBy, 0.3
	}
	w.store.SetFaults(w.faults)
}

// run moves the clock forward in small steps. In each step, the activities that are due run in a drawn order.
func (w *simulation) run(t *rapid.T, d time.Duration) {
	order := rapid.Uint64().Draw(t, "order")
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		w.deliver()
		w.recordFault()
		w.checkHolders()
		order = order*6364136223846793005 + 1442695040888963407
		for i := range w.nodes {
			if w.nodes[i].ended {
				w.kill(i)
			}
			n := w.nodes[(i+int(order>>60))%len(w.nodes)]
			for j := range n.activities {
				a := n.activities[(j+int(order>>50))%len(n.activities)]
				if !a.dead && !n.isPaused() && !w.now.Before(a.wake) {
					a.resume()
				}
			}
		}
	}
}

// recordFault records the last time of a store outage or a partition.
func (w *simulation) recordFault() {
	fault := w.faults.Down
	for _, n := range w.nodes {
		fault = fault || n.cutStore || n.cutPeers
	}
	if fault {
		w.lastFault = w.now
	}
}

func (w *simulation) check(t *rapid.T) {
	for _, v := range w.violations {
		t.Fatalf("violation: %s", v)
	}
	for _, n := range w.nodes {
		f := n.config.Freshness()
		if f.Revision < n.revision {
			t.Fatalf("%s went back from revision %d to %d", n.name, n.revision, f.Revision)
		}
		n.revision = f.Revision
		if f.AllowsNewWork && !n.isPaused() {
			w.checkFreshness(t, n, f)
		}
	}
}

func (w *simulation) checkFreshness(t *rapid.T, n *node, f configuration.Freshness) {
	limit := maxUnconfirmed + maxUnconfirmed/5
	if n.cutStore && n.cutPeers && w.now.Sub(n.cutSince) > limit {
		t.Fatalf("%s is cut off for %s and takes new work", n.name, w.now.Sub(n.cutSince))
	}
	if w.now.Sub(w.lastFault) < 2*limit {
		return
	}
	for revision, at := range w.accepted {
		if revision > f.Revision && w.now.Sub(at) > limit+staleBy {
			t.Fatalf("%s takes new work on revision %d; %d was accepted %s ago", n.name, f.Revision, revision, w.now.Sub(at))
		}
	}
}
