package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/platform/standin"
)

const (
	capacityKind = "capacity-reclaimed"
	// scaledService is the service of plain servers whose number is ordered, scaledEngines the one of engines. Only this fault touches them.
	scaledService, scaledEngines = "spot", "spot-text"
	// scaledPrefix begins the paths of their routes, before the class. Their longer timeout leaves time to run a request of 3 s again.
	scaledPrefix = "/long-spot-"

	maxServers       = 6 // of a service in a data centre, both kinds
	foundServers     = 3 // at the start, none of them preemptible
	serverStartup    = 4 * time.Second
	minNotice        = 2200 * time.Millisecond
	noticeSpread     = 300 * time.Millisecond
	minUnavailable   = 8 * time.Second // after a reclaim
	unavailableRange = 3 * time.Second
	firstOrders      = 15 * time.Second // until the first preemptible servers serve
	scaledClients    = 32
	scaledSlots      = 4
	// orderWithin is the time from the first notice within which servers are ordered elsewhere.
	orderWithin = 3 * time.Second
)

// group is the servers of a service that the platform counts and takes away together.
type group struct {
	service, zone string
	preemptible   bool
}

// scaledServer is a server that was ordered.
type scaledServer struct {
	group
	node    *node
	leaving bool
}

// capacity is the part of the platform that starts and ends servers.
type capacity struct {
	fl     *fleet
	api    *standin.Duties
	server *http.Server

	mu          sync.Mutex
	servers     []*scaledServer      // that have registered
	starting    map[group]int        // ordered, and not registered yet
	unavailable map[string]time.Time // by data centre: until then no preemptible servers can be ordered
	started     int
	ended       bool
}

// capacityOrder is an order that the platform accepted, with the servers that it adds.
type capacityOrder struct {
	at    time.Time
	group group
	added int
}

// reclaim is the end of all preemptible servers of a data centre.
type reclaim struct {
	interval // from the notice until the fault has ended
	zone     string
	lost     map[string]int // servers by service
	spare    map[string]int // by service: further servers that max allows elsewhere
}

func newCapacity(fl *fleet) (*capacity, error) {
	c := &capacity{fl: fl, api: standin.NewDuties(leaseBound), starting: map[group]int{}, unavailable: map[string]time.Time{}}
	c.api.Scale = c.order
	l, err := net.Listen("tcp4", ownIP()+":0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fl.options.dutiesAddress = l.Addr().String()
	c.server = &http.Server{Handler: c.api, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(l) }() // until close
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range dataCentres * foundServers {
		for _, service := range []string{scaledService, scaledEngines} {
			if err := c.start(group{service, zoneOf(i), false}); err != nil {
				return c, err
			}
		}
	}
	return c, nil
}

// configuration adds the scaled services and their routes to a configuration.
func (c *capacity) configuration(raw json.RawMessage) json.RawMessage {
	var v map[string]any
	if err := json.Unmarshal(raw, &v); err != nil {
		panic(err) // can't happen: standin.Config makes it
	}
	for _, r := range v["routes"].([]any) {
		route := r.(map[string]any)
		service := map[any]string{"app": scaledService, "text": scaledEngines}[route["service"]]
		class := strings.Trim(route["path_prefix"].(string), "/")
		if service == "" || !slices.Contains(classes, class) || class == "moving" {
			continue
		}
		scaled := map[string]any{}
		for k, value := range route {
			scaled[k] = value
		}
		scaled["name"], scaled["path_prefix"], scaled["service"] = "spot-"+class, scaledPrefix+class+"/", service
		scaled["timeout_ms"] = standin.RouteTimeout(scaledPrefix, routeTimeout).Milliseconds()
		v["routes"] = append(v["routes"].([]any), scaled)
	}
	prices := map[string]any{}
	for i := range dataCentres {
		prices[zoneOf(i)] = 1 + 0.1*float64(i)
	}
	for _, s := range v["services"].([]any) {
		service := s.(map[string]any)
		name := map[any]string{"app": scaledService, "text": scaledEngines}[service["name"]]
		if name == "" {
			continue
		}
		scaled := map[string]any{"scaling": map[string]any{"min": 1, "max": maxServers, "startup_s": serverStartup.Seconds(), "spot_price": 0.22, "zone_prices": prices}}
		for k, value := range service {
			scaled[k] = value
		}
		scaled["name"] = name
		v["services"] = append(v["services"].([]any), scaled)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen: the value was JSON
	}
	return b
}

// start starts and registers a server. The lock is held.
func (c *capacity) start(g group) error {
	c.started++
	n := &node{zone: g.zone, service: g.service, streams: g.service == scaledEngines, id: fmt.Sprintf("i-%s-%d-%d", g.service, c.started, os.Getpid())}
	if n.streams {
		n.phase = "prefill"
		if prompts, others := c.phases(); prompts > others {
			n.phase = "decode"
		}
		n.version = "v1"
	}
	var err error
	if n.server, err = standin.NewServer(standin.ServerOptions{ID: n.id, IP: ownIP(), Service: g.service, Phase: n.phase, Version: n.version, Streams: n.streams,
		Slots: scaledSlots, Preemptible: g.preemptible, Work: serverWork, Observe: c.fl.recordRun}); err != nil {
		return trace.Wrap(err)
	}
	if n.link, err = newProxy(n.server.Address()); err != nil {
		return trace.Wrap(err)
	}
	c.servers = append(c.servers, &scaledServer{group: g, node: n})
	return trace.Wrap(c.fl.store.Put("servers", n.id, n.server.Entry(n.link.address(), n.zone, "ready", time.Now().UnixMilli())))
}

// phases returns the numbers of engines of the two phases that stay. The lock is held.
func (c *capacity) phases() (prompts, others int) {
	for _, s := range c.servers {
		switch {
		case s.leaving || !s.node.streams:
		case s.node.phase == "prefill":
			prompts++
		default:
			others++
		}
	}
	return prompts, others
}

// staying returns the servers of a group that have not been told to leave. The lock is held.
func (c *capacity) staying(g group) (out []*scaledServer) {
	for _, s := range c.servers {
		if s.group == g && !s.leaving {
			out = append(out, s)
		}
	}
	return out
}

// order carries out an order of an entry VM.
func (c *capacity) order(o standin.ScaleOrder) (status int, breach string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := group{o.Service, o.Zone, o.Preemptible}
	other := group{o.Service, o.Zone, !o.Preemptible}
	staying := c.staying(g)
	missing := o.Desired - len(staying) - c.starting[g]
	switch {
	case o.Desired < 0 || o.Service != scaledService && o.Service != scaledEngines:
		return http.StatusBadRequest, fmt.Sprintf("an order that can't be carried out: %+v", o)
	case missing > 0 && o.Desired+len(c.staying(other))+c.starting[other] > maxServers:
		return http.StatusBadRequest, fmt.Sprintf("%d servers ordered for %v beside %d and %d that start, more than %d", o.Desired, g, len(c.staying(other)), c.starting[other], maxServers)
	case missing > 0 && o.Preemptible && time.Now().Before(c.unavailable[o.Zone]):
		return http.StatusConflict, ""
	}
	c.fl.observed.recordOrder(capacityOrder{time.Now(), g, max(missing, 0)})
	for range missing {
		c.starting[g]++
		go c.startLater(g)
	}
	for ; missing < 0 && c.starting[g] > 0; missing++ {
		c.starting[g]--
	}
	if missing < 0 {
		c.end(staying[:-missing], minNotice)
	}
	return http.StatusOK, ""
}

// startLater starts a server after the start-up time, unless fewer are wanted by then.
func (c *capacity) startLater(g group) {
	time.Sleep(serverStartup)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starting[g] > 0 && !c.ended {
		c.starting[g]--
		c.fl.reportError(c.start(g))
	}
}

// end lets servers report that they leave, and ends them after the notice. The lock is held.
func (c *capacity) end(list []*scaledServer, notice time.Duration) {
	for _, s := range list {
		s.leaving = true
		entry := s.node.server.Entry(s.node.link.address(), s.zone, "draining", time.Now().UnixMilli())
		entry["leaves_ms"] = notice.Milliseconds()
		c.fl.reportError(c.fl.store.Put("servers", s.node.id, entry))
		c.fl.recordLeaving(s.node.id)
	}
	go func() {
		time.Sleep(notice)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range list {
			c.fl.recordLinkDisturbance(s.node, time.Second)
			s.node.link.close()
			s.node.server.Crash()
			c.fl.store.Delete("servers", s.node.id)
		}
		c.servers = slices.DeleteFunc(c.servers, func(s *scaledServer) bool { return slices.Contains(list, s) })
	}()
}

// close ends the API and the servers.
func (c *capacity) close() {
	_ = c.server.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, s := range c.servers {
		s.node.link.close()
		s.node.server.Crash()
	}
}

// reclaim takes the preemptible servers of a data centre away, and returns what is lost and what may be ordered elsewhere.
func (c *capacity) reclaim(zone string, notice, unavailable time.Duration) (lost, spare map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, spare = map[string]int{}, map[string]int{}
	c.unavailable[zone] = time.Now().Add(notice + unavailable)
	var list []*scaledServer
	for _, s := range c.servers {
		spare[s.service] = 0
		if s.zone == zone && s.preemptible && !s.leaving {
			list = append(list, s)
			lost[s.service]++
		}
	}
	for service := range spare {
		for i := range dataCentres {
			for _, preemptible := range []bool{false, true} {
				if z := zoneOf(i); z != zone {
					spare[service] -= len(c.staying(group{service, z, preemptible})) + c.starting[group{service, z, preemptible}]
				}
			}
		}
		spare[service] += (dataCentres - 1) * maxServers
		c.starting[group{service, zone, true}] = 0
	}
	c.end(list, notice)
	return lost, spare
}

// hasPreemptible reports whether preemptible servers of both services serve in a data centre.
func (c *capacity) hasPreemptible(zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.staying(group{scaledService, zone, true})) > 0 && len(c.staying(group{scaledEngines, zone, true})) > 0
}

// reclaimCapacity takes the preemptible servers of a data centre away under work at them.
func (fl *fleet) reclaimCapacity(f fault) {
	turn := fl.targetLock(capacityKind, 0)
	if !turn.TryLock() {
		return // the platform takes the servers of one data centre away at a time
	}
	defer turn.Unlock()
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(f.at)))
	zone := zoneOf(f.target)
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for k := range scaledClients {
		all.Go(func() { fl.callScaled(ctx, k, fmt.Sprintf("spot-%d-%d-%d", f.target, f.at.Milliseconds(), k)) })
	}
	for end := time.Now().Add(firstOrders); !fl.capacity.hasPreemptible(zone) && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	notice := minNotice + time.Duration(rng.Int64N(int64(noticeSpread)))
	unavailable := minUnavailable + time.Duration(rng.Int64N(int64(unavailableRange)))
	time.Sleep(f.duration)
	from := time.Now()
	lost, spare := fl.capacity.reclaim(zone, notice, unavailable)
	time.Sleep(notice + unavailable + serverStartup)
	stop()
	all.Wait()
	fl.observed.mu.Lock()
	defer fl.observed.mu.Unlock()
	fl.observed.reclaims = append(fl.observed.reclaims, reclaim{interval{from, time.Now()}, zone, lost, spare})
}

// callScaled sends requests to the scaled services until ctx ends.
func (fl *fleet) callScaled(ctx context.Context, k int, name string) {
	rng := rand.New(rand.NewPCG(fl.options.Seed, uint64(k)))
	for n := 0; ctx.Err() == nil; n++ {
		e, class := fl.entries[rng.IntN(len(fl.entries))], classes[rng.IntN(4)]
		conn, err := standin.Dial(ctx, e.callers.address())
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue // the entry VM is down
		}
		id, work := fmt.Sprintf("%s-%s-%d", class, name, n), time.Duration(50+rng.IntN(500))*time.Millisecond
		if rng.IntN(3) > 0 { // longer than a notice; what remains of a stream, and a request that runs again, ends within the route's timeout
			work = time.Duration(2300+rng.IntN(700)) * time.Millisecond
			if class == "stream" || class == "resume" {
				work = time.Duration(2600+rng.IntN(1400)) * time.Millisecond
			}
		}
		fl.call(conn, e, class, standin.Attempt{ID: id, Host: host, Path: scaledPrefix + class + "/x", Body: standin.WorkBody(work, id),
			Deadline: clientDeadline, Streams: class == "stream" || class == "resume"})
		_ = conn.Close()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}
