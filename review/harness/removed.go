//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	watchCut      = 800 * time.Millisecond  // a watch that has waited for so long is cut off
	cutsBefore    = 5 * time.Second         // from the first cut to the first server that leaves
	removeRounds  = 6                       // servers that leave, one after the other
	removeServers = 4                       // of the service
	bookingDelay  = 2400 * time.Millisecond // from the removal of an entry to the next bookings: longer than drain_ms
	lingerTime    = time.Second             // the server serves for drain_ms and this little longer, then exits
	roundPause    = 3 * time.Second
	roundBookings = 12
	bookingTime   = 700 * time.Millisecond // that a booking takes at its server
)

func init() { register("removed-server", 3, removedServer) }

// removedServer replaces servers that never report that they drain, while the store cuts off watches that wait. It checks that no
// booking that a client sends later than drain_ms after the removal of a server's entry reaches that server.
func removedServer(r *rig, trouble bool) (bool, error) {
	if err := r.store.objects.Put("config", "main", standin.Config(3, host, "other", 4*time.Second)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var runs []serverRun
	ended := func(x serverRun) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, x)
	}
	start := func(n int) (*server, error) {
		return r.startServer(serverOptions{
			id: fmt.Sprintf("i-app-%d", n), zone: fmt.Sprintf("zone-%d", n%len(r.vms)), ended: ended,
			work: func(string) time.Duration { return bookingTime },
		})
	}
	var servers []*server
	for n := range removeServers {
		s, err := start(n)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableBound) // all entry VMs are in touch
	if trouble {
		r.store.cutWatches(watchCut)
		r.note("the store cuts off each watch that has waited for %s", watchCut)
	}
	time.Sleep(cutsBefore)

	removed := map[string]time.Time{} // by server
	var outcomes []standin.Outcome
	for round := range removeRounds {
		s, err := start(removeServers + round) // the new server starts first
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		time.Sleep(roundPause / 3)
		id, leaving := fmt.Sprintf("i-app-%d", round), servers[round]
		leaving.leaving.Store(true)
		r.store.objects.Delete("servers", id)
		removed[id] = time.Now()
		r.note("%s leaves: the store has accepted the removal of its entry; %d watches were cut off so far", id, r.store.cutCount())
		exited := make(chan struct{})
		time.AfterFunc(drainBound+lingerTime, func() {
			defer close(exited)
			leaving.exit()
			r.note("%s exits", id)
		})
		time.Sleep(bookingDelay)
		var clients sync.WaitGroup
		for c := range roundBookings {
			clients.Go(func() {
				o := sendOne(r.vms[c%len(r.vms)], standin.Attempt{
					ID: fmt.Sprintf("%04x%06x", round+1, c+1), Host: host, Path: "/once/booking", Deadline: 4 * time.Second,
				})
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			})
		}
		clients.Wait()
		<-exited
		time.Sleep(roundPause)
	}

	mu.Lock()
	defer mu.Unlock()
	sent := map[string]standin.Outcome{}
	lost := 0
	for _, o := range outcomes {
		sent[o.ID] = o
		if o.Status != http.StatusOK || !o.Whole {
			lost++
		}
		r.note("booking %s sent at %s: status %d, whole %v, error %v", o.ID, r.at(o.Sent), o.Status, o.Whole, o.Err)
	}
	slices.SortFunc(runs, func(a, b serverRun) int { return a.arrived.Compare(b.arrived) })
	late := 0
	for _, x := range runs {
		o, known := sent[x.id]
		at, left := removed[x.server]
		r.note("booking %s reaches %s at %s and runs; answered: %v", x.id, x.server, r.at(x.arrived), x.whole)
		if !known || !left || !o.Sent.After(at.Add(drainBound)) {
			continue
		}
		late++
		r.note("broken: booking %s, sent %s after the removal of %s, reaches it; its client gets status %d", x.id,
			o.Sent.Sub(at).Round(time.Millisecond), x.server, o.Status)
	}
	r.note("%d bookings, %d of them without a whole answer; %d reached a server and were sent later than %s after its removal",
		len(outcomes), lost, late, drainBound)
	if len(runs) == 0 {
		return false, fmt.Errorf("no booking reached a server")
	}
	return late == 0, nil
}

// sendOne sends one attempt on a connection of its own.
func sendOne(v *vm, a standin.Attempt) standin.Outcome {
	c, err := dialVM(v)
	if err != nil {
		return standin.Outcome{Attempt: a, Err: err}
	}
	defer c.Close()
	return c.Do(a)
}
