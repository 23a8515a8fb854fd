package forward

import (
	"errors"
	"time"

	"bergamotcroft.example/bergamot/conns"
	"bergamotcroft.example/bergamot/routes"
	"bergamotcroft.example/bergamot/store"
)

// usageTime returns the time by the clock of OnBegan, the zero time if the request counts for no account.
func (x *exchange) usageTime() time.Time {
	if x.account == nil {
		return time.Time{}
	}
	return store.BootClock{}.Now()
}

// countRun counts the request as begun at a time. A request counts once, however many upstreams run it.
func (x *exchange) countRun(at time.Time) {
	if x.account != nil && x.counted.CompareAndSwap(false, true) {
		x.f.opts.OnBegan(x.account.Caller, at)
	}
}

// countSend counts a request that was sent at a time, unless the send has certainly not run it. An engine begins with its
// first event; the computation of a prompt alone is no run.
func (x *exchange) countSend(at time.Time, s *Send, err error) {
	var e *conns.Error
	if x.route.Kind == routes.Stream || s.Stage == PromptOnly || errors.As(err, &e) && e.Stage == conns.NotSent {
		return
	}
	x.countRun(at)
}
