package replay

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"bergamotcroft.example/bergamot/topo"
)

// EntryVM is one entry VM in a fleet file.
type EntryVM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Cores      int    `json:"cores"`
}

// Fleet is the content of a fleet file.
type Fleet struct {
	Name              string          `json:"name"`
	DataCentres       []string        `json:"data_centres"`
	BetweenMS         float64         `json:"one_way_between_data_centres_ms"`
	ClientMS          float64         `json:"one_way_to_clients_ms"`
	EntryVMs          []EntryVM       `json:"entry_vms"`
	Upstreams         []topo.Upstream `json:"upstreams"`
	PricePerHour      float64         `json:"price_per_engine_hour,omitempty"`
	AddressGroup      int             `json:"address_group,omitempty"`        // entry VMs in one address answer; 0: 3
	ReportIntervalMS  int             `json:"report_interval_ms,omitempty"`   // 0: 250
	CacheGapsPerMille int             `json:"cache_gaps_per_mille,omitempty"` // share of batches of cache events that are lost
}

// ReadFleet parses a fleet file, which is JSON with comments.
func ReadFleet(b []byte) (*Fleet, error) {
	std, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return nil, trace.BadParameter("fleet file: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	f := &Fleet{}
	if err := d.Decode(f); err != nil {
		return nil, trace.BadParameter("fleet file: %v", err)
	}
	return f, f.check()
}

// LoadFleet reads a fleet file.
func LoadFleet(path string) (*Fleet, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ReadFleet(b)
}

func (f *Fleet) check() error {
	if len(f.EntryVMs) == 0 || len(f.Upstreams) == 0 {
		return trace.BadParameter("a fleet needs entry_vms and upstreams")
	}
	if f.AddressGroup <= 0 {
		f.AddressGroup = 3
	}
	if f.ReportIntervalMS <= 0 {
		f.ReportIntervalMS = 250
	}
	names := map[string]bool{}
	for i := range f.Upstreams {
		u := &f.Upstreams[i]
		if u.Name == "" || names[u.Name] {
			return trace.BadParameter("upstream %d: name is empty or used twice", i)
		}
		names[u.Name] = true
		if u.MaxBatch < 1 {
			return trace.BadParameter("upstream %s: max_batch must be at least 1", u.Name)
		}
		if u.Kind == topo.KindEngine && (u.PrefillTokensPerSecond <= 0 || u.DecodeTokensPerSecond <= 0 || u.KVPieces < 1) {
			return trace.BadParameter("upstream %s: an engine needs prefill_tokens_per_s, decode_tokens_per_s and kv_pieces", u.Name)
		}
		if u.Kind == topo.KindService && u.Service == "" {
			return trace.BadParameter("upstream %s: a service server needs service", u.Name)
		}
	}
	return nil
}

// latency returns the one-way latency between two data centres, that of an entry VM and that of an upstream.
func (f *Fleet) latency(a, b string) time.Duration {
	if a == b {
		return localLatency
	}
	return time.Duration(f.BetweenMS * float64(time.Millisecond))
}

// localLatency is the one-way latency within a data centre.
const localLatency = 100 * time.Microsecond

func (f *Fleet) clientLatency() time.Duration {
	return time.Duration(f.ClientMS * float64(time.Millisecond))
}

// engines returns the upstreams that serve a model.
func (f *Fleet) engines() []topo.Upstream {
	var out []topo.Upstream
	for _, u := range f.Upstreams {
		if u.Kind == topo.KindEngine {
			out = append(out, u)
		}
	}
	return out
}

// withRoles returns a copy of the fleet whose engines have these roles, in order.
func (f *Fleet) withRoles(roles []topo.Role) *Fleet {
	c := *f
	c.Upstreams = append([]topo.Upstream(nil), f.Upstreams...)
	n := 0
	for i := range c.Upstreams {
		if c.Upstreams[i].Kind == topo.KindEngine && n < len(roles) {
			c.Upstreams[i].Role = roles[n]
			n++
		}
	}
	return &c
}
