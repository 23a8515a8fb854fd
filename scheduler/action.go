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
	// Dispatch: send the request to Prefill, and generate at Decode when it differs.
	Dispatch ActionKind = iota
	// Refuse: answer the caller with Code; the request did not run unless Ran is set. Attempts in hand are cancelled.
	Refuse
	// Preempt: cancel the running attempt; the scheduler has queued the request again and will dispatch it with the tokens so far.
	Preempt
	// Hedge: start a second attempt at Prefill. The attempt with the first token wins, the other is cancelled; the driver
	// says which with HedgeSettled.
	Hedge
)

// Action is what the caller of the scheduler must do.
type Action struct {
	Kind       ActionKind
	Request    *policy.Request
	Prefill    int
	Decode     int
	Source     *policy.Upstream // for Dispatch: engine from which Prefill fetches cached pieces; nil: none
	Code       result.Code
	RetryAfter time.Duration
	Ran        bool          // for Refuse: an attempt may have run
	Delay      time.Duration // for Dispatch: wait this long first (retry back-off)
}
