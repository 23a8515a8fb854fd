package replay

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
)

// vmDriver drives the scheduler of one entry VM as the gateway does.
type vmDriver struct {
	sim   *Sim
	index int
	spec  EntryVM
	sched *scheduler.Scheduler
}

// execution is one request while an entry VM handles it.
type execution struct {
	vm         *vmDriver
	rec        *record
	submission *submission
	req        *policy.Request
	attempts   []*attempt // in flight
	arrived    time.Duration
	claimed    bool
	finished   bool
}

// receive handles a request that arrives from its caller.
func (v *vmDriver) receive(rec *record) {
	l := rec.line
	o := &submission{rec: rec}
	rec.submissions = append(rec.submissions, o)
	x := &execution{vm: v, rec: rec, submission: o, arrived: v.sim.now}
	p := priority(l.Class)
	if v.sim.policy.FirstCome {
		p = 0
	}
	v.sim.requests++
	x.req = &policy.Request{
		ID: v.sim.requests, Caller: l.Caller, Class: l.Class, Priority: p, Model: l.Model, Service: l.Service,
		PromptTokens: l.PromptTokens, Arrival: v.sim.now, Deadline: l.At() + ms(l.DeadlineMS) - v.sim.fleet.clientLatency(),
		Idempotent: l.Idempotent,
	}
	if l.Model != "" {
		x.req.Prefix = prefixHashes(l, rec.id)
	}
	x.req.Crashes = v.sim.crashes[rec.id] // package quarantine also counts crashes of earlier submissions
	if v.sim.crashes[rec.id] >= quarantineCrashes {
		v.finish(x)
		v.sendRefusal(x, result.Quarantined, result.NotRun, time.Second)
		return
	}
	if !l.Idempotent && l.Key != "" {
		v.claimKey(x)
		return
	}
	v.offer(x)
}

// offer passes the request to the scheduler.
func (v *vmDriver) offer(x *execution) {
	v.sim.executions[x.req] = x
	v.perform(v.sched.Offer(v.sim.now, x.req))
}

func (v *vmDriver) tick() {
	v.perform(v.sched.Tick(v.sim.now))
}

// perform executes the scheduler's actions.
func (v *vmDriver) perform(actions []scheduler.Action) {
	for _, a := range actions {
		x := v.sim.executions[a.Request]
		if x == nil || x.finished || v.sim.intercept != nil && !v.sim.intercept(v, x, a) {
			continue
		}
		switch a.Kind {
		case scheduler.Dispatch:
			v.send(x, a, false)
		case scheduler.Hedge:
			v.send(x, a, true)
		case scheduler.Preempt:
			x.cancelAll()
		case scheduler.Refuse:
			x.cancelAll()
			v.refuse(x, a)
		}
	}
}

func (v *vmDriver) send(x *execution, action scheduler.Action, hedge bool) {
	if !hedge && x.rec.firstAt == 0 {
		x.rec.queueTime = v.sim.now - x.arrived
	}
	a := &attempt{x: x, submission: x.submission, prefill: v.upstream(action.Prefill), decode: v.upstream(action.Decode), hedge: hedge}
	x.attempts = append(x.attempts, a)
	lag := v.sim.fleet.latency(v.spec.DataCentre, a.prefill.spec.DataCentre)
	v.sim.after(action.Delay+lag, func() { a.prefill.receive(a) })
}

func (v *vmDriver) upstream(i int) *upstream {
	return v.sim.byName[v.sched.Fleet().Upstreams[i].Spec.Name]
}

// cancelAll cancels all attempts of x.
func (x *execution) cancelAll() {
	for _, a := range x.attempts {
		x.vm.cancel(a)
	}
	x.attempts = nil
}

// cancel makes the entry VM ignore further events of an attempt, and sends the cancellation to its upstream.
func (v *vmDriver) cancel(a *attempt) {
	a.discarded = true
	if a.host == nil {
		return // not at the upstream yet; upstream.receive discards it
	}
	v.sim.after(v.sim.fleet.latency(v.spec.DataCentre, a.host.spec.DataCentre), func() { a.host.cancel(a) })
}

// removeAttempt discards one attempt and removes it from x.
func (x *execution) removeAttempt(a *attempt) {
	a.discarded = true
	for i, other := range x.attempts {
		if other == a {
			x.attempts = append(x.attempts[:i], x.attempts[i+1:]...)
			return
		}
	}
}

// firstToken handles the first token of an attempt, and cancels the other attempt of a hedged request.
func (v *vmDriver) firstToken(a *attempt, tokens int) {
	x := a.x
	for _, other := range x.attempts {
		if other != a {
			v.cancel(other)
		}
	}
	x.attempts = append(x.attempts[:0], a)
	v.sched.HedgeSettled(v.sim.now, x.req, a.hedge)
	v.sched.FirstToken(v.sim.now, x.req)
	if x.rec.firstAt == 0 {
		x.rec.firstAt = v.sim.now + v.sim.fleet.clientLatency()
	}
	v.progress(a, tokens)
}

func (v *vmDriver) progress(a *attempt, n int) {
	if a.x.finished {
		return // the caller already has its final answer
	}
	v.sched.Progress(v.sim.now, a.x.req, n)
	a.x.rec.delivered += n
}

// attemptEnded handles the end of an attempt, with an answer or without.
func (v *vmDriver) attemptEnded(a *attempt, o policy.Outcome) {
	if o != policy.Completed {
		v.attemptFailed(a, o)
		return
	}
	x := a.x
	for _, other := range x.attempts {
		if other != a {
			v.cancel(other)
		}
	}
	v.sched.HedgeSettled(v.sim.now, x.req, a.hedge)
	x.attempts = nil
	v.finish(x)
	v.settleClaim(x, claimDone)
	v.perform(v.sched.Finished(v.sim.now, x.req, policy.Completed))
	v.sim.after(v.sim.fleet.clientLatency(), func() { v.sim.receiveAnswer(x.rec) })
}

// attemptFailed handles the failure of an attempt. A hedged request continues with its other attempt.
func (v *vmDriver) attemptFailed(a *attempt, o policy.Outcome) {
	x := a.x
	if o == policy.Crashed {
		v.sim.crashes[x.rec.id]++
	}
	x.removeAttempt(a)
	if len(x.attempts) > 0 {
		v.sched.HedgeFailed(v.sim.now, x.req, a.hedge, o)
		x.attempts[0].hedge = false
		return
	}
	v.perform(v.sched.Finished(v.sim.now, x.req, o))
}

func (v *vmDriver) finish(x *execution) {
	x.finished = true
	delete(v.sim.executions, x.req)
}

// refuse sends the caller the refusal of this submission.
func (v *vmDriver) refuse(x *execution, a scheduler.Action) {
	v.finish(x)
	outcome := result.NotRun
	if a.Ran {
		outcome = result.Unknown
		v.settleClaim(x, claimUnknown)
	} else {
		v.releaseClaim(x)
	}
	v.sendRefusal(x, a.Code, outcome, a.RetryAfter)
}

func (v *vmDriver) sendRefusal(x *execution, code result.Code, e result.Execution, after time.Duration) {
	x.submission.notRun = e == result.NotRun
	v.sim.after(v.sim.fleet.clientLatency(), func() { v.sim.receiveRefusal(x.rec, code, e, after) })
}
