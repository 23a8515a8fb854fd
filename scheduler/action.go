package scheduler

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// Dispatch: send the request to Prefill; if Decode differs, generate the output at Decode.
	Dispatch ActionKind = iota
	// Refuse: answer the caller with Code and cancel the attempts in flight. The request did not run unless Ran is set.
	Refuse
	// Preempt: cancel the running attempt. The scheduler has queued the request again; a later Dispatch resumes it
	// after the tokens generated so far.
	Preempt
	// Hedge: start a second attempt at Prefill. The attempt that returns the first token wins and the other is
	// cancelled; the driver reports the winner with HedgeSettled.
	Hedge
)

// Action is an instruction to the driver, which is the code that calls the scheduler's methods.
type Action struct {
	Kind       ActionKind
	Request    *policy.Request
	Prefill    int
	Decode     int
	Source     *policy.Upstream // for Dispatch: engine from which Prefill fetches cached pieces, or nil
	Code       result.Code
	RetryAfter time.Duration
	Ran        bool          // for Refuse: an attempt may have run
	Delay      time.Duration // for Dispatch: retry back-off before the request is sent
	Moved      bool          // for Preempt: the attempt has not run, since only the prompt was asked for; see overdue.go
}
