//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

// Figures of the disruption answer_lost as the site file has them, and of the traffic.
const (
	lossShare       = 0.6             // of the servers lose answers
	lossRate        = 0.4             // of the requests that they ran
	lossTime        = 4 * time.Second // of one disruption
	lossPause       = time.Second     // between two disruptions
	lossRounds      = 18
	lostServers     = 10
	bookingWork     = 10 * time.Millisecond
	readWork        = 450 * time.Millisecond
	bookingClients  = 24
	readClients     = 10
	clientPauseMean = 300 * time.Millisecond
	maxAttempts     = 2 // of the route "/read/"
	allowedBeyond   = 3 // requests that may run on more servers than maxAttempts
	readDeadline    = 4 * time.Second
)

func init() { register("lost-answers", 3, lostAnswers) }

// lostAnswers lets servers lose answers and checks on how many servers each attempt of a client runs.
func lostAnswers(r *rig, trouble bool) (bool, error) {
	if err := r.store.objects.Put("config", "main", standin.Config(3, host, "other", readDeadline)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	starts := map[string][]serverRun{}
	began := func(x serverRun) {
		mu.Lock()
		defer mu.Unlock()
		starts[x.id] = append(starts[x.id], x)
	}
	work := func(path string) time.Duration {
		if strings.HasPrefix(path, "/read/") {
			return readWork
		}
		return bookingWork
	}
	var servers []*server
	for i := range lostServers {
		s, err := r.startServer(serverOptions{id: fmt.Sprintf("i-app-%d", i), zone: fmt.Sprintf("zone-%d", i%len(r.vms)), began: began, work: work})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableBound)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var sent, whole atomic.Int64
	for c := range bookingClients + readClients {
		path := "/once/booking"
		if c >= bookingClients {
			path = "/read/status"
		}
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				o := sendOne(r.vms[(c+n)%len(r.vms)], standin.Attempt{
					ID: fmt.Sprintf("%04x%06x", c+1, n), Host: host, Path: path, Deadline: readDeadline,
				})
				sent.Add(1)
				if o.Whole && o.Status == http.StatusOK {
					whole.Add(1)
				}
				time.Sleep(time.Duration(rand.Float64() * 2 * float64(clientPauseMean)))
			}
		})
	}
	time.Sleep(lossPause)
	for round := range lossRounds {
		if trouble {
			rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
			for _, s := range servers[:int(lossShare*lostServers)] {
				s.loses.Store(true)
				r.note("round %d: %s loses the answers of %.0f of 100 requests for %s", round+1, s.opts.id, 100*lossRate, lossTime)
			}
		}
		time.Sleep(lossTime)
		for _, s := range servers {
			s.loses.Store(false)
		}
		time.Sleep(lossPause)
	}
	cancel()
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	beyond := 0
	for id, list := range starts {
		var on []string
		for _, x := range list {
			if !slices.Contains(on, x.server) {
				on = append(on, x.server)
			}
		}
		if len(on) <= maxAttempts {
			continue
		}
		beyond++
		for n, x := range list {
			r.note("attempt %s: run %d at %s on %s, answer lost: %v", id, n+1, r.at(x.arrived), x.server, x.lost)
		}
	}
	r.note("%d attempts, %d answered whole; %d of them ran on more than %d servers; %d are allowed", sent.Load(), whole.Load(), beyond, maxAttempts, allowedBeyond)
	if sent.Load() == 0 {
		return false, fmt.Errorf("no traffic")
	}
	return beyond <= allowedBeyond, nil
}
