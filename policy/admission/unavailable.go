package admission

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

const (
	// leastService is the shortest time in which an answer in use is made.
	leastService = 20 * time.Millisecond
	// returnSpread is the time over which callers are asked to return once an upstream is back; it takes all its work again in 0.7 s.
	returnSpread = time.Second
)

// unavailable judges a request that no upstream can take at the moment. It waits for one that accepts work, or that asked for quiet and is back in
// time; otherwise it is refused at once, with the time at which the first is back, spread so that callers do not return together, or with retry where
// none will be.
//
// Load it answers: services of which all servers leave, are lost or ask for quiet, where callers would wait until their deadlines.
func unavailable(now time.Duration, r *policy.Request, f *policy.Fleet, retry time.Duration) policy.Verdict {
	if f.AnyAccepting(r) {
		return policy.Verdict{Admit: true}
	}
	back, ok := f.EarliestReturn(r)
	if !ok {
		return policy.Verdict{Code: result.NoUpstream, RetryAfter: retry}
	}
	if back+leastService < r.GiveUpAt() {
		return policy.Verdict{Admit: true}
	}
	spread := time.Duration(policy.Spread(r.ID) % uint64(returnSpread))
	return policy.Verdict{Code: result.NoUpstream, RetryAfter: back - now + spread}
}
