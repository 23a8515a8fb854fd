package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/internal/idleconns"
)

// Headers of the store's HTTP interface.
const (
	HeaderVersion = "If-Version"
	HeaderWriter  = "Writer"
)

const (
	defaultTimeout      = 2 * time.Second // the store usually answers within milliseconds
	defaultWatchTimeout = 30 * time.Second
	defaultAttempts     = 4
	backoffBase         = 50 * time.Millisecond
	backoffMax          = 5 * time.Second
	// maxAnswerBytes bounds an answer. A list of 25,000 configuration objects takes about 12 MB in base64.
	maxAnswerBytes = 16 << 20
)

// Options configure a Client.
type Options struct {
	BaseURL      string       // for example "http://10.0.0.1:7070"
	HTTP         *http.Client // nil: a client of its own without a total timeout
	Name         string       // prefix of the writer marks: entry VM name and incarnation
	Rates        Rates        // of the whole store; zero: DefaultRates
	Members      func() int   // number of entry VMs that share the rates; nil: 1
	Groups       int          // number of lease groups, which share the rates reserved for leases and orders; 0: 1
	Timeout      time.Duration
	WatchTimeout time.Duration
	Attempts     int // tries of a call that is known to have had no effect
	Clock        Clock
}

// Client is the HTTP client of the store. Its methods use this VM's general share of the store's rates.
type Client struct {
	opt       Options
	general   *rateShare
	authority *rateShare
	failures  atomic.Int64 // consecutive failed calls, for the back-off after an outage
}

var _ Store = (*Client)(nil)

// NewClient returns a client. Zero fields of opt get their defaults.
func NewClient(opt Options) *Client {
	if opt.HTTP == nil {
		opt.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: bounded.HeadBytes,
		}}
	}
	if opt.Rates == (Rates{}) {
		opt.Rates = DefaultRates
	}
	if opt.Members == nil {
		opt.Members = func() int { return 1 }
	}
	if opt.Clock == nil {
		opt.Clock = SystemClock{}
	}
	opt.Timeout = positiveOr(opt.Timeout, defaultTimeout)
	opt.WatchTimeout = positiveOr(opt.WatchTimeout, defaultWatchTimeout)
	if opt.Attempts <= 0 {
		opt.Attempts = defaultAttempts
	}
	return &Client{opt: opt, general: newRateShare(), authority: newRateShare()}
}

func positiveOr(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// Authority returns a Store for leases and orders, which uses the part of the rates that is reserved for them.
func (c *Client) Authority() Store { return authorityView{c} }

func (c *Client) divide() {
	members := max(c.opt.Members(), 1)
	now := c.opt.Clock.Now()
	r := c.opt.Rates
	c.general.divide(now, Rates{r.Reads * (1 - authorityPart), r.Writes * (1 - authorityPart)}, members)
	holders := min(members, max(c.opt.Groups, 1))
	c.authority.divide(now, Rates{r.Reads * authorityPart, r.Writes * authorityPart}, holders)
}

// call is one HTTP call to the store.
type call struct {
	method  string
	path    string
	header  http.Header
	body    []byte
	write   bool
	limiter *rate.Limiter
	timeout time.Duration
}

func (c *Client) read(s *rateShare, path string) call {
	return call{method: http.MethodGet, path: path, limiter: s.reads, timeout: c.opt.Timeout}
}

// do makes a call and retries it only if the call is known to have had no effect.
func (c *Client) do(ctx context.Context, k call, answer any) error {
	c.divide()
	for attempt := 1; ; attempt++ {
		err := c.try(ctx, k, answer)
		retryable := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
		if !retryable {
			c.failures.Store(0)
			return err
		}
		c.failures.Add(1)
		if attempt >= c.opt.Attempts || ctx.Err() != nil {
			return err
		}
		if c.opt.Clock.Sleep(ctx, Backoff(int(c.failures.Load()))) != nil {
			return err
		}
	}
}

// Backoff returns the delay before the next try after n consecutive failures. It has full jitter, so that the VMs do not
// retry at the same time after an outage.
func Backoff(n int) time.Duration {
	return time.Duration(rand.Int64N(int64(backoffBound(n)))) + time.Millisecond
}

// BackoffFrom is Backoff with a given source of randomness.
func BackoffFrom(rng *rand.Rand, n int) time.Duration {
	return time.Duration(rng.Int64N(int64(backoffBound(n)))) + time.Millisecond
}

func backoffBound(n int) time.Duration {
	if n >= 8 {
		return backoffMax
	}
	return min(backoffBase<<max(n, 0), backoffMax)
}

var storeCalls = metrics.NewCounter("bergamot_store_calls_total")

func (c *Client) try(ctx context.Context, k call, answer any) error {
	if err := waitForRate(ctx, c.opt.Clock, k.limiter, c.opt.Timeout); err != nil {
		return trace.Wrap(ErrRateLimited, "own share: %v", err)
	}
	storeCalls.Inc()
	sent := new(atomic.Bool)
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, k.method, c.opt.BaseURL+k.path, bytes.NewReader(k.body))
	if err != nil {
		return trace.Wrap(err)
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.opt.HTTP.Do(req)
	if err != nil {
		idleconns.CloseAfterTimeout(ctx, c.opt.HTTP)
		return callError(k.write && sent.Load(), err)
	}
	defer resp.Body.Close()
	if err = decodeAnswer(resp, k.write, answer); err != nil {
		idleconns.CloseAfterTimeout(ctx, c.opt.HTTP)
	}
	return err
}

// callError returns ErrOutcomeUnknown for a write that may have reached the store.
func callError(unknown bool, err error) error {
	if unknown {
		return trace.Wrap(ErrOutcomeUnknown, "%v", err)
	}
	return trace.Wrap(ErrUnavailable, "%v", err)
}

func decodeAnswer(resp *http.Response, write bool, answer any) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return ErrWatchGap
	default:
		return callError(write, fmt.Errorf("status %d", resp.StatusCode))
	}
	body, err := bounded.ReadAll(resp.Body, "answer of the store", resp.ContentLength, maxAnswerBytes, nil)
	if err == nil {
		err = json.Unmarshal(body, answer)
	}
	if err != nil {
		return callError(write, err)
	}
	return nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ListResult is the answer of the store to a list call.
type ListResult struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// WatchResult is the answer of the store to a watch call.
type WatchResult struct {
	Events []Event `json:"events"`
	Next   uint64  `json:"next"`
}

// WriteResult is the answer of the store to a write.
type WriteResult struct {
	Version uint64 `json:"version"`
}

func (c *Client) get(ctx context.Context, s *rateShare, kind, name string) (Object, error) {
	var o Object
	err := c.do(ctx, c.read(s, objectPath(kind, name)), &o)
	return o, err
}

func (c *Client) put(ctx context.Context, s *rateShare, o Object) (uint64, error) {
	if len(o.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if o.Writer == "" {
		o.Writer = NewWriterMark(c.opt.Name)
	}
	var w WriteResult
	err := c.do(ctx, call{
		method: http.MethodPut, path: objectPath(o.Kind, o.Name), body: o.Value, write: true,
		header:  http.Header{HeaderVersion: {strconv.FormatUint(o.Version, 10)}, HeaderWriter: {o.Writer}},
		limiter: s.writes, timeout: c.opt.Timeout,
	}, &w)
	return w.Version, err
}

func (c *Client) list(ctx context.Context, s *rateShare, kind, prefix string) ([]Object, uint64, error) {
	var l ListResult
	err := c.do(ctx, c.read(s, "/v1/objects/"+url.PathEscape(kind)+"?prefix="+url.QueryEscape(prefix)), &l)
	return l.Objects, l.Revision, err
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, c.general, kind, name)
}

// List returns the objects of a kind whose names begin with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, c.general, kind, prefix)
}

// Put writes o if the stored version equals o.Version.
func (c *Client) Put(ctx context.Context, o Object) (uint64, error) { return c.put(ctx, c.general, o) }

// Delete removes an object if its version equals version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	return c.delete(ctx, c.general, kind, name, version)
}

func (c *Client) delete(ctx context.Context, s *rateShare, kind, name string, version uint64) error {
	return c.do(ctx, call{
		method: http.MethodDelete, path: objectPath(kind, name), write: true,
		header:  http.Header{HeaderVersion: {strconv.FormatUint(version, 10)}},
		limiter: s.writes, timeout: c.opt.Timeout,
	}, &WriteResult{})
}

// Watch waits for changes of a kind. It does not retry a failed watch.
func (c *Client) Watch(ctx context.Context, kind string, from uint64) ([]Event, uint64, error) {
	c.divide()
	k := c.read(c.general, "/v1/watch/"+url.PathEscape(kind)+"?from="+strconv.FormatUint(from, 10))
	k.timeout = c.opt.WatchTimeout
	var ch WatchResult
	err := c.try(ctx, k, &ch)
	return ch.Events, ch.Next, err
}

// VMs returns the platform's VM list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.do(ctx, c.read(c.general, "/v1/vms"), &vms)
	return vms, err
}

// authorityView is the client with the rate share for leases and orders.
type authorityView struct{ *Client }

func (v authorityView) Get(ctx context.Context, kind, name string) (Object, error) {
	return v.get(ctx, v.authority, kind, name)
}

func (v authorityView) List(ctx context.Context, kind, prefix string) ([]Object, uint64, error) {
	return v.list(ctx, v.authority, kind, prefix)
}

func (v authorityView) Put(ctx context.Context, o Object) (uint64, error) {
	return v.put(ctx, v.authority, o)
}

func (v authorityView) Delete(ctx context.Context, kind, name string, version uint64) error {
	return v.delete(ctx, v.authority, kind, name, version)
}
