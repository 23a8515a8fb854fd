package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/explain"
	"bergamotcroft.example/bergamot/forward"
	"bergamotcroft.example/bergamot/result"
)

const (
	// queriesPerSecond bounds what queries take from requests: one costs about as much as routing a request, and reading its body.
	queriesPerSecond = 4
	// maxQueryBytes is the size of a query with a body of explain.MaxBodyBytes in base64, and what else it states.
	maxQueryBytes = explain.MaxBodyBytes/3*4 + 4 + 2*maxHeaderBytes
	// queryTimeout bounds the wait for the scheduler's goroutine.
	queryTimeout = time.Second
)

// queryLimit admits one query at a time and queriesPerSecond in any second.
type queryLimit struct {
	mu      sync.Mutex
	running bool
	last    [queriesPerSecond]time.Time // of the last queries, as a ring
	next    int
}

// begin reports whether a query may begin. If so, end must be called.
func (l *queryLimit) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if oldest := l.last[l.next]; l.running || !oldest.IsZero() && now.Sub(oldest) < time.Second {
		return false
	}
	l.running, l.last[l.next] = true, now
	l.next = (l.next + 1) % queriesPerSecond
	return true
}

func (l *queryLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
}

// serveQuery answers the queries of operators.
func (e *Edge) serveQuery(w http.ResponseWriter, r *http.Request, method string, answer func(*http.Request) (any, *queryError)) {
	if r.Method != method {
		w.Header().Set("Allow", method)
		writeQueryError(w, &queryError{http.StatusMethodNotAllowed, result.New(result.MalformedRequest, "use %s", method)})
		return
	}
	if !e.queries.begin(time.Now()) {
		w.Header().Set("Retry-After", "1")
		writeQueryError(w, &queryError{http.StatusTooManyRequests, result.New(result.AccountRateLimit, "this VM answers %d queries a second, one at a time", queriesPerSecond)})
		return
	}
	defer e.queries.end()
	r.Body = http.MaxBytesReader(w, r.Body, maxQueryBytes)
	out, err := answer(r)
	if err != nil {
		writeQueryError(w, err)
		return
	}
	writeQueryAnswer(w, http.StatusOK, out)
}

// queryError is the answer to a query that is not answered, which differs from the refusal of the request that it asks about.
type queryError struct {
	status int
	err    *result.Error
}

func malformedQuery(format string, args ...any) *queryError {
	return &queryError{http.StatusBadRequest, result.New(result.MalformedRequest, format, args...)}
}

func writeQueryError(w http.ResponseWriter, q *queryError) {
	writeQueryAnswer(w, q.status, explain.QueryError{Code: int(q.err.Code), Result: q.err.Code.Info().Name, Message: q.err.Message})
}

func writeQueryAnswer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil { // can't happen: the types hold numbers, strings and lists of them
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // an error means that the operator has left
}

// explainRoute answers where a request would go now.
func (e *Edge) explainRoute(r *http.Request) (any, *queryError) {
	var q explain.RouteQuery
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return nil, queryReadError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, malformedQuery("the query is not one JSON object")
	}
	request, bad := requestOf(&q)
	if bad != nil {
		return nil, bad
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	out, err := e.front.Explain(ctx, forward.Query{Request: request, Body: q.Body, Account: q.Account})
	if err != nil {
		e.log.Warn("query not answered", zap.Error(err))
		return nil, &queryError{err.Code.Info().HTTP, err}
	}
	return out, nil
}

// queryReadError returns the answer to a query that can't be read. It repeats nothing of the query, which may contain a key.
func queryReadError(err error) *queryError {
	var large *http.MaxBytesError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &large):
		return errQueryBody()
	case errors.As(err, &syntax):
		return malformedQuery("the query is no JSON: fault at byte %d", syntax.Offset)
	}
	return malformedQuery("the query is no JSON object with method, path, headers, body and account only")
}

func errQueryBody() *queryError {
	return &queryError{http.StatusRequestEntityTooLarge, result.New(result.BodyTooLarge, "the body of a query may have %d bytes", explain.MaxBodyBytes)}
}

// requestOf returns the request that a query asks about, as the server for callers would have read it, but for its body.
func requestOf(q *explain.RouteQuery) (*http.Request, *queryError) {
	if len(q.Body) > explain.MaxBodyBytes {
		return nil, errQueryBody()
	}
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") || strings.ContainsAny(q.Path, " \r\n") {
		return nil, malformedQuery("path must begin with a slash and be encoded")
	}
	if !isToken(q.Method) {
		return nil, malformedQuery("the method is not valid")
	}
	r := &http.Request{
		Method: q.Method, URL: target, RequestURI: q.Path, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		ContentLength: int64(len(q.Body)), Body: http.NoBody,
	}
	for name, values := range q.Headers {
		if !isToken(name) {
			return nil, malformedQuery("a header name is not valid")
		}
		switch name = http.CanonicalHeaderKey(name); name {
		case "Authorization", "Proxy-Authorization":
			return nil, malformedQuery("%s is not accepted; name the account", name)
		case "Host":
			if len(values) > 0 {
				r.Host = values[0]
			}
		default:
			r.Header[name] = append(r.Header[name], values...)
		}
	}
	return r, nil
}

// isToken reports whether s is a token of RFC 9110, as methods and header names are.
func isToken(s string) bool {
	const others = "!#$%&'*+-.^_`|~"
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && !strings.ContainsRune(others, c) {
			return false
		}
	}
	return s != ""
}
