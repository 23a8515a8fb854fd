//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	configBound   = 2 * time.Second // config_ms
	staleRounds   = 5
	staleServers  = 3                                 // of each of the two services
	staleFirst    = stableBound + 50*time.Millisecond // from the silence to the first request
	staleLast     = 5 * time.Second
	staleInterval = 50 * time.Millisecond // between two requests at each entry VM
	staleWork     = 10 * time.Millisecond
	staleRest     = 3 * time.Second
)

func init() { register("stale-configuration", 3, staleConfiguration) }

// staleConfiguration lets the open connections to the store go silent once in each round, just before the operator moves a route to
// another service. It checks that no request that a client sends later than config_ms after the change was acknowledged, when all
// entry VMs are in touch again, is run by the old service.
func staleConfiguration(r *rig, trouble bool) (bool, error) {
	proxy, err := newSilentProxy(r.store.address())
	if err != nil {
		return false, err
	}
	defer proxy.close()
	r.storeAddress = proxy.listener.Addr().String()
	for i, v := range r.vms {
		if err := r.writeSettings(v, i); err != nil {
			return false, err
		}
	}
	version, services := uint64(3), []string{"app", "other"}
	if err := r.store.objects.Put("config", "main", standin.Config(version, host, services[0], 4*time.Second)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ranBy := map[string]string{} // service by attempt
	for i := range staleServers {
		for _, service := range services {
			began := func(x serverRun) {
				mu.Lock()
				defer mu.Unlock()
				ranBy[x.id] = service
			}
			if _, err := r.startServer(serverOptions{
				id: fmt.Sprintf("i-%s-%d", service, i), zone: fmt.Sprintf("zone-%d", i%len(r.vms)), service: service, began: began,
				work: func(string) time.Duration { return staleWork },
			}); err != nil {
				return false, err
			}
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * stableBound)

	stale, all := 0, 0
	for round := range staleRounds {
		service := services[(round+1)%2]
		silentAt := time.Now()
		if trouble {
			proxy.silence()
			r.note("the open connections to the store go silent; new ones work")
		}
		time.Sleep(silentRemoval)
		version += 2
		if err := r.store.objects.Put("config", "main", standin.Config(version, host, service, 4*time.Second)); err != nil {
			return false, err
		}
		changed := time.Now()
		r.note("the store has accepted version %d, which moves the route to %s", version, service)
		time.Sleep(time.Until(silentAt.Add(staleFirst)))
		var clients sync.WaitGroup
		for c, v := range r.vms {
			clients.Go(func() {
				for n := 0; time.Since(silentAt) < staleLast; n++ {
					o := sendOne(v, standin.Attempt{ID: fmt.Sprintf("%02x%02x%06x", round+1, c+1, n), Host: host, Path: "/moving/order", Deadline: 4 * time.Second})
					mu.Lock()
					by := ranBy[o.ID]
					all++
					if by != "" && by != service && o.Sent.After(changed.Add(configBound)) {
						stale++
						r.note("broken: attempt %s, sent to %s %s after the acknowledgement, is run by %s (status %d)", o.ID, v.name,
							o.Sent.Sub(changed).Round(time.Millisecond), by, o.Status)
					}
					if o.Status != http.StatusOK {
						r.note("attempt %s: status %d, error %v", o.ID, o.Status, o.Err)
					}
					mu.Unlock()
					time.Sleep(staleInterval)
				}
			})
		}
		clients.Wait()
		time.Sleep(staleRest)
	}
	r.note("%d requests, %d of them run by the old service later than %s after the acknowledgement", all, stale, configBound)
	if len(ranBy) == 0 {
		return false, fmt.Errorf("no request reached a server")
	}
	return stale == 0, nil
}
