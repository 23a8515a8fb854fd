package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/gateway"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

// computePrompt has an engine compute the prompt and returns the handle of the KV cache. This does not count as a run
// of the request, so after a failure here the request can be sent elsewhere.
func (x *exchange) computePrompt(ctx context.Context, p *gateway.Placement) (string, error) {
	s := x.newSend(&p.Prefill)
	s.Stage = PromptOnly
	if p.Source.Name != "" {
		s.FetchFrom = p.Source.Address
	}
	start := time.Now()
	p.PromptSent()
	resp, _, err := x.roundTrip(ctx, &p.Prefill, &s)
	if err != nil {
		x.logMovedPrompt(ctx, p, time.Since(start))
		return "", x.promptFailure(err)
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxControlBytes)
	if err != nil {
		return "", x.promptFailure(resp.run.failure(ctx, err))
	}
	if resp.Status != http.StatusOK {
		x.f.opts.Log.Info("prompt not computed", x.requestField(), zap.String("upstream", p.Prefill.Name), zap.Int("status", resp.Status))
		return "", &upstream.Failure{Outcome: policy.RefusedNotRun, Code: result.UpstreamFailed, Cause: errServerError}
	}
	handle, err := x.f.opts.Codec.ParseHandle(body)
	if err != nil {
		return "", &upstream.Failure{Outcome: policy.RefusedNotRun, Code: result.AnswerMismatch, Cause: err}
	}
	x.f.opts.Log.Debug("prompt computed", x.requestField(), zap.String("upstream", p.Prefill.Name),
		zap.Int("tokens", x.call.Prompt), zap.Int("cached", p.Cached*policy.PieceTokens), zap.Duration("took", time.Since(start)))
	return handle, nil
}

// promptFailure sets the outcome of a failed prompt computation: the request did not run, whether or not it reached the
// engine.
func (x *exchange) promptFailure(err error) error {
	var f *upstream.Failure
	if errors.As(err, &f) && f.Outcome != policy.FailedBeforeSend {
		f.Outcome = policy.RefusedNotRun
	}
	return err
}

// freeTimeout bounds the call that frees a computed prompt. Without the call, the engine drops the prompt by itself
// soon after.
const freeTimeout = time.Second

// freePrompt frees a computed prompt that is no longer needed at its engine.
func (x *exchange) freePrompt(at topo.Upstream, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if !x.f.acceptsControlCalls(ctx, at.Name) {
		return // the engine drops the prompt by itself
	}
	method, uri := x.f.opts.Codec.FreePromptCall(handle)
	resp, err := x.f.opts.Pool.Do(ctx, at.Address, &conns.Request{Method: method, URI: uri, Host: at.Address, Header: http.Header{}})
	if err != nil {
		x.f.opts.Log.Info("computed prompt not freed", x.requestField(), zap.String("upstream", at.Name), zap.Error(err))
		return
	}
	x.f.opts.Gateway.UpstreamAnswered(at.Name)
	x.f.ApplyAvailability(at.Name, x.f.opts.Codec.ParseAnswer(resp.Status, resp.Header))
	err = resp.Discard(maxDiscardBytes, discardTimeout)
	resp.Close()
	x.f.opts.Log.Debug("computed prompt freed", x.requestField(), zap.String("upstream", at.Name), zap.Int("status", resp.Status), zap.Error(err))
}
