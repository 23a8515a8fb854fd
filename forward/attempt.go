package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/internal/bounded"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// upstreamRequest returns the caller's request with the headers for one upstream added.
func (x *exchange) upstreamRequest(s *Send) *conns.Request {
	h := x.r.Header.Clone()
	x.f.opts.Codec.SetSendHeaders(h, s)
	return &conns.Request{
		Method: x.r.Method, URI: x.uri, Host: x.r.Host, Header: h, Body: x.body, ID: x.call.ID,
		Matches: func(h http.Header) bool { return x.f.opts.Codec.Matches(&x.call, h) },
	}
}

// newSend returns the parameters of a send to an upstream, as of now.
func (x *exchange) newSend(to *topo.Upstream) Send {
	return Send{Remaining: time.Until(x.deadline), Instance: InstanceOf(to.Name), Urgency: x.urgency()}
}

// Urgencies of requests. Requests that have missed their target come after all others.
const (
	urgencyFirst = 1 // for the highest priority
	urgencyStep  = 2 // between adjacent priorities
	urgencyLate  = 8
)

func (x *exchange) urgency() int {
	if x.route.Target > 0 && time.Since(x.arrival) > x.route.Target && x.events == 0 {
		return urgencyLate
	}
	return min(urgencyFirst+urgencyStep*max(x.priority(), 0), urgencyLate-1)
}

// roundTrip sends a request and returns the answer. It fails if the upstream states that it did not run the request. Such a statement
// counts only in an answer that names the request, since one without a name may belong to an earlier request on the connection.
func (x *exchange) roundTrip(ctx context.Context, to *topo.Upstream, s *Send) (*runResponse, Answer, error) {
	if err := x.checkSend(); err != nil {
		return nil, Answer{}, err
	}
	if err := x.checkAccount(s); err != nil {
		return nil, Answer{}, err
	}
	x.sends.Add(1)
	run := x.beginRun(to)
	sentAt, began := time.Now(), x.usageTime()
	r, err := x.f.opts.Pool.Do(ctx, to.Address, x.upstreamRequest(s))
	if err != nil {
		x.countSend(began, s, err)
		return nil, Answer{}, run.failure(ctx, err)
	}
	resp := &runResponse{r, run}
	a := x.f.opts.Codec.ParseAnswer(resp.Status, resp.Header)
	if !a.WrongUpstream {
		x.f.opts.Crashes.UpstreamAnswered(to.Name)
		x.f.opts.Gateway.UpstreamAnswered(to.Name)
	}
	x.f.ApplyAvailability(to.Name, a)
	if a.Executed || !a.Named {
		x.countSend(began, s, nil)
		if a.Proof || s.Stage == PromptOnly && resp.Status == http.StatusOK {
			x.f.applyNoLimit(to.Name, a, sentAt)
		}
		return resp, a, nil
	}
	// A rejection's body is not needed; reading it allows the connection to be reused.
	readErr := resp.Discard(maxDiscardBytes, discardTimeout)
	resp.Close()
	if a.WrongUpstream {
		x.f.ProcessEnded(to.Name, "another upstream has its address")
		x.f.opts.OnLeaving(to.Name)
	}
	x.f.metrics.rejections.Inc()
	x.f.opts.Log.Info("send rejected", x.requestField(), zap.String("upstream", to.Name), zap.Int("status", resp.Status),
		zap.Bool("misfit", a.WrongUpstream), zap.Duration("quiet", a.RetryAfter), zap.Bool("leaving", a.Leaving), zap.Error(readErr))
	return nil, a, &upstream.Failure{Outcome: policy.RefusedNotRun, Code: result.UpstreamRefused, Cause: errRejected}
}

var (
	errRejected        = errors.New("the upstream did not run the request")
	errUnproven        = errors.New("the answer does not prove its origin")
	errNoDecoder       = errors.New("no engine is available to continue from the computed prompt")
	errAnswerBegun     = errors.New("an answer was cut off after part of it had been relayed")
	errOtherAttemptWon = errors.New("another attempt is already answering the request")
)

// failure ends the run and returns its error with the outcome that decides whether the request may be sent again.
func (r *run) failure(ctx context.Context, err error) *upstream.Failure {
	x, to := r.x, &r.to
	var e *conns.Error
	if !errors.As(err, &e) {
		r.end()
		return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.UpstreamFailed, Cause: err}
	}
	out := &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.UpstreamFailed, Cause: e}
	switch {
	case ctx.Err() != nil && e.Stage == conns.NotSent:
		out.Outcome, out.Code = policy.FailedBeforeSend, result.CallerGone
	case ctx.Err() != nil:
		out.Outcome, out.Code = policy.Cancelled, result.CallerGone
	case e.Stage == conns.NotSent:
		out.Outcome = policy.FailedBeforeSend
	case e.Stage == conns.Answered:
		out.Outcome, out.Code = policy.CutShort, result.AnswerIncomplete
	}
	if over, ok := bounded.LimitExceeded(e); ok {
		out.Code = result.AnswerTooLarge
		x.f.opts.Log.Warn("answer over its bound", x.requestField(), zap.String("upstream", to.Name), zap.String("address", to.Address),
			zap.String("what", over), zap.Error(e))
	}
	crash := r.recordFailure(ctx, e)
	x.f.metrics.failures.Inc()
	fields := []zap.Field{x.requestField(), zap.String("upstream", to.Name), zap.Int("stage", int(e.Stage)),
		zap.Bool("reset", e.Reset), zap.Int("events", x.events), zap.String("crash", crash), zap.Error(e)}
	if e.Stage != conns.NotSent {
		fields = append(fields, x.identityFields()...)
	}
	x.f.opts.Log.Info("send failed", fields...)
	return out
}

// attemptBuffered sends a request and reads the whole answer before any of it is sent to the caller. Successful answers
// that are too long to buffer are relayed as they arrive.
func (x *exchange) attemptBuffered(ctx context.Context, p *gateway.Placement) error {
	if x.begun.Load() { // part of another attempt's answer has been sent to the caller
		return &upstream.Failure{Outcome: policy.CutShort, Code: result.AnswerIncomplete, Cause: errAnswerBegun}
	}
	x.logSend(p)
	s := x.newSend(&p.Decode)
	resp, a, err := x.roundTrip(ctx, &p.Decode, &s)
	if err != nil {
		return err
	}
	defer resp.Close()
	if a.Proof && resp.Status/100 == 2 && !x.reserveAnswer(resp.Length) {
		return x.relayBody(ctx, p, resp)
	}
	got, err := x.readAnswer(ctx, p, resp, a)
	if err != nil {
		return err
	}
	if x.retryable(got.status) && p.First() && !p.Hedge {
		// The upstream ran the request and failed; another may succeed. The failure is kept in case none does.
		x.keepFallback(p, got)
		return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.UpstreamFailed, Cause: errServerError}
	}
	if !p.Win() {
		return errOtherAttemptWon
	}
	x.answer = got
	return nil
}

// reserveAnswer reserves the memory to hold a successful answer of a stated length, and reports whether it may be held. Otherwise it is
// relayed as it arrives. An answer that is too long for both is held, and fails when it is read.
func (x *exchange) reserveAnswer(length int64) bool {
	switch {
	case length > maxAnswerBytes || length <= minRelayBufferBytes:
		return true
	case length > maxBufferedBytes:
		return false
	}
	return x.reserve(length) == nil
}

var errServerError = errors.New("the upstream ran the request and failed")

// retryable reports whether an answer with this status is a failure that may be retried at another upstream.
func (x *exchange) retryable(status int) bool {
	return status >= http.StatusInternalServerError && x.route.Repeatable() && x.route.MaxUpstreams > 1
}

// keepFallback keeps an upstream's failure as the answer in case no other attempt succeeds.
func (x *exchange) keepFallback(p *gateway.Placement, got *bufferedAnswer) {
	if x.fallback.CompareAndSwap(nil, got) {
		x.f.opts.Log.Info("upstream failed the request", x.requestField(), zap.String("upstream", p.Decode.Name), zap.Int("status", got.status))
	}
}

func (x *exchange) readAnswer(ctx context.Context, p *gateway.Placement, resp *runResponse, a Answer) (*bufferedAnswer, error) {
	body, err := resp.ReadAll(maxBufferedBytes)
	if err != nil {
		return nil, resp.run.failure(ctx, err)
	}
	if !a.Proof && (resp.Status/100 == 2 || a.NotRunStatus) {
		return nil, x.unprovenFailure(p, resp)
	}
	h := x.f.opts.Codec.RelayedHeader(resp.Header)
	if x.r.Method != http.MethodHead { // whose answer states the length that a GET would have
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return &bufferedAnswer{resp.Status, h, body}, nil
}

// relayBody relays a successful answer of known length as it arrives, for answers that are too long to buffer. Once it
// has begun, no other attempt can replace it.
func (x *exchange) relayBody(ctx context.Context, p *gateway.Placement, resp *runResponse) error {
	if !p.Win() {
		return errOtherAttemptWon
	}
	x.writeHeader(resp)
	control := http.NewResponseController(x.w)
	size := relayBufferBytes
	if x.reserve(relayBufferBytes) != nil {
		size = minRelayBufferBytes
	}
	buf := make([]byte, size)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // if unsupported, the server's timeout applies
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return &upstream.Failure{Outcome: policy.Cancelled, Code: result.CallerGone, Cause: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return resp.run.failure(ctx, resp.Failure(err))
		}
	}
}

// unprovenFailure logs an answer that does not prove its origin and returns the failure for it.
func (x *exchange) unprovenFailure(p *gateway.Placement, resp *runResponse) *upstream.Failure {
	x.f.opts.Log.Warn("answer without proof", x.requestField(), zap.String("upstream", p.Decode.Name), zap.Int("status", resp.Status))
	return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.AnswerMismatch, Cause: errUnproven}
}

// attemptStream sends a request whose answer is a stream of events.
func (x *exchange) attemptStream(ctx context.Context, p *gateway.Placement) error {
	if err := x.checkVersion(p.Prefill.Version); err != nil {
		return err
	}
	seq, err := x.beginSequence(p)
	if err != nil {
		return err
	}
	x.logSend(p)
	handle := ""
	if p.Prefill.Name != p.Decode.Name && !x.trial { // a trial is one send
		if handle, err = x.computePrompt(ctx, p); err != nil {
			return err
		}
		x.reportPlaced(&p.Prefill)
		if !p.PromptComputed(ctx) {
			go x.freePrompt(p.Prefill, handle)
			return &upstream.Failure{Outcome: policy.RefusedNotRun, Code: result.NoUpstream, Cause: errNoDecoder}
		}
		x.f.opts.Log.Info("hand over", x.requestField(), zap.String("prompt_at", p.Prefill.Name),
			zap.String("upstream", p.Decode.Name), zap.Duration("waited", time.Since(x.arrival)))
	}
	resp, a, err := x.generate(ctx, p, handle, &seq.position)
	for handle != "" {
		o, notRun := notRunOutcome(err)
		if !notRun || !p.RetryHandOver(ctx, o) {
			break
		}
		resp, a, err = x.generate(ctx, p, handle, &seq.position)
	}
	if err != nil {
		if handle != "" {
			go x.freePrompt(p.Prefill, handle)
		}
		return err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		if seq.continues {
			x.logOutOfOrder(p, resp, seq, nil, reasonStatus)
		}
		return x.takeNonStreamAnswer(ctx, p, resp, a)
	}
	if !a.Proof {
		return x.unprovenFailure(p, resp)
	}
	if reason := x.headMismatch(resp, seq); reason != "" {
		return x.outOfOrder(p, resp, seq, nil, reason)
	}
	err = x.relayEvents(ctx, p, resp, seq)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Outcome != policy.Cancelled && seq.accepted && seq.dataWithoutID && x.route.Repeatable() {
		return notResumable()
	}
	return err
}

// notRunOutcome returns the outcome of a failed send if it means that the upstream certainly did not run the request.
func notRunOutcome(err error) (o policy.Outcome, ok bool) {
	var f *upstream.Failure
	if !errors.As(err, &f) || !f.Outcome.CertainlyNotRun() {
		return 0, false
	}
	return f.Outcome, true
}

// generate sends the request to the engine that generates the output, with the handle of the computed prompt if there
// is one, from a position of the stream on.
func (x *exchange) generate(ctx context.Context, p *gateway.Placement, handle string, from *position) (*runResponse, Answer, error) {
	if err := x.checkVersion(p.Decode.Version); err != nil {
		return nil, Answer{}, err
	}
	s := x.newSend(&p.Decode)
	s.After = string(from.id)
	if handle != "" {
		// A computed prompt needs a slot but no prompt computation, so it does not delay other requests.
		s.Stage, s.Source, s.Handle, s.Urgency = Generate, p.Prefill.Address, handle, 0
	} else if p.Source.Name != "" {
		s.FetchFrom = p.Source.Address
	}
	return x.roundTrip(ctx, &p.Decode, &s)
}

// takeNonStreamAnswer handles an answer that is not a stream. It becomes the caller's answer unless a stream has begun or
// the request can be retried.
func (x *exchange) takeNonStreamAnswer(ctx context.Context, p *gateway.Placement, resp *runResponse, a Answer) error {
	got, err := x.readAnswer(ctx, p, resp, a)
	if err != nil {
		return err
	}
	if x.begun.Load() || x.retryable(got.status) && p.First() {
		if !x.begun.Load() {
			x.keepFallback(p, got)
		}
		return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.UpstreamFailed, Cause: errServerError}
	}
	if !p.Win() {
		return errOtherAttemptWon
	}
	x.answer = got
	return nil
}

// relayEvents relays the events of a stream as they arrive.
func (x *exchange) relayEvents(ctx context.Context, p *gateway.Placement, resp *runResponse, seq *sequence) error {
	events := eventReader{r: bufio.NewReaderSize(resp, eventBufferBytes)}
	control := http.NewResponseController(x.w)
	first := true
	sinceProgress := 0 // bytes since the last event with an identifier
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.endStream(p, resp, seq)
		}
		if err != nil {
			return resp.run.failure(ctx, resp.Failure(err))
		}
		if first && ev.data {
			x.countRun(x.usageTime())
		}
		if sinceProgress += len(ev.raw); len(ev.id) > 0 {
			sinceProgress = 0
		} else if sinceProgress > maxWithoutProgress {
			return resp.run.failure(ctx, resp.Failure(&bounded.Error{Input: "stream without a new event", Limit: maxWithoutProgress}))
		}
		relay, reason := seq.next(&ev)
		if reason != "" {
			return x.outOfOrder(p, resp, seq, ev.id, reason)
		}
		if !relay {
			continue
		}
		if first {
			if !p.Win() {
				return errOtherAttemptWon
			}
			resp.run.answered()
		}
		if !x.begun.Load() {
			x.streamBegins(p.Decode.Version)
			x.beginStream(resp)
		}
		x.position = seq.position
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // if unsupported, the server's timeout applies
		if _, err = x.w.Write(ev.raw); err == nil {
			err = control.Flush()
		}
		if err != nil {
			return &upstream.Failure{Outcome: policy.Cancelled, Code: result.CallerGone, Cause: err}
		}
		x.events++
		if x.firstEventAfter == 0 {
			x.firstEventAfter = time.Since(x.arrival)
		}
		if first {
			x.reportPlaced(&p.Decode)
		}
		p.ReportOutput(first, x.tokensPerEvent())
		first = false
	}
}

// reportPlaced reports which engine now holds the parts of the prompt. The last part, which is not shared, is included
// because it takes up memory as well.
func (x *exchange) reportPlaced(at *topo.Upstream) {
	if len(x.call.Parts) > 1 {
		x.f.opts.OnPlaced(x.call.Parts, at.Name)
	}
}

// eventBufferBytes is the read buffer of a stream; several events fit.
const eventBufferBytes = 4 << 10

func (x *exchange) tokensPerEvent() int {
	if s := x.table.Services[x.service]; s != nil && s.Engine != nil {
		return max(s.Engine.TokensPerEvent, 1)
	}
	return 1
}

// beginStream writes the header of a stream. The header stays valid when the stream resumes at another upstream.
func (x *exchange) beginStream(resp *runResponse) {
	x.mediaType, x.encoding = mediaType(resp.Header), contentEncoding(resp.Header)
	resp.Header.Del("Content-Length")
	x.writeHeader(resp)
}

func (x *exchange) writeHeader(resp *runResponse) {
	h := x.w.Header()
	for k, v := range x.f.opts.Codec.RelayedHeader(resp.Header) {
		h[k] = v
	}
	x.begun.Store(true)
	x.w.WriteHeader(resp.Status)
}

// InstanceOf returns an upstream's own identifier: its name without the suffix from "@" on, which identifies one start
// of its process.
func InstanceOf(name string) string {
	for i := range len(name) {
		if name[i] == '@' {
			return name[:i]
		}
	}
	return name
}
