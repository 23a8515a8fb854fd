package server_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/emulator/engine"
	emulator "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/topo"
)

// cluster is a group of entry VMs that share one platform.
type cluster struct {
	*fleet
	store *emulator.Store
	admin *configuration.Node
	vms   []*vm
}

// startCluster starts n entry VMs and waits until each has all of them in its member table.
func (f *fleet) startCluster(n int) *cluster {
	f.t.Helper()
	c := &cluster{fleet: f, store: emulator.New(emulator.Options{WatchTimeout: time.Second})}
	c.admin = configuration.New(configuration.Options{Store: c.store, Name: "test"})
	c.apply(func(to *topo.Configuration) {
		base := to.Revision
		*to = *f.config
		to.Revision = base
	})
	var seeds []string
	for i := range n {
		v := f.startStore(c.store, func(s *settings.Settings) {
			s.Name, s.Peers.Listen, s.Peers.Secret, s.Peers.Seeds = fmt.Sprint("vm", i+1), "127.0.0.1:0", "secret", seeds
		})
		c.vms = append(c.vms, v)
		seeds = append(seeds, v.PeerAddress())
	}
	f.eventually("the entry VMs know one another", func() bool {
		for _, v := range c.vms {
			if len(v.Members()) != n {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) apply(change func(*topo.Configuration)) {
	c.t.Helper()
	_, err := c.admin.Update(c.t.Context(), "test", func(to *topo.Configuration) error {
		change(to)
		return nil
	})
	c.must(err)
}

// Guards against a poison request that two entry VMs run at the same time and that crashes more than two engines in total.
func TestPoisonAtTwoEntryVMsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"), fastEngine("e2"), fastEngine("e3"), fastEngine("e4"), fastEngine("e5"))
	c := f.startCluster(3)
	// Both executions begin before the first one crashes its engine.
	var begun sync.WaitGroup
	begun.Add(2)
	var mu sync.Mutex
	seen := map[string]bool{}
	for _, e := range f.engines {
		e.OnStream(func(p engine.Point) engine.Fault {
			mu.Lock()
			first := p.Index == 0 && !seen[p.RequestID] && len(seen) < 2
			seen[p.RequestID] = true
			mu.Unlock()
			if first {
				begun.Done()
			}
			begun.Wait()
			return engine.Crash
		})
	}
	var wg sync.WaitGroup
	for _, v := range c.vms[:2] {
		wg.Go(func() {
			code, execution := v.do("POST", "/v1/completions", prompt("bad", 5, false)).refusal()
			if code != result.Quarantined || execution == result.Ran {
				t.Error("not quarantined:", code, execution)
			}
		})
	}
	wg.Wait()
	f.eventually("the third entry VM refuses it as well", func() bool {
		code, _ := c.vms[2].do("POST", "/v1/completions", prompt("bad", 5, false)).refusal()
		return code == result.Quarantined
	})
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Counts().Crashes
	}
	is.Equal(crashes, 2)
}

// Guards against a booking that runs twice when its caller repeats it at another entry VM, with either kind of key, and
// against a key that is accepted for a different booking.
func TestKeysAcrossEntryVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.addService("b1")
	f.addService("b2")
	c := f.startCluster(3)
	issued := c.vms[0].do("POST", "/v1/keys", "")
	is.Equal(issued.status, http.StatusOK)
	key := string(issued.body[len(`{"key":"`) : len(issued.body)-len(`"}`)])
	for i, k := range []string{"chosen", key} {
		body := fmt.Sprintf(`{"key":"run-%d"}`, i)
		var first []byte
		for _, v := range c.vms {
			var r reply
			f.eventually("the outcome is recorded", func() bool { // the claim is updated shortly after the first answer
				r = v.do("POST", "/services/booking/bookings", body, gateway.HeaderKey, k)
				code, _ := r.refusal()
				return code != result.KeyInProgress
			})
			is.Equal(r.status, http.StatusOK)
			if first == nil {
				first = r.body
			}
			is.Equal(string(r.body), string(first)) // the recorded answer
		}
		is.Equal(f.ledger.Runs(fmt.Sprint("run-", i)), 1)
		code, _ := c.vms[1].do("POST", "/services/booking/bookings", `{"key":"other"}`, gateway.HeaderKey, k).refusal()
		is.Equal(code, result.KeyMismatch)
	}
	is.Equal(f.ledger.Runs("other"), 0)
}

// Guards against an outage of the store that interrupts serving, and against a request with a caller's key that runs without a
// recorded claim.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"))
	f.addService("b1")
	c := f.startCluster(2)
	c.store.SetFaults(emulator.Faults{Down: true})
	v := c.vms[0]
	v.openStream(prompt("outage", 9, true)).readAll().isComplete(t, expectedText("outage", 9))
	r := v.do("POST", "/services/booking/bookings", `{"key":"k"}`, gateway.HeaderKey, "chosen")
	code, execution := r.refusal()
	is.Equal(code, result.ClaimUnavailable)
	is.Equal(execution, result.NotRun)
	is.Equal(f.ledger.Runs("k"), 0)
	issued := v.do("POST", "/v1/keys", "")
	key := string(issued.body[len(`{"key":"`) : len(issued.body)-len(`"}`)])
	is.Equal(v.do("POST", "/services/booking/bookings", `{"key":"k"}`, gateway.HeaderKey, key).status, http.StatusOK)
	is.Equal(f.ledger.Runs("k"), 1)
}

// Guards against a withdrawn engine that still gets work and against a configuration change that does not reach every entry VM.
func TestConfigurationReachesAllEntryVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastEngine("e1"), fastEngine("e2"))
	c := f.startCluster(3)
	c.apply(func(to *topo.Configuration) { to.Upstreams[0].State = topo.UpstreamWithdrawn })
	for _, v := range c.vms {
		f.eventually("revision 2 is in force", func() bool {
			return v.get("/v1/models").header.Get(gateway.HeaderRevision) == "2"
		})
	}
	before := len(f.engines[0].Counts().Starts)
	for i := range 10 {
		for _, v := range c.vms {
			is.Equal(v.do("POST", "/v1/completions", prompt(fmt.Sprint(i), 2, false)).status, http.StatusOK)
		}
	}
	is.Equal(len(f.engines[0].Counts().Starts), before)
}
