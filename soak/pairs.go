package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// The faults of this file consist of two that break promises only together, at moments that separate draws rarely hit.

const (
	// stableTime is how long after a silence of connections the users' bounds apply again.
	stableTime = 3 * time.Second
	// silenceGap is the time between two silences of one fault.
	silenceGap = 1300 * time.Millisecond
)

// silenceStore makes all open connections to the store silent, lets change follow within a second, and then up to two more
// silences. It returns the time of the last silence.
func (fl *fleet) silenceStore(f fault, change func()) (last time.Time) {
	silence := func() {
		for _, e := range fl.entries {
			e.store.silence()
		}
		last = time.Now()
	}
	silence()
	time.Sleep(time.Duration(f.target%10) * 100 * time.Millisecond)
	change()
	for range f.target / 10 % 3 {
		time.Sleep(silenceGap)
		silence()
	}
	return last
}

// removeAfterSilence removes the entry of a server that has not reported draining, just after connections to the store went silent.
func (fl *fleet) removeAfterSilence(f fault) {
	n := fl.targetNode(f)
	id, removed := n.currentID(), time.Time{}
	last := fl.silenceStore(f, func() {
		fl.store.Delete("servers", id)
		removed = time.Now()
	})
	fl.observed.mu.Lock()
	fl.observed.leavingSince[id] = laterOf(removed, last.Add(stableTime-leavingWithin))
	fl.observed.mu.Unlock()
	time.Sleep(leavingWithin + stableTime)
	fl.currentServer(n).Crash()
	fl.reportError(fl.startNode(n))
}

// changeAfterSilence changes the configuration just after connections to the store have gone silent.
func (fl *fleet) changeAfterSilence(f fault) {
	last := fl.silenceStore(f, fl.writeConfiguration)
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	c := &fl.observed.routeChanges[len(fl.observed.routeChanges)-1]
	c.boundFrom = laterOf(c.boundFrom, last.Add(stableTime-configWithin))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateBookingGap is the time between two bookings at an entry VM that stops.
const lateBookingGap = 100 * time.Millisecond

// stopUnderWork stops an entry VM as planned while clients go on sending it bookings, over new connections, that take up to 3 s.
func (fl *fleet) stopUnderWork(f fault) {
	e := fl.targetEntry(f)
	work := time.Duration(300+f.target%10*300) * time.Millisecond
	begun := time.Now()
	e.disturb(stopGrace + settleTime)
	fl.recordPlannedStop(e, begun, begun.Add(stopGrace))
	e.signal(syscall.SIGTERM)
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < stopGrace; n++ {
		all.Go(func() {
			conn, err := standin.Dial(context.Background(), e.callers.address())
			if err != nil {
				return // the process has ended
			}
			defer conn.Close()
			id := fmt.Sprintf("once-late-%d-%d-%d", f.target, f.at.Milliseconds(), n)
			fl.call(conn, e, "once", standin.Attempt{ID: id, Host: host, Path: "/once/x", Body: standin.WorkBody(work, id), Deadline: clientDeadline})
		})
		time.Sleep(lateBookingGap)
	}
	e.signal(syscall.SIGKILL)
	all.Wait()
	fl.restartEntry(e)
}

const (
	restartComings = 8 // of a crashing request
	comingGap      = 700 * time.Millisecond
)

// crashOverRestarts sends a request that crashes servers again and again, and restarts all entry VMs after each one to three comings.
func (fl *fleet) crashOverRestarts(f fault) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(f.at)))
	body := fmt.Sprintf("%srestarts %d at %s", standin.CrashingPrefix, f.target, f.at)
	between := 1 + f.target%3
	for n := range restartComings {
		e := fl.entries[rng.IntN(len(fl.entries))]
		if conn, err := standin.Dial(context.Background(), e.callers.address()); err == nil {
			id := fmt.Sprintf("once-restarts-%d-%d-%d", f.target, f.at.Milliseconds(), n)
			fl.call(conn, e, "once", standin.Attempt{ID: id, Host: host, Path: "/once/x", Body: body, Deadline: clientDeadline})
			_ = conn.Close()
		}
		time.Sleep(comingGap)
		if n%between == between-1 && n < restartComings-1 {
			fl.killAllEntries()
			time.Sleep(stableTime)
		}
	}
	fl.restarts.Wait()
}

const (
	minPauseInRelease = time.Second
	streamsInRelease  = 32
	breakAfter        = 200 * time.Millisecond
)

// releaseDuringPause pauses an entry VM while servers of a new version join, begins streams at the other entry VMs, breaks them and takes
// them up at the paused one.
func (fl *fleet) releaseDuringPause(f fault) {
	paused := fl.targetEntry(f)
	var others []*entryVM
	for _, e := range fl.entries {
		if e != paused {
			others = append(others, e)
		}
	}
	pause := minPauseInRelease + f.duration
	paused.disturb(pause + settleTime)
	paused.signal(syscall.SIGSTOP)
	resumed := make(chan struct{})
	time.AfterFunc(pause, func() {
		paused.signal(syscall.SIGCONT)
		close(resumed)
	})
	fl.mu.Lock()
	fl.releases++
	version := fmt.Sprintf("v%d", 1+fl.releases)
	fl.mu.Unlock()
	for i := range 2 {
		fl.replaceServer(fl.streamNode(f.target+i), version)
	}
	var all sync.WaitGroup
	for k := range streamsInRelease {
		all.Go(func() { fl.beginAndTakeUpAt(f, k, others[k%len(others)], paused) })
		time.Sleep(pause / streamsInRelease)
		if k%4 == 3 {
			fl.breakStreams()
		}
	}
	time.Sleep(breakAfter)
	fl.breakStreams()
	all.Wait()
	<-resumed
}

// replaceServer replaces a server at once by one of a version.
func (fl *fleet) replaceServer(n *node, version string) {
	turn := fl.targetLock("server", slices.Index(fl.nodes, n))
	turn.Lock()
	defer turn.Unlock()
	fl.recordLinkDisturbance(n, time.Second)
	id := n.currentID()
	n.mu.Lock()
	n.version = version
	n.mu.Unlock()
	fl.currentServer(n).Crash()
	n.link.reset()
	fl.store.Delete("servers", id)
	fl.reportError(fl.startNode(n))
}

// breakStreams resets the connections to all servers that stream.
func (fl *fleet) breakStreams() {
	for _, n := range fl.nodes {
		if n.streams {
			fl.recordLinkDisturbance(n, time.Second)
			n.link.reset()
		}
	}
}

// beginAndTakeUpAt begins a stream at an entry VM and takes it up at another one until that has answered.
func (fl *fleet) beginAndTakeUpAt(f fault, k int, at, takeUpAt *entryVM) {
	conn, err := standin.Dial(context.Background(), at.callers.address())
	if err != nil {
		return // the entry VM is down
	}
	id := fmt.Sprintf("%s-release-%d-%d-%d", standin.LongAnswerPrefix, f.target, f.at.Milliseconds(), k)
	first := fl.call(conn, at, "resume", standin.Attempt{ID: id, Host: host, Path: "/resume/x", Deadline: clientDeadline, Streams: true})
	_ = conn.Close()
	if !brokenOff(&first) || first.Events == 0 {
		return
	}
	if conn, err = standin.Dial(context.Background(), takeUpAt.callers.address()); err != nil {
		return
	}
	defer conn.Close()
	fl.call(conn, takeUpAt, "resume", standin.Attempt{
		ID: id + "-t1", Host: first.Host, Path: first.Path, Body: first.Text(), Deadline: clientDeadline, Streams: true, After: first.Events, Resumes: first.ID,
	})
}
