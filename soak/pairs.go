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

const (
	lateRequestGap  = 100 * time.Millisecond // between requests over new connections, and after each answer on a kept one
	keptConnections = 8
	hangupEvery     = 8                      // requests over new connections
	lateSlack       = 500 * time.Millisecond // of half of the deadlines, over the time of the work
)

// lateRequest draws a booking or a stream of 0.3 to 3 s, or of up to 5.1 s on a route with a longer limit. The body of every second one
// comes in chunks, of these three in four up to 1.2 s after the head.
func lateRequest(rng *rand.Rand, name string) (class string, a standin.Attempt) {
	class = []string{"once", "stream", "resume"}[rng.IntN(3)]
	path, work := "/"+class+"/x", time.Duration(300+rng.IntN(10)*300)*time.Millisecond
	if class != "resume" && rng.IntN(2) == 0 {
		path = map[string]string{"once": "/long/x", "stream": "/long-stream/x"}[class]
		work = time.Duration(300+rng.IntN(17)*300) * time.Millisecond
	}
	id := class + "-late-" + name
	a = standin.Attempt{ID: id, Host: host, Path: path, Body: standin.WorkBody(work, id), Deadline: clientDeadline, Streams: class != "once",
		Chunked: rng.IntN(2) == 0}
	if a.Chunked {
		a.BodyDelay = time.Duration(rng.IntN(4)) * 400 * time.Millisecond
	}
	if rng.IntN(2) == 0 {
		a.Deadline = a.BodyDelay + work + lateSlack
	}
	return class, a
}

// stopUnderWork stops an entry VM as planned while clients go on sending it bookings and streams: over new connections, and over
// kept ones, each idle for a part of the stop and then used until the process is gone.
func (fl *fleet) stopUnderWork(f fault, e *entryVM, hangups bool) {
	var all, kept sync.WaitGroup
	send := func(conn *standin.Conn, kind string, k, n int) standin.Outcome {
		rng := rand.New(rand.NewPCG(fl.options.Seed^uint64(f.at), uint64(1000*k+n)))
		class, a := lateRequest(rng, fmt.Sprintf("%s%d-%d-%d-%d-%s", kind, k, n, f.target, f.at.Milliseconds(), e.name))
		return fl.call(conn, e, class, a)
	}
	stopping := make(chan time.Time)
	for k := range keptConnections {
		kept.Add(1)
		all.Go(func() {
			conn, err := fl.openKept(e, fmt.Sprintf("read-kept%d-%d-%d-%s", k, f.target, f.at.Milliseconds(), e.name))
			kept.Done()
			begun := <-stopping
			for n := 0; err == nil && time.Since(begun) < stopGrace; n++ {
				if n == 0 {
					time.Sleep(time.Until(begun.Add(time.Duration(k) * stopGrace / keptConnections)))
				}
				if o := send(conn, "k", k, n); !o.Reusable {
					_ = conn.Close()
					conn, err = standin.Dial(context.Background(), e.callers.address())
				}
				time.Sleep(lateRequestGap)
			}
			if err == nil {
				_ = conn.Close()
			}
		})
	}
	kept.Wait()
	if hangups {
		fl.hangUp(e)
	}
	begun := time.Now()
	e.disturb(stopGrace + settleTime)
	fl.recordPlannedStop(e, begun, begun.Add(stopGrace))
	e.signal(syscall.SIGTERM)
	for range keptConnections {
		stopping <- begun
	}
	for n := 0; time.Since(begun) < stopGrace; n++ {
		all.Go(func() {
			conn, err := standin.Dial(context.Background(), e.callers.address())
			if err != nil {
				return // the process has ended
			}
			defer conn.Close()
			send(conn, "n", keptConnections, n)
		})
		if time.Sleep(lateRequestGap); hangups && n%hangupEvery == hangupEvery-1 {
			fl.hangUp(e)
		}
	}
	e.signal(syscall.SIGKILL)
	all.Wait()
	fl.restartEntry(e)
}

// openKept connects to an entry VM and sends it a first request.
func (fl *fleet) openKept(e *entryVM, id string) (*standin.Conn, error) {
	conn, err := standin.Dial(context.Background(), e.callers.address())
	if err != nil {
		return nil, err
	}
	fl.call(conn, e, "read", standin.Attempt{ID: id, Host: host, Path: "/read/x", Deadline: clientDeadline})
	return conn, nil
}

// hangUp sends an entry VM SIGHUP.
func (fl *fleet) hangUp(e *entryVM) {
	now := time.Now()
	fl.observed.mu.Lock()
	fl.observed.hangups[e.name] = append(fl.observed.hangups[e.name], interval{now, now.Add(configWithin)})
	fl.observed.mu.Unlock()
	e.signal(syscall.SIGHUP)
}

// overlapStops stops two to four entry VMs under work, or a tenth of them if that is more, each before the one before has ended and
// with SIGHUP before and in between, while a server stalls and the configuration changes.
func (fl *fleet) overlapStops(f fault) {
	var all sync.WaitGroup
	all.Go(func() {
		turn := fl.targetLock("server", f.target%len(fl.nodes))
		turn.Lock()
		defer turn.Unlock()
		s := fl.currentServer(fl.targetNode(f))
		s.SetFault(standin.ServerStalls)
		time.Sleep(stopGrace)
		s.SetFault(standin.ServerNoFault)
	})
	for k := range min(max(2+f.target%3, len(fl.entries)/10), len(fl.entries)-1) {
		i := (f.target + k) % len(fl.entries)
		all.Go(func() {
			turn := fl.targetLock("process", i)
			turn.Lock()
			defer turn.Unlock()
			fl.stopUnderWork(f, fl.entries[i], true)
		})
		time.Sleep(f.duration)
		all.Go(func() {
			turn := fl.targetLock("config", 0)
			turn.Lock()
			defer turn.Unlock()
			fl.writeConfiguration()
		})
	}
	all.Wait()
}

const (
	falseContinuers = 3 // servers; each phase has a sound one beside
	brokenStreams   = 24
)

// falseContinuations lets some servers break streams and continue those of others with something else, while streams begin.
func (fl *fleet) falseContinuations(f fault) {
	variant := standin.ServerContinuesWithText + standin.ServerFault(f.target%5)
	var all sync.WaitGroup
	for i := range falseContinuers {
		n := fl.streamNode(f.target + i)
		turn := fl.targetLock("server", slices.Index(fl.nodes, n))
		turn.Lock()
		defer turn.Unlock()
		s := fl.currentServer(n)
		s.SetFault(variant)
		defer s.SetFault(standin.ServerNoFault)
	}
	for k := range brokenStreams {
		e := fl.entries[(f.target+k)%len(fl.entries)]
		all.Go(func() { fl.beginAndTakeUpAt(f, k, e, e) })
		time.Sleep(f.duration / brokenStreams)
	}
	all.Wait()
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
