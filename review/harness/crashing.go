//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	crashServers  = 6
	crashPause    = 4500 * time.Millisecond // between two comings of the crashing request
	crashDowntime = 2500 * time.Millisecond // until a crashed server is back
	entryLifetime = 3600 * time.Millisecond // an entry is removed after three silent heartbeats
	rollPause     = 1000 * time.Millisecond // between the restarts of two entry VMs
	otherWork     = 100 * time.Millisecond  // that an ordinary booking takes
	otherClients  = 12
	otherPause    = 50 * time.Millisecond
	allowedRuns   = 3 // later than stable_ms after the third crash
)

func init() { register("crashing-request", 3, crashingRequest) }

// crashingFleet holds the servers of the case, which come back after a crash.
type crashingFleet struct {
	r    *rig
	body string // of the crashing request

	mu       sync.Mutex
	starts   int
	arrivals []time.Time // of the crashing request at servers
	restarts sync.WaitGroup
	closed   bool
}

// began records a run of the crashing request.
func (f *crashingFleet) began(x serverRun) {
	if x.body != f.body {
		return
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, x.arrived)
	n := len(f.arrivals)
	f.mu.Unlock()
	f.r.note("run %d of the crashing request: attempt %s reaches server %s, which crashes", n, x.id, x.server)
}

// start starts a server under a new identifier.
func (f *crashingFleet) start(zone string) error {
	f.mu.Lock()
	f.starts++
	id := fmt.Sprintf("i-app-%d", f.starts)
	f.mu.Unlock()
	crashed := func() {
		f.restarts.Go(func() {
			time.Sleep(crashDowntime)
			f.mu.Lock()
			closed := f.closed
			f.mu.Unlock()
			if closed {
				return
			}
			if err := f.start(zone); err != nil {
				f.r.failed(err)
			}
			time.Sleep(entryLifetime - crashDowntime)
			f.r.store.objects.Delete("servers", id)
		})
	}
	_, err := f.r.startServer(serverOptions{
		id: id, zone: zone, began: f.began, crashed: crashed, work: func(string) time.Duration { return otherWork },
		crashes: func(body string) bool { return body == f.body },
	})
	return err
}

// crashingRequest lets a request come again and again that crashes each server that runs it, and all entry VMs restart in turn, as
// planned work, after its second and its fourth run. It checks how many of its runs reach servers later than stable_ms after it
// has crashed the third.
func crashingRequest(r *rig, trouble bool) (bool, error) {
	if err := r.store.objects.Put("config", "main", standin.Config(3, host, "other", 4*time.Second)); err != nil {
		return false, err
	}
	f := &crashingFleet{r: r, body: "a log that crashes servers"}
	for i := range crashServers {
		if err := f.start(fmt.Sprintf("zone-%d", i%len(r.vms))); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableBound)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var others sync.WaitGroup
	var sent, lost atomic.Int64
	for c := range otherClients { // ordinary bookings of other clients
		others.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				o := sendOne(r.vms[(c+n)%len(r.vms)], standin.Attempt{
					ID: fmt.Sprintf("b%03x%06x", c, n), Host: host, Path: "/once/booking", Deadline: 4 * time.Second,
				})
				if sent.Add(1); o.Status == http.StatusBadGateway || o.Status == http.StatusGatewayTimeout {
					lost.Add(1)
					r.note("booking %s is lost: status %d", o.ID, o.Status)
				}
				time.Sleep(otherPause)
			}
		})
	}

	comings := 0
	come := func(times int) {
		for range times {
			comings++
			a := standin.Attempt{ID: fmt.Sprintf("c%08x", comings), Host: host, Path: "/once/log", Body: f.body, Deadline: 4 * time.Second}
			v := r.vms[comings%len(r.vms)]
			o := sendOne(v, a)
			r.note("coming %d of the crashing request, at %s: status %d %s, error %v", comings, v.name, o.Status, o.Refusal, o.Err)
			time.Sleep(crashPause)
		}
	}
	roll := func() error {
		if !trouble {
			return nil
		}
		for _, v := range r.vms {
			if err := v.restart(); err != nil {
				return err
			}
			time.Sleep(rollPause)
		}
		time.Sleep(stableBound) // all entry VMs are in touch
		return nil
	}
	come(2)
	if err := roll(); err != nil {
		return false, err
	}
	come(2)
	if err := roll(); err != nil {
		return false, err
	}
	come(5)
	cancel()
	others.Wait()
	f.mu.Lock()
	f.closed = true
	arrivals := slices.SortedFunc(slices.Values(f.arrivals), time.Time.Compare)
	f.mu.Unlock()
	f.restarts.Wait()
	if len(arrivals) < 3 {
		return false, fmt.Errorf("only %d servers crashed", len(arrivals))
	}
	late := 0
	for _, at := range arrivals {
		if at.After(arrivals[2].Add(stableBound)) {
			late++
		}
	}
	r.note("%d of %d comings reached a server and crashed it, %d of them later than %s after the third crash, at %s; %d are allowed; %d of %d ordinary bookings were lost",
		len(arrivals), comings, late, stableBound, r.at(arrivals[2]), allowedRuns, lost.Load(), sent.Load())
	return late <= allowedRuns, nil
}
