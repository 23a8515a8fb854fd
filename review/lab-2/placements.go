//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["placements"] = playPlacements }

const (
	readersPerS   = 30 // ordinary requests to each of the other VMs
	othersPerS    = 600
	othersClients = 64
	judgedFor     = 30 * time.Second
	settled       = 6 * time.Second // config_ms, stable_ms and one more second
	leastLater    = 20              // requests on routes that were added later, from which the rule holds
	leastShare    = 0.25            // of how often the first routes are served
)

// routeShare is how often the requests of a route were served.
type routeShare struct{ served, all int }

func (r routeShare) share() float64 { return float64(r.served) / float64(max(r.all, 1)) }

// reader is what ordinary clients have seen.
type reader struct {
	mu     sync.Mutex
	took   []time.Duration
	byPath map[string]routeShare
}

// playPlacements adds a route, and has ordinary clients use it and the first routes at two VMs, while clients that are not controlled use
// the third VM.
func playPlacements(l *lab) (string, error) {
	if err := l.startFleet(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.heartbeat(stop)
	l.added = true
	if err := l.configure(8); err != nil {
		return "", err
	}
	l.note("the store has acknowledged a version that adds the route /later/")
	time.Sleep(settled)
	before := l.readFor(3 * time.Second)
	l.noteReaders("before the other clients", before)
	others := make(chan routeShare)
	go func() {
		sent, statuses := l.sendAll(l.vms[0], load{clients: othersClients, total: 1 << 30, perSecond: othersPerS, limit: judgedFor, next: longPart}, func() bool { return false })
		l.note("%d requests of the other clients on a first route, all at %s, answers by status: %v", sent, l.vms[0].name, statuses)
		others <- routeShare{statuses[http.StatusOK], sent}
	}()
	during := l.readFor(judgedFor)
	l.noteReaders("beside the other clients", during)
	first, later := <-others, during.byPath["/later/x"]
	first.served += during.byPath["/once/x"].served
	first.all += during.byPath["/once/x"].all
	for _, v := range l.vms {
		if !v.running() {
			return "", fmt.Errorf("%s does not run", v.name)
		}
	}
	if before.byPath["/later/x"].share() < 1 || later.all < leastLater {
		return "", errNoFleet
	}
	l.note("beside the other clients: %.3f of %d requests on the route that was added later were served, %.3f of %d on the first routes", later.share(), later.all, first.share(), first.all)
	if later.share() < leastShare*first.share() {
		return fmt.Sprintf("CONFIG: of %d requests on the route that was added later %.1f%% were served, of %d on the first routes %.1f%%", later.all, 100*later.share(),
			first.all, 100*first.share()), nil
	}
	return "", nil
}

// readFor sends ordinary requests to all VMs but the first for a time, and waits until their deadlines are over.
func (l *lab) readFor(d time.Duration) *reader {
	stop, seen := make(chan struct{}), &reader{byPath: map[string]routeShare{}}
	var clients sync.WaitGroup
	for _, v := range l.vms[1:] {
		clients.Go(func() { l.read(v, stop, seen) })
	}
	time.Sleep(d)
	close(stop)
	clients.Wait()
	return seen
}

// read sends bookings on two routes to the plain service, each on a connection of its own.
func (l *lab) read(v *vm, stop chan struct{}, seen *reader) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / readersPerS * float64(time.Second))):
		}
		q := ordinary(n)[0]
		q.path = []string{"/once/x", "/later/x"}[rand.IntN(2)]
		requests.Go(func() {
			a := once(v.front, q)
			seen.mu.Lock()
			defer seen.mu.Unlock()
			seen.took = append(seen.took, a.took)
			r := seen.byPath[q.path]
			r.all++
			if a.status == http.StatusOK && a.whole && a.took <= q.deadline {
				r.served++
			}
			seen.byPath[q.path] = r
		})
	}
}

// noteReaders notes what ordinary clients have seen.
func (l *lab) noteReaders(when string, seen *reader) {
	for path, r := range seen.byPath {
		l.note("ordinary requests %s on %s: %d of %d served within their deadline", when, path, r.served, r.all)
	}
	l.note("they took %v in the middle and %v at most", percentile(seen.took, 0.5).Round(time.Millisecond), percentile(seen.took, 1).Round(time.Millisecond))
}
