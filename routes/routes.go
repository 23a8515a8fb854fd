// Package routes holds the operator's configuration of forwarded requests: routes, the services they lead to and the limits on
// callers' connections.
//
// A Table is immutable; a newer version replaces it as a whole.
package routes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotcroft.example/bergamot/accounts"
)

// Kind defines whether a request of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	Once       Kind = iota // at most one run for each attempt of the caller
	Idempotent             // may run more than once
	Stream                 // answered by a stream of events; at most one run unless the route is resumable
)

// Route is one routing rule of the table.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // a stream may be resumed at another upstream after the last event received
	Timeout       time.Duration // longest time that a caller waits for an answer; 0: unlimited
	Target        time.Duration // latest time of the answer, or of a stream's first event, that counts as on time; 0: none
	MaxPause      time.Duration // longest gap between two events of a stream that counts as on time; 0: none
	Priority      int           // 0 is the highest
	MaxUpstreams  int           // number of upstreams that one request may be sent to
	Splits        []Split
	SharesPrompts bool // requests list the parts of their prompts
	Public        bool // requests need no API key, also if the table has accounts
}

// Split is a service that gets a share of a route's requests.
type Split struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Callers give up on a stream when the time without an event, also before the first one, exceeds the longest of these.
const (
	minPatience            = 2 * time.Second
	targetPatienceFactor   = 4 // times Route.Target
	maxPausePatienceFactor = 8 // times Route.MaxPause
)

// StreamPatience returns the time after which callers give up on a stream that sends no event.
func (r *Route) StreamPatience() time.Duration {
	return max(minPatience, targetPatienceFactor*r.Target, maxPausePatienceFactor*r.MaxPause)
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int      // connections that one upstream accepts from all entry VMs together
	Engine         *Engine  // nil for services without model servers
	Scaling        *Scaling // nil: the number of servers is fixed
}

// Scaling states within which limits and at which prices the servers of a service are ordered.
type Scaling struct {
	Min, Max         int                // servers in each data centre, both kinds together
	Startup          time.Duration      // from an order until the servers serve
	PreemptiblePrice float64            // of a preemptible server, relative to one that is not
	Prices           map[string]float64 // of a server-second, by data centre
}

// Price returns the price of a server-second in a data centre, which is 1 where none is stated.
func (s *Scaling) Price(dataCentre string, preemptible bool) float64 {
	price, ok := s.Prices[dataCentre]
	if !ok {
		price = 1
	}
	if preemptible {
		price *= s.PreemptiblePrice
	}
	return price
}

// Engine describes the engines of a service, which are alike.
type Engine struct {
	Slots             int     // requests that run at once
	KVTokens          int     // capacity of the KV cache in tokens
	KVBytesPerToken   float64 // bytes
	LinkBytesPerS     float64 // bandwidth of an engine's KV transfers
	RoleChange        time.Duration
	HandleRetention   time.Duration // how long the KV cache of a computed prompt is kept for its handle
	Models            []string
	TokensPerEvent    int // output tokens per event of a stream
	MovesBetweenRoles bool
	// StrictPace is set by New if the streams of a route to the engines leave less than StrictTokenTime for a token, and the engines have
	// StrictSlots or more.
	StrictPace bool
}

// unstatedKVTokens is the memory for prompts that engines are taken to have if the configuration states none.
const unstatedKVTokens = 1 << 20

// MaxPrompt returns the number of tokens of the longest prompt or output that one of the engines can hold.
func (e *Engine) MaxPrompt() int {
	if e.KVTokens > 0 {
		return e.KVTokens
	}
	return unstatedKVTokens
}

// StrictTokenTime is the time for a token below which a stream's events are late as soon as its engine computes prompts beside
// it: a chunk of a prompt then adds about as much to each step, 10 to 17 ms.
const StrictTokenTime = 20 * time.Millisecond

// StrictSlots is the number of slots from which prompts are kept away from streams. With 16, a prompt delays few streams, and these need
// so many of the engines that prompts wait long for the others.
const StrictSlots = 32

// Limits bound the size and duration of what a caller sends, and how long its connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Accounts *accounts.Index // nil: the configuration has no accounts, and requests need no API key

	byHost map[string][]*Route
}

// New returns a table with its routes indexed by host.
func New(version uint64, list []Route, services map[string]*Service, limits Limits) *Table {
	t := &Table{Version: version, Routes: list, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.markStrictPace(r)
	}
	return t
}

// markStrictPace sets StrictPace of the engines to which the route leads.
func (t *Table) markStrictPace(r *Route) {
	for _, s := range r.Splits {
		service := t.Services[s.Service]
		if r.Kind != Stream || r.MaxPause <= 0 || service == nil || service.Engine == nil || service.Engine.TokensPerEvent <= 0 || service.Engine.Slots < StrictSlots {
			continue
		}
		if r.MaxPause/time.Duration(service.Engine.TokensPerEvent) < StrictTokenTime {
			service.Engine.StrictPace = true
		}
	}
}

// Match returns the route of the host with the longest matching path prefix, or nil. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the service for a request. Requests with the same key get the same service while the weights stay the same.
func (r *Route) Pick(key string) string {
	total := 0.0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	if total <= 0 || len(r.Splits) == 1 {
		if len(r.Splits) == 0 {
			return ""
		}
		return r.Splits[0].Service
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(key)%resolution) / resolution * total
	for _, s := range r.Splits {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
