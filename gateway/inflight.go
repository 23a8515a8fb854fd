package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/ring"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"
)

var (
	errPreempted  = errors.New("preempted by the scheduler")
	errSuperseded = errors.New("another attempt of the request was faster")
	errFirstEnded = errors.New("the first attempt has ended without an answer")
	errHandOff    = errors.New("the entry VM stops")
)

// actionQueueSize bounds the scheduler's actions that a request's goroutine has not taken yet. One attempt is dispatched at a
// time and the goroutine takes a preempted one before the next is dispatched, so that few actions queue up.
const actionQueueSize = 8

// attemptFunc runs one attempt. It returns nil, a *upstream.Failure, or errSuperseded if another attempt has won.
type attemptFunc func(ctx context.Context, act *action) error

// inFlight is a request from its offer to the scheduler until it is answered.
type inFlight struct {
	req         policy.Request // owned by the loop after the offer to the scheduler
	current     int            // number of the dispatched attempt that has not ended, 0: none; owned by the loop
	dispatches  int            // attempts dispatched so far; owned by the loop
	moves       int            // attempts that were ended by a move of their prompt; owned by the loop
	offered     time.Duration  // time of the offer; owned by the loop
	fingerprint quarantine.Fingerprint
	idempotent  bool
	actions     *ring.Ring[action]
	attempt     attemptFunc
	tokens      *atomic.Int64   // output tokens so far; nil for plain services
	streamID    string          // empty for plain services
	ctx         context.Context // parent of the contexts of all attempts

	mu             sync.Mutex
	closed         bool // no further attempt may begin
	openAttempts   int  // attempts that have begun and not ended, without hedges
	mayHaveRun     bool // a failed attempt may have run
	ran            bool // an attempt has delivered output
	attemptNumber  int  // number of the last attempt that has begun
	preemptedUpTo  int  // highest number of a preempted attempt
	cancel         context.CancelCauseFunc
	winner         attemptID // attempt that provides the output
	hedge          *hedge
	hedgesEnded    bool          // the current attempt has ended and gets no hedge any more
	decodeUpstream topo.Upstream // upstream that generates the output of the current attempt
	ticket         upstream.KVTicket
	retries        int
}

func newInFlight(id uint64) *inFlight {
	return &inFlight{req: policy.Request{ID: id}, actions: ring.New[action](actionQueueSize)}
}

// begin records that an attempt is about to be sent. It returns false if the request is closed or the attempt was preempted.
func (f *inFlight) begin(ctx context.Context, act *action) (context.Context, context.CancelCauseFunc, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.preemptedUpTo >= act.attempt {
		cancel(errPreempted)
		return ctx, cancel, false
	}
	f.openAttempts++
	f.attemptNumber, f.cancel, f.decodeUpstream, f.hedgesEnded = act.attempt, cancel, act.decode, false
	return ctx, cancel, true
}

// end records the result of an attempt.
func (f *inFlight) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openAttempts--
	f.winner = attemptID{}
	if err == nil {
		f.ran = true
	}
	f.recordFailureLocked(err)
}

// recordFailure records whether one of two concurrent attempts, which ended with err, may have run.
func (f *inFlight) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordFailureLocked(err)
}

func (f *inFlight) recordFailureLocked(err error) {
	f.mayHaveRun = f.mayHaveRun || err != nil && !certainlyNotRun(err)
}

// certainlyNotRun reports whether err proves that the upstream did not begin to run the request.
func certainlyNotRun(err error) bool {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Outcome.CertainlyNotRun()
	}
	var refusal *result.Error
	return errors.As(err, &refusal) && refusal.Execution == result.NotRun
}

// preempt cancels an attempt, even one that has not begun. The loop's goroutine calls it.
func (f *inFlight) preempt(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preemptedUpTo = max(f.preemptedUpTo, number)
	if f.attemptNumber == number && f.cancel != nil {
		f.cancel(errPreempted)
	}
}

// close forbids further attempts and returns what is known of the request's execution.
func (f *inFlight) close() result.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	return f.executionLocked()
}

func (f *inFlight) execution() result.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionLocked()
}

func (f *inFlight) executionLocked() result.Execution {
	switch {
	case f.ran:
		return result.Ran
	case f.openAttempts > 0 || f.mayHaveRun:
		return result.Unknown
	}
	return result.NotRun
}

// carryOut executes the scheduler's actions for a request until the request is answered, refused or abandoned. It returns nil
// when an attempt has delivered the complete answer.
func (g *Gateway) carryOut(ctx context.Context, f *inFlight) *result.Error {
	var last *upstream.Failure
	for {
		act, err := f.actions.Get(ctx)
		if err != nil {
			f.close()
			g.loop.send(event{kind: evAbandoned, request: f, outcome: policy.Cancelled})
			return g.contextError(ctx, f, last)
		}
		if act.Kind == scheduler.Refuse {
			return g.refusalError(f, &act, last)
		}
		if !sleep(ctx, act.Delay) {
			continue // actions.Get returns the error of the context
		}
		err = g.runAttempt(ctx, f, &act)
		if err == nil {
			g.loop.send(event{kind: evFinished, request: f, attempt: act.attempt, outcome: policy.Completed})
			return nil
		}
		if errors.Is(err, errPreempted) {
			g.metrics.preempted.Inc()
			continue
		}
		if refusal := new(result.Error); errors.As(err, &refusal) {
			g.loop.send(event{kind: evAbandoned, request: f, outcome: policy.Cancelled})
			return refusal.WithExecution(f.close())
		}
		last = asFailure(err)
		if last.RetryAfter > 0 && act.prefill.Name == act.decode.Name {
			g.Quiet(act.decode.Name, last.RetryAfter)
		}
		if ctx.Err() != nil {
			f.close()
			g.loop.send(event{kind: evAbandoned, request: f, outcome: last.Outcome})
			return g.contextError(ctx, f, last)
		}
		f.countRetry()
		g.metrics.attemptFailed(last.Outcome)
		g.loop.send(event{kind: evFinished, request: f, attempt: act.attempt, outcome: last.Outcome})
	}
}

// runAttempt runs one attempt with a permit of the quarantine, and waits for its hedge.
func (g *Gateway) runAttempt(ctx context.Context, f *inFlight, act *action) error {
	permit, err := g.opts.Quarantine.Begin(ctx, f.fingerprint)
	if err != nil {
		return err
	}
	attemptCtx, cancel, ok := f.begin(ctx, act)
	defer cancel(nil)
	if !ok {
		permit.End(quarantine.Result{})
		return errPreempted
	}
	err = asMoveFailure(attemptCtx, f.attempt(attemptCtx, act))
	if g.opts.OnReachability != nil && err != nil {
		if f := asFailure(err); f.Outcome == policy.Crashed || f.Outcome == policy.FailedBeforeSend {
			g.opts.OnReachability(act.prefill.Name, false)
		}
	}
	ended := quarantineResult(f, err)
	permit.End(ended)
	err = g.joinHedge(attemptCtx, f, act.attempt, err, ended.Crash != 0)
	f.end(err)
	if err != nil && errors.Is(context.Cause(attemptCtx), errPreempted) {
		return errPreempted
	}
	return err
}

// refusalError returns the error sent to the caller for a refusal by the scheduler.
func (g *Gateway) refusalError(f *inFlight, act *action, last *upstream.Failure) *result.Error {
	x := f.close()
	code := act.Code
	msg := "refused by the scheduler"
	if code == result.Quarantined {
		if e := g.opts.Quarantine.Check(f.fingerprint); e != nil {
			return e.WithExecution(x)
		}
	}
	if last != nil {
		msg = "the last attempt failed: " + last.Code.Info().Name
		if code == result.RetryBudgetUsed && x != result.NotRun {
			code = last.Code
		}
	}
	e := result.New(code, "%s", msg).WithExecution(x).WithRetryAfter(act.RetryAfter)
	if last != nil {
		e = e.WithCause(last)
	}
	return e
}

// contextError returns the error sent to the caller for a request whose context has ended.
func (g *Gateway) contextError(ctx context.Context, f *inFlight, last *upstream.Failure) *result.Error {
	cause := context.Cause(ctx)
	code, msg := result.CallerGone, "the caller is gone"
	var after time.Duration
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		code, msg = result.DeadlineExceeded, "the deadline has passed"
	case errors.Is(cause, errHandOff):
		code, msg, after = result.ShuttingDown, "this entry VM stops; resume at another one", time.Millisecond
	case errors.Is(cause, errSlowCaller):
		code, msg = result.CallerTooSlow, "the caller does not read its answer"
	}
	e := result.New(code, "%s", msg).WithExecution(f.execution()).WithRetryAfter(after)
	if last != nil {
		e = e.WithCause(last)
	}
	return e
}

// quarantineResult converts the result of an attempt of f for the quarantine.
func quarantineResult(f *inFlight, err error) quarantine.Result {
	if err == nil {
		return quarantine.Result{Completed: true}
	}
	failure := asFailure(err)
	if failure.Outcome != policy.Crashed {
		return quarantine.Result{}
	}
	r := quarantine.Result{Crash: failure.Crash}
	if f.tokens != nil {
		r.Tokens = int(f.tokens.Load())
	}
	return r
}

func asFailure(err error) *upstream.Failure {
	var f *upstream.Failure
	if errors.As(err, &f) {
		return f
	}
	return &upstream.Failure{Outcome: policy.FailedUnknown, Code: result.Internal, Cause: err}
}

// sleep waits for d or the end of ctx, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *inFlight) countRetry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries++
}

func (f *inFlight) retryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries
}
