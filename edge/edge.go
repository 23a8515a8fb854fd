// Package edge wires the packages of an entry VM on the users' platform into one run.Group.
//
// Invariant: in a planned stop, the entry VM first disappears from the directory's answers, then serves the requests
// that callers still send, and only then closes its listeners.
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/ingress"
	"bergamotcroft.example/bergamot/internal/scrape"
	"bergamotcroft.example/bergamot/loads"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer"
	"bergamotcroft.example/bergamot/permits"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/versions"
)

// Options configures an Edge.
type Options struct {
	Settings *platform.Settings
	Metrics  string // address of the metrics listener; empty: none
	Log      *zap.Logger
	Uneven   Uneven
	// ObjectiveAdmission chooses admission.objective in place of admission.patience.
	ObjectiveAdmission bool
}

// Edge is the process of one entry VM.
type Edge struct {
	settings          *platform.Settings
	uneven            Uneven
	log               *zap.Logger
	boot              uint64
	objects           *platform.Objects
	catalog           *catalog.Catalog
	list              *membership.Service
	peers             *peer.Client
	handlers          *peer.Handlers // of the peers' calls
	loads             *loads.Exchange
	permits           *permits.Exchange
	pool              *conns.Pool
	gateway           *gateway.Gateway
	front             *forward.Front
	crashes           *quarantine.Ledger
	crashesLoaded     <-chan struct{} // closed when crashes has what is stored
	startedAt         time.Time
	versions          *versions.Keeper
	duties            duties
	servers           []*server
	limits            *ingress.Guard // of what clients hold, over all listeners
	group             run.Group
	objective         bool
	takenAway         takenAway
	queries           queryLimit
	arrivals          arrivals          // used by the actor of capacity orders only
	upstreamAddresses map[string]string // address by upstream name; used by followUpstreams only
	leaving           atomic.Bool
	stop              chan time.Time // gets the earliest time at which the stop may have been asked for
	stopOnce          sync.Once
}

// New builds an entry VM and opens its listeners.
func New(o Options) (*Edge, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	e := &Edge{
		settings: o.Settings, uneven: o.Uneven, objective: o.ObjectiveAdmission, log: o.Log, boot: uint64(time.Now().UnixMilli()), startedAt: time.Now(),
		stop: make(chan time.Time, 1), upstreamAddresses: map[string]string{},
	}
	limitRuntime(o.Settings.ResourceLimits)
	e.limits = ingress.New(ingress.Options{MemoryBytes: o.Settings.ResourceLimits.MemoryBytes, Descriptors: o.Settings.ResourceLimits.Descriptors, Log: o.Log})
	e.objects = platform.NewObjects(platform.ObjectsOptions{Address: o.Settings.Store.Address, Log: o.Log})
	e.pool = conns.New(conns.Options{ReadBuffers: e.limits.ReadBuffers()})
	if err := e.buildPeers(); err != nil {
		return nil, err
	}
	e.buildCounter()
	e.buildCatalog()
	e.buildVersions()
	if err := e.buildGateway(); err != nil {
		return nil, err
	}
	if err := e.buildLoads(); err != nil {
		return nil, err
	}
	if err := e.buildPermits(); err != nil {
		return nil, err
	}
	if err := e.listen(o.Metrics); err != nil {
		return nil, err
	}
	if err := e.buildDuties(); err != nil {
		return nil, err
	}
	e.addRemainingActors()
	return e, nil
}

// Shares of a VM's memory.
const (
	// programBytes is the resident code and data of the program, which the runtime's limit does not include.
	programBytes = 16 << 20
	// memoryLimitShare is the most of the memory that the runtime's soft limit may have. The remainder is for kernel buffers and for
	// peaks between two garbage collections; on a small VM these and the program leave less.
	memoryLimitShare  = 0.5
	kernelBufferShare = 1. / ingress.MemoryDivisor
	collectionShare   = 1. / 8
	// bodyMemoryDivisor divides what the program leaves to give the memory for request bodies: less than half of the runtime's
	// soft limit.
	bodyMemoryDivisor = 4
)

// withoutProgram returns what the program leaves of a VM's memory.
func withoutProgram(vmBytes int64) int64 { return max(vmBytes-programBytes, vmBytes/2) }

// memoryLimit returns the runtime's soft memory limit on a VM.
func memoryLimit(vmBytes int64) int64 {
	peaks := (kernelBufferShare + collectionShare) * float64(vmBytes)
	return int64(min(memoryLimitShare*float64(vmBytes), float64(withoutProgram(vmBytes))-peaks))
}

func limitRuntime(m platform.ResourceLimits) {
	runtime.GOMAXPROCS(1)
	if m.MemoryBytes > 0 {
		debug.SetMemoryLimit(memoryLimit(m.MemoryBytes))
	}
}

func (e *Edge) peerPort(n int) string { return strconv.Itoa(e.settings.PeerPorts[0] + n) }

// Offsets of the ports between entry VMs from the first port of the configured range.
const (
	membershipPort  = 0
	loadsPort       = 1
	peerServicePort = 2 // used if the platform sets no separate address for peers
	permitsPort     = 3
)

func (e *Edge) peerAddress() string {
	if e.settings.Listen.Peers != "" {
		return e.settings.Listen.Peers
	}
	return net.JoinHostPort(e.settings.IP, e.peerPort(peerServicePort))
}

// buildPeers creates the membership list, and the client and the service for calls between entry VMs.
func (e *Edge) buildPeers() error {
	address := e.peerAddress()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return trace.Wrap(err)
	}
	udp, err := membership.ListenUDP(net.JoinHostPort(e.settings.IP, e.peerPort(membershipPort)))
	if err != nil {
		return trace.Wrap(err)
	}
	e.peers = peer.NewClient(peer.ClientOptions{Secret: e.settings.PeerSecret, Timeout: peerTimeout})
	e.handlers = &peer.Handlers{}
	service, err := peer.New(peer.Options{Listener: listener, Secret: e.settings.PeerSecret, Handlers: e.handlers, Limits: e.limits})
	if err != nil {
		return trace.Wrap(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return trace.Wrap(err)
	}
	e.list, err = membership.New(membership.Options{
		Self: membership.Member{
			Name: e.settings.VM, Address: net.JoinHostPort(e.settings.IP, e.peerPort(membershipPort)), PeerAddress: address,
			CallerAddress: e.settings.Listen.Callers, DataCentre: e.settings.DataCentre, Cores: e.advertisedCores(),
		},
		Transport: udp, Secret: e.settings.PeerSecret, Exchanger: e.peers, Seeds: excluding(e.settings.Seeds, address), VMs: e.objects.VMs, PeerPort: port,
		ListInterval: listInterval, Log: e.log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	e.handlers.ExchangeTable = e.list.ExchangeTable
	e.handlers.GetConfiguration = func(ctx context.Context, after uint64) (uint64, []byte, error) { return e.catalog.Export(ctx, after) }
	e.addActor("peers", service.Run)
	return nil
}

const (
	peerTimeout  = 3 * time.Second  // for a follower's call, which waits for a change; other calls have their own bounds
	listInterval = 60 * time.Second // between reads of the entry VMs' records; heartbeats carry changes in between
)

func excluding(list []string, address string) []string {
	var out []string
	for _, a := range list {
		if a != address {
			out = append(out, a)
		}
	}
	return out
}

// buildCatalog creates the catalog, which follows the configuration and the upstreams.
func (e *Edge) buildCatalog() {
	e.catalog = catalog.New(catalog.Options{
		Store: e.objects, Decoder: platform.Decoder{}, Kinds: platform.Kinds, Peers: catalogPeers{e}, Log: e.log, Watchers: e.watchers,
		OnAdopted: func(revision uint64) {
			e.list.SetRevision(revision)
			e.objects.NoteEra(store.EraOf(revision)) // a VM that follows a watcher may make no call to the store
		},
		OnPlans:   func(revision uint64, value []byte, from string) { e.versions.Adopt(revision, value, from) },
		OnContact: func() { e.versions.NoteContact() },
	})
	e.addActor("catalog", e.catalog.Run)
}

// catalogPeers implements catalog.Peers.
type catalogPeers struct{ e *Edge }

// Peer returns the address of a random live peer, or "" if there is none. With peers in this data centre and in others,
// it chooses either side with equal probability.
func (p catalogPeers) Peer() string {
	var near, far []string
	for _, m := range p.e.list.Members() {
		switch {
		case m.Name == p.e.settings.VM || m.State != membership.Alive || m.Suspect:
		case m.DataCentre == p.e.settings.DataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	// All peers of one data centre may be cut off together, so others are asked too.
	if len(near) > 0 && (len(far) == 0 || rand.IntN(2) == 0) {
		return near[rand.IntN(len(near))]
	}
	if len(far) > 0 {
		return far[rand.IntN(len(far))]
	}
	return ""
}

func (p catalogPeers) Fetch(ctx context.Context, address string, after uint64) ([]byte, error) {
	_, value, err := p.e.peers.GetConfiguration(ctx, address, after)
	return value, err
}

// buildGateway creates the gateway with its scheduler, the crash ledger with its archive, and the front.
func (e *Edge) buildGateway() error {
	sched, err := newScheduler(e)
	if err != nil {
		return err
	}
	e.gateway = gateway.New(gateway.Options{
		Scheduler: sched, Log: e.log, Quarantine: quarantine.New(quarantine.Options{List: e.list}),
		Refresh:     func(now time.Duration, s *scheduler.Scheduler) { e.loads.Refresh(now, s) },
		LoadChanged: func() { e.loads.TriggerRound() },
	})
	var archive *quarantine.Archive
	e.crashes = quarantine.NewLedger(quarantine.LedgerOptions{
		Log: e.log,
		Parts: quarantine.NewPartLedger(quarantine.PartLedgerOptions{
			Log: e.log, Broadcast: func(n quarantine.PartNotice) { e.loads.QueuePartNotice(n) },
			OnRefused:  func(s quarantine.RefusedPart) { archive.EnqueuePart(s) },
			OnAdmitted: func(part quarantine.PartID) { archive.RemovePart(part) },
			OnEvidence: func() { archive.EvidenceChanged() },
		}),
		OnEvidence: func() { archive.EvidenceChanged() },
		OnRefused:  func(fp quarantine.Fingerprint, crashes []uint32) { archive.Enqueue(fp, crashes) },
		OnAdmitted: func(fp quarantine.Fingerprint) { archive.Remove(fp) },
		Broadcast: func(fp quarantine.Fingerprint, crash uint32) {
			e.loads.QueueCrash(loads.Crash{Request: uint64(fp), ID: crash})
		},
	})
	e.front = forward.New(forward.Options{
		Gateway: e.gateway, Pool: e.pool, Codec: platform.Codec{}, Table: e.catalog.Table, ConfigurationConfirmed: e.configurationConfirmed, Log: e.log,
		BodyMemory: withoutProgram(e.settings.ResourceLimits.MemoryBytes) / bodyMemoryDivisor, Crashes: e.crashes, Versions: e.versions,
		OnPlaced: func(parts []policy.Part, upstreams ...string) { e.loads.QueuePlacement(parts, upstreams...) },
		OnSend:   func() { e.loads.TriggerRound() },
		OnLimit:  func() { e.permits.Trigger() },
		OnBegan:  e.countUsage,
		OnLeaving: func(upstream string) {
			e.markLeaving(upstream, "upstream")
			e.loads.QueueGone(upstream)
		},
		TakenAway: func(upstream string) bool { return e.takenAway.now(time.Now(), upstream) },
	})
	e.addActor("gateway", e.gateway.Run)
	archive = quarantine.NewArchive(quarantine.ArchiveOptions{
		Store: e.objects, VM: e.settings.VM, AwaitEraChange: e.objects.AwaitEraChange, Ledger: e.crashes, Log: e.log,
	})
	e.crashesLoaded = archive.Loaded()
	e.addActor("crashes", e.rebroadcastRefused)
	e.addActor("archive of refusals", archive.Run)
	e.addActor("upstreams", e.followUpstreams)
	return nil
}

// rebroadcastRefused periodically sends the refused requests to the other entry VMs, so that VMs that have restarted or
// were cut off receive them before the users' bounds on crashes apply to these VMs again.
func (e *Edge) rebroadcastRefused(ctx context.Context) error {
	t := time.NewTicker(rebroadcastInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.crashes.RebroadcastRefused(rebroadcastLimit)
			e.crashes.Parts().Rebroadcast(partRebroadcastLimit)
		}
	}
}

const (
	rebroadcastInterval = time.Second
	rebroadcastLimit    = 16 // fingerprints with three crashes each; a datagram holds 48 crashes
	// partRebroadcastLimit is in parts with up to five crashes and two notices each; a datagram holds 24 notices.
	partRebroadcastLimit = 6
)

func (e *Edge) configurationConfirmed() bool {
	age, ok := e.catalog.Confirmed()
	return ok && age < confirmationTTL(e.settings.Bounds.Configuration)
}

func (e *Edge) buildLoads() error {
	udp, err := membership.ListenUDP(net.JoinHostPort(e.settings.IP, e.peerPort(loadsPort)))
	if err != nil {
		return trace.Wrap(err)
	}
	e.loads = loads.New(loads.Options{
		List: e.list, Transport: udp, Port: e.peerPort(loadsPort), Secret: e.settings.PeerSecret, Boot: e.boot, RunInScheduler: e.gateway.Do, Log: e.log,
		OnGone:        func(upstream string) { e.markLeaving(upstream, "peer") },
		OnCrash:       func(c loads.Crash) { e.crashes.Receive(quarantine.Fingerprint(c.Request), c.ID) },
		OnPartNotice:  func(n quarantine.PartNotice) { e.crashes.Parts().Receive(n) },
		OnLimit:       func(l loads.Limit) { e.permits.Learn(l) },
		PlansRevision: e.versions.Revision, OnStart: e.versions.Receive, OnPlansRevision: e.versions.NoteRevision,
	})
	e.addActor("loads", e.loads.Run)
	return nil
}

func (e *Edge) buildPermits() error {
	udp, err := membership.ListenUDP(net.JoinHostPort(e.settings.IP, e.peerPort(permitsPort)))
	if err != nil {
		return trace.Wrap(err)
	}
	e.permits = permits.New(permits.Options{
		List: e.list, Transport: udp, Port: e.peerPort(permitsPort), Secret: e.settings.PeerSecret, Boot: e.boot, Reachable: e.list.Reachable,
		RunInScheduler: e.gateway.Do, Announce: e.loads.QueueLimit, Log: e.log,
	})
	e.addActor("permits", e.permits.Run)
	return nil
}

// register records this entry VM in the store, so that entry VMs with stale seeds find it, and again whenever the store was
// set back to a copy.
func (e *Edge) register(ctx context.Context) error {
	vm := store.VM{Name: e.settings.VM, Address: e.settings.IP, DataCentre: e.settings.DataCentre, State: store.VMLive}
	for failures := 0; ; failures++ {
		era, _ := e.objects.Era()
		err := e.objects.Register(ctx, vm)
		if err == nil {
			e.log.Info("registered", zap.String("vm", vm.Name), zap.String("address", vm.Address), zap.Uint64("era", era))
			if _, err = e.objects.AwaitEraChange(ctx, era); err != nil {
				return nil // ctx has ended
			}
			failures = -1
			_ = (store.SystemClock{}).Sleep(ctx, rand.N(maxRegistrationDelay)) // the loop ends when ctx does
			continue
		}
		e.log.Warn("not registered", zap.String("vm", vm.Name), zap.Int("failures", failures+1), zap.Error(err))
		if (store.SystemClock{}).Sleep(ctx, store.Backoff(failures+1)) != nil {
			return nil
		}
	}
}

// maxRegistrationDelay spreads the registrations of all entry VMs after a restoration of the store.
const maxRegistrationDelay = 2 * time.Second

func (e *Edge) addActor(name string, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	e.group.Add(func() error { return trace.Wrap(f(ctx), "%s", name) }, func(error) { cancel() })
}

// addRemainingActors adds the actors that are not added where their parts are built.
func (e *Edge) addRemainingActors() {
	e.addActor("membership", e.list.Run)
	e.addActor("registration", e.register)
	for _, s := range e.servers {
		e.group.Add(s.serve, func(error) { s.close() })
	}
	e.group.Add(func() error {
		e.drain(<-e.stop)
		return nil
	}, func(error) { e.Stop(time.Now()) })
}

// Run serves until Stop has been called and the open requests are answered, or until an actor fails.
func (e *Edge) Run() error {
	e.log.Info("serving", zap.String("vm", e.settings.VM), zap.String("data_centre", e.settings.DataCentre), zap.String("callers", e.settings.Listen.Callers),
		zap.Uint64("boot", e.boot), zap.Int64("memory", e.settings.ResourceLimits.MemoryBytes), zap.Float64("cpus", e.settings.ResourceLimits.CPUs))
	err := e.group.Run()
	e.stopDuties()
	e.pool.Close()
	e.peers.Close()
	e.log.Info("stopped", zap.Error(err))
	return trace.Wrap(err)
}

// Stop begins a graceful stop, whose grace may have begun at earliest. Further calls have no effect.
func (e *Edge) Stop(earliest time.Time) { e.stopOnce.Do(func() { e.stop <- earliest }) }

// Reload logs a change of the settings file. The change has no other effect, since a process keeps its addresses and
// limits until it ends.
func (e *Edge) Reload(s *platform.Settings, err error) {
	if err != nil {
		e.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	e.log.Info("settings reloaded", zap.String("vm", s.VM), zap.Strings("seeds", s.Seeds))
}

// serveMetrics serves the metrics at /metrics, and the queries of operators.
func (e *Edge) serveMetrics(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
	case explain.PathDuties:
		e.serveQuery(w, r, http.MethodGet, e.explainDuties)
		return
	case explain.PathRoute:
		e.serveQuery(w, r, http.MethodPost, e.explainRoute)
		return
	default:
		http.NotFound(w, r)
		return
	}
	scrape.Write(w, e.gateway.WriteMetrics, e.limits.WriteMetrics)
}

var errNotListening = errors.New("the platform settings contain no address for callers")
