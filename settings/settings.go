// Package settings reads the daemon's settings: JSON with comments and strict fields.
//
// Invariant: Parse reports every fault of a file at once, each with its field, line and result code, and returns settings
// only if there are no faults. The table in docs/settings.md is generated from the structs below.
package settings

import (
	"encoding/json"
	"time"

	"bergamotcroft.example/bergamot/topo"
)

// Module names a plug-in and its settings.
type Module struct {
	ID       string          `json:"module"`
	Settings json.RawMessage `json:"settings"`
}

// Settings are the settings of one entry VM.
type Settings struct {
	Name        string     `json:"name" required:"true" doc:"Name of this entry VM, unique in the fleet."`
	DataCentre  string     `json:"data_centre" required:"true" doc:"Data centre of this entry VM."`
	Cores       int        `json:"cores" default:"0" min:"0" max:"1024" doc:"Size by which callers are spread; 0: the number of cores that the process sees."`
	MemoryBytes int64      `json:"memory_bytes" default:"0" min:"0" max:"17592186044416" doc:"Memory of the VM. An eighth of it bounds what clients hold before a request of theirs is admitted, over all listeners; listeners with TLS then serve HTTP/1 alone. 0: not bounded."`
	Log         Log        `json:"log"`
	Callers     Callers    `json:"callers"`
	Operators   Operators  `json:"operators"`
	Metrics     Metrics    `json:"metrics"`
	Peers       Peers      `json:"peers"`
	Platform    Platform   `json:"platform"`
	Gateway     Gateway    `json:"gateway"`
	Upstreams   Upstreams  `json:"upstreams"`
	Policies    Policies   `json:"policies"`
	Quarantine  Quarantine `json:"quarantine"`
	Control     Control    `json:"control"`
	Shutdown    Shutdown   `json:"shutdown"`
}

// Log configures the log.
type Log struct {
	Level string `json:"level" default:"info" oneof:"debug info warn error" doc:"Lowest level that is logged."`
}

// Callers configures the listener for callers.
type Callers struct {
	Listen         string        `json:"listen" default:"127.0.0.1:8080" doc:"Address and port of the caller listener."`
	Advertise      string        `json:"advertise" doc:"Address and port that callers are told; empty: that of the listener."`
	Certificate    string        `json:"certificate" doc:"File with the TLS certificate chain; empty: no TLS."`
	Key            string        `json:"key" doc:"File with the TLS key."`
	ReloadEvery    topo.Duration `json:"reload_every" default:"10s" min:"100ms" max:"1h" doc:"How often the certificate files are checked for a change, also those of operators."`
	HeaderTimeout  topo.Duration `json:"header_timeout" default:"5s" min:"100ms" max:"1m" doc:"Time for a request's header to arrive."`
	BodyTimeout    topo.Duration `json:"body_timeout" default:"10s" min:"100ms" max:"10m" doc:"Time for a request's body to arrive."`
	WriteTimeout   topo.Duration `json:"write_timeout" default:"10s" min:"100ms" max:"10m" doc:"Time for a caller to read what is sent to it."`
	IdleTimeout    topo.Duration `json:"idle_timeout" default:"2m" min:"1s" max:"1h" doc:"Time that an idle connection is kept."`
	MaxHeaderBytes int           `json:"max_header_bytes" default:"16384" min:"4096" max:"1048576" doc:"Largest header of a request."`
	MaxBodyBytes   int64         `json:"max_body_bytes" default:"4194304" min:"1024" max:"268435456" doc:"Largest body of a request."`
	MaxConnections int           `json:"max_connections" default:"20000" min:"16" max:"1000000" doc:"Connections open at once; more wait to be accepted, or, with memory_bytes, over all listeners but that of peers, take the place of one without a complete request. Peers may open a quarter of it, at least 64."`
}

// Operators configures the administration listener.
type Operators struct {
	Listen      string `json:"listen" doc:"Address and port of the administration listener; empty: none."`
	Certificate string `json:"certificate" doc:"File with the TLS certificate chain; empty: no TLS."`
	Key         string `json:"key" doc:"File with the TLS key."`
	Keys        []Key  `json:"keys" doc:"Operators' keys."`
}

// Key is an operator's key.
type Key struct {
	Operator string `json:"operator" required:"true" doc:"Name of the operator."`
	KeySHA   string `json:"key_sha256" required:"true" doc:"SHA-256 of the key in lower-case hex."`
	Role     string `json:"role" default:"viewer" oneof:"viewer planner operator admin" doc:"What the operator may do."`
}

// Metrics configures the metrics listener.
type Metrics struct {
	Listen string `json:"listen" default:"127.0.0.1:8081" doc:"Address and port of /metrics; empty: none."`
}

// Peers configures the traffic between entry VMs.
type Peers struct {
	Listen    string   `json:"listen" doc:"IP address and port of heartbeats (UDP) and of the peer service (TCP); empty: this entry VM is alone."`
	Advertise string   `json:"advertise" doc:"IP address and port that other entry VMs are told; empty: that of the listener."`
	Secret    string   `json:"secret" doc:"Shared secret of the entry VMs."`
	Seeds     []string `json:"seeds" doc:"IP addresses and ports of other entry VMs, for the case that the platform's list is stale or cannot be read."`
}

// Platform configures access to the platform.
type Platform struct {
	URL           string        `json:"url" doc:"Base URL of the platform's object API; empty: none, the configuration comes from a file."`
	Configuration string        `json:"configuration" doc:"File with a fixed configuration, instead of the platform's."`
	ReadsPerS     float64       `json:"reads_per_s" default:"2000" min:"1" max:"1000000" doc:"Reads a second that the store allows; the entry VMs share them."`
	WritesPerS    float64       `json:"writes_per_s" default:"300" min:"1" max:"1000000" doc:"Writes a second that the store allows; the entry VMs share them."`
	Unconfirmed   topo.Duration `json:"unconfirmed" default:"12s" min:"1s" max:"24h" doc:"New work is refused when neither the store nor a majority of the members has confirmed the configuration for this time. Planned changes wait 3 s longer for an entry VM that cannot be reached. The same on all entry VMs; a configuration is in force everywhere within this time."`
}

// Gateway configures the relay of requests.
type Gateway struct {
	MaxAnswerBytes  int64         `json:"max_answer_bytes" default:"8388608" min:"1024" max:"268435456" doc:"Largest answer that is buffered whole."`
	DefaultDeadline topo.Duration `json:"default_deadline" default:"2m" min:"10ms" max:"24h" doc:"Deadline of requests whose class and header name none."`
	MaxDeadline     topo.Duration `json:"max_deadline" default:"1h" min:"1s" max:"24h" doc:"Longest deadline that a caller may ask for, and longest life of a stream."`
	RelayRing       int           `json:"relay_ring" default:"64" min:"2" max:"4096" doc:"Events between upstream and caller of one stream."`
	LoopRing        int           `json:"loop_ring" default:"4096" min:"64" max:"1048576" doc:"Events that wait for the scheduler."`
	Queue           int           `json:"queue" default:"1000" min:"0" max:"1000000" doc:"Requests that wait for an upstream."`
	CallerSeries    int           `json:"caller_series" default:"200" min:"1" max:"20000" doc:"Callers with latency histograms of their own; the others share one."`
	ServiceTimeout  topo.Duration `json:"service_timeout" default:"30s" min:"10ms" max:"1h" doc:"Time for a plain service to answer, where its route names none."`
}

// Upstreams configures the client of engines and services.
type Upstreams struct {
	DialTimeout   topo.Duration `json:"dial_timeout" default:"1s" min:"10ms" max:"1m" doc:"Time to connect."`
	HeaderTimeout topo.Duration `json:"header_timeout" default:"10s" min:"10ms" max:"10m" doc:"Time for an engine to accept or refuse a request."`
	StallTimeout  topo.Duration `json:"stall_timeout" default:"30s" min:"10ms" max:"1h" doc:"Longest gap between two events of a stream."`
	ReportEvery   topo.Duration `json:"report_every" default:"500ms" min:"10ms" max:"1m" doc:"How often load reports and cache events are fetched."`
	PollsPerS     int           `json:"polls_per_s" default:"64" min:"1" max:"100000" doc:"Upstreams asked for reports in a second at most; with more of them each is asked less often."`
	Subset        int           `json:"subset" default:"64" min:"0" max:"100000" doc:"Upstreams of one model or service that this entry VM works with, chosen by hash; 0: all."`
}

// Policies chooses the plug-ins of the decisions.
type Policies struct {
	Routing   Module `json:"routing" default:"routing.prefix_affinity" doc:"Choice of the upstream."`
	Admission Module `json:"admission" default:"admission.deadline" doc:"Admission and order of the queue."`
	Health    Module `json:"health" default:"health.relative" doc:"Judgement of slow upstreams."`
	Retry     Module `json:"retry" default:"retry.budget" doc:"Retries and hedges."`
	Roles     Module `json:"roles" default:"roles.mix" doc:"Roles of engines."`
}

// Quarantine configures the treatment of requests that crash their upstreams.
type Quarantine struct {
	Settle topo.Duration `json:"settle" default:"3s" min:"0s" max:"1m" doc:"Wait before a suspect request runs again: twice the time in which a broadcast reaches all entry VMs."`
	Expiry topo.Duration `json:"expiry" default:"10m" min:"1s" max:"24h" doc:"Time for which a request with two crashes is refused."`
}

// Control configures leases and planned changes.
type Control struct {
	Groups  int           `json:"groups" default:"8" min:"1" max:"4096" doc:"Groups of upstreams, each under one lease. The same on all entry VMs."`
	Term    topo.Duration `json:"term" default:"10s" min:"1s" max:"10m" doc:"Term of a lease."`
	Credits Credits       `json:"credits"`
}

// Credits describes the provider credits that pay for the fleet.
type Credits struct {
	Balance         float64 `json:"balance" default:"0" min:"0" max:"1000000000000" doc:"Credits left."`
	Expires         string  `json:"expires" doc:"Time at which the credits expire, in RFC 3339; empty: never."`
	PerEngineSecond float64 `json:"per_engine_second" default:"0" min:"0" max:"1000000" doc:"Credits that one engine uses in a second; 0: plans show no use of credits."`
	PerGigabyte     float64 `json:"per_gigabyte" default:"0" min:"0" max:"1000000" doc:"Credits for a gigabyte from the weight store."`
}

// ExpiresAt returns the time at which the credits expire, zero for never.
func (c Credits) ExpiresAt() (time.Time, error) {
	if c.Expires == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, c.Expires)
}

// Shutdown configures the graceful stop.
type Shutdown struct {
	Spread   topo.Duration `json:"spread" default:"10s" min:"0s" max:"10m" doc:"Time until all entry VMs know that one is leaving."`
	Drain    topo.Duration `json:"drain" default:"120s" min:"0s" max:"1h" doc:"Time from the start of a planned stop to the exit of the process."`
	Unlisted bool          `json:"unlisted" default:"false" doc:"No caller is told this address, so that a stop need not wait until kept addresses have expired."`
	Finish   topo.Duration `json:"finish" default:"45s" min:"0s" max:"1h" doc:"Part of the drain time in which no new work is taken and running work ends; what still runs then is handed over."`
}
