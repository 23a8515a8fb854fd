package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/limits"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/peer/peerv1"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// probePolls measures a poll of one upstream as the daemon sends it: GET /load, and GET /cache/events with an empty answer. Bytes are
// those of both directions without TCP and IP headers; the processor time is that of both ends.
func probePolls(ctx context.Context) ([]Series, error) {
	mux := http.NewServeMux()
	serveJSON := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
		}
	}
	mux.HandleFunc("GET /load", serveJSON(upstream.Load{AtMS: 1.8e12, Running: 12, Queued: 3, PrefillTokens: 12000, KVPiecesInUse: 400,
		OwnRunning: 2, DecodeTokensPS: 1034.5, DecodeStreams: 11.25, PrefillTokensPS: 11873.5, Boot: 1 << 60, Role: topo.RoleBoth}))
	mux.HandleFunc("GET /cache/events", serveJSON(upstream.CacheEvents{Next: 123456, Events: []upstream.CacheEvent{}}))
	server := httptest.NewUnstartedServer(mux)
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := upstream.New(upstream.Options{EntryVM: "vm00001"})
	defer client.Close()
	u := &topo.Upstream{Name: "e1", Kind: topo.KindEngine, Address: listener.Addr().String()}
	bytes := Series{Role: "serving", Cost: "poll_bytes", Unit: "B", SizeName: "polls"}
	cpuTime := Series{Role: "serving", Cost: "poll_cpu", Unit: "s", SizeName: "polls"}
	for _, n := range []int{100, 400, 1600} {
		before, began := listener.bytes.Load(), processorTime()
		for range n {
			if _, err := client.Load(ctx, u); err != nil {
				return nil, err
			}
			if _, err := client.CacheEvents(ctx, u, 123456); err != nil {
				return nil, err
			}
		}
		cpuTime.add(n, (processorTime() - began).Seconds())
		bytes.add(n, float64(listener.bytes.Load()-before))
	}
	return []Series{bytes, cpuTime}, nil
}

// callOverheadBytes is the overhead of HTTP/2 and TCP for a call between entry VMs, in both directions. TestBytesOfASmallCall of package
// peer bounds it.
const callOverheadBytes = 400

// limiterGroup holds the limiters of several entry VMs, which share a clock and exchange shares by direct calls.
type limiterGroup struct {
	mu          sync.Mutex
	currentTime time.Time
	byVM        map[string]*limits.Limiter
	bytes       int
}

// ExchangeShares implements limits.Exchanger.
func (g *limiterGroup) ExchangeShares(ctx context.Context, to string, r *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error) {
	res, err := g.byVM[to].ExchangeShares(ctx, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += proto.Size(r) + proto.Size(res) + callOverheadBytes
	return res, err
}

func (g *limiterGroup) now() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentTime
}

func newLimiterGroup(members []membership.Member, vms int) (*limiterGroup, error) {
	g := &limiterGroup{currentTime: time.Now(), byVM: map[string]*limits.Limiter{}}
	for i := range vms {
		l, err := limits.New(limits.Options{Members: &staticMembers{self: members[i], members: members}, Exchanger: g, Now: g.now})
		if err != nil {
			return nil, err
		}
		g.byVM[members[i].Name], g.byVM[members[i].PeerAddress] = l, l
	}
	return g, nil
}

// probeLimits measures one entry VM among 2,200 members by the accounts that it holds: memory, admission, and the step of each second.
func probeLimits(ctx context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "limits", Cost: cost, Unit: unit, SizeName: "accounts held", Full: FullAccounts}
	}
	memory, admit, step := newSeries("memory", "B"), newSeries("admit_cpu", "s"), newSeries("step_cpu", "s")
	members := syntheticMembers(FullNodes)
	accountLimits := topo.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrent: 1e6}
	for _, accounts := range []int{250, 1000, 4000} {
		callers := make([]string, accounts)
		for i := range callers {
			callers[i] = fmt.Sprintf("account-%05d", i)
		}
		var err error
		admitOne := func(l *limits.Limiter, c string) {
			p, e := l.Admit(c, accountLimits, 1)
			if e != nil {
				err = e
				return
			}
			p.Done(1)
		}
		g, bytes := buildAndMeasure(func() *limiterGroup {
			g, e := newLimiterGroup(members, 1)
			if e != nil {
				err = e
				return nil
			}
			for _, c := range callers {
				admitOne(g.byVM[members[0].Name], c)
			}
			return g
		})
		if err != nil {
			return nil, err
		}
		memory.add(accounts, bytes)
		l, i := g.byVM[members[0].Name], 0
		admit.add(accounts, cpuPerCall(func() { admitOne(l, callers[i%accounts]); i++ }))
		step.add(accounts, cpuPerCall(func() {
			g.currentTime = g.currentTime.Add(limits.Interval)
			l.Step(ctx)
		}))
		if err != nil {
			return nil, err
		}
	}
	return []Series{memory, admit, step}, nil
}

// probeExchange measures the bytes that one entry VM exchanges in a second by the number of its home accounts. One account in twenty
// requests twice its limit, the others a tenth of it.
func probeExchange(ctx context.Context) ([]Series, error) {
	const vms, warmUp, seconds, hotEvery, hotRequests = 24, 20, 30, 20, 20
	s := Series{Role: "limits", Cost: "exchange_bytes_per_s", Unit: "B/s", SizeName: "accounts at home in a VM",
		Full: FullAccounts * addresses.DefaultGroup / float64(FullNodes)}
	members := syntheticMembers(vms)
	accountLimits := topo.Limits{RequestsPerSecond: 10}
	for _, home := range []int{10, 30, 90} {
		g, err := newLimiterGroup(members, vms)
		if err != nil {
			return nil, err
		}
		groups := make([][]string, home*vms/addresses.DefaultGroup)
		for i := range groups {
			groups[i] = addresses.HomeGroup(members, fmt.Sprint("c", i), addresses.DefaultGroup)
		}
		for sec := range warmUp + seconds {
			if sec == warmUp {
				g.bytes = 0
			}
			for i, group := range groups {
				requests := 1
				if i%hotEvery == 0 {
					requests = hotRequests
				}
				for k := range requests {
					if p, err := g.byVM[group[(sec+k)%len(group)]].Admit(fmt.Sprint("c", i), accountLimits, 0); err == nil {
						p.Done(0)
					}
				}
			}
			g.currentTime = g.currentTime.Add(limits.Interval)
			for i := range members {
				g.byVM[members[i].Name].Step(ctx)
			}
		}
		s.add(home, 2*float64(g.bytes)/vms/seconds) // each byte counts at its sender and at its receiver
	}
	return []Series{s}, nil
}
