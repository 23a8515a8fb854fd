// Package fleet runs the upstreams of a fleet file as emulated servers: each engine and each server of a plain service listens on its
// own port, in the order of the file.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/emulator/service"
	"bergamotcroft.example/bergamot/replay"
	"bergamotcroft.example/bergamot/topo"
)

// AddressRange is the host and the ports on which the upstreams of a fleet listen.
type AddressRange struct {
	Host      string
	FirstPort int // of the first upstream; the others use the ports after it
}

// Upstreams returns the fleet's upstreams with their addresses.
func (p AddressRange) Upstreams(f *replay.Fleet) []topo.Upstream {
	list := slices.Clone(f.Upstreams)
	for i := range list {
		list[i].Address = net.JoinHostPort(p.Host, strconv.Itoa(p.FirstPort+i))
	}
	return list
}

// Servers is a set of running emulated upstreams.
type Servers struct {
	engines  []*engine.Engine
	services []*service.Service
}

// Close stops all upstreams and breaks their connections.
func (r *Servers) Close() {
	for _, e := range r.engines {
		e.Close()
	}
	for _, s := range r.services {
		s.Close()
	}
}

// Emulated durations.
const (
	loadModelTime = 2 * time.Second
	serviceTime   = 20 * time.Millisecond
)

// Start starts the named upstreams, or all if no name is given.
func Start(f *replay.Fleet, p AddressRange, names ...string) (*Servers, error) {
	r := &Servers{}
	ledger := service.NewLedger()
	for _, u := range p.Upstreams(f) {
		if len(names) > 0 && !slices.Contains(names, u.Name) {
			continue
		}
		if err := r.start(u, ledger); err != nil {
			r.Close()
			return nil, trace.Wrap(err, "upstream %s", u.Name)
		}
	}
	if len(r.engines)+len(r.services) == 0 {
		return nil, trace.NotFound("the fleet has no upstream of this name")
	}
	return r, nil
}

func (r *Servers) start(u topo.Upstream, ledger *service.Ledger) error {
	if u.Kind == topo.KindService {
		s := service.New(service.Options{Spec: u, Delay: serviceTime}, ledger)
		r.services = append(r.services, s)
		return s.Start(u.Address)
	}
	e := engine.New(engine.Options{Spec: u, LoadModel: loadModelTime})
	r.engines = append(r.engines, e)
	return e.Start(u.Address)
}

// Configuration returns the entry VMs' configuration for the fleet: all its models and services, and one account with the key. POST
// routes of services are not idempotent.
func Configuration(f *replay.Fleet, p AddressRange, caller, key string) *topo.Configuration {
	sum := sha256.Sum256([]byte(key))
	c := &topo.Configuration{
		Upstreams: p.Upstreams(f),
		Accounts:  []topo.Account{{Caller: caller, KeySHA: []string{hex.EncodeToString(sum[:])}}},
	}
	models, services := map[string]bool{}, map[string]bool{}
	for _, u := range c.Upstreams {
		for _, m := range u.Models {
			if !models[m] {
				models[m] = true
				c.Models = append(c.Models, topo.Model{Name: m})
			}
		}
		if s := u.Service; s != "" && !services[s] {
			services[s] = true
			c.Services = append(c.Services, topo.Service{Name: s, Routes: []topo.Route{
				{Method: "GET", PathPrefix: "/", Idempotent: true}, {Method: "POST", PathPrefix: "/"},
			}})
		}
	}
	return c
}
