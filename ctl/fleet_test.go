package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotcroft.example/bergamot/admin"
	"bergamotcroft.example/bergamot/configuration"
	"bergamotcroft.example/bergamot/control"
	"bergamotcroft.example/bergamot/emulator/engine"
	emulated "bergamotcroft.example/bergamot/emulator/platform"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/orders"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// fleet is two entry VMs without a gateway, with the production code for configuration, leases, orders, control and administration
// API, against an emulated platform and three emulated engines.
type fleet struct {
	interrupt bool // cancel each command line at its first output
	t         *testing.T
	store     *emulated.Store
	url       string // of the platform
	engines   map[string]*engine.Engine
	vms       []*entryVM
}

type entryVM struct {
	name    string
	fleet   *fleet
	node    *configuration.Node
	leases  *lease.Manager
	control *control.Controller
	api     http.Handler
	admin   *httptest.Server
	http    *upstream.Client
	stop    context.CancelFunc
	done    sync.WaitGroup
	killed  atomic.Bool
}

// slowMachineTimeout bounds each call. It is long, so that a slow machine delays a test but does not fail it.
const slowMachineTimeout = time.Minute

var testKeys = map[admin.Role]string{admin.RoleViewer: "view-key", admin.RolePlanner: "plan-key", admin.RoleOperator: "operate-key", admin.RoleAdmin: "admin-key"}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, engines: map[string]*engine.Engine{}}
	f.store = emulated.New(emulated.Options{Weights: map[string]emulated.Weight{
		"m1@v1": {Bytes: 14e9, BytesPerSecond: 2e9}, "m1@v2": {Bytes: 14e9, BytesPerSecond: 2e9}, "lora-clinics": {Bytes: 2e8, BytesPerSecond: 2e9},
	}})
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	c := topo.Configuration{
		Models: []topo.Model{{Name: "m1", Version: "v1"}}, Accounts: []topo.Account{{Caller: "clinic-nord"}, {Caller: "druckhaus-riga"}},
	}
	for i := range 3 {
		e := engine.New(engine.Options{LoadModel: 50 * time.Millisecond, Spec: topo.Upstream{
			Name: fmt.Sprintf("e%d", i+1), DataCentre: "wien-a", Kind: topo.KindEngine, Models: []string{"m1@v1"}, PrefillTokensPerSecond: 1e6,
			DecodeTokensPerSecond: 2000, MaxBatch: 32, KVPieces: 400, RoleChangeMS: 60, ReportLagMS: 50, ChecksFencing: i != 1,
		}})
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines[e.Spec().Name] = e
		c.Upstreams = append(c.Upstreams, e.Spec())
	}
	for i := range 2 {
		f.vms = append(f.vms, f.newEntryVM(fmt.Sprintf("v%d", i+1)))
	}
	for _, v := range f.vms {
		v.start()
	}
	if _, err := f.vms[0].node.Apply(context.Background(), "setup", c); err != nil {
		t.Fatal(err)
	}
	return f
}

// newEntryVM returns an entry VM that is not started.
func (f *fleet) newEntryVM(name string) *entryVM {
	v := &entryVM{name: name, fleet: f, http: upstream.New(upstream.Options{
		EntryVM: name, DialTimeout: slowMachineTimeout, HeaderTimeout: slowMachineTimeout, ControlTimeout: slowMachineTimeout,
	})}
	client := store.NewClient(store.Options{BaseURL: f.url, Name: name, Groups: 4, Timeout: slowMachineTimeout, Members: func() int { return 2 }})
	v.node = configuration.New(configuration.Options{Store: client, Members: v, Name: name})
	v.leases = lease.New(lease.Options{Store: client.Authority(), Members: v, Name: name, Incarnation: 1, Groups: 4, Term: time.Second})
	reports := control.UpstreamReports{Client: v.http}
	o := control.Options{
		Self: name, Store: client.Authority(), Configurations: v.node, Reports: reports, List: v, Authority: v.leases,
		Costs:  control.PlatformCosts{URL: f.url, Client: http.DefaultClient},
		Runner: orders.New(orders.Options{Store: client.Authority(), Authority: v.leases, Engine: upstream.OrderClient{Client: v.http}, SendTimeout: 200 * time.Millisecond, Poll: 10 * time.Millisecond, Name: name}),
		Limits: control.Limits{Tick: 20 * time.Millisecond, LeaseMargin: 300 * time.Millisecond, RefuseAfter: time.Second, ReportLag: 100 * time.Millisecond, InFlight: 50 * time.Millisecond, CallTimeout: slowMachineTimeout},
	}
	v.control = control.NewController(o)
	service := admin.New(admin.Options{
		Operators: operators(), Plans: control.NewPlans(o), Store: client, Source: v.node, History: v.node, List: v, Reports: reports, Wake: v.control.Wake,
	})
	_, v.api = service.Handler()
	return v
}

// start runs an entry VM until it is killed.
func (v *entryVM) start() {
	ctx, stop := context.WithCancel(context.Background())
	v.stop, v.admin = stop, httptest.NewServer(v.api)
	for _, run := range []func(context.Context) error{v.node.Run, v.leases.Run, v.control.Run} {
		v.done.Go(func() { _ = run(ctx) })
	}
	v.fleet.t.Cleanup(v.kill)
}

func operators() []admin.Operator {
	var ops []admin.Operator
	for role, key := range testKeys {
		sum := sha256.Sum256([]byte(key))
		ops = append(ops, admin.Operator{Name: string(role) + "-anna", KeySHA: hex.EncodeToString(sum[:]), Role: role})
	}
	return ops
}

// kill stops an entry VM without a drain and breaks its connections. Its leases are released, since lease.Manager.Run does so when its
// context ends.
func (v *entryVM) kill() {
	v.killed.Store(true)
	v.stop()
	v.admin.CloseClientConnections()
	v.admin.Close()
	v.done.Wait()
}

// Members implements membership.List. A killed VM is Uncertain immediately.
func (v *entryVM) Members() []membership.Member {
	var ms []membership.Member
	for _, o := range v.fleet.vms {
		m := membership.Member{Name: o.name, Incarnation: 1, DataCentre: "dc-" + o.name, Cores: 2, CallerAddress: o.name + ":8080"}
		m.ConfigRevision = o.node.Freshness().Revision
		if o.killed.Load() {
			m.State, m.ConfigRevision = membership.Uncertain, 0
		}
		ms = append(ms, m)
	}
	return ms
}

func (v *entryVM) Self() membership.Member {
	return membership.Member{Name: v.name, DataCentre: "dc-" + v.name}
}
func (v *entryVM) Subscribe(func(membership.Member)) func() { return func() {} }
func (v *entryVM) Broadcast(string, []byte) error           { return nil }
func (v *entryVM) Handle(string, func(membership.Event))    {}

// interrupter is a writer that cancels the command line at its first output.
type interrupter struct {
	io.Writer
	cancel func()
}

func (i interrupter) Write(p []byte) (int, error) {
	i.cancel()
	return i.Writer.Write(p)
}

// ctl runs a command line and returns its exit status and output.
func (f *fleet) ctl(role admin.Role, args ...string) (int, string, string) {
	var servers []string
	for _, v := range f.vms {
		servers = append(servers, v.admin.URL)
	}
	env := map[string]string{envServer: strings.Join(servers, ","), envKey: testKeys[role]}
	var out, errs bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var w io.Writer = &out
	if f.interrupt {
		w = interrupter{&out, cancel}
	}
	status := Run(ctx, args, Streams{In: strings.NewReader(""), Out: w, Err: &errs, Env: func(k string) string { return env[k] }})
	return status, out.String(), errs.String()
}

// sendTraffic sends short requests from a VM to the active engines until the context ends, and counts failures and answers.
func (v *entryVM) sendTraffic(ctx context.Context, failed, answered *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		c := v.node.Current()
		if c == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		u := c.Upstreams[i%len(c.Upstreams)]
		if plan.StateOf(&u) != topo.UpstreamActive {
			time.Sleep(time.Millisecond)
			continue
		}
		if err := v.sendRequest(&u, i); err != nil {
			failed.Add(1)
		} else {
			answered.Add(1)
		}
	}
}

func (v *entryVM) sendRequest(u *topo.Upstream, i int) error {
	id := fmt.Sprintf("%s-%d", v.name, i)
	s, err := v.http.Open(context.Background(), u, &upstream.Attempt{
		RequestID: id, Attempt: id, Path: "/v1/completions", Body: []byte(`{"prompt":"is pod 7 clean?","max_tokens":20}`),
		Fields: upstream.Fields{Model: "m1@v1", Stream: true},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if e, err := s.Next(); err != nil {
			return err
		} else if e.End {
			return nil
		}
	}
}
