// Package client is the Go library for callers.
//
// Invariants: a request is retried only when the refusal states that it did not run, when the work is idempotent, or
// when it carries an idempotency key, under which it runs at most once; a cached address is not used after it has
// expired; a request that may have run under one key is never sent under another.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
)

// Headers of the caller protocol.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Bergamot-Deadline-Ms"
	headerClass    = "Bergamot-Class"
	headerStream   = "Bergamot-Stream-Id"
	headerOffset   = "Bergamot-Stream-Offset"
)

// Options configure a Client.
type Options struct {
	InitialAddresses []string // host:port of some entry VMs, from which addresses are fetched
	Key              string   // API key
	DataCentre       string   // data centre of the caller; may be empty
	Scheme           string   // "http" or "https"; empty: "http"
	HTTP             *http.Client
	Attempts         int              // maximum for one request; 0: DefaultAttempts
	MaxAnswer        int64            // maximum bytes of a complete answer; 0: DefaultMaxAnswer
	Now              func() time.Time // nil: time.Now
	Seed             uint64           // seed of random choices; 0: random
	// Sleep waits between attempts; nil: waits on a timer.
	Sleep func(context.Context, time.Duration) error
}

// Defaults.
const (
	DefaultAttempts = 5
	// DefaultMaxAnswer is the largest complete answer that an entry VM relays, in bytes.
	DefaultMaxAnswer = 8 << 20
	minBackoff       = 50 * time.Millisecond // used when the refusal has no retry-after time; doubles with each attempt
	maxBackoff       = 5 * time.Second
	maxErrorBytes    = 64 << 10
)

// Client sends requests to entry VMs. It is safe for concurrent use.
type Client struct {
	o         Options
	addresses *addressCache
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.InitialAddresses) == 0 || o.Key == "" {
		return nil, trace.BadParameter("client: first addresses and an API key are required")
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: bounded.HeadBytes,
		}}
	}
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return &Client{o: o, addresses: &addressCache{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0))}}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}

// Request is one piece of work.
type Request struct {
	Method     string // empty: POST
	Path       string // for example "/v1/chat/completions" or "/services/booking/crews"
	Body       []byte
	Class      string
	Idempotent bool // running it twice does no harm
	// Key is the idempotency key, under which a request that is not idempotent runs at most once. While the claim
	// store is down, Do replaces Key with an issued key, unless the request may have run under Key already. To repeat
	// a request, pass the same Request, which Do may have changed, not a new one.
	Key string
	// MayHaveRun is set by Do when an attempt under Key ended with an unknown outcome.
	MayHaveRun bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// attempt is the outcome of sending a request once.
type attempt struct {
	response *Response
	err      *result.Error // refusal or failure
	sent     bool          // bytes of the request may have been sent
}

// Do sends a request, retrying where that is allowed, and returns the complete answer or a *result.Error. A deadline
// of ctx is sent to the entry VM.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	tried := map[string]bool{}
	var last *result.Error
	for attempts := range c.o.Attempts {
		address := c.addresses.pick(c.addresses.current(ctx), tried)
		tried[address] = true
		a := c.send(ctx, address, r, nil)
		if a.response != nil {
			return a.response, nil
		}
		last = a.err
		if a.err.Execution != result.NotRun {
			r.MayHaveRun = true
		}
		retry, delay := c.shouldRetry(ctx, r, a, attempts)
		if !retry {
			break
		}
		if err := c.backOff(ctx, delay); err != nil {
			break
		}
	}
	return nil, last
}

// shouldRetry reports whether another attempt is allowed, and returns the delay before it. attempts is the number of
// earlier attempts.
func (c *Client) shouldRetry(ctx context.Context, r *Request, a attempt, attempts int) (bool, time.Duration) {
	err := a.err
	if err.Execution != result.NotRun && !r.Idempotent && r.Key == "" {
		return false, 0
	}
	switch err.Code {
	case result.ShuttingDown, result.StaleEntryVM:
		c.addresses.invalidate()
		return true, minBackoff // another entry VM accepts the request at once
	case result.ClaimUnavailable:
		if !r.MayHaveRun && c.useIssuedKey(ctx, r) {
			return true, 0
		}
	}
	if !err.Code.Info().Retry {
		return false, 0
	}
	if !a.sent {
		c.addresses.invalidate()
		return true, 0 // the address could not be reached
	}
	if err.RetryAfter > 0 {
		return true, err.RetryAfter
	}
	return true, min(minBackoff<<attempts, maxBackoff)
}

// backOff waits for d plus jitter, so that callers that were refused together don't retry together. It fails at once
// when the deadline of ctx would pass during the wait.
func (c *Client) backOff(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	d += time.Duration(c.addresses.random() * float64(d) / 2)
	if until, ok := ctx.Deadline(); ok && c.o.Now().Add(d).After(until) {
		return context.DeadlineExceeded
	}
	return c.o.Sleep(ctx, d)
}

// useIssuedKey replaces the caller's key with one that an entry VM issues, and reports whether it did.
func (c *Client) useIssuedKey(ctx context.Context, r *Request) bool {
	address := c.addresses.pick(c.addresses.current(ctx), map[string]bool{})
	a := c.send(ctx, address, &Request{Path: "/v1/keys"}, nil)
	if a.response == nil {
		return false
	}
	var body struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(a.response.Body, &body) != nil || body.Key == "" {
		return false
	}
	r.Key = body.Key
	return true
}

func (c *Client) newHTTPRequest(ctx context.Context, address string, r *Request, extra http.Header) (*http.Request, error) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	q, err := http.NewRequestWithContext(ctx, method, c.o.Scheme+"://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for k, v := range extra {
		q.Header[k] = v
	}
	q.Header.Set("Authorization", "Bearer "+c.o.Key)
	q.Header.Set("Content-Type", "application/json")
	if r.Class != "" {
		q.Header.Set(headerClass, r.Class)
	}
	if r.Key != "" {
		q.Header.Set(headerKey, r.Key)
	}
	if until, ok := ctx.Deadline(); ok {
		q.Header.Set(headerDeadline, strconv.FormatInt(max(until.Sub(c.o.Now()).Milliseconds(), 1), 10))
	}
	q.GetBody = nil // prevents net/http from retrying the request
	return q, nil
}

// open sends a request and returns the answer with its body unread, or the refusal.
func (c *Client) open(ctx context.Context, address string, r *Request, extra http.Header) (*http.Response, attempt) {
	connected := false
	callerCtx := ctx
	ctx, markActive, stop := c.watch(ctx, address)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	q, err := c.newHTTPRequest(ctx, address, r, extra)
	if err != nil {
		stop()
		return nil, attempt{err: result.New(result.MalformedRequest, "the request can't be built").WithCause(err)}
	}
	res, err := c.o.HTTP.Do(q)
	if err != nil {
		stop()
		if errors.Is(context.Cause(ctx), errUnresponsive) {
			c.addresses.invalidate()
		}
		return nil, attempt{err: transportError(callerCtx, err, connected), sent: connected}
	}
	res.Body = &watchedBody{res.Body, markActive, stop}
	if res.StatusCode < http.StatusBadRequest {
		return res, attempt{sent: true}
	}
	defer res.Body.Close()
	return nil, attempt{err: refusal(res), sent: true}
}

func (c *Client) send(ctx context.Context, address string, r *Request, extra http.Header) attempt {
	res, a := c.open(ctx, address, r, extra)
	if res == nil {
		return a
	}
	defer res.Body.Close()
	body, err := bounded.ReadAll(res.Body, "answer", res.ContentLength, c.o.MaxAnswer, nil)
	if _, over := bounded.LimitExceeded(err); over {
		a.err = result.New(result.AnswerTooLarge, "the answer is longer than %d bytes", c.o.MaxAnswer).WithCause(err)
		return a
	}
	if err != nil {
		a.err = result.New(result.AnswerIncomplete, "the answer ended early").WithExecution(result.Unknown).WithCause(err)
		return a
	}
	a.response = &Response{res.StatusCode, res.Header, body}
	return a
}

// transportError returns the error of a request without an answer. Without a connection nothing was sent, so the
// request did not run.
func transportError(ctx context.Context, err error, connected bool) *result.Error {
	code := result.UpstreamFailed
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		code = result.DeadlineExceeded
	}
	e := result.New(code, "the entry VM did not answer").WithCause(err)
	if !connected {
		return e.WithExecution(result.NotRun)
	}
	return e.WithExecution(result.Unknown)
}

// refusal decodes an error answer. An answer in another format does not come from an entry VM, so whether the request
// ran is unknown.
func refusal(res *http.Response) *result.Error {
	var body struct {
		Error struct {
			Code         result.Code      `json:"code"`
			Message      string           `json:"message"`
			Execution    result.Execution `json:"execution"`
			RetryAfterMS int64            `json:"retry_after_ms"`
		} `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, maxErrorBytes)).Decode(&body)
	b := body.Error
	if err != nil || b.Code == result.OK {
		return result.New(result.Internal, "status %d without a result code", res.StatusCode)
	}
	e := result.New(b.Code, "%s", b.Message).WithRetryAfter(time.Duration(b.RetryAfterMS) * time.Millisecond)
	if b.Execution != result.NotRun && b.Execution != result.Ran {
		b.Execution = result.Unknown
	}
	return e.WithExecution(b.Execution)
}
