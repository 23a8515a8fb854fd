package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
)

// exchange is the state of one HTTP request of a caller.
type exchange struct {
	id      string
	r       *http.Request
	account *topo.Account
	view    *view
	class   string
	arrival time.Time
	body    []byte
	started bool // the response header has been written
	retries int
	resumed bool
}

func newExchange(r *http.Request) *exchange {
	id := r.Header.Get(HeaderRequestID)
	if !validID(id) {
		id = newID()
	}
	return &exchange{id: id, r: r, arrival: time.Now()}
}

func newID() string {
	var b [8]byte
	x := rand.Uint64()
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	return hex.EncodeToString(b[:])
}

// validID reports whether id can be used in a header, a log line and a JSON string without quoting.
func validID(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// serve wraps a handler with the steps common to all routes: readiness check, authentication, reading the body, logging.
func (g *Gateway) serve(h func(http.ResponseWriter, *exchange) *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.active.add()
		defer g.active.done()
		x := newExchange(r)
		w.Header().Set(HeaderRequestID, x.id)
		if g.leaving() {
			w.Header().Set("Connection", "close") // the caller's next request goes to another entry VM
		}
		err := g.admit(w, x)
		if err == nil {
			err = h(w, x)
		}
		if err != nil {
			g.refuse(w, x, err)
		}
		g.record(x, err)
	}
}

// admit runs the checks that do not depend on the route, and reads the body.
func (g *Gateway) admit(w http.ResponseWriter, x *exchange) *result.Error {
	if err := g.checkReady(); err != nil {
		return err
	}
	x.view = g.view.Load()
	var err *result.Error
	if x.account, err = x.view.authenticate(x.r); err != nil {
		return err
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(x.view.config.Revision, 10))
	x.class = x.r.Header.Get(HeaderClass)
	if _, ok := x.view.classes[x.class]; !ok && x.class != "" {
		return result.New(result.MalformedRequest, "no class %.100q", x.class)
	}
	x.body, err = g.readBody(w, x.r)
	return err
}

// readBody reads the request body within MaxBody and BodyTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	if r.ContentLength > g.opts.MaxBody {
		return nil, result.New(result.BodyTooLarge, "the body may have %d bytes", g.opts.MaxBody)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.opts.BodyTimeout))
	body, err := bounded.ReadAll(http.MaxBytesReader(w, r.Body, g.opts.MaxBody), "request body", r.ContentLength, g.opts.MaxBody, nil)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "the body may have %d bytes", g.opts.MaxBody)
	case err != nil:
		return nil, result.New(result.RequestTooSlow, "the body did not arrive within %s", g.opts.BodyTimeout).WithCause(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// requestTimer enforces a request's deadline. Its context ends when the caller disconnects, at the deadline, or with stop.
type requestTimer struct {
	ctx      context.Context
	stop     context.CancelCauseFunc
	deadline time.Time
	timer    *time.Timer
}

// startTimer returns the running timer of a request, whose deadline comes from the request, its class or the default.
func (g *Gateway) startTimer(x *exchange, class *topo.Class) (*requestTimer, *result.Error) {
	d := g.opts.DefaultDeadline
	if class != nil && class.Deadline > 0 {
		d = class.Deadline.D()
	}
	if h := x.r.Header.Get(HeaderDeadline); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms > g.opts.MaxDeadline.Milliseconds() {
			return nil, result.New(result.MalformedRequest, "%s must be at most %d", HeaderDeadline, g.opts.MaxDeadline.Milliseconds())
		}
		d = time.Duration(ms) * time.Millisecond
	}
	t := &requestTimer{deadline: x.arrival.Add(d)}
	left := time.Until(t.deadline)
	if left <= 0 {
		return nil, result.New(result.DeadlineTooShort, "the deadline has passed")
	}
	t.ctx, t.stop = context.WithCancelCause(x.r.Context())
	t.timer = time.AfterFunc(left, func() { t.stop(context.DeadlineExceeded) })
	return t, nil
}

// extend moves the deadline to limit from now, once the answer has begun to reach its caller: a late answer is worth more
// than a truncated one.
func (t *requestTimer) extend(limit time.Duration) { t.timer.Reset(limit) }

func (t *requestTimer) end() {
	t.timer.Stop()
	t.stop(nil)
}

// errorBody is the JSON body of an error response. OpenAI clients read "message", "type" and "code".
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         result.Code      `json:"code"`
	Name         string           `json:"name"`
	Type         string           `json:"type"`
	Message      string           `json:"message"`
	Execution    result.Execution `json:"execution"`
	RetryAfterMS int64            `json:"retry_after_ms"`
}

// defaultRetryAfter is the retry delay sent with retryable errors that specify none.
const defaultRetryAfter = time.Second

func encodeError(e *result.Error) []byte {
	info := e.Code.Info()
	after := e.RetryAfter
	if after <= 0 && info.Retry {
		after = defaultRetryAfter
	}
	b, _ := json.Marshal(errorBody{errorDetail{
		Code: e.Code, Name: info.Name, Type: info.Name, Message: e.Message, Execution: e.Execution,
		RetryAfterMS: (after + time.Millisecond - 1).Milliseconds(),
	}})
	return b
}

// refuse sends an error: as an event if the stream has begun, as a response otherwise.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, e *result.Error) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout))
	body := encodeError(e)
	if x.started {
		_, _ = w.Write(append(append([]byte("data: "), body...), "\n\n"...))
		return
	}
	info := e.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 || info.Retry {
		seconds := max(1, int((e.RetryAfter+time.Second-1)/time.Second))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(info.HTTP)
	_, _ = w.Write(body)
}

// record counts and logs a completed request.
func (g *Gateway) record(x *exchange, e *result.Error) {
	code := result.OK
	if e != nil {
		code = e.Code
	}
	took := time.Since(x.arrival)
	caller := ""
	if x.account != nil {
		caller = x.account.Caller
	}
	g.metrics.request(x, caller, code, took)
	fields := make([]zap.Field, 0, 9)
	fields = append(fields, zap.String("request", x.id), zap.String("caller", caller), zap.String("path", x.r.URL.Path),
		zap.String("class", x.class), zap.Int("code", int(code)), zap.Duration("took", took), zap.Int("retries", x.retries))
	if e != nil {
		fields = append(fields, zap.String("execution", string(e.Execution)), zap.Error(e))
	}
	g.opts.Log.Info("request", fields...)
}
