package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/plan"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// UpstreamReports requests load reports from upstreams over HTTP.
type UpstreamReports struct{ Client *upstream.Client }

// Report implements Reports.
func (r UpstreamReports) Report(ctx context.Context, u topo.Upstream) (Report, error) {
	l, err := r.Client.Load(ctx, &u)
	return Report{At: l.AtMS, Boot: l.Boot, Load: plan.Load{
		Running: l.Running, Queued: l.Queued, PrefillTokens: l.PrefillTokens, KVPieces: l.KVPiecesInUse,
	}}, err
}

// EventMoveStreams is the kind of the membership event that asks entry VMs to continue their streams elsewhere.
const EventMoveStreams = "move_streams"

// MoveStreams is the payload of EventMoveStreams. A gateway that relays streams from From exports their KV cache there,
// imports it at To and resumes the streams on To. Only the gateway knows the identifiers of its streams.
type MoveStreams struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// BroadcastMover broadcasts the request to move streams to all entry VMs.
type BroadcastMover struct{ List membership.List }

// Move implements Mover.
func (m BroadcastMover) Move(_ context.Context, from, to topo.Upstream) error {
	b, err := json.Marshal(MoveStreams{From: from.Name, To: to.Name})
	if err != nil {
		return trace.Wrap(err)
	}
	return m.List.Broadcast(EventMoveStreams, b)
}

// maxWeightBytes bounds the body of the weight store's answer.
const maxWeightBytes = 4 << 10

// PlatformCosts queries the platform's weight store. The credits come from the settings.
type PlatformCosts struct {
	URL           string // of the platform
	Client        *http.Client
	CreditBalance plan.Credits
}

// Credits implements CostSource.
func (f PlatformCosts) Credits() plan.Credits { return f.CreditBalance }

// Weight implements CostSource.
func (f PlatformCosts) Weight(ctx context.Context, name string) (Weight, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/v1/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return Weight{}, false, trace.Wrap(err)
	}
	resp, err := f.Client.Do(req)
	if err != nil {
		return Weight{}, false, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return Weight{}, false, nil
	case http.StatusOK:
	default:
		return Weight{}, false, trace.Errorf("weight store responded with status %d", resp.StatusCode)
	}
	var w struct {
		Bytes          int64   `json:"bytes"`
		BytesPerSecond float64 `json:"bytes_per_s"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxWeightBytes)).Decode(&w)
	return Weight(w), true, trace.Wrap(err)
}
