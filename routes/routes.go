// Package routes holds the operator's configuration of forwarded requests: routes, the services behind them and the limits of
// callers' connections.
//
// A Table is immutable; a newer one replaces it as a whole.
package routes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	Once       Kind = iota // runs at most once for each attempt of the caller
	Idempotent             // may run more than once
	Stream                 // a stream of events; runs at most once unless the route is resumable
)

// Route is one rule of the table.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          Kind
	Resumable     bool          // a stream may go on at another upstream after the last event received
	Timeout       time.Duration // longest time that a caller is kept waiting; 0: none
	Target        time.Duration // time to the answer, or to a stream's first event, that counts as on time; 0: none
	MaxPause      time.Duration // between two events of a stream that is on time; 0: none
	Priority      int           // 0 is the highest
	MaxUpstreams  int           // upstreams that one request may be sent to
	Splits        []Split
	SharesPrompts bool // requests name the parts of their prompts
}

// Split is a service that gets a share of a route's requests.
type Split struct {
	Service string
	Weight  float64
}

// Repeatable says that a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Callers leave a stream after a gap, also before its first event, of the longest of these.
const (
	minPatience    = 2 * time.Second
	targetPatience = 4 // times the target
	pausePatience  = 8 // times the longest pause that is on time
)

// StreamPatience is the time after which callers leave a stream that shows no event.
func (r *Route) StreamPatience() time.Duration {
	return max(minPatience, targetPatience*r.Target, pausePatience*r.MaxPause)
}

// Service is a set of upstreams that serve the same.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // that one upstream accepts from all entry VMs
	Engine         *Engine // nil for plain services
}

// Engine describes the engines of a service.
type Engine struct {
	Slots             int     // requests that run at once
	KVTokens          int     // tokens of KV cache memory
	KVBytesPerToken   float64 // bytes
	LinkBytesPerS     float64 // bytes a second of an engine's KV transfers
	RoleChange        time.Duration
	HandleLife        time.Duration // for which the KV cache of a computed prompt is kept
	Models            []string
	TokensPerEvent    int // output tokens between two events of a stream
	MovesBetweenRoles bool
}

// Limits bound what a caller may send and how long it may stay idle.
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

	byHost map[string][]*Route
}

// New returns a table with an index by host.
func New(version uint64, list []Route, services map[string]*Service, limits Limits) *Table {
	t := &Table{Version: version, Routes: list, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
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

// Pick returns the service of a request. Requests with the same key keep their service while the weights stay.
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
	at := float64(xxhash.Sum64String(key)%resolution) / resolution * total
	for _, s := range r.Splits {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
