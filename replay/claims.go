package replay

import (
	"time"

	"bergamotcroft.example/bergamot/result"
)

// claimState is the state of an idempotency key in the store.
type claimState int

const (
	claimOpen claimState = iota + 1
	claimDone
	claimUnknown
)

// Latencies of the store; docs/replay.md lists them.
const (
	claimBatch = 20 * time.Millisecond // claims are batched for this time before one conditional write
	storeWrite = 4 * time.Millisecond
)

// claimKey writes a claim for a request that is not idempotent before the request is sent to an upstream. While the
// store is down, the request is refused as not_run, which is correct because nothing was sent.
func (v *vmDriver) claimKey(x *execution) {
	s := v.sim
	if s.storeOutages > 0 {
		v.sendRefusal(x, result.ClaimUnavailable, result.NotRun, time.Second)
		return
	}
	s.after(claimBatch+storeWrite+s.storeDelay, func() {
		if s.storeOutages > 0 {
			v.sendRefusal(x, result.ClaimUnavailable, result.NotRun, time.Second)
			return
		}
		key := x.rec.line.Caller + "/" + x.rec.line.Key
		switch s.claims[key] {
		case 0:
			s.claims[key] = claimOpen
			x.claimed = true
			v.offer(x)
		case claimDone:
			s.after(s.fleet.clientLatency(), func() { s.receiveAnswer(x.rec) })
		case claimOpen:
			v.sendRefusal(x, result.KeyInProgress, result.Unknown, time.Second)
		default:
			v.sendRefusal(x, result.KeyOutcomeUnknown, result.Unknown, 0)
		}
	})
}

// settleClaim records the outcome of a claimed request. While the store is down it retries; until the outcome is
// recorded the key counts as open, so the request does not run again.
func (v *vmDriver) settleClaim(x *execution, state claimState) {
	if !x.claimed {
		return
	}
	s := v.sim
	if s.storeOutages > 0 {
		s.after(time.Second, func() { v.settleClaim(x, state) })
		return
	}
	s.claims[x.rec.line.Caller+"/"+x.rec.line.Key] = state
}

// releaseClaim deletes the claim of a request that certainly did not run, as reported by the scheduler.
func (v *vmDriver) releaseClaim(x *execution) {
	if !x.claimed {
		return
	}
	if v.sim.storeOutages > 0 {
		v.sim.after(time.Second, func() { v.releaseClaim(x) })
		return
	}
	delete(v.sim.claims, x.rec.line.Caller+"/"+x.rec.line.Key)
}
