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
	errPreempted = errors.New("preempted by the scheduler")
	errOvertaken = errors.New("another attempt of the request was faster")
	errHandOff   = errors.New("the entry VM stops")
)

// mailSize holds the orders of a request that its goroutine has not taken yet. One attempt is open at a time and a
// preempted one is taken before the next is dispatched, so that few can wait.
const mailSize = 8

// attemptFunc runs one attempt. It returns nil or a *upstream.Failure.
type attemptFunc func(ctx context.Context, o *order) error

// flight is one request from its offer to its answer.
type flight struct {
	req         policy.Request // owned by the loop after the offer
	running     int            // attempt in hand as the loop knows it, 0: none; owned by the loop
	dispatched  int            // attempts so far; owned by the loop
	offered     time.Duration  // owned by the loop
	fingerprint quarantine.Fingerprint
	idempotent  bool
	mail        *ring.Ring[order]
	attempt     attemptFunc
	tokens      *atomic.Int64   // output tokens so far; nil for plain services
	streamID    string          // of a completion
	ctx         context.Context // of the attempts

	mu        sync.Mutex
	closed    bool // no attempt may begin any more
	sending   int  // attempts in hand
	mayHave   bool // an ended attempt may have run
	ran       bool // an attempt has delivered output
	number    int  // attempt in hand
	preempted int  // highest attempt that was preempted
	cancel    context.CancelCauseFunc
	winner    racer // attempt whose output is used
	hedge     *hedge
	at        topo.Upstream // where the attempt in hand generates
	ticket    upstream.KVTicket
	retries   int
}

func newFlight(id uint64) *flight {
	return &flight{req: policy.Request{ID: id}, mail: ring.New[order](mailSize)}
}

// begin notes that an attempt is about to be sent, unless the request is closed or the attempt was preempted.
func (f *flight) begin(ctx context.Context, o *order) (context.Context, context.CancelCauseFunc, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.preempted >= o.attempt {
		cancel(errPreempted)
		return ctx, cancel, false
	}
	f.sending++
	f.number, f.cancel, f.at = o.attempt, cancel, o.decode
	return ctx, cancel, true
}

// end notes how an attempt ended.
func (f *flight) end(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sending--
	f.winner = racer{}
	if err == nil {
		f.ran = true
	}
	f.noteLocked(err)
}

// note keeps what the end of one of two attempts that ran beside one another says of the execution.
func (f *flight) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(err)
}

func (f *flight) noteLocked(err error) {
	f.mayHave = f.mayHave || err != nil && !certainlyNotRun(err)
}

// certainlyNotRun says that an attempt ended before its upstream began to run the request.
func certainlyNotRun(err error) bool {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Outcome == policy.RefusedNotRun || failure.Outcome == policy.FailedBeforeSend
	}
	var refusal *result.Error
	return errors.As(err, &refusal) && refusal.Execution == result.NotRun
}

// preempt cancels an attempt, also one that has not begun. The loop calls it.
func (f *flight) preempt(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preempted = max(f.preempted, number)
	if f.number == number && f.cancel != nil {
		f.cancel(errPreempted)
	}
}

// close forbids further attempts and says what is known of the execution.
func (f *flight) close() result.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	return f.executionLocked()
}

func (f *flight) execution() result.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionLocked()
}

func (f *flight) executionLocked() result.Execution {
	switch {
	case f.ran:
		return result.Ran
	case f.sending > 0 || f.mayHave:
		return result.Unknown
	}
	return result.NotRun
}

// pump carries out the scheduler's orders for a request until it is answered, refused or given up. It returns nil when an attempt
// has delivered the whole answer.
func (g *Gateway) pump(ctx context.Context, f *flight) *result.Error {
	var last *upstream.Failure
	for {
		o, err := f.mail.Get(ctx)
		if err != nil {
			f.close()
			g.loop.send(event{kind: evLeave, flight: f, outcome: policy.Cancelled})
			return g.givenUp(ctx, f, last)
		}
		if o.Kind == scheduler.Refuse {
			return g.refused(f, &o, last)
		}
		if !pauseFor(ctx, o.Delay) {
			continue // the mail's Get sees the end of the context
		}
		err = g.try(ctx, f, &o)
		if err == nil {
			g.loop.send(event{kind: evFinished, flight: f, attempt: o.attempt, outcome: policy.Completed})
			return nil
		}
		if errors.Is(err, errPreempted) {
			g.metrics.preempted.Inc()
			continue
		}
		if refusal := new(result.Error); errors.As(err, &refusal) {
			g.loop.send(event{kind: evLeave, flight: f, outcome: policy.Cancelled})
			return refusal.WithExecution(f.close())
		}
		last = asFailure(err)
		if last.RetryAfter > 0 && o.prefill.Name == o.decode.Name {
			g.Quiet(o.decode.Name, last.RetryAfter)
		}
		if ctx.Err() != nil {
			f.close()
			g.loop.send(event{kind: evLeave, flight: f, outcome: last.Outcome})
			return g.givenUp(ctx, f, last)
		}
		f.noteRetry()
		g.metrics.attemptFailed(last.Outcome)
		g.loop.send(event{kind: evFinished, flight: f, attempt: o.attempt, outcome: last.Outcome})
	}
}

// try runs one attempt under the quarantine's permit.
func (g *Gateway) try(ctx context.Context, f *flight, o *order) error {
	permit, err := g.opts.Quarantine.Begin(ctx, f.fingerprint)
	if err != nil {
		return err
	}
	actx, cancel, ok := f.begin(ctx, o)
	defer cancel(nil)
	if !ok {
		permit.End(quarantine.Result{})
		return errPreempted
	}
	err = moved(actx, f.attempt(actx, o))
	if g.opts.Observed != nil && err != nil {
		if f := asFailure(err); f.Outcome == policy.Crashed || f.Outcome == policy.FailedBeforeSend {
			g.opts.Observed(o.prefill.Name, false)
		}
	}
	ended := runResult(f, err)
	permit.End(ended)
	err = g.joinHedge(actx, f, o.attempt, err, ended.Crash != 0)
	f.end(err)
	if err != nil && errors.Is(context.Cause(actx), errPreempted) {
		return errPreempted
	}
	return err
}

// refused turns the scheduler's refusal into what the caller sees.
func (g *Gateway) refused(f *flight, o *order, last *upstream.Failure) *result.Error {
	x := f.close()
	code := o.Code
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
	e := result.New(code, "%s", msg).WithExecution(x).WithRetryAfter(o.RetryAfter)
	if last != nil {
		e = e.WithCause(last)
	}
	return e
}

// givenUp describes a request whose context is over.
func (g *Gateway) givenUp(ctx context.Context, f *flight, last *upstream.Failure) *result.Error {
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

// runResult tells the quarantine how an attempt of f ended.
func runResult(f *flight, err error) quarantine.Result {
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

// pauseFor waits for d and reports whether ctx still runs.
func pauseFor(ctx context.Context, d time.Duration) bool {
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

func (f *flight) noteRetry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries++
}

func (f *flight) retryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries
}
