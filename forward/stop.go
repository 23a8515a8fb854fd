package forward

import (
	"context"
	"time"

	"bergamotcroft.example/bergamot/result"
)

// StopPlan holds the moments of a planned stop.
type StopPlan struct {
	// AddressesEnd is when no caller that follows the directory uses this entry VM any more.
	AddressesEnd time.Time
	// AnswersEnd is when requests that have not been answered begin to be ended. No request is taken from then on.
	AnswersEnd time.Time
}

// admits reports whether a request that has been read whole at now, during a planned stop, is taken. One that comes when callers should
// be gone is taken only if it is over before the process ends, whether it is answered or reaches its deadline.
func (p *StopPlan) admits(now, deadline time.Time) bool {
	return now.Before(p.AddressesEnd) && now.Before(p.AnswersEnd) || !deadline.After(p.AnswersEnd)
}

// stopRetryAfter is short: other entry VMs take the request.
const stopRetryAfter = time.Millisecond

func errStopping() *result.Error {
	return result.New(result.ShuttingDown, "this entry VM stops; use another one").WithRetryAfter(stopRetryAfter)
}

// Stop begins a planned stop. Further answers carry "Connection: close", so that callers move to other connections, and requests that
// could be cut are refused. A further call replaces the plan; the zero one refuses all.
func (f *Front) Stop(p StopPlan) { f.stopPlan.Store(&p) }

// RefuseWaiting refuses the requests that have not been sent to an upstream.
func (f *Front) RefuseWaiting() { f.endWaiting() }

// EndAll answers all requests whose answer has not begun: those that may have run with a failure, the others with a refusal. Other
// answers go on until the connection closes, since what is left of a cut one is of no more use than of one that is cut later.
func (f *Front) EndAll() { f.endAll() }

// checkStop returns an error if the entry VM stops and the request, which has been read, could be cut.
func (x *exchange) checkStop() *result.Error {
	if p := x.f.stopPlan.Load(); p != nil && !p.admits(time.Now(), x.deadline) {
		return errStopping()
	}
	return nil
}

// endWithStop makes abandon end the request when a planned stop requires it. release must be called when the request has ended.
func (x *exchange) endWithStop(abandon context.CancelCauseFunc) (release func()) {
	waiting := context.AfterFunc(x.f.waitingEnds, func() {
		if x.sends.Load() == 0 {
			abandon(errStopping())
		}
	})
	all := context.AfterFunc(x.f.allEnd, func() {
		if !x.begun.Load() {
			abandon(errStopping())
		}
	})
	return func() {
		waiting()
		all()
	}
}
