package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/claims"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/upstream"
)

// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
const maxIdempotencyKey = 255

// servicePath returns the path below /services/{service}, percent-encoded as the caller sent it.
func servicePath(r *http.Request, service string) string {
	path := r.URL.EscapedPath()[len("/services/")+len(service):]
	if path == "" {
		return "/"
	}
	return path
}

// service serves a call to a plain service.
func (g *Gateway) service(w http.ResponseWriter, x *exchange) *result.Error {
	name := x.r.PathValue("service")
	path := servicePath(x.r, name)
	route, err := x.view.route(x.account, name, x.r.Method, path)
	if err != nil {
		return err
	}
	f := newInFlight(g.lastID.Add(1))
	f.fingerprint = fingerprint(x.account.Caller, name, x.r.Method, path, x.r.URL.RawQuery, x.body)
	if err = g.opts.Quarantine.Check(f.fingerprint); err != nil {
		return err
	}
	class := x.view.classes[x.class]
	t, err := g.startTimer(x, class)
	if err != nil {
		return err
	}
	defer t.end()
	release, err := g.acquire(x, 0)
	if err != nil {
		return err
	}
	defer release(0)
	g.policyRequest(f, x, class, t.deadline)
	f.req.Service, f.req.Idempotent, f.idempotent = name, route.Idempotent, route.Idempotent
	call := &upstream.Call{
		RequestID: x.id + "-" + hex16(f.req.ID), Method: x.r.Method, Path: withQuery(path, x.r.URL.RawQuery),
		Header: forwardedHeader(x.r.Header), Body: x.body, Idempotent: route.Idempotent, MaxAnswer: g.opts.MaxAnswer,
	}
	if route.Idempotent {
		defer context.AfterFunc(g.handoff, func() { t.stop(errHandOff) })()
		return g.callIdempotent(t.ctx, w, x, f, call)
	}
	limit := g.opts.ServiceTimeout
	if route.Timeout > 0 {
		limit = route.Timeout.D()
	}
	return g.callOnce(t.ctx, w, x, f, call, limit)
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// forwardedHeader returns the request headers that are forwarded to a plain service. The caller's API key is not among them.
func forwardedHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", HeaderKey} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// callIdempotent runs a call that may be repeated and hedged.
func (g *Gateway) callIdempotent(ctx context.Context, w http.ResponseWriter, x *exchange, f *inFlight, call *upstream.Call) *result.Error {
	a, err := g.scheduleCall(ctx, f, call)
	x.retries = f.retryCount()
	if err != nil {
		return err
	}
	return g.writeAnswer(w, x, a)
}

// scheduleCall offers a call to the scheduler, runs its attempts and returns the answer.
func (g *Gateway) scheduleCall(ctx context.Context, f *inFlight, call *upstream.Call) (*upstream.Answer, *result.Error) {
	var winning *upstream.Answer
	f.ctx = ctx
	f.attempt = func(ctx context.Context, act *action) error {
		answer, err := g.opts.Client.Call(ctx, &act.prefill, call)
		if err != nil {
			return err
		}
		if !g.win(f, act) {
			return errSuperseded
		}
		winning = answer
		return nil
	}
	g.loop.send(event{kind: evOffer, request: f})
	if err := g.carryOut(ctx, f); err != nil {
		return nil, err
	}
	return winning, nil
}

// callOutcome is the result of a call that runs at most once.
type callOutcome struct {
	answer *upstream.Answer
	err    *result.Error
}

// callOnce runs a call that is not idempotent. The attempt may outlive the caller's deadline, so that its outcome is recorded
// under the idempotency key.
func (g *Gateway) callOnce(ctx context.Context, w http.ResponseWriter, x *exchange, f *inFlight, call *upstream.Call,
	limit time.Duration) *result.Error {
	grant, recorded, err := g.claim(ctx, x, f)
	if err != nil {
		return err
	}
	if recorded != nil {
		return g.writeRecorded(w, x, recorded)
	}
	done := make(chan callOutcome, 1)
	g.active.add()
	go func() {
		defer g.active.done()
		done <- g.runOnce(ctx, f, call, grant, limit)
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return o.err
		}
		return g.writeAnswer(w, x, o.answer)
	case <-ctx.Done():
		return g.contextError(ctx, f, nil).WithExecution(f.close())
	}
}

// runOnce runs the call and settles its claim.
func (g *Gateway) runOnce(ctx context.Context, f *inFlight, call *upstream.Call, grant claims.Grant, limit time.Duration) callOutcome {
	// While the call is queued it is cancelled when the caller leaves; once sent, it continues.
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer stop()
	defer context.AfterFunc(ctx, func() {
		if f.close() == result.NotRun {
			stop()
		}
	})()
	a, err := g.scheduleCall(callCtx, f, call)
	if grant != nil {
		g.settle(f, grant, a)
	}
	return callOutcome{a, err}
}

// settle records the outcome of a claimed call: its answer, that it did not run, or that the outcome is unknown.
func (g *Gateway) settle(f *inFlight, grant claims.Grant, a *upstream.Answer) {
	switch {
	case a != nil:
		header := map[string]string{}
		for _, name := range answerHeaders {
			if v := a.Header.Get(name); v != "" {
				header[name] = v
			}
		}
		grant.Finish(&claims.Answer{Status: a.Status, Header: header, Body: a.Body})
	case f.close() == result.NotRun:
		grant.Release()
	default:
		grant.Finish(nil)
	}
}

// claim acquires the right to run a call with an idempotency key, or returns the answer recorded for the key.
func (g *Gateway) claim(ctx context.Context, x *exchange, f *inFlight) (claims.Grant, *claims.Answer, *result.Error) {
	key := x.r.Header.Get(HeaderKey)
	if key == "" {
		return nil, nil, nil
	}
	if len(key) > maxIdempotencyKey {
		return nil, nil, result.New(result.KeyMalformed, "%s may have %d bytes", HeaderKey, maxIdempotencyKey)
	}
	if g.opts.Guard == nil {
		return nil, nil, result.New(result.ClaimUnavailable, "this entry VM keeps no claims")
	}
	grant, answer, err := g.opts.Guard.Begin(ctx, x.account.Caller, key, uint64(f.fingerprint))
	if err != nil {
		return nil, nil, result.From(err)
	}
	return grant, answer, nil
}

// issueKey serves POST /v1/keys.
func (g *Gateway) issueKey(w http.ResponseWriter, x *exchange) *result.Error {
	if g.opts.Guard == nil {
		return result.New(result.ClaimUnavailable, "this entry VM issues no keys")
	}
	key, err := g.opts.Guard.Issue(x.account.Caller)
	if err != nil {
		return result.From(err)
	}
	return writeJSON(w, map[string]string{"key": key})
}

// answerHeaders are the response headers of a plain service that are passed on to the caller.
var answerHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Cache-Control"}

func (g *Gateway) writeAnswer(w http.ResponseWriter, x *exchange, a *upstream.Answer) *result.Error {
	for _, name := range answerHeaders {
		if v := a.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	return g.writeBody(w, x, a.Status, a.Body)
}

func (g *Gateway) writeRecorded(w http.ResponseWriter, x *exchange, a *claims.Answer) *result.Error {
	for k, v := range a.Header {
		w.Header().Set(k, v)
	}
	return g.writeBody(w, x, a.Status, a.Body)
}

func (g *Gateway) writeBody(w http.ResponseWriter, x *exchange, status int, body []byte) *result.Error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.WriteTimeout))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.started = true
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		g.opts.Log.Debug("answer not written", zap.String("request", x.id), zap.Error(err))
	}
	return nil
}
