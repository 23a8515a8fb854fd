package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// maxControlBytes bounds the response body of a control call.
const maxControlBytes = 1 << 20

// callJSON sends a small JSON request and decodes the response. Besides 200, the body is decoded for the statuses in accepted.
func callJSON[T any](ctx context.Context, c *Client, method, url string, in any, accepted ...int) (T, int, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, c.opts.ControlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return out, 0, trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return out, 0, trace.Wrap(err)
	}
	req.Header.Set(HeaderEntryVM, c.opts.EntryVM)
	resp, err := c.pooled.Do(req)
	if err != nil {
		return out, 0, trace.Wrap(err)
	}
	defer drain(resp.Body)
	for _, status := range append(accepted, http.StatusOK) {
		if resp.StatusCode == status {
			err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&out)
			return out, status, trace.Wrap(err)
		}
	}
	return out, resp.StatusCode, trace.Errorf("%s %s: status %d", method, url, resp.StatusCode)
}

// Load requests an upstream's load report.
func (c *Client) Load(ctx context.Context, u *topo.Upstream) (Load, error) {
	load, _, err := callJSON[Load](ctx, c, http.MethodGet, "http://"+u.Address+"/load", nil)
	return load, err
}

// CacheEvents requests an engine's cache events starting with sequence number from.
func (c *Client) CacheEvents(ctx context.Context, u *topo.Upstream, from uint64) (CacheEvents, error) {
	events, _, err := callJSON[CacheEvents](ctx, c, http.MethodGet,
		"http://"+u.Address+"/cache/events?from="+strconv.FormatUint(from, 10), nil)
	return events, err
}

// ExportKV asks an engine to make the KV cache of a request available to another engine.
func (c *Client) ExportKV(ctx context.Context, u *topo.Upstream, requestID string) (KVTicket, error) {
	ticket, _, err := callJSON[KVTicket](ctx, c, http.MethodPost, "http://"+u.Address+"/kv/export", KVExport{RequestID: requestID})
	return ticket, err
}

// ImportKV asks an engine to fetch a KV cache from the engine that exported it.
func (c *Client) ImportKV(ctx context.Context, u *topo.Upstream, t KVTicket) error {
	_, _, err := callJSON[KVTicket](ctx, c, http.MethodPost, "http://"+u.Address+"/kv/import", t)
	return err
}

// CancelAttempt asks an engine to stop an attempt.
func (c *Client) CancelAttempt(ctx context.Context, u *topo.Upstream, requestID, attempt string) error {
	_, _, err := callJSON[Cancel](ctx, c, http.MethodPost, "http://"+u.Address+"/cancel", Cancel{RequestID: requestID, Attempt: attempt})
	return err
}

// Prefill makes an engine compute the KV cache of an attempt's prompt and keep it.
func (c *Client) Prefill(ctx context.Context, u *topo.Upstream, a Attempt) error {
	a.Fields.PrefillOnly = true
	s, err := c.Open(ctx, u, &a)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Next()
	return err
}

// OrderClient sends orders to engines. It implements orders.Engine.
type OrderClient struct{ Client *Client }

// Send sends an order to an engine. A refusal by the engine is returned as a *result.Error with code OrderRefused or FencingStale.
func (o OrderClient) Send(ctx context.Context, address string, order topo.Order) (topo.EngineStatus, error) {
	status, code, err := callJSON[topo.EngineStatus](ctx, o.Client, http.MethodPost, "http://"+address+"/orders", order, http.StatusConflict)
	if err != nil || code == http.StatusOK {
		return status, err
	}
	if status.Fencing > order.Fencing {
		return status, result.New(result.FencingStale, "engine has seen fencing number %d", status.Fencing)
	}
	return status, result.New(result.OrderRefused, "%s", status.Message)
}

// Current returns the engine's state and its last order.
func (o OrderClient) Current(ctx context.Context, address string) (topo.EngineStatus, error) {
	status, _, err := callJSON[topo.EngineStatus](ctx, o.Client, http.MethodGet, "http://"+address+"/orders/current", nil)
	return status, err
}
