package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// Call is one call to a plain service.
type Call struct {
	RequestID  string
	Method     string
	Path       string // includes the query
	Header     http.Header
	Body       []byte
	Idempotent bool
	MaxAnswer  int64 // maximum size of the response body in bytes
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a call once and returns its complete answer. Errors are *Failure; FailedBeforeSend means that no byte of the call
// was sent.
func (c *Client) Call(ctx context.Context, u *topo.Upstream, call *Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+u.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, newFailure(policy.FailedBeforeSend, result.MalformedRequest, "%w", err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	client := c.pooled
	if !call.Idempotent {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, c.sendFailure(ctx, u, err)
	}
	defer drain(resp.Body)
	if call.Idempotent && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) != "" {
		return nil, statusFailure(resp)
	}
	return c.readAnswer(ctx, u, call, resp)
}

// readAnswer reads an answer and checks that it is complete and belongs to the call.
func (c *Client) readAnswer(ctx context.Context, u *topo.Upstream, call *Call, resp *http.Response) (*Answer, error) {
	if f := checkHead(resp); f != nil {
		return nil, f
	}
	if id := resp.Header.Get(HeaderRequestID); id != call.RequestID {
		return nil, newFailure(policy.FailedUnknown, result.AnswerMismatch, "answer is for request %q", id)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, newFailure(policy.CutShort, result.AnswerIncomplete, "answer has neither Content-Length nor chunked encoding")
	}
	body, err := bounded.ReadAll(resp.Body, "answer of a service", resp.ContentLength, call.MaxAnswer, nil)
	_, over := bounded.LimitExceeded(err)
	switch {
	case over:
		return nil, newFailure(policy.FailedUnknown, result.AnswerTooLarge, "%w", err)
	case err != nil && ctx.Err() != nil:
		return nil, contextFailure(ctx)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, newFailure(policy.CutShort, result.AnswerIncomplete, "answer ended early: %w", err)
	case err != nil:
		return nil, c.connectionFailure(ctx, u, err)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
