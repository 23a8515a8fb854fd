package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

var errStalled = errors.New("no event within the stall timeout")

// maxEventBytes bounds one event, which consists of a token of a few bytes and identifiers.
const maxEventBytes = 4096

// Stream is an engine's answer in progress. It is used from one goroutine, except for Close.
type Stream struct {
	client     *Client
	upstream   *topo.Upstream
	request    []byte
	attempt    []byte
	nextIndex  int // expected index of the next token
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stallTimer *time.Timer
	resp       *http.Response
	r          *bufio.Reader
	event      Event
	done       bool
}

// Open sends an attempt and returns its stream once the engine has accepted it. Errors are *Failure.
func (c *Client) Open(ctx context.Context, u *topo.Upstream, a *Attempt) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stall := time.AfterFunc(c.opts.HeaderTimeout, func() { cancel(errStalled) })
	resp, failure := c.post(ctx, u, a)
	if failure != nil {
		stall.Stop()
		cancel(nil)
		return nil, failure
	}
	stall.Reset(c.opts.StallTimeout)
	return &Stream{
		client: c, upstream: u, request: []byte(a.RequestID), attempt: []byte(a.Attempt), nextIndex: a.Fields.ResumeTokens,
		ctx: ctx, cancel: cancel, stallTimer: stall, resp: resp, r: bufio.NewReaderSize(resp.Body, maxEventBytes),
	}, nil
}

// Next returns the next event, io.EOF after the end marker, or a *Failure.
func (s *Stream) Next() (*Event, error) {
	if s.done {
		return nil, io.EOF
	}
	for {
		line, err := s.r.ReadSlice('\n')
		if err != nil {
			return nil, s.readFailure(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue // blank line, comment or a field that the protocol does not use
		}
		s.stallTimer.Reset(s.client.opts.StallTimeout)
		if err := s.event.parse(data); err != nil {
			return nil, newFailure(policy.FailedUnknown, result.AnswerMismatch, "%w", err)
		}
		if f := s.check(); f != nil {
			return nil, f
		}
		return &s.event, nil
	}
}

// check verifies that the event belongs to the attempt and follows the previous one.
func (s *Stream) check() *Failure {
	e := &s.event
	if !bytes.Equal(e.RequestID, s.request) || !bytes.Equal(e.Attempt, s.attempt) {
		return newFailure(policy.FailedUnknown, result.AnswerMismatch, "event is for request %q attempt %q", e.RequestID, e.Attempt)
	}
	if e.End {
		if e.Count != s.nextIndex {
			return newFailure(policy.CutShort, result.AnswerIncomplete, "end marker counts %d tokens, received %d", e.Count, s.nextIndex)
		}
		s.done = true
		return nil
	}
	if e.Index != s.nextIndex || e.Token == nil {
		return newFailure(policy.FailedUnknown, result.AnswerMismatch, "token index %d, want %d", e.Index, s.nextIndex)
	}
	s.nextIndex++
	return nil
}

func (s *Stream) readFailure(err error) *Failure {
	switch {
	case s.ctx.Err() != nil:
		return contextFailure(s.ctx)
	case errors.Is(err, bufio.ErrBufferFull):
		return newFailure(policy.FailedUnknown, result.AnswerMismatch, "event longer than %d bytes", maxEventBytes)
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return newFailure(policy.CutShort, result.AnswerIncomplete, "stream ended without its end marker")
	}
	return s.client.connectionFailure(s.ctx, s.upstream, err)
}

// Cancel ends the stream. It may be called from any goroutine.
func (s *Stream) Cancel(cause error) { s.cancel(cause) }

// Close releases the connection, which can be reused if the end marker was read.
func (s *Stream) Close() {
	s.stallTimer.Stop()
	if s.done {
		drain(s.resp.Body)
	} else {
		_ = s.resp.Body.Close()
	}
	s.cancel(nil)
}
