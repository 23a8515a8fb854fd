// Package topo defines the typed objects that the system keeps in the platform's store, and their codec.
//
// Decoding is strict: an unknown field is an error. Every kind has one Go type; the store holds no other objects.
package topo

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Kinds of objects in the store.
const (
	KindConfiguration = "configuration" // the head object and its chunks
	KindIntent        = "intent"
	KindPlan          = "plan"
	KindOrder         = "order"
	KindLease         = "lease"
	KindClaims        = "claims"
	KindVM            = "vm"
	KindUpstream      = "upstream" // status of an upstream, written by the lease holder
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return trace.Wrap(err)
	}
	*d = Duration(v)
	return nil
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Role is the phase of a request that an engine runs.
type Role string

// The roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// UpstreamState is the state that operators have requested for an upstream.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamActive    UpstreamState = "active"
	UpstreamDraining  UpstreamState = "draining"  // no new work, running work finishes
	UpstreamWithdrawn UpstreamState = "withdrawn" // not used
)

// Upstream is one model engine or one server of a plain service.
type Upstream struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address,omitempty"` // host:port
	Kind       UpstreamKind  `json:"kind"`
	State      UpstreamState `json:"state,omitempty"` // empty: active

	Service string `json:"service,omitempty"` // for services
	// Version is the version of the upstream's software. A stream goes on only at the version that began it.
	Version string `json:"version,omitempty"`

	Models                 []string `json:"models,omitempty"` // for engines; "model" or "model@version"
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_s,omitempty"`
	DecodeTokensPerSecond  float64  `json:"decode_tokens_per_s,omitempty"`
	MaxBatch               int      `json:"max_batch,omitempty"` // concurrent streams; for services concurrent calls
	KVPieces               int      `json:"kv_pieces,omitempty"` // KV memory in pieces of about 1,000 tokens
	KVTokens               int      `json:"kv_tokens,omitempty"` // KV memory in tokens; 0: not stated
	KVBytesPerToken        float64  `json:"kv_bytes_per_token,omitempty"`
	LinkBytesPerS          float64  `json:"link_bytes_per_s,omitempty"` // bandwidth of the engine's KV transfers; 0: not stated
	StrictPace             bool     `json:"strict_pace,omitempty"`      // the engine's streams leave little time for a token
	Role                   Role     `json:"role,omitempty"`             // empty: both
	RoleChangeMS           int      `json:"role_change_ms,omitempty"`
	ReportLagMS            int      `json:"report_lag_ms,omitempty"`
	ChecksFencing          bool     `json:"checks_fencing,omitempty"` // refuses orders with an old fencing number
}

// Route describes the calls of a plain service that match a method and a path prefix.
type Route struct {
	Method     string   `json:"method"`      // empty: any
	PathPrefix string   `json:"path_prefix"` // below /services/{service}
	Idempotent bool     `json:"idempotent"`
	Timeout    Duration `json:"timeout,omitempty"`
}

// Service is a plain service, not a model engine. Routes are matched in order; a call without a route is refused.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Model is a model that callers can request, with the version it resolves to unless the account sets another one.
type Model struct {
	Name    string   `json:"name"`
	Version string   `json:"version,omitempty"`
	Adapter string   `json:"adapter,omitempty"`
	Classes []string `json:"classes,omitempty"` // documented classes of work, as information for operators
}

// Class is a class of work with its default deadline, chosen by the request's Bergamot-Class header.
type Class struct {
	Name       string   `json:"name"`
	Priority   int      `json:"priority"` // 0 is the highest
	Deadline   Duration `json:"deadline,omitempty"`
	FirstToken Duration `json:"first_token,omitempty"` // target for the first token; 0: none
}

// Limits are the limits of one account across all entry VMs. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_s,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_s,omitempty"` // prompt and output tokens
	Concurrent        int     `json:"concurrent,omitempty"`
}

// Account is one client account. Keys are stored as SHA-256 in lower-case hex.
type Account struct {
	Caller   string            `json:"caller"`
	KeySHA   []string          `json:"key_sha256"`
	Priority int               `json:"priority"` // 0 is the highest
	Weight   float64           `json:"weight,omitempty"`
	Limits   Limits            `json:"limits"`
	Models   []string          `json:"models,omitempty"`   // empty: all
	Services []string          `json:"services,omitempty"` // empty: all
	Versions map[string]string `json:"versions,omitempty"` // model to version, where the version differs from the default

	// NoPriority is set if the platform's configuration states no Priority for the account: that of the route applies.
	NoPriority bool `json:"-"`
}

// Configuration is the shared configuration of all entry VMs. A lower Revision never replaces a higher one.
type Configuration struct {
	Revision  uint64     `json:"revision"`
	Accepted  time.Time  `json:"accepted"` // for display and measurement only
	Author    string     `json:"author,omitempty"`
	Models    []Model    `json:"models"`
	Classes   []Class    `json:"classes"`
	Services  []Service  `json:"services"`
	Upstreams []Upstream `json:"upstreams"`
	Accounts  []Account  `json:"accounts"`
}

// Lease gives its holder authority over one group of upstreams.
type Lease struct {
	Group       int    `json:"group"`
	Holder      string `json:"holder"`      // entry VM name
	Incarnation uint64 `json:"incarnation"` // of the holder
	Fencing     uint64 `json:"fencing"`     // increases by one with each change of holder
	TermMS      int64  `json:"term_ms"`
	Renewals    uint64 `json:"renewals"`           // increases with each renewal, so that a watcher detects it
	Released    bool   `json:"released,omitempty"` // released by the holder; may be taken at once
}

// Encode returns the JSON form of an object.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, trace.Wrap(err)
}

// Decode parses an object and refuses unknown fields.
func Decode[T any](b []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(&v)
	return v, trace.Wrap(err)
}
