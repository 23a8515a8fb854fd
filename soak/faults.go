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

// fault is one disturbance of a plan. A plan has overlapping faults and series of the same kind.
type fault struct {
	at       time.Duration // from the start of traffic
	kind     string
	target   int // entry VM or upstream, modulo their number
	duration time.Duration
}

// cutLink blocks a link in one direction or both, and restores it when the fault ends.
func (f fault) cutLink(p *proxy) {
	p.setCut([]cutDirection{cutBoth, cutToTarget, cutFromTarget}[f.target%3])
	time.Sleep(f.duration)
	p.setCut(cutNone)
}

// settleTime is how long after a fault the timed promises are not judged for the entry VMs or the upstream that it disturbed: connections
// end, entry VMs rediscover one another and catch up with the store's changes in this time.
const settleTime = 6 * time.Second

// kinds maps the name of each fault to the function that injects it. A planned stop of an entry VM counts as a disturbance for the timed
// promises only.
var kinds = map[string]func(fl *fleet, f fault){
	"entry-kill": func(fl *fleet, f fault) {
		e := fl.targetEntry(f)
		e.disturb(f.duration + settleTime)
		e.signal(syscall.SIGKILL)
		time.Sleep(f.duration)
		fl.restartEntry(e)
	},
	"entry-stop": func(fl *fleet, f fault) {
		e := fl.targetEntry(f)
		e.disturb(stopGrace + settleTime)
		fl.recordPlannedStop(e, time.Now(), time.Now().Add(stopGrace))
		e.signal(syscall.SIGTERM)
		time.Sleep(stopGrace)
		e.signal(syscall.SIGKILL)
		fl.restartEntry(e)
	},
	"entry-pause": func(fl *fleet, f fault) {
		e := fl.targetEntry(f)
		e.disturb(f.duration + settleTime)
		e.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		e.signal(syscall.SIGCONT)
	},
	"entry-hup":   func(fl *fleet, f fault) { fl.hangUp(fl.targetEntry(f)) },
	"entry-reset": func(fl *fleet, f fault) { fl.targetEntry(f).disturb(settleTime); fl.targetEntry(f).callers.reset() },
	"entry-cut": func(fl *fleet, f fault) {
		e := fl.targetEntry(f)
		e.disturb(f.duration + settleTime)
		f.cutLink(e.callers)
	},
	"store-down":    func(fl *fleet, f fault) { fl.storeFault(f, standin.StoreDown) },
	"store-busy":    func(fl *fleet, f fault) { fl.storeFault(f, standin.StoreBusy) },
	"store-slow":    func(fl *fleet, f fault) { fl.storeFault(f, standin.StoreSlow) },
	"store-forget":  func(fl *fleet, _ fault) { fl.store.Forget() },
	"store-lost":    func(fl *fleet, f fault) { fl.store.LoseAnswers(1 + f.target%4) },
	"store-restore": func(fl *fleet, f fault) { fl.restoreStore(f) },
	"store-cut": func(fl *fleet, f fault) { // between the store and one entry VM
		e := fl.targetEntry(f)
		e.disturb(f.duration + settleTime)
		f.cutLink(e.store)
	},
	"store-silence": func(fl *fleet, f fault) { fl.targetEntry(f).store.silence() },
	"server-crash": func(fl *fleet, f fault) {
		n := fl.targetNode(f)
		fl.recordLinkDisturbance(n, f.duration)
		fl.currentServer(n).Crash()
		n.link.reset()
		time.Sleep(f.duration)
		fl.store.Delete("servers", n.id)
		fl.reportError(fl.startNode(n))
	},
	"server-stall": func(fl *fleet, f fault) { // may last longer than a route's time limit
		f.duration *= 3
		fl.serverFault(f, standin.ServerStalls)
	},
	"server-errors":   func(fl *fleet, f fault) { fl.serverFault(f, standin.ServerErrors) },
	"server-truncate": func(fl *fleet, f fault) { fl.serverFault(f, standin.ServerTruncate) },
	"server-repeats":  func(fl *fleet, f fault) { fl.serverFault(f, standin.ServerRepeats) },
	"server-endless": func(fl *fleet, f fault) {
		variants := []standin.ServerFault{standin.ServerEndlessHead, standin.ServerEndlessInterim, standin.ServerEndlessBody, standin.ServerEndlessComments}
		fl.serverFault(f, variants[f.target/len(fl.nodes)%len(variants)])
	},
	"store-endless": func(fl *fleet, f fault) { fl.storeFault(f, standin.StoreEndless) },
	"server-leave":  func(fl *fleet, f fault) { fl.stopServer(fl.targetNode(f), f.duration) },
	"release":       func(fl *fleet, f fault) { fl.releaseServers(f) },
	"herd-kill":     func(fl *fleet, _ fault) { fl.killAllEntries() },
	"server-says-leaving": func(fl *fleet, f fault) { // the store's record does not show it
		n := fl.targetNode(f)
		s := fl.currentServer(n)
		s.AnnounceLeaving()
		time.Sleep(leavingWithin + f.duration)
		fl.recordLinkDisturbance(n, time.Second)
		s.Crash()
		n.link.reset()
		fl.store.Delete("servers", n.id)
		fl.reportError(fl.startNode(n))
	},
	"server-quiet": func(fl *fleet, f fault) {
		f.duration += time.Second
		n := fl.targetNode(f)
		fl.observed.recordQuietPeriod(n, f.duration)
		fl.currentServer(n).AskForBackOff(f.duration)
		time.Sleep(f.duration)
	},
	"server-limit": func(fl *fleet, f fault) { // the limit rises halfway
		f.duration += limitSettleTime
		n := fl.targetNode(f)
		perSecond := 0.5 * float64(1+f.target/len(fl.nodes)%8)
		for _, limit := range []float64{perSecond, 2 * perSecond} {
			fl.observed.recordLimitPeriod(n, limit, f.duration)
			fl.currentServer(n).SetLimit(limit)
			time.Sleep(f.duration)
		}
		fl.currentServer(n).SetLimit(0)
	},
	"request-crash": func(fl *fleet, f fault) { fl.sendCrashingRequests(f) },
	"part-crash":    func(fl *fleet, f fault) { fl.sendCrashingPart(f) },
	"link-reset": func(fl *fleet, f fault) {
		n := fl.targetNode(f)
		fl.recordLinkDisturbance(n, 0)
		n.link.reset()
	},
	"link-silence": func(fl *fleet, f fault) {
		n := fl.targetNode(f)
		fl.recordLinkDisturbance(n, settleTime)
		n.link.silence()
	},
	"link-delay": func(fl *fleet, f fault) {
		n := fl.targetNode(f)
		fl.recordLinkDisturbance(n, f.duration)
		n.link.setDelay(40 * time.Millisecond)
		time.Sleep(f.duration)
		n.link.setDelay(0)
	},
	"link-cut": func(fl *fleet, f fault) {
		n := fl.targetNode(f)
		fl.recordLinkDisturbance(n, f.duration)
		f.cutLink(n.link)
	},
	"silent-removal":     func(fl *fleet, f fault) { fl.removeAfterSilence(f) },
	"silent-change":      func(fl *fleet, f fault) { fl.changeAfterSilence(f) },
	"stop-under-work":    func(fl *fleet, f fault) { fl.stopUnderWork(f, fl.targetEntry(f), false) },
	"stops-overlap":      func(fl *fleet, f fault) { fl.overlapStops(f) },
	"false-continuation": func(fl *fleet, f fault) { fl.falseContinuations(f) },
	"crash-restarts":     func(fl *fleet, f fault) { fl.crashOverRestarts(f) },
	"paused-release":     func(fl *fleet, f fault) { fl.releaseDuringPause(f) },
	capacityKind:         func(fl *fleet, f fault) { fl.reclaimCapacity(f) },
	"slow-readers":       func(fl *fleet, f fault) { fl.slowReaders(f) },
	"config-change":      func(fl *fleet, _ fault) { fl.writeConfiguration() },
	"config-storm": func(fl *fleet, f fault) {
		for range 4 {
			fl.writeConfiguration()
			time.Sleep(f.duration / 8)
		}
	},
}

// Kinds returns the names of all faults, sorted.
func Kinds() []string {
	return slices.Sorted(maps.Keys(kinds))
}

// newPlan draws random faults that start before length has passed. The same seed gives the same plan.
func newPlan(seed uint64, length time.Duration, only []string) []fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	names := Kinds()
	if len(only) > 0 {
		names = only
	}
	var plan []fault
	for at := 500 * time.Millisecond; at < length; {
		f := fault{at: at, kind: names[rng.IntN(len(names))], target: rng.IntN(1 << 16), duration: time.Duration(300+rng.IntN(2500)) * time.Millisecond}
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

// injectFaults carries out a plan and waits until all of its faults have ended.
func (fl *fleet) injectFaults(plan []fault) {
	start := time.Now()
	var all sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.at)))
		all.Go(func() {
			// Faults of one target run one at a time where the end of one would undo another.
			if l := fl.lockFor(f); l != nil {
				l.Lock()
				defer l.Unlock()
			}
			kinds[f.kind](fl, f)
		})
	}
	all.Wait()
}

// lockFor returns the lock of the target that a fault changes and restores, or nil if the fault may overlap with all others.
func (fl *fleet) lockFor(f fault) *sync.Mutex {
	switch f.kind {
	case "entry-kill", "entry-stop", "entry-pause", "entry-hup", "stop-under-work", "paused-release":
		return fl.targetLock("process", f.target%len(fl.entries))
	case "entry-cut":
		return fl.targetLock("callers", f.target%len(fl.entries))
	case "store-cut":
		return fl.targetLock("store", f.target%len(fl.entries))
	case "store-down", "store-busy", "store-slow", "store-endless", "store-restore":
		return fl.targetLock("store", -1)
	case "server-crash", "server-leave", "server-stall", "server-errors", "server-truncate", "server-repeats", "server-endless",
		"server-says-leaving", "server-quiet", "server-limit", "silent-removal":
		return fl.targetLock("server", f.target%len(fl.nodes))
	case "link-cut", "link-delay":
		return fl.targetLock("link", f.target%len(fl.nodes))
	case "false-continuation": // locks several servers
		return fl.targetLock("continuation", 0)
	case "config-change", "config-storm", "silent-change":
		return fl.targetLock("config", 0)
	}
	return nil
}

// crashingAttempts is the number of times a crashing request is sent, one after the other, each through a random entry VM.
const crashingAttempts = 10

// sendCrashingRequests repeatedly sends a request that crashes each server that runs it, and waits until the servers are back.
func (fl *fleet) sendCrashingRequests(f fault) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(f.at)))
	class := classes[f.target%len(classes)]
	body := fmt.Sprintf("%s%d at %s", standin.CrashingPrefix, f.target, f.at)
	for n := range crashingAttempts {
		e := fl.entries[rng.IntN(len(fl.entries))]
		conn, err := standin.Dial(context.Background(), e.callers.address())
		if err != nil {
			continue // the entry VM is down
		}
		a := standin.Attempt{ID: fmt.Sprintf("%s-crash-%d-%d-%d", class, f.target, f.at.Milliseconds(), n), Host: host, Path: "/" + class + "/x",
			Body: body, Deadline: clientDeadline, Streams: class == "stream" || class == "resume"}
		fl.call(conn, e, class, a)
		_ = conn.Close()
		time.Sleep(f.duration / crashingAttempts)
	}
	fl.restarts.Wait()
}

const (
	restoreOutage     = 300 * time.Millisecond
	restoreHeartbeats = 20 // of all servers between the copy and the restoration, each a revision that is given out again
	rewriteDelay      = 500 * time.Millisecond
)

// restoreStore sets the store back to a copy from before a change of the configuration and some heartbeats. A server leaves later on.
func (fl *fleet) restoreStore(f fault) {
	saved := fl.store.Copy()
	for range restoreHeartbeats {
		fl.store.Touch("servers")
		time.Sleep(f.duration / restoreHeartbeats)
	}
	fl.writeConfiguration()
	for _, e := range fl.entries {
		e.disturb(restoreOutage + rewriteDelay + settleTime)
	}
	fl.store.SetFault(standin.StoreDown)
	time.Sleep(restoreOutage)
	rewrite := fl.store.Restore(saved, "servers", "config")
	fl.store.SetFault(standin.StoreNoFault)
	time.Sleep(rewriteDelay)
	rewrite()
	time.Sleep(settleTime)
	server := fl.targetLock("server", f.target%len(fl.nodes))
	server.Lock()
	defer server.Unlock()
	fl.stopServer(fl.targetNode(f), f.duration)
}

// stopServer stops a server as planned: it announces in the store that it leaves, and another one takes its place.
func (fl *fleet) stopServer(n *node, duration time.Duration) {
	s := fl.currentServer(n)
	fl.reportError(fl.store.Put("servers", n.id, s.Entry(n.link.address(), n.zone, "draining", time.Now().UnixMilli())))
	fl.recordLeaving(n.id)
	time.Sleep(leavingWithin + duration)
	fl.store.Delete("servers", n.id)
	time.Sleep(time.Second)
	fl.recordLinkDisturbance(n, time.Second) // it may still be at work
	s.Crash()
	fl.reportError(fl.startNode(n))
}

// Requests with a crashing part are sent for longer than the time within which all entry VMs must know the part.
const (
	crashingPartAttempts = 26
	crashingPartGap      = 400 * time.Millisecond
)

// sendCrashingPart sends different requests with one part that crashes servers, each through a random entry VM, and waits until
// the servers are back.
func (fl *fleet) sendCrashingPart(f fault) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(f.at)))
	part := fmt.Sprintf("%s%x%x", standin.CrashingPartPrefix, f.target, f.at.Milliseconds())
	var all sync.WaitGroup
	for n := range crashingPartAttempts {
		e, class := fl.entries[rng.IntN(len(fl.entries))], []string{"stream", "resume"}[rng.IntN(2)]
		all.Go(func() {
			conn, err := standin.Dial(context.Background(), e.callers.address())
			if err != nil {
				return // the entry VM is down
			}
			defer conn.Close()
			fl.call(conn, e, class, standin.Attempt{ID: fmt.Sprintf("%s-%s-%d", class, part, n), Host: host, Path: "/" + class + "/x",
				CrashingPart: part, Deadline: clientDeadline, Streams: true})
		})
		time.Sleep(crashingPartGap)
	}
	all.Wait()
	fl.restarts.Wait()
}

// targetLock returns the lock of one target of a kind, and creates it at its first use.
func (fl *fleet) targetLock(kind string, index int) *sync.Mutex {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	key := fmt.Sprint(kind, index)
	if fl.targetLocks[key] == nil {
		fl.targetLocks[key] = &sync.Mutex{}
	}
	return fl.targetLocks[key]
}

func (fl *fleet) targetEntry(f fault) *entryVM { return fl.entries[f.target%len(fl.entries)] }
func (fl *fleet) targetNode(f fault) *node     { return fl.nodes[f.target%len(fl.nodes)] }

func (fl *fleet) currentServer(n *node) *standin.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// processStartup is the time in which the Go runtime of a new process starts; a signal ends the process then, whatever it handles.
const processStartup = 100 * time.Millisecond

func (fl *fleet) restartEntry(e *entryVM) {
	fl.reportError(fl.startEntry(e))
	time.Sleep(processStartup)
}

// reportError reports an error of the soak test itself.
func (fl *fleet) reportError(err error) {
	if err != nil {
		fl.report("soak", err.Error())
	}
}

func (fl *fleet) storeFault(f fault, fault standin.StoreFault) {
	for _, e := range fl.entries {
		e.disturb(f.duration + settleTime)
	}
	fl.store.SetFault(fault)
	time.Sleep(f.duration)
	fl.store.SetFault(standin.StoreNoFault)
}

func (fl *fleet) serverFault(f fault, fault standin.ServerFault) {
	n := fl.targetNode(f)
	s := fl.currentServer(n)
	fl.recordLinkDisturbance(n, f.duration)
	s.SetFault(fault)
	time.Sleep(f.duration)
	s.SetFault(standin.ServerNoFault)
}
