package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/internal/bounded"
)

// Request is a request as it is written to the connection. Only framing headers are added.
type Request struct {
	Method string
	URI    string // request target, as in the request line
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its answers. A request is not sent on a connection that has carried one with the same ID,
	// whose answer may come once more. A request without an ID has a connection of its own.
	ID string
	// Matches reports whether an answer with this header belongs to this request. Others are read and dropped. nil: all
	// match.
	Matches func(http.Header) bool
}

// Stage is how far a failed exchange got.
type Stage int

// The stages of a failed exchange.
const (
	NotSent  Stage = iota // no byte was written; the request can't have run
	Sent                  // the request may have run
	Answered              // the answer's header arrived
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Reset bool // the upstream ended the connection; false after a timeout, a cancellation, an answer over its bound or one with an invalid status
	Err   error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status   int
	Header   http.Header
	Framed   bool  // the body has a length or is chunked; otherwise it ends with the connection
	Length   int64 // of the body; below 0: not stated. An answer to HEAD, a 204 and a 304 have none, whatever their Content-Length.
	body     io.ReadCloser
	conn     *conn
	stop     func() bool
	ctx      context.Context
	http10   bool // HTTP/1.0, whose answers may end with the connection as a rule
	begun    bool // a byte of the body was read
	complete bool
	err      error
}

var errForeign = errors.New("the answers on this connection belong to other requests")

// errStatus is the error for an answer with a status outside 100 to 599, which is invalid (RFC 9110, section 15).
var errStatus = errors.New("the status of the answer is invalid")

const maxStatus = 599

// Bounds of what an upstream may send in addition to its answer.
const (
	maxInterimAnswers = 5        // 1xx answers before an answer; as many as net/http accepts
	maxForeignAnswers = 2        // answers to other requests that are dropped on one connection before it is given up
	maxForeignBytes   = 64 << 10 // of the body of such an answer; buffered answers in use have a few hundred bytes
)

// Do sends a request and reads the answer's header. ctx also bounds the reading of the body: when it ends, the
// connection is reset, so that the upstream stops work on the request and bytes that are still on their way are dropped.
func (p *Pool) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, q.ID)
	if err != nil {
		return nil, &Error{Stage: NotSent, Err: err}
	}
	c.carry(q.ID)
	sentAt := time.Now()
	stop := context.AfterFunc(ctx, func() { Reset(c.Conn) })
	if n, err := c.send(q); err != nil {
		stop()
		c.abort()
		stage := Sent
		if n == 0 {
			stage = NotSent
		}
		return nil, &Error{Stage: stage, Reset: ctx.Err() == nil, Err: err}
	}
	r, err := c.readAnswer(q)
	if err != nil {
		stop()
		c.abort()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || isTimeout(err) {
			p.closeIdleSince(address, sentAt)
		}
		return nil, newError(ctx, Sent, err)
	}
	r.ctx, r.stop = ctx, stop
	return r, nil
}

// joinedBodyBytes is the size up to which a body is copied, so that one write sends it with the head.
const joinedBodyBytes = 8 << 10

// send writes a request and returns the number of bytes written.
func (c *conn) send(q *Request) (int, error) {
	head := encodeHead(q)
	if len(q.Body) <= joinedBodyBytes {
		return c.Write(append(head, q.Body...))
	}
	n, err := c.Write(head)
	if err != nil {
		return n, err
	}
	m, err := c.Write(q.Body)
	return n + m, err
}

// encodeHead returns the head of a request, with capacity for a short body.
func encodeHead(q *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(q.Body), joinedBodyBytes))
	b.WriteString(q.Method)
	b.WriteByte(' ')
	b.WriteString(q.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(q.Host)
	b.WriteString("\r\n")
	_ = q.Header.WriteSubset(&b, framingHeaders) // a bytes.Buffer does not fail
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(q.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// framingHeaders are the headers that encode writes itself or omits.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// readAnswer reads answers until one belongs to the request. It skips interim answers and drops answers to other
// requests.
func (c *conn) readAnswer(q *Request) (*Response, error) {
	request := &http.Request{Method: q.Method}
	foreign, interim := 0, 0
	for {
		h, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if h.StatusCode < http.StatusContinue || h.StatusCode > maxStatus {
			return nil, errStatus
		}
		if h.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, &bounded.Error{Input: "number of interim answers", Limit: maxInterimAnswers}
			}
			continue
		}
		framed := h.ContentLength >= 0 || len(h.TransferEncoding) > 0
		if q.Matches != nil && !q.Matches(h.Header) {
			foreign++
			if !framed || foreign > maxForeignAnswers {
				return nil, errForeign
			}
			if err := c.drain(bounded.Body(h.Body, "answer to another request", maxForeignBytes), c.pool.opts.ForeignBodyTimeout); err != nil {
				return nil, err
			}
			continue
		}
		if h.Close {
			h.Header.Set("Connection", "close")
		}
		length := h.ContentLength
		if h.Body == http.NoBody {
			length = 0
		}
		c.buffer.Grow(length)
		return &Response{Status: h.StatusCode, Header: h.Header, Framed: framed, Length: length, http10: !h.ProtoAtLeast(1, 1), body: h.Body, conn: c}, nil
	}
}

// readHead reads one status line and header within the bound on their size. Bytes that are already buffered do not
// count. It fails if net/http would ignore a framing header, as a cut body would then look whole.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.raw.limitHead("head of an answer")
	defer c.raw.removeLimit()
	if err := c.checkHTTP10Head(); err != nil {
		return nil, err
	}
	h, err := http.ReadResponse(c.r, request)
	if err != nil {
		return nil, err
	}
	for name := range h.Header {
		if trimmed := strings.TrimRight(name, " "); trimmed != name && framingHeaders[http.CanonicalHeaderKey(trimmed)] {
			return nil, errFraming
		}
	}
	return h, nil
}

var errFraming = errors.New("the framing of the answer is ambiguous")

// checkHTTP10Head fails if the next head is cut, or is of HTTP/1.0 and has a Transfer-Encoding (RFC 9112, section 6.1) or does not fit the
// read buffer.
func (c *conn) checkHTTP10Head() error {
	const version = "HTTP/1.0"
	for n := range len(version) { // a short line that is no answer may be all that comes
		if b, err := c.r.Peek(n + 1); err != nil || b[n] != version[n] {
			return headError(err)
		}
	}
	for {
		b, _ := c.r.Peek(c.r.Buffered())
		head, _, whole := bytes.Cut(bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
		if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding")) {
			return errFraming
		}
		if whole {
			return nil
		}
		if _, err := c.r.Peek(len(b) + 1); err != nil {
			return headError(err)
		}
	}
}

// headError returns the error for a head that could not be read. bufio.Reader reports an error of the connection only once.
func headError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// drain reads a body to its end. It fails if that takes longer than patience.
func (c *conn) drain(body io.Reader, patience time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// Read implements io.Reader for the body. It returns io.EOF only after the complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.begun = r.begun || n > 0
	if errors.Is(err, io.EOF) && r.endsAtHead() {
		err = errNoBody
	}
	if err != nil {
		r.complete = errors.Is(err, io.EOF)
		if !r.complete {
			r.err = err
		}
	}
	return n, err
}

// errNoBody is the error for a success without a length whose connection ends right after the header.
var errNoBody = errors.New("the connection ended before the body")

// endsAtHead reports whether nothing tells a body that has ended from one that was cut before its first byte. A server with an empty
// body states its length or a status without a body, unless it speaks HTTP/1.0.
func (r *Response) endsAtHead() bool {
	return !r.Framed && !r.http10 && !r.begun && r.body != http.NoBody && r.Status/100 == 2 && r.Status != http.StatusResetContent
}

// ReadAll reads the whole body. It fails if the body has more than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := bounded.ReadAll(r, "body of an answer", r.Length, limit, nil)
	if err != nil {
		return nil, r.Failure(err)
	}
	return b, nil
}

// Discard reads and drops the body, so that the connection can be reused. After an error, Close closes the connection.
func (r *Response) Discard(limit int64, patience time.Duration) error {
	if err := r.conn.drain(bounded.Body(io.NopCloser(r), "body that is dropped", limit), patience); err != nil {
		r.err = err
		return r.Failure(err)
	}
	return nil
}

// Failure converts an error of Read to an Error.
func (r *Response) Failure(err error) *Error {
	return newError(r.ctx, Answered, err)
}

// newError returns the Error of an exchange whose request was sent.
func newError(ctx context.Context, stage Stage, err error) *Error {
	_, over := bounded.LimitExceeded(err)
	if over {
		overBounds.Inc()
	}
	return &Error{Stage: stage, Reset: ctx.Err() == nil && !isTimeout(err) && !over && !errors.Is(err, errStatus), Err: err}
}

// Close ends the exchange. The connection is kept for reuse only after a complete answer that allows it, and reset after an incomplete
// one, so that the upstream stops work on the request.
func (r *Response) Close() {
	alive := r.stop()
	c := r.conn
	switch {
	case !r.complete || r.err != nil:
		c.abort()
	case !alive || !r.Framed || c.unshared || strings.EqualFold(r.Header.Get("Connection"), "close"):
		c.discard()
	default:
		c.release(keepAliveTimeout(r.Header))
	}
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or 0 if there is none. A timeout of 0 s is returned as
// 1 ns.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && n >= 0 {
				return max(time.Duration(n)*time.Second, time.Nanosecond)
			}
		}
	}
	return 0
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
