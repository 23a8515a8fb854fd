package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// An upstream crash ends every request running there, and most of them did not cause it. Each becomes a suspect until
// it has generated clearTokens tokens more than at the crash, or has ended. At most one own suspect runs on an
// upstream. If that upstream crashes, it is the second crash for the suspect, which is then taken for the cause, and the
// first one for the other requests there.
//
// A request is quarantined at its crash number maxCrashes. A request that had been cleared by progress is quarantined
// only at crash number maxCrashesCleared: it got past the point at which it would have caused the earlier crash.
// Upstreams crash for other reasons as well, and quarantining cleared requests at their second crash cut up to 3
// answers in the faults scenario.
const (
	maxCrashes        = 2
	maxCrashesCleared = 3
	clearTokens       = 4 // more than one, since the first token belongs to the prefill phase
)

// suspectHold is how long a suspect whose answer has begun waits before it is resumed. Most crashes are caused in the
// prefill phase, so the more likely causes, also those of other entry VMs, run first and do not crash the upstream of
// the resumed answer.
const suspectHold = 2 * time.Second

// recordCrash counts a crash, makes r a suspect and reports whether r must be refused. It leaves the suspect counts of
// upstreams as they are: the load of r's attempt has been removed, or the caller calls changeSuspects.
func (s *Scheduler) recordCrash(now time.Duration, r *policy.Request) bool {
	r.Crashes++
	exempt := r.Cleared && r.Crashes < maxCrashesCleared
	r.Suspect, r.Cleared, r.CrashedAt = true, false, r.Generated
	if r.Generated > 0 {
		r.HoldUntil = now + suspectHold
	}
	return r.Crashes >= maxCrashes && !exempt
}

// clearSuspicion clears a suspect that has generated clearTokens tokens since its crash.
func (s *Scheduler) clearSuspicion(r *policy.Request) {
	if !r.Suspect || r.Generated < r.CrashedAt+clearTokens {
		return
	}
	if s.inFlight(r) {
		s.changeSuspects(r, -1)
	}
	r.Suspect, r.Cleared = false, true
}

// changeSuspects adds n to the suspect counts of the upstreams of r's current attempt.
func (s *Scheduler) changeSuspects(r *policy.Request, n int) {
	s.fleet.Upstreams[r.Decode].OwnSuspects += n
	if r.FirstAt == 0 && r.Prefill != r.Decode {
		s.fleet.Upstreams[r.Prefill].OwnSuspects += n
	}
}
