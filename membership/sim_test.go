package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// network runs cores on virtual time. Equal seeds give equal runs.
type network struct {
	t          testing.TB
	rng        *rand.Rand
	now        time.Time
	queue      packets
	order      uint64
	nodes      []*node
	byAddr     map[string]*node
	loss       float64
	blocked    func(from, to *node) bool
	exchanging bool // nodes exchange tables each minute
}

type node struct {
	core         *core
	name         string
	address      string
	down         bool // ended, or paused
	bytes        int  // sent and received, with UDP, IP and authentication
	events       map[string]int
	nextExchange time.Time
}

type packet struct {
	at       time.Time
	order    uint64
	from, to string
	payload  []byte
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	return p[i].at.Before(p[j].at) || p[i].at.Equal(p[j].at) && p[i].order < p[j].order
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]
	return x
}

const (
	datagramOverhead = 28 // IP and UDP headers
	latency          = 500 * time.Microsecond
	exchangeOverhead = 400 // HTTP and TCP of one call, both directions
)

func newNetwork(t testing.TB, n int, seed uint64) *network {
	t.Logf("seed %d", seed)
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byAddr: map[string]*node{}, exchanging: true}
	for i := range n {
		w.start(fmt.Sprintf("vm-%03d", i), uint64(1000+i))
	}
	for _, x := range w.nodes[min(1, n):] {
		w.exchangeTables(x, w.nodes[0], true)
	}
	for _, x := range w.nodes {
		w.exchangeTables(x, w.nodes[len(w.nodes)-1], true)
	}
	return w
}

func (w *network) start(name string, incarnation uint64) *node {
	x := &node{name: name, address: name + ":1", events: map[string]int{}}
	x.core = newCore(Member{Name: name, Incarnation: incarnation, Address: x.address, PeerAddress: name + ":2",
		CallerAddress: "10.0.0.1:8080", DataCentre: "dc", Cores: 4}, w.rng.Uint64())
	x.core.send = func(to string, b []byte) { w.send(x, to, b) }
	x.core.deliver = func(e Event) { x.events[string(e.Payload)]++ }
	x.core.nextPeriod = w.now.Add(time.Duration(w.rng.Int64N(int64(Period))))
	x.nextExchange = w.now.Add(time.Duration(w.rng.Int64N(int64(DefaultTableInterval))))
	if old := w.byAddr[x.address]; old != nil {
		for i := range w.nodes {
			if w.nodes[i] == old {
				w.nodes[i] = x
			}
		}
	} else {
		w.nodes = append(w.nodes, x)
	}
	w.byAddr[x.address] = x
	return x
}

func (w *network) send(from *node, to string, b []byte) {
	b = Seal("secret", b)
	from.bytes += len(b) + datagramOverhead
	if w.rng.Float64() < w.loss {
		return
	}
	w.order++
	delay := latency + time.Duration(w.rng.Int64N(int64(latency)))
	heap.Push(&w.queue, packet{w.now.Add(delay), w.order, from.address, to, b})
}

func (w *network) connected(a, b *node) bool {
	return !a.down && !b.down && (w.blocked == nil || !w.blocked(a, b) && !w.blocked(b, a))
}

// exchangeTables does a table exchange as Service.exchangeTables does.
func (w *network) exchangeTables(a, b *node, join bool) bool {
	if a == b || !w.connected(a, b) {
		return false
	}
	r := a.core.newTableRequest(join)
	for i := 0; r != nil && i < maxTableCalls; i++ {
		res := b.core.handleTableRequest(w.now, r)
		size := exchangeOverhead + protoSize(r) + protoSize(res)
		a.bytes += size
		b.bytes += size
		r = a.core.handleTableResponse(w.now, res)
	}
	return true
}

// run advances virtual time by d.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickInterval)
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			w.deliver(heap.Pop(&w.queue).(packet))
		}
		for _, x := range w.nodes {
			if x.down {
				continue
			}
			x.core.tick(w.now)
			if w.exchanging && !w.now.Before(x.nextExchange) {
				x.nextExchange = w.now.Add(DefaultTableInterval)
				w.exchangeTables(x, w.nodes[w.rng.IntN(len(w.nodes))], false)
			}
		}
	}
}

func (w *network) deliver(p packet) {
	from, to := w.byAddr[p.from], w.byAddr[p.to]
	if to == nil || to.down || from == nil || w.blocked != nil && w.blocked(from, to) {
		return
	}
	to.bytes += len(p.payload) + datagramOverhead
	payload, ok := Open("secret", p.payload)
	if !ok {
		w.t.Fatal("datagram refused")
	}
	to.core.receive(p.at, p.from, payload)
}

// runUntil runs until the condition holds for all nodes that are up, and returns the virtual time that it took.
func (w *network) runUntil(limit time.Duration, what string, holds func(x *node) bool) time.Duration {
	w.t.Helper()
	began := w.now
	for {
		ok := true
		for _, x := range w.nodes {
			if !x.down && !holds(x) {
				ok = false
				if w.now.Sub(began) >= limit {
					w.t.Fatalf("%s: not at %s after %v", what, x.name, limit)
				}
				break
			}
		}
		if ok {
			return w.now.Sub(began)
		}
		w.run(tickInterval)
	}
}

func (x *node) stateOf(name string) State {
	e := x.core.table[name]
	if e == nil {
		return Gone
	}
	return e.state()
}

func (x *node) seesAll(s State, names ...string) bool {
	for _, name := range names {
		if name != x.name && x.stateOf(name) != s {
			return false
		}
	}
	return true
}

func names(ns []*node) []string {
	out := make([]string, len(ns))
	for i, x := range ns {
		out[i] = x.name
	}
	return out
}
