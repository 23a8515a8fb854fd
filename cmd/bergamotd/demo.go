package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/emulator/engine"
	"bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/emulator/service"
	"bergamotcroft.example/bergamot/server"
	"bergamotcroft.example/bergamot/settings"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

const (
	demoKey         = "demo-key"
	demoOperatorKey = "demo-operator-key"
	demoEngines     = 9
	demoServers     = 4
)

// demoFleet holds the emulated platform, engines and services of the demo.
type demoFleet struct {
	engines  []*engine.Engine
	services []*service.Service
	store    *platform.Store
	platform net.Listener
}

func (f *demoFleet) close() {
	if f.platform != nil {
		_ = f.platform.Close()
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.services {
		s.Close()
	}
}

// startFleet starts engines of different speeds and booking servers in three data centres, and the platform.
func startFleet() (*demoFleet, error) {
	f := &demoFleet{}
	centres := []string{"wien-a", "wien-b", "linz"}
	for i := range demoEngines {
		speed := 1 + 0.25*float64(i%4)
		e := engine.New(engine.Options{LoadModel: 2 * time.Second, Spec: topo.Upstream{
			Name: fmt.Sprintf("e%d", i+1), DataCentre: centres[i%len(centres)], Models: []string{"assistant@1"},
			PrefillTokensPerSecond: 8000 * speed, DecodeTokensPerSecond: 1200 * speed, MaxBatch: 32, KVPieces: 400,
			RoleChangeMS: 3000, ReportLagMS: 500, ChecksFencing: i%3 != 0,
		}})
		if err := e.Start("127.0.0.1:0"); err != nil {
			return f, trace.Wrap(err)
		}
		f.engines = append(f.engines, e)
	}
	ledger := service.NewLedger()
	for i := range demoServers {
		s := service.New(service.Options{Delay: 20 * time.Millisecond, Spec: topo.Upstream{
			Name: fmt.Sprintf("b%d", i+1), DataCentre: centres[i%len(centres)], Service: "booking", MaxBatch: 16,
		}}, ledger)
		if err := s.Start("127.0.0.1:0"); err != nil {
			return f, trace.Wrap(err)
		}
		f.services = append(f.services, s)
	}
	return f, f.startPlatform()
}

// startPlatform serves the platform's API and accepts the first configuration.
func (f *demoFleet) startPlatform() error {
	f.store = platform.New(platform.Options{Rates: store.DefaultRates})
	var err error
	if f.platform, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(f.platform) }()
	node := configuration.New(configuration.Options{Store: f.store, Name: "demo"})
	_, err = node.Update(context.Background(), "demo", func(c *topo.Configuration) error {
		*c = *f.configuration()
		return nil
	})
	return trace.Wrap(err)
}

// configuration returns the configuration with the emulated upstreams.
func (f *demoFleet) configuration() *topo.Configuration {
	sum := sha256.Sum256([]byte(demoKey))
	c := &topo.Configuration{
		Models: []topo.Model{{Name: "assistant", Version: "1"}},
		Classes: []topo.Class{
			{Name: "question", Priority: 0, Deadline: topo.Duration(20 * time.Second)},
			{Name: "site-log", Priority: 2, Deadline: topo.Duration(2 * time.Minute)},
		},
		Services: []topo.Service{{Name: "booking", Routes: []topo.Route{
			{Method: "GET", PathPrefix: "/", Idempotent: true}, {Method: "POST", PathPrefix: "/bookings"},
		}}},
		Accounts: []topo.Account{{Caller: "demo", KeySHA: []string{hex.EncodeToString(sum[:])}}},
	}
	for _, e := range f.engines {
		c.Upstreams = append(c.Upstreams, e.Spec())
	}
	for _, s := range f.services {
		c.Upstreams = append(c.Upstreams, s.Spec())
	}
	return c
}

func runDemo(listen string) error {
	f, err := startFleet()
	defer f.close()
	if err != nil {
		return err
	}
	s := settings.Default()
	s.Name, s.DataCentre, s.Callers.Listen = "demo", "wien-a", listen
	s.Metrics.Listen = "127.0.0.1:0"
	// No other entry VM publishes the address of this one, so a stop need not wait until cached addresses have expired.
	s.Shutdown = settings.Shutdown{Drain: topo.Duration(20 * time.Second), Unlisted: true}
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "" {
		return trace.BadParameter("--listen must be host:port")
	}
	sum := sha256.Sum256([]byte(demoOperatorKey))
	s.Operators.Listen = "127.0.0.1:0"
	s.Operators.Keys = []settings.Key{{Operator: "demo", KeySHA: hex.EncodeToString(sum[:]), Role: "admin"}}
	s.Platform.URL = "http://" + f.platform.Addr().String()
	return serve(s, server.Options{Settings: s}, func(srv *server.Server) {
		address := srv.CallerAddress()
		fmt.Printf(demoText, address, demoKey, address, demoKey, srv.AdminAddress(), demoOperatorKey, "http://"+srv.MetricsAddress())
	})
}

const demoText = `bergamotd demo: 9 engines, 4 booking servers, 1 entry VM

models:  assistant
API key: demo-key

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which pods may reopen?"}]}'

curl -X POST http://%s/services/booking/bookings -H 'Authorization: Bearer %s' -d '{"key":"b-1"}'

Plan a change, then confirm it by the name that it prints:
go run ./cmd/bergamotctl --server %s --key %s drain e1

Metrics: %s/metrics

`
