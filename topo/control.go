package topo

import (
	"slices"
	"time"
)

// IntentAction is what an operator asks for.
type IntentAction string

// The actions of an intent.
const (
	ActionServe    IntentAction = "serve"    // serve models and versions to callers at a priority
	ActionDrain    IntentAction = "drain"    // stop new work, let running work finish, keep the engine idle
	ActionReplace  IntentAction = "replace"  // move an engine's work to another engine and take the first out of use
	ActionWithdraw IntentAction = "withdraw" // drain and remove from use permanently
	ActionRole     IntentAction = "role"     // change an engine's role
	ActionResume   IntentAction = "resume"   // return a drained or withdrawn upstream to use
)

// Serve assigns a version of a model to callers at a priority.
type Serve struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapter  string   `json:"adapter,omitempty"`
	Callers  []string `json:"callers,omitempty"` // empty: all
	Priority int      `json:"priority"`
	Engines  []string `json:"engines,omitempty"` // engines that load the model; empty: the planner chooses
}

// Intent is the change that an operator requests, as written in the file given to `bergamotctl plan`.
type Intent struct {
	Name     string       `json:"name"`
	Action   IntentAction `json:"action"`
	Serve    []Serve      `json:"serve,omitempty"`
	Upstream string       `json:"upstream,omitempty"` // for drain, replace, withdraw, role
	With     string       `json:"with,omitempty"`     // for replace: the upstream that takes the work over
	Role     Role         `json:"role,omitempty"`     // for role
	Operator string       `json:"operator,omitempty"` // set by the API
}

// StepKind is the kind of a plan's step.
type StepKind string

// The kinds of steps.
const (
	StepStopNewWork StepKind = "stop_new_work" // marks the upstream as draining in the configuration
	StepWaitIdle    StepKind = "wait_idle"     // waits until running work has finished or moved
	StepLoadModel   StepKind = "load_model"
	StepUnloadModel StepKind = "unload_model"
	StepLoadAdapter StepKind = "load_adapter"
	StepChangeRole  StepKind = "change_role"
	StepConfigure   StepKind = "configure" // any other configuration change
	StepResumeWork  StepKind = "resume_work"
	StepWithdraw    StepKind = "withdraw"
)

// Step is one change in a plan. Steps run in order.
type Step struct {
	Kind     StepKind      `json:"kind"`
	Upstream string        `json:"upstream,omitempty"`
	Model    string        `json:"model,omitempty"` // "model@version"
	Adapter  string        `json:"adapter,omitempty"`
	Role     Role          `json:"role,omitempty"`
	Serve    *Serve        `json:"serve,omitempty"`
	With     string        `json:"with,omitempty"`   // for wait_idle: the engine that takes over running work
	Before   UpstreamState `json:"before,omitempty"` // for stop_new_work: the state that a cancelled plan restores
	State    UpstreamState `json:"state,omitempty"`  // for resume_work: the state afterwards; empty: active
	Duration time.Duration `json:"duration_ns"`      // estimate
}

// Cost is the estimated cost of a plan.
type Cost struct {
	EngineSecondsOut     float64       `json:"engine_seconds_out"`
	CapacityLostShare    float64       `json:"capacity_lost_share"` // highest share during the plan, 0 to 1
	LoadShareOfRemaining float64       `json:"load_share_of_remaining"`
	Fits                 bool          `json:"fits"` // the present load fits into the remaining capacity
	WeightBytes          int64         `json:"weight_bytes"`
	WeightSeconds        float64       `json:"weight_seconds"` // under the weight store's rate limit
	KVPiecesMoved        int           `json:"kv_pieces_moved"`
	KVPiecesLost         int           `json:"kv_pieces_lost"`
	TimeToFinish         time.Duration `json:"time_to_finish_ns"`
	Credits              float64       `json:"credits"`
	CreditsExpireFirst   bool          `json:"credits_expire_first"` // credits run out or expire before the plan finishes
}

// PlanState is the state of a plan.
type PlanState string

// The states of a plan. Done, Cancelled and Failed are final.
const (
	PlanProposed   PlanState = "proposed"
	PlanConfirmed  PlanState = "confirmed"
	PlanRunning    PlanState = "running"
	PlanHeld       PlanState = "held" // waits for capacity; Plan.Reason gives the cause
	PlanCancelling PlanState = "cancelling"
	PlanDone       PlanState = "done"
	PlanCancelled  PlanState = "cancelled"
	PlanFailed     PlanState = "failed"
)

// Base is the version of an object that a plan was computed from.
type Base struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"` // of the part of the object that the plan uses; empty: the whole object
}

// Move is a base that changed after the plan was computed.
type Move struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	By   string `json:"by,omitempty"`
}

// Plan is a list of steps with its estimated cost. No step runs before the plan is confirmed.
type Plan struct {
	Name        string    `json:"name"`
	Intent      Intent    `json:"intent"`
	Bases       []Base    `json:"bases"`
	Steps       []Step    `json:"steps"`
	Cost        Cost      `json:"cost"`
	State       PlanState `json:"state"`
	NextStep    int       `json:"next_step"`
	Started     bool      `json:"started,omitempty"`  // the step NextStep has begun
	Revision    uint64    `json:"revision,omitempty"` // configuration revision with the draining mark of the current step
	Holder      string    `json:"holder,omitempty"`   // entry VM that runs the current step
	Fencing     uint64    `json:"fencing,omitempty"`  // of the lease under which Holder runs it
	Reason      string    `json:"reason,omitempty"`   // why the plan is held, failed or cancelled
	Progress    string    `json:"progress,omitempty"` // of the current step
	Operator    string    `json:"operator"`
	ConfirmedBy string    `json:"confirmed_by,omitempty"`
	ConfirmMark string    `json:"confirm_mark,omitempty"` // Confirmation.Mark
	CancelledBy string    `json:"cancelled_by,omitempty"`
	Created     time.Time `json:"created"`
	Updated     time.Time `json:"updated"`
}

// Final reports whether the state is an end state.
func (s PlanState) Final() bool { return s == PlanDone || s == PlanCancelled || s == PlanFailed }

// Upstreams returns the distinct names of the upstreams that the plan's steps change or move work to.
func (p *Plan) Upstreams() []string {
	var names []string
	add := func(n string) {
		if n != "" && !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	for _, s := range p.Steps {
		add(s.Upstream)
		add(s.With)
	}
	return names
}

// KindConfirmations is the kind of the single object that lists the confirmed plans in progress.
const KindConfirmations = "confirmations"

// ConfirmationsName is the name of that object.
const ConfirmationsName = "active"

// Confirmation records that a plan is confirmed and which upstreams it holds until it is finished.
type Confirmation struct {
	Plan      string    `json:"plan"`
	Operator  string    `json:"operator"`
	Upstreams []string  `json:"upstreams"`
	Mark      string    `json:"mark"` // unique for each confirm call, so that a read-back settles a lost answer
	At        time.Time `json:"at"`
}

// Confirmations is the object whose conditional update makes a confirmation take effect. The update prevents two plans
// that need the same upstream from both being confirmed.
type Confirmations struct {
	Active []Confirmation `json:"active"`
}

// UpstreamStatus is the state of an upstream that is reported to operators. The holder of the group's lease writes it.
type UpstreamStatus struct {
	Upstream string    `json:"upstream"`
	Problem  string    `json:"problem,omitempty"` // why an operator has to inspect the upstream
	Plan     string    `json:"plan,omitempty"`
	Order    string    `json:"order,omitempty"`
	Author   string    `json:"author,omitempty"`
	Since    time.Time `json:"since"`
}

// OrderState is the state of an order.
type OrderState string

// The states of an order. Only an open order blocks other orders to the same engine.
const (
	OrderOpen   OrderState = "open"
	OrderDone   OrderState = "done"
	OrderFailed OrderState = "failed"
)

// Order is a command to an engine. An order is recorded before it is sent; its object has the engine's name, so that at
// most one order per engine can be open.
type Order struct {
	ID       string     `json:"id"` // unique: group, fencing number and sequence
	Upstream string     `json:"upstream"`
	Kind     StepKind   `json:"kind"`
	Model    string     `json:"model,omitempty"`
	Adapter  string     `json:"adapter,omitempty"`
	Role     Role       `json:"role,omitempty"`
	Fencing  uint64     `json:"fencing"`
	Group    int        `json:"group"`
	Plan     string     `json:"plan,omitempty"`
	Step     int        `json:"step"`
	State    OrderState `json:"state"`
	Result   string     `json:"result,omitempty"`
	Recorded time.Time  `json:"recorded"`
	LimitMS  int64      `json:"limit_ms"` // the order fails when it has not finished after this time
}

// EngineOrderState is the state of the last order as the engine reports it.
type EngineOrderState string

// The states that an engine reports.
const (
	EngineIdle    EngineOrderState = "idle" // no order since the engine started
	EngineRunning EngineOrderState = "running"
	EngineDone    EngineOrderState = "done"
	EngineFailed  EngineOrderState = "failed"
)

// EngineStatus is the body of an engine's answers to POST /orders (status 200, or 409 when it refuses) and
// GET /orders/current. The body of POST /orders is an Order.
type EngineStatus struct {
	OrderID  string           `json:"order_id,omitempty"` // of the last accepted order
	State    EngineOrderState `json:"state"`
	Fencing  uint64           `json:"fencing"` // highest number received; 0 on engines that ignore fencing numbers
	Boot     uint64           `json:"boot"`    // changes when the engine restarts
	Models   []string         `json:"models"`  // "model@version"
	Adapters []string         `json:"adapters"`
	Role     Role             `json:"role"`
	Message  string           `json:"message,omitempty"`
}
