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
	readersPerS    = 30 // ordinary requests to each of the other VMs
	othersPerS     = 250
	othersClients  = 64
	downFor        = time.Second
	recoverWithin  = 12 * time.Second // recovery_s
	clientDeadline = 4 * time.Second  // of the ordinary requests
	judgedFor      = 10 * time.Second // requests sent so long after that
	leastShare     = 0.25             // of the requests that must be served
)

// reader is what an ordinary client has seen.
type reader struct {
	mu     sync.Mutex
	took   []time.Duration
	served int // with success within the client's deadline
	others int
}

func (r *reader) share() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.served) / float64(max(r.served+r.others, 1))
}

// playPlacements kills all VMs, as at the end of a day, and starts them again. Then clients that are not controlled use one VM, while
// ordinary clients use the two others.
func playPlacements(l *lab) (string, error) {
	if err := l.startFleet(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.heartbeat(stop)
	before := l.readFor(3 * time.Second)
	l.noteReaders("before the final fault", before)
	l.note("all processes are killed")
	for _, v := range l.vms {
		v.kill()
	}
	time.Sleep(downFor)
	for _, v := range l.vms {
		if err := l.launch(v); err != nil {
			return "", err
		}
	}
	back := time.Now()
	others := make(chan struct{})
	go func() {
		defer close(others)
		time.Sleep(time.Second)
		sent, statuses := l.sendAll(l.vms[0], load{clients: othersClients, total: 1 << 30, perSecond: othersPerS, limit: recoverWithin + judgedFor + clientDeadline, next: longPart}, func() bool { return false })
		l.note("%d requests of the other clients, all at %s, answers by status: %v", sent, l.vms[0].name, statuses)
	}()
	first := make(chan struct{})
	go func() {
		defer close(first)
		l.noteReaders(fmt.Sprintf("until %v after the VMs are back", recoverWithin), l.readFor(recoverWithin-time.Since(back)))
	}()
	time.Sleep(time.Until(back.Add(recoverWithin)))
	after := l.readFor(judgedFor)
	<-first
	l.noteReaders("later", after)
	<-others
	for _, v := range l.vms {
		if !v.running() {
			return "", fmt.Errorf("%s does not run", v.name)
		}
	}
	if before.share() < leastShare {
		return "", errNoFleet
	}
	if share := after.share(); share < leastShare {
		return fmt.Sprintf("RECOVER: of the requests that ordinary clients sent later than %v after the machines were back, %.1f%% were served, and %.1f%% before the "+
			"final fault", recoverWithin, 100*share, 100*before.share()), nil
	}
	return "", nil
}

// readFor sends ordinary requests to all VMs but the first for a time, and waits until their deadlines are over.
func (l *lab) readFor(d time.Duration) *reader {
	stop, seen := make(chan struct{}), &reader{}
	var clients sync.WaitGroup
	for _, v := range l.vms[1:] {
		clients.Go(func() { l.read(v, stop, seen) })
	}
	time.Sleep(d)
	close(stop)
	clients.Wait()
	return seen
}

// read sends ordinary requests to the plain service, each on a connection of its own.
func (l *lab) read(v *vm, stop chan struct{}, seen *reader) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / readersPerS * float64(time.Second))):
		}
		q := ordinary(n)[rand.IntN(2)]
		q.id = fmt.Sprintf("ordinary-%s-%s", v.name, q.id)
		requests.Go(func() {
			a := once(v.front, q)
			seen.mu.Lock()
			defer seen.mu.Unlock()
			seen.took = append(seen.took, a.took)
			if a.status == http.StatusOK && a.whole && a.took <= q.deadline {
				seen.served++
			} else {
				seen.others++
			}
		})
	}
}

// noteReaders notes what ordinary clients have seen.
func (l *lab) noteReaders(when string, seen *reader) {
	l.note("ordinary clients %s: %d served within their deadline, %d not; median %v, longest %v", when, seen.served, seen.others,
		percentile(seen.took, 0.5).Round(time.Millisecond), percentile(seen.took, 1).Round(time.Millisecond))
}
