package soak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// fault is one disturbance of a plan. Series of the same kind and overlaps are part of each plan.
type fault struct {
	at     time.Duration // from the start of traffic
	kind   string
	target int // entry VM or upstream, modulo their number
	lasts  time.Duration
}

// cut cuts a link one way or both, and heals it when the fault ends.
func (f fault) cut(p *proxy) {
	p.setCut([]cut{cutBoth, cutToTarget, cutFromTarget}[f.target%3])
	time.Sleep(f.lasts)
	p.setCut(cutNone)
}

// settleAfter is how long after a fault the timed promises are not judged at what it touched: the time in which connections end, entry
// VMs find one another again and the store's changes are caught up with.
const settleAfter = 6 * time.Second

// kinds are all faults by name. An entry VM that is stopped as planned counts as disturbed for the timed promises only.
var kinds = map[string]func(w *world, f fault){
	"entry-kill": func(w *world, f fault) {
		e := w.target(f)
		e.disturb(f.lasts + settleAfter)
		e.signal(syscall.SIGKILL)
		time.Sleep(f.lasts)
		w.restart(e)
	},
	"entry-stop": func(w *world, f fault) {
		e := w.target(f)
		e.disturb(stopGrace + settleAfter)
		w.planned(e, time.Now(), time.Now().Add(stopGrace))
		e.signal(syscall.SIGTERM)
		time.Sleep(stopGrace)
		e.signal(syscall.SIGKILL)
		w.restart(e)
	},
	"entry-pause": func(w *world, f fault) {
		e := w.target(f)
		e.disturb(f.lasts + settleAfter)
		e.signal(syscall.SIGSTOP)
		time.Sleep(f.lasts)
		e.signal(syscall.SIGCONT)
	},
	"entry-hup":   func(w *world, f fault) { w.target(f).signal(syscall.SIGHUP) },
	"entry-reset": func(w *world, f fault) { w.target(f).disturb(settleAfter); w.target(f).callers.reset() },
	"entry-cut": func(w *world, f fault) {
		e := w.target(f)
		e.disturb(f.lasts + settleAfter)
		f.cut(e.callers)
	},
	"store-down":   func(w *world, f fault) { w.storeFault(f, standin.StoreDown) },
	"store-busy":   func(w *world, f fault) { w.storeFault(f, standin.StoreBusy) },
	"store-slow":   func(w *world, f fault) { w.storeFault(f, standin.StoreSlow) },
	"store-forget": func(w *world, _ fault) { w.store.Forget() },
	"store-lost":   func(w *world, f fault) { w.store.LoseAnswers(1 + f.target%4) },
	"store-cut": func(w *world, f fault) { // one entry VM
		e := w.target(f)
		e.disturb(f.lasts + settleAfter)
		f.cut(e.store)
	},
	"store-silence": func(w *world, f fault) { w.target(f).store.silence() },
	"server-crash": func(w *world, f fault) {
		n := w.node(f)
		w.disturbLink(n, f.lasts)
		w.server(n).Crash()
		n.link.reset()
		time.Sleep(f.lasts)
		w.store.Delete("servers", n.id)
		w.check(w.startNode(n))
	},
	"server-stall": func(w *world, f fault) { // also beyond a route's time limit
		f.lasts *= 3
		w.serverFault(f, standin.ServerStalls)
	},
	"server-errors":   func(w *world, f fault) { w.serverFault(f, standin.ServerErrors) },
	"server-truncate": func(w *world, f fault) { w.serverFault(f, standin.ServerTruncate) },
	"server-repeats":  func(w *world, f fault) { w.serverFault(f, standin.ServerRepeats) },
	"server-endless": func(w *world, f fault) {
		variants := []standin.ServerFault{standin.ServerEndlessHead, standin.ServerEndlessInterim, standin.ServerEndlessBody, standin.ServerEndlessComments}
		w.serverFault(f, variants[f.target/len(w.nodes)%len(variants)])
	},
	"store-endless": func(w *world, f fault) { w.storeFault(f, standin.StoreEndless) },
	"server-leave": func(w *world, f fault) {
		n := w.node(f)
		s := w.server(n)
		w.check(w.store.Put("servers", n.id, s.Entry(n.link.address(), n.zone, "draining", time.Now().UnixMilli())))
		w.leaving(n.id)
		time.Sleep(leavingWithin + f.lasts)
		w.store.Delete("servers", n.id)
		time.Sleep(time.Second)
		s.Crash()
		w.check(w.startNode(n))
	},
	"server-says-leaving": func(w *world, f fault) { // the store does not
		n := w.node(f)
		s := w.server(n)
		s.SayLeaving()
		time.Sleep(leavingWithin + f.lasts)
		w.disturbLink(n, time.Second)
		s.Crash()
		n.link.reset()
		w.store.Delete("servers", n.id)
		w.check(w.startNode(n))
	},
	"server-quiet": func(w *world, f fault) {
		f.lasts += time.Second
		n := w.node(f)
		w.book.quiets(n, f.lasts)
		w.server(n).AskForQuiet(f.lasts)
		time.Sleep(f.lasts)
	},
	"request-crash": func(w *world, f fault) { w.crashingClient(f) },
	"link-reset":    func(w *world, f fault) { w.node(f).link.reset() },
	"link-silence": func(w *world, f fault) {
		n := w.node(f)
		w.disturbLink(n, settleAfter)
		n.link.silence()
	},
	"link-delay": func(w *world, f fault) {
		n := w.node(f)
		w.disturbLink(n, f.lasts)
		n.link.setDelay(40 * time.Millisecond)
		time.Sleep(f.lasts)
		n.link.setDelay(0)
	},
	"link-cut": func(w *world, f fault) {
		n := w.node(f)
		w.disturbLink(n, f.lasts)
		f.cut(n.link)
	},
	"config-change": func(w *world, _ fault) { w.configure() },
	"config-storm": func(w *world, f fault) {
		for range 4 {
			w.configure()
			time.Sleep(f.lasts / 8)
		}
	},
}

// Kinds returns the names of all faults in order.
func Kinds() []string {
	return slices.Sorted(maps.Keys(kinds))
}

// newPlan draws faults for a time. The same seed draws the same faults.
func newPlan(seed uint64, total time.Duration, only []string) []fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	names := Kinds()
	if len(only) > 0 {
		names = only
	}
	var plan []fault
	for at := 500 * time.Millisecond; at < total; {
		f := fault{at: at, kind: names[rng.IntN(len(names))], target: rng.IntN(1 << 16), lasts: time.Duration(300+rng.IntN(2500)) * time.Millisecond}
		plan = append(plan, f)
		for n := rng.IntN(4); n > 2; n-- { // a series
			f.at += time.Duration(200+rng.IntN(1500)) * time.Millisecond
			f.target++
			plan = append(plan, f)
		}
		at += time.Duration(100+rng.IntN(1800)) * time.Millisecond
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// play carries a plan out and waits until all of it has ended.
func (w *world) play(plan []fault) {
	start := time.Now()
	var all sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.at)))
		all.Go(func() {
			// Faults of one target take turns where they would undo one another.
			if l := w.lockOf(f); l != nil {
				l.Lock()
				defer l.Unlock()
			}
			kinds[f.kind](w, f)
		})
	}
	all.Wait()
}

// lockOf returns the lock of what a fault starts and ends, or nil for one that may overlap with all.
func (w *world) lockOf(f fault) *sync.Mutex {
	switch f.kind {
	case "entry-kill", "entry-stop", "entry-pause", "entry-hup":
		return w.turn("process", f.target%len(w.entry))
	case "entry-cut":
		return w.turn("callers", f.target%len(w.entry))
	case "store-cut":
		return w.turn("store", f.target%len(w.entry))
	case "store-down", "store-busy", "store-slow", "store-endless":
		return w.turn("store", -1)
	case "server-crash", "server-leave", "server-stall", "server-errors", "server-truncate", "server-repeats", "server-endless",
		"server-says-leaving", "server-quiet":
		return w.turn("server", f.target%len(w.nodes))
	case "link-cut", "link-delay":
		return w.turn("link", f.target%len(w.nodes))
	case "config-change", "config-storm":
		return w.turn("config", 0)
	}
	return nil
}

// crashingRepeats are sent one after the other, each through a random entry VM.
const crashingRepeats = 10

// crashingClient sends a request that ends each server that runs it, again and again, and waits until the servers are back.
func (w *world) crashingClient(f fault) {
	rng := rand.New(rand.NewPCG(w.o.Seed, uint64(f.at)))
	class := classes[f.target%len(classes)]
	body := fmt.Sprintf("%s%d at %s", standin.Crashing, f.target, f.at)
	for n := range crashingRepeats {
		e := w.entry[rng.IntN(len(w.entry))]
		conn, err := standin.Dial(context.Background(), e.callers.address())
		if err != nil {
			continue // the entry VM is down
		}
		a := standin.Attempt{ID: fmt.Sprintf("%s-crash-%d-%d-%d", class, f.target, f.at.Milliseconds(), n), Host: host, Path: "/" + class + "/x",
			Body: body, Deadline: clientDeadline, Streams: class == "stream" || class == "resume"}
		w.call(conn, e, class, a)
		_ = conn.Close()
		time.Sleep(f.lasts / crashingRepeats)
	}
	w.revivals.Wait()
}

func (w *world) turn(what string, i int) *sync.Mutex {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprint(what, i)
	if w.turns[key] == nil {
		w.turns[key] = &sync.Mutex{}
	}
	return w.turns[key]
}

func (w *world) target(f fault) *entry { return w.entry[f.target%len(w.entry)] }
func (w *world) node(f fault) *node    { return w.nodes[f.target%len(w.nodes)] }

func (w *world) server(n *node) *standin.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// loading is the time in which a program's runtime starts and a signal ends it, whatever the program does.
const loading = 100 * time.Millisecond

func (w *world) restart(e *entry) {
	w.check(w.start(e))
	time.Sleep(loading)
}

// check reports an error of the soak itself.
func (w *world) check(err error) {
	if err != nil {
		w.report("soak", err.Error())
	}
}

func (w *world) storeFault(f fault, fault standin.StoreFault) {
	for _, e := range w.entry {
		e.disturb(f.lasts + settleAfter)
	}
	w.store.SetFault(fault)
	time.Sleep(f.lasts)
	w.store.SetFault(standin.StoreSound)
}

func (w *world) serverFault(f fault, fault standin.ServerFault) {
	n := w.node(f)
	s := w.server(n)
	w.disturbLink(n, f.lasts)
	s.SetFault(fault)
	time.Sleep(f.lasts)
	s.SetFault(standin.ServerSound)
}
