// Package edge wires the packages of an entry VM on the users' platform into one run.Group.
//
// Invariant: a planned stop leaves the directory's answers first, answers what callers still send, and only then closes.
package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Options configures an Edge.
type Options struct {
	Settings *platform.Settings
	Metrics  string // address of the metrics listener; empty: none
	Log      *zap.Logger
}

// Edge is one entry VM.
type Edge struct {
	set     *platform.Settings
	log     *zap.Logger
	boot    uint64
	objects *platform.Objects
	catalog *catalog.Catalog
	list    *membership.Service
	peers   *peer.Client
	loads   *loads.Exchange
	pool    *conns.Pool
	gateway *gateway.Gateway
	front   *forward.Front
	crashes *quarantine.Ledger
	servers []*server
	group   run.Group
	known   map[string]string // upstream names and their addresses; owned by the catalog's observer
	leaving atomic.Bool
	stop    chan struct{}
	once    sync.Once
}

// New builds an entry VM and opens its listeners.
func New(o Options) (*Edge, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	e := &Edge{set: o.Settings, log: o.Log, boot: uint64(time.Now().UnixMilli()), stop: make(chan struct{}), known: map[string]string{}}
	limitRuntime(o.Settings.Machine)
	e.objects = platform.NewObjects(platform.ObjectsOptions{Address: o.Settings.Store.Address})
	e.pool = conns.New(conns.Options{})
	if err := e.buildPeers(); err != nil {
		return nil, err
	}
	e.buildCatalog()
	if err := e.buildGateway(); err != nil {
		return nil, err
	}
	if err := e.buildLoads(); err != nil {
		return nil, err
	}
	if err := e.listen(o.Metrics); err != nil {
		return nil, err
	}
	e.buildRoles()
	e.wire()
	return e, nil
}

// memoryPart of the VM's memory is the runtime's soft limit; the rest is for buffers of the kernel and a peak between two
// collections.
const memoryPart = 0.6

// bodyMemoryPart of the VM's memory, as a divisor, may hold request bodies: less than half of the runtime's soft limit.
const bodyMemoryPart = 4

func limitRuntime(m platform.Machine) {
	runtime.GOMAXPROCS(1)
	if m.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(m.MemoryBytes)))
	}
}

func (e *Edge) port(n int) string { return strconv.Itoa(e.set.PeerPorts[0] + n) }

// Ports between entry VMs, from the first free one on.
const (
	portMembers = 0
	portLoads   = 1
	portPeers   = 2 // where the platform gives no address of its own for peers
)

func (e *Edge) peerAddress() string {
	if e.set.Listen.Peers != "" {
		return e.set.Listen.Peers
	}
	return net.JoinHostPort(e.set.IP, e.port(portPeers))
}

// buildPeers makes the membership and the peers' service.
func (e *Edge) buildPeers() error {
	address := e.peerAddress()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return trace.Wrap(err)
	}
	udp, err := membership.ListenUDP(net.JoinHostPort(e.set.IP, e.port(portMembers)))
	if err != nil {
		return trace.Wrap(err)
	}
	e.peers = peer.NewClient(peer.ClientOptions{Secret: e.set.PeerSecret, Timeout: peerTimeout})
	handlers := &peer.Handlers{}
	service, err := peer.New(peer.Options{Listener: listener, Secret: e.set.PeerSecret, Handlers: handlers})
	if err != nil {
		return trace.Wrap(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return trace.Wrap(err)
	}
	e.list, err = membership.New(membership.Options{
		Self: membership.Member{
			Name: e.set.VM, Address: net.JoinHostPort(e.set.IP, e.port(portMembers)), PeerAddress: address,
			CallerAddress: e.set.Listen.Callers, DataCentre: e.set.DataCentre, Cores: max(int(e.set.Machine.CPUs*coreUnit), 1),
		},
		Transport: udp, Secret: e.set.PeerSecret, Exchanger: e.peers, Seeds: without(e.set.Seeds, address), VMs: e.objects.VMs, PeerPort: port,
		ListInterval: listInterval, Log: e.log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	handlers.ExchangeTable = e.list.ExchangeTable
	handlers.GetConfiguration = func(ctx context.Context, after uint64) (uint64, []byte, error) { return e.catalog.Export(ctx, after) }
	e.addContext("peers", service.Run)
	return nil
}

const (
	peerTimeout  = 3 * time.Second  // a follower's call waits for a change; other calls have bounds of their own
	listInterval = 60 * time.Second // reads of the entry VMs' records; heartbeats tell of changes meanwhile
	coreUnit     = 10               // VMs have parts of a core; members tell them in tenths
)

func without(list []string, address string) []string {
	var out []string
	for _, a := range list {
		if a != address {
			out = append(out, a)
		}
	}
	return out
}

// buildCatalog follows the configuration and the upstreams.
func (e *Edge) buildCatalog() {
	e.catalog = catalog.New(catalog.Options{
		Store: e.objects, Decoder: platform.Decoder{}, Kinds: platform.Kinds, Peers: peerStates{e}, Log: e.log, Watchers: e.watchers,
		Adopted: e.list.SetRevision,
	})
	e.addContext("catalog", e.catalog.Run)
}

// peerStates implements catalog.Peers.
type peerStates struct{ e *Edge }

// Peer names a random peer, one of the own data centre in half of the calls where there is one.
func (p peerStates) Peer() string {
	var near, far []string
	for _, m := range p.e.list.Members() {
		switch {
		case m.Name == p.e.set.VM || m.State != membership.Alive || m.Suspect:
		case m.DataCentre == p.e.set.DataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	// Peers of one data centre may be cut off together.
	if len(near) > 0 && (len(far) == 0 || rand.IntN(2) == 0) {
		return near[rand.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[rand.IntN(len(far))]
	}
	return ""
}

func (p peerStates) Fetch(ctx context.Context, address string, after uint64) ([]byte, error) {
	_, value, err := p.e.peers.GetConfiguration(ctx, address, after)
	return value, err
}

// buildGateway makes the scheduler and the front.
func (e *Edge) buildGateway() error {
	sched, err := newScheduler(e)
	if err != nil {
		return err
	}
	e.gateway = gateway.New(gateway.Options{
		Scheduler: sched, Log: e.log, Quarantine: quarantine.New(quarantine.Options{List: e.list}),
	})
	var archive *quarantine.Archive
	e.crashes = quarantine.NewLedger(quarantine.LedgerOptions{
		Log: e.log, OnRefused: func(fp quarantine.Fingerprint, crashes []uint32) { archive.Enqueue(fp, crashes) },
		Tell: func(fp quarantine.Fingerprint, crash uint32) {
			e.loads.Crashed(loads.Crash{Request: uint64(fp), ID: crash})
		},
	})
	e.front = forward.New(forward.Options{
		Gateway: e.gateway, Pool: e.pool, Codec: platform.Codec{}, Table: e.catalog.Table, Certain: e.certain, Log: e.log,
		BodyMemory: e.set.Machine.MemoryBytes / bodyMemoryPart, Crashes: e.crashes,
		OnPlaced: func(parts []policy.Part, upstreams ...string) { e.loads.Placed(parts, upstreams...) },
		OnSend:   func() { e.loads.Changed() },
		OnLeaving: func(upstream string) {
			e.markLeaving(upstream, "upstream")
			e.loads.Gone(upstream)
		},
	})
	e.addContext("gateway", e.gateway.Run)
	archive = quarantine.NewArchive(quarantine.ArchiveOptions{Store: e.objects, Ledger: e.crashes, Log: e.log})
	e.addContext("crashes", e.retellCrashes)
	e.addContext("archive of refusals", archive.Run)
	e.addContext("upstreams", e.followUpstreams)
	return nil
}

// retellCrashes tells the other entry VMs now and then which requests are refused. Those that start or were cut off hear of them that way, sooner
// than the users' bounds hold for them again.
func (e *Edge) retellCrashes(ctx context.Context) error {
	t := time.NewTicker(retellEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.crashes.RebroadcastRefused(retellMost)
		}
	}
}

const (
	retellEvery = time.Second
	retellMost  = 16 // fingerprints, of three crashes each: a datagram tells 48
)

// certainFor is how long the last confirmation of the configuration counts. The store answers a watch every two seconds.
const certainFor = 4 * time.Second

func (e *Edge) certain() bool {
	age, ok := e.catalog.Confirmed()
	return ok && age < certainFor
}

func (e *Edge) buildLoads() error {
	udp, err := membership.ListenUDP(net.JoinHostPort(e.set.IP, e.port(portLoads)))
	if err != nil {
		return trace.Wrap(err)
	}
	e.loads = loads.New(loads.Options{
		List: e.list, Transport: udp, Port: e.port(portLoads), Secret: e.set.PeerSecret, Boot: e.boot, Do: e.gateway.Do, Log: e.log,
		Gone:    func(upstream string) { e.markLeaving(upstream, "peer") },
		Crashed: func(c loads.Crash) { e.crashes.Heard(quarantine.Fingerprint(c.Request), c.ID) },
	})
	e.addContext("loads", e.loads.Run)
	return nil
}

// followUpstreams hands the catalog's upstreams to the scheduler.
func (e *Edge) followUpstreams(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	e.catalog.Subscribe(func(catalog.State) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-sweep.C:
			e.pool.Sweep(now)
		case <-changed:
			if err := e.adopt(ctx, e.catalog.State()); err != nil {
				return nil // ctx has ended
			}
		}
	}
}

const sweepEvery = 2 * time.Second // idle connections live for seconds

func (e *Edge) adopt(ctx context.Context, s catalog.State) error {
	list := make([]topo.Upstream, 0, len(s.Entries))
	now := map[string]string{}
	used := map[string]bool{}
	for i := range s.Entries {
		u, ok := upstreamOf(&s, &s.Entries[i])
		if !ok {
			continue
		}
		list = append(list, u)
		now[u.Name], used[u.Address] = u.Address, true
	}
	for name, address := range e.known {
		if _, ok := now[name]; !ok {
			e.front.ProcessEnded(name, "registration gone")
		}
		if !used[address] {
			e.pool.Forget(address)
		}
	}
	e.known = now
	return e.gateway.Do(ctx, func(_ time.Duration, sched *scheduler.Scheduler) { sched.SetUpstreams(list) })
}

// nameOf names one start of an upstream.
func nameOf(x *catalog.Entry) string { return x.ID + "@" + strconv.FormatInt(x.Born, 36) }

// markLeaving notes that a start takes no more work.
func (e *Edge) markLeaving(upstream, from string) {
	id := forward.InstanceOf(upstream)
	born, err := strconv.ParseInt(strings.TrimPrefix(upstream, id+"@"), 36, 64)
	if err != nil {
		e.log.Error("upstream name without its start", zap.String("upstream", upstream), zap.Error(err))
		return
	}
	e.catalog.Leaving(id, born, from)
}

// upstreamOf is an entry as the scheduler needs it. An entry of a service that the configuration lacks is of no use yet.
func upstreamOf(s *catalog.State, x *catalog.Entry) (topo.Upstream, bool) {
	if s.Table == nil || s.Table.Services[x.Service] == nil {
		return topo.Upstream{}, false
	}
	u := topo.Upstream{
		Name: nameOf(x), DataCentre: x.DataCentre, Address: x.Address, MaxBatch: x.Slots,
		Kind: topo.KindService, State: topo.UpstreamActive, Role: x.Role,
	}
	if x.Leaving {
		u.State = topo.UpstreamDraining
	}
	engine := s.Table.Services[x.Service].Engine
	if engine == nil {
		u.Service = x.Service
		return u, true
	}
	u.Kind, u.KVPieces = topo.KindEngine, engine.KVTokens/policy.PieceTokens
	for _, m := range x.Models {
		u.Models = append(u.Models, forward.EngineModel(x.Service, m))
	}
	return u, true
}

// register tells the other entry VMs of this one through the store, for those whose seeds are stale.
func (e *Edge) register(ctx context.Context) error {
	vm := store.VM{Name: e.set.VM, Address: e.set.IP, DataCentre: e.set.DataCentre, State: store.VMLive}
	for failures := 0; ; failures++ {
		err := e.objects.Register(ctx, vm)
		if err == nil {
			e.log.Info("registered", zap.String("vm", vm.Name), zap.String("address", vm.Address))
			<-ctx.Done()
			return nil
		}
		e.log.Warn("not registered", zap.String("vm", vm.Name), zap.Int("failures", failures+1), zap.Error(err))
		if (store.SystemClock{}).Sleep(ctx, store.Backoff(failures+1)) != nil {
			return nil
		}
	}
}

func (e *Edge) addContext(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	e.group.Add(func() error { return trace.Wrap(f(ctx), "%s", name) }, func(error) { cancel() })
}

// wire adds the remaining actors.
func (e *Edge) wire() {
	e.addContext("membership", e.list.Run)
	e.addContext("registration", e.register)
	for _, s := range e.servers {
		e.group.Add(s.serve, func(error) { s.close() })
	}
	e.group.Add(func() error {
		<-e.stop
		e.drain()
		return nil
	}, func(error) { e.Stop() })
}

// Run serves until Stop has been called and what was open is answered, or until a part fails.
func (e *Edge) Run() error {
	e.log.Info("serving", zap.String("vm", e.set.VM), zap.String("data_centre", e.set.DataCentre), zap.String("callers", e.set.Listen.Callers),
		zap.Uint64("boot", e.boot), zap.Int64("memory", e.set.Machine.MemoryBytes), zap.Float64("cpus", e.set.Machine.CPUs))
	err := e.group.Run()
	e.pool.Close()
	e.peers.Close()
	e.log.Info("stopped", zap.Error(err))
	return trace.Wrap(err)
}

// Stop begins a graceful stop. Further calls have no effect.
func (e *Edge) Stop() { e.once.Do(func() { close(e.stop) }) }

// Reload notes that the settings file has changed. The addresses and limits of a process hold until its end, so that a change is only
// logged.
func (e *Edge) Reload(s *platform.Settings, err error) {
	if err != nil {
		e.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	e.log.Info("settings reloaded", zap.String("vm", s.VM), zap.Strings("seeds", s.Seeds))
}

// serveMetrics writes all metrics.
func (e *Edge) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
	e.gateway.WriteMetrics(w)
}

var errNotListening = errors.New("the platform names no address for callers")
