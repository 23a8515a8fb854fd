package gateway

import (
	"context"
	"errors"
	"sync/atomic"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/ring"
	"bergamotcroft.example/bergamot/upstream"
)

// maxInlineToken is the size up to which a token is stored inside its frame, in bytes. Most tokens are shorter, so that relaying
// them allocates no memory.
const maxInlineToken = 32

// frame is one event that is relayed from the upstream to the caller: a token, the end of the answer, or an error.
type frame struct {
	count        int // tokens of the answer up to and including this one
	inline       [maxInlineToken]byte
	inlineLen    int    // bytes used in inline
	allocated    []byte // token that does not fit in inline
	end          bool
	promptTokens int
	cachedTokens int
	finishReason string
	err          *result.Error
}

func (f *frame) token() []byte {
	if f.allocated != nil {
		return f.allocated
	}
	return f.inline[:f.inlineLen]
}

func (f *frame) setToken(t []byte) {
	if len(t) > maxInlineToken {
		f.allocated = append([]byte(nil), t...)
		return
	}
	f.inlineLen = copy(f.inline[:], t)
}

// relay copies the events of a request's attempts into a bounded ring. While the ring is full, the upstream is not read.
type relay struct {
	g             *Gateway
	f             *inFlight
	c             *completion
	frames        *ring.Ring[frame]
	count         atomic.Int64 // tokens put into the ring, plus those the caller had before; written by the winning attempt
	hasFirstToken bool         // accessed by the winning attempt only
}

// tokensPerProgress is the number of tokens after which progress is reported to the scheduler.
const tokensPerProgress = 16

// attempt runs one attempt of a completion, at one engine or with prefill and decode at two engines.
func (r *relay) attempt(ctx context.Context, act *action) error {
	a := upstream.Attempt{
		RequestID: r.c.streamID, Attempt: newID(), Path: r.c.path, Body: r.c.body,
		Fields: upstream.Fields{Model: r.c.model, Stream: true, Priority: r.f.req.Priority, ResumeTokens: int(r.count.Load())},
	}
	target := &act.prefill
	if act.decode.Name != act.prefill.Name {
		if err := r.split(ctx, act, &a); err != nil {
			return err
		}
		target = &act.decode
	} else {
		a.Fields.KV = r.g.importMoved(ctx, r.f, target)
	}
	s, err := r.g.opts.Client.Open(ctx, target, &a)
	if err != nil {
		return err
	}
	defer s.Close()
	return r.read(ctx, act, s)
}

// split computes the prompt at the prefill engine and moves its KV cache to the decode engine. If the cache can't be moved, the
// decode engine computes the prompt again, which only takes longer.
func (r *relay) split(ctx context.Context, act *action, a *upstream.Attempt) error {
	if err := r.g.opts.Client.Prefill(ctx, &act.prefill, *a); err != nil {
		return err
	}
	ticket, err := r.g.opts.Client.ExportKV(ctx, &act.prefill, a.RequestID)
	if err == nil {
		err = r.g.opts.Client.ImportKV(ctx, &act.decode, ticket)
	}
	if err != nil {
		r.g.metrics.kvMoveFailures.Inc()
		return nil
	}
	a.Fields.KV = ticket.ID
	return nil
}

// read copies a stream's events into the ring until the end of the stream.
func (r *relay) read(ctx context.Context, act *action, s *upstream.Stream) error {
	pending := 0
	defer func() { r.progress(pending) }()
	for {
		e, err := s.Next()
		if err != nil {
			return err
		}
		if !r.g.win(r.f, act) {
			return &upstream.Failure{Outcome: policy.Cancelled, Code: result.CallerGone, Cause: errSuperseded}
		}
		var fr frame
		if !e.End {
			if !r.hasFirstToken {
				r.hasFirstToken = true
				r.g.loop.send(event{kind: evFirstToken, request: r.f, attempt: act.attempt})
			}
			pending++
			fr.setToken(e.Token)
			fr.count = e.Index + 1
		} else {
			fr.end, fr.count, fr.finishReason = true, e.Count, string(e.FinishReason)
			fr.promptTokens, fr.cachedTokens = e.PromptTokens, e.CachedTokens
		}
		if err := r.frames.Put(ctx, fr); err != nil {
			return &upstream.Failure{Outcome: policy.Cancelled, Code: result.CallerGone, Cause: err}
		}
		r.count.Store(int64(fr.count))
		if fr.end {
			return nil
		}
		if pending >= tokensPerProgress {
			r.progress(pending)
			pending = 0
		}
	}
}

func (r *relay) progress(n int) {
	if n > 0 {
		r.g.loop.send(event{kind: evProgress, request: r.f, n: n})
	}
}

// completions serves POST /v1/completions and POST /v1/chat/completions.
func (g *Gateway) completions(w responseWriter, x *exchange) *result.Error {
	c, err := parseCompletion(x)
	if err != nil {
		return err
	}
	if c.model, err = x.view.resolve(x.account, c.modelName); err != nil {
		return err
	}
	if err = g.opts.Quarantine.Check(c.fingerprint); err != nil {
		return err
	}
	class := x.view.classes[x.class]
	t, err := g.startTimer(x, class)
	if err != nil {
		return err
	}
	defer t.end()
	defer context.AfterFunc(g.handoff, func() { t.stop(errHandOff) })()
	tokens := upstream.EstimateTokens(c.prompt)
	release, err := g.acquire(x, tokens+c.maxTokens)
	if err != nil {
		return err
	}
	f := newInFlight(g.lastID.Add(1))
	g.policyRequest(f, x, class, t.deadline)
	f.req.Model, f.req.PromptTokens, f.req.MaxOutput, f.req.Idempotent = c.model, tokens, c.maxTokens, true
	f.req.Prefix = upstream.PrefixHashes(c.model, c.prompt)
	f.req.Generated = c.offset
	f.streamID = c.streamID
	f.fingerprint, f.idempotent, f.ctx = c.fingerprint, true, t.ctx
	r := &relay{g: g, f: f, c: c, frames: ring.New[frame](g.opts.RelayRing)}
	r.count.Store(int64(c.offset))
	f.attempt, f.tokens = r.attempt, &r.count
	w.Header().Set(HeaderStreamID, c.streamID)
	g.loop.send(event{kind: evOffer, request: f})
	g.active.add()
	go func() {
		defer g.active.done()
		if err := g.carryOut(t.ctx, f); err != nil {
			_ = r.frames.Put(t.ctx, frame{err: err})
		}
		r.frames.Close()
	}()
	used, refusal := g.consume(t, w, x, r)
	x.retries = f.retryCount()
	release(tokens + used)
	return refusal
}

func (g *Gateway) acquire(x *exchange, tokens int) (func(int), *result.Error) {
	if g.opts.Limits == nil {
		return func(int) {}, nil
	}
	return g.opts.Limits.Acquire(x.account.Caller, x.account.Limits, tokens)
}

var errSlowCaller = errors.New("the caller does not read")

// consume writes frames to the caller until the end of the answer. It returns the number of tokens delivered.
func (g *Gateway) consume(t *requestTimer, w responseWriter, x *exchange, r *relay) (int, *result.Error) {
	var out answerWriter = &streamWriter{w: w, x: x, c: r.c, created: x.arrival.Unix(), timeout: g.opts.WriteTimeout}
	if !r.c.stream {
		out = &bufferedWriter{w: w, x: x, c: r.c, created: x.arrival.Unix(), max: g.opts.MaxAnswer, timeout: g.opts.WriteTimeout}
	}
	tokens := 0
	var fr frame // declared outside the loop to allocate it once, since it escapes
	for {
		var err error
		if fr, err = r.frames.Get(t.ctx); err != nil {
			return tokens, g.contextError(t.ctx, r.f, nil).WithExecution(r.f.close())
		}
		for ok := true; ok; fr, ok = r.frames.TryGet() {
			if fr.err != nil {
				return tokens, fr.err
			}
			if err := out.add(&fr); err != nil {
				t.stop(err)
				return tokens, err.WithExecution(r.f.close())
			}
			if !fr.end {
				tokens++
			}
			if fr.end {
				return tokens, g.deliveryError(out.flush(), t, r)
			}
		}
		if x.started {
			t.extend(g.opts.MaxDeadline)
		}
		if err := out.flush(); err != nil {
			return tokens, g.deliveryError(err, t, r)
		}
	}
}

// deliveryError converts an error of writing to the caller, and cancels the request. It returns nil for nil.
func (g *Gateway) deliveryError(err error, t *requestTimer, r *relay) *result.Error {
	if err == nil {
		return nil
	}
	t.stop(errSlowCaller)
	code := result.CallerGone
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		code = result.CallerTooSlow
	}
	return result.New(code, "the answer could not be written").WithCause(err).WithExecution(r.f.close())
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
