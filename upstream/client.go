package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Options configures a Client. The zero value is usable.
type Options struct {
	EntryVM        string        // name of this entry VM, sent so that engines can report its share of the load
	DialTimeout    time.Duration // default 1 s
	HeaderTimeout  time.Duration // until an engine accepts or refuses an attempt; default 10 s
	StallTimeout   time.Duration // longest gap between two events of a stream; default 30 s
	ControlTimeout time.Duration // timeout of load, cache event, KV and order calls; default 3 s
	// OnLoad is called with the load reports in response headers. It must not block. nil: they are ignored.
	OnLoad func(u *topo.Upstream, l Load)
}

func (o *Options) defaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&o.DialTimeout, time.Second)
	set(&o.HeaderTimeout, 10*time.Second)
	set(&o.StallTimeout, 30*time.Second)
	set(&o.ControlTimeout, 3*time.Second)
}

// Client sends requests to engines and plain services.
type Client struct {
	opts     Options
	pooled   *http.Client
	unpooled *http.Client // uses a new connection for each call
	mu       sync.Mutex
	boots    map[string]uint64 // last X-Boot value by address
}

// New returns a Client.
func New(o Options) *Client {
	o.defaults()
	d := &net.Dialer{Timeout: o.DialTimeout}
	t := &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: bounded.HeadBytes,
		MaxIdleConns:           4096,
		MaxIdleConnsPerHost:    512,
		IdleConnTimeout:        30 * time.Second,
	}
	unpooled := t.Clone()
	// If the server closes a reused connection while the request is being sent, it is unknown whether the request ran, and
	// net/http retries some requests by itself. A new connection has neither problem.
	unpooled.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		opts:     o,
		pooled:   &http.Client{Transport: t, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
		boots:    map[string]uint64{},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Failure is the error of a failed attempt.
type Failure struct {
	Outcome    policy.Outcome
	Code       result.Code
	RetryAfter time.Duration // how long the upstream wants no more requests from this entry VM
	Crash      uint64        // identifies the crash if Outcome is Crashed; equal for all attempts ended by one crash
	Cause      error
}

func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.Code.Info().Name, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

func newFailure(o policy.Outcome, code result.Code, format string, args ...any) *Failure {
	return &Failure{Outcome: o, Code: code, Cause: fmt.Errorf(format, args...)}
}

// Attempt is one attempt of a completion.
type Attempt struct {
	RequestID string
	Attempt   string // unique for each attempt of a request
	Path      string // /v1/completions or /v1/chat/completions
	Body      []byte // the caller's JSON object without the fields in Fields
	Fields    Fields
}

// body returns the caller's JSON object with Fields added.
func (a *Attempt) body() ([]byte, error) {
	fields, err := json.Marshal(a.Fields)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	caller := bytes.TrimSpace(a.Body)
	if len(caller) < 2 || caller[len(caller)-1] != '}' {
		return nil, errMalformed
	}
	out := make([]byte, 0, len(caller)+len(fields)+1)
	out = append(out, caller[:len(caller)-1]...)
	if len(bytes.TrimSpace(caller[1:len(caller)-1])) > 0 {
		out = append(out, ',')
	}
	return append(out, fields[1:]...), nil
}

// post sends an attempt and returns the response once the engine has accepted it.
func (c *Client) post(ctx context.Context, u *topo.Upstream, a *Attempt) (*http.Response, *Failure) {
	body, err := a.body()
	if err != nil {
		return nil, newFailure(policy.FailedBeforeSend, result.MalformedRequest, "%w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+a.Path, bytes.NewReader(body))
	if err != nil {
		return nil, newFailure(policy.FailedBeforeSend, result.Internal, "%w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttempt, a.Attempt)
	req.Header.Set(HeaderEntryVM, c.opts.EntryVM)
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, c.sendFailure(ctx, u, err)
	}
	if f := checkHead(resp); f != nil {
		_ = resp.Body.Close()
		return nil, f
	}
	if resp.StatusCode != http.StatusOK {
		defer drain(resp.Body)
		return nil, statusFailure(resp)
	}
	if id := resp.Header.Get(HeaderRequestID); id != a.RequestID {
		_ = resp.Body.Close()
		return nil, newFailure(policy.FailedUnknown, result.AnswerMismatch, "answer is for request %q", id)
	}
	c.recordBoot(u.Address, resp.Header.Get(HeaderBoot))
	c.reportLoad(u, resp.Header.Get(HeaderLoad))
	return resp, nil
}

// maxLoadBytes bounds a load report in a header; the usual size is about 250 bytes.
const maxLoadBytes = 2 << 10

// reportLoad passes the load report in a response header to OnLoad. Malformed reports are dropped, since engines are polled too.
func (c *Client) reportLoad(u *topo.Upstream, header string) {
	if c.opts.OnLoad == nil || header == "" || len(header) > maxLoadBytes {
		return
	}
	var l Load
	if json.Unmarshal([]byte(header), &l) == nil && l.AtMS > 0 {
		c.opts.OnLoad(u, l)
	}
}

// checkHead returns a failure for a response whose status is that of no final answer or is invalid (RFC 9110, section 15), or whose header has
// too many lines.
func checkHead(resp *http.Response) *Failure {
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return newFailure(policy.FailedUnknown, result.AnswerMismatch, "status %d is invalid", resp.StatusCode)
	}
	lines := 0
	for _, values := range resp.Header {
		lines += len(values)
	}
	if lines > bounded.MaxHeadLines {
		return newFailure(policy.FailedUnknown, result.AnswerTooLarge, "%w", &bounded.Error{Input: "number of lines of the head of an answer", Limit: bounded.MaxHeadLines})
	}
	return nil
}

// statusFailure returns the failure for a response whose status rejects the request.
func statusFailure(resp *http.Response) *Failure {
	timer := time.AfterFunc(drainTimeout, func() { _ = resp.Body.Close() })
	defer timer.Stop()
	msg, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // possibly incomplete; only for the error text
	f := newFailure(policy.FailedUnknown, result.UpstreamFailed, "status %d: %s", resp.StatusCode, bytes.TrimSpace(msg))
	if resp.Header.Get(HeaderNotRun) != "" {
		f.Outcome, f.Code = policy.RefusedNotRun, result.UpstreamRefused
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		f.RetryAfter = conns.RetryAfter(resp.Header)
	}
	return f
}

// sendFailure classifies an error of http.Client.Do.
func (c *Client) sendFailure(ctx context.Context, u *topo.Upstream, err error) *Failure {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return newFailure(policy.FailedBeforeSend, result.NoUpstream, "%w", err)
	case ctx.Err() != nil:
		return contextFailure(ctx)
	}
	return c.connectionFailure(ctx, u, err)
}

// contextFailure returns the failure of an attempt whose context has ended.
func contextFailure(ctx context.Context) *Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, errStalled) || errors.Is(cause, context.DeadlineExceeded) {
		return newFailure(policy.TimedOut, result.DeadlineExceeded, "%w", cause)
	}
	return newFailure(policy.Cancelled, result.CallerGone, "%w", cause)
}

// connectionFailure returns the failure for a broken connection: CutShort if the upstream is an engine that has not restarted,
// Crashed otherwise.
func (c *Client) connectionFailure(ctx context.Context, u *topo.Upstream, err error) *Failure {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	before := c.lastBoot(u.Address)
	if u.Kind == topo.KindEngine {
		load, probeErr := c.Load(ctx, u)
		if probeErr == nil && before != 0 && load.Boot == before {
			return newFailure(policy.CutShort, result.AnswerIncomplete, "connection broken: %w", err)
		}
	}
	f := newFailure(policy.Crashed, result.UpstreamFailed, "upstream crashed: %w", err)
	f.Crash = xxhash.Sum64String(u.Address+"#"+strconv.FormatUint(before, 10)) | 1
	if before == 0 { // without a boot number, this crash can't be matched with those of other attempts
		f.Crash = rand.Uint64() | 1
	}
	return f
}

func (c *Client) recordBoot(address, boot string) {
	n, err := strconv.ParseUint(boot, 10, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots[address] = n
}

func (c *Client) lastBoot(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boots[address]
}

const (
	maxDrained   = 4 << 10 // bytes; reading more costs more than a new connection
	drainTimeout = 50 * time.Millisecond
)

// drain reads a short remainder of a body, so that the connection can be reused, and closes the body.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxDrained)
	_ = body.Close()
}
