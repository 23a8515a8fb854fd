package replay

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/replay/engine"
	"bergamotcroft.example/bergamot/topo"
)

// upstream simulates one server of the fleet and its faults. It implements engine.Sink.
type upstream struct {
	sim          *Sim
	spec         topo.Upstream
	eng          *engine.Engine  // for engines
	svc          *engine.Service // for services
	epoch        int             // incremented by each crash, so that the pending end of a step or call is ignored
	down         bool
	leaving      bool
	leavingSince time.Duration // time of the first leaving mark
	losesAnswers bool          // answers are lost
	changes      int           // role changes in progress
}

// attempt is one dispatch of a request.
type attempt struct {
	x          *execution
	submission *submission
	prefill    *upstream
	decode     *upstream
	hedge      bool
	discarded  bool // further events are ignored
	started    bool
	job        *engine.Job
	call       *engine.Call
	host       *upstream // upstream that has job or call; nil before it has arrived
}

// countStart counts the start of an execution, once for each attempt.
func (a *attempt) countStart() {
	if !a.started {
		a.started = true
		a.submission.starts++
		a.submission.rec.starts++
	}
}

// receive handles an attempt that arrives over the network.
func (u *upstream) receive(a *attempt) {
	if a.discarded {
		return
	}
	if u.down {
		u.reply(a, func() { a.x.vm.attemptFailed(a, policy.FailedBeforeSend) })
		return
	}
	if u.leaving && u.sim.now-u.leavingSince > leaveLimit {
		u.sim.lateWork++
	}
	r, l := a.x.req, a.x.rec.line
	a.host = u
	if u.svc != nil {
		a.call = &engine.Call{Owner: a, VM: a.x.vm.index, Time: ms(l.ServiceMS)}
		u.svc.Submit(a.call)
		u.startCalls()
		return
	}
	a.job = &engine.Job{
		Owner: a, VM: a.x.vm.index, Priority: r.Priority, Prompt: r.PromptTokens + r.Generated, Prefix: r.Prefix,
		Output: l.OutputTokens - r.Generated, Poison: l.CrashesUpstream,
	}
	if a.prefill != a.decode {
		a.job.Phase = engine.PrefillOnly
	}
	u.eng.Submit(a.job)
	u.startStep()
}

// leaveLimit is the time after the first leaving mark from which an upstream must receive no new work.
const leaveLimit = 3 * time.Second

// reply runs f at the attempt's entry VM after the network latency, unless the attempt is discarded by then.
func (u *upstream) reply(a *attempt, f func()) {
	u.sim.after(u.sim.fleet.latency(u.spec.DataCentre, a.x.vm.spec.DataCentre), func() {
		if !a.discarded {
			f()
		}
	})
}

// startStep starts the engine's next step unless one is running.
func (u *upstream) startStep() {
	if u.eng.Busy || u.down {
		return
	}
	t, ok := u.eng.Begin()
	if !ok {
		return
	}
	epoch := u.epoch
	u.sim.after(t, func() {
		if epoch != u.epoch {
			return
		}
		u.eng.End()
		if epoch == u.epoch {
			u.startStep()
		}
	})
}

// Started implements engine.Sink.
func (u *upstream) Started(j *engine.Job) { j.Owner.(*attempt).countStart() }

// First implements engine.Sink.
func (u *upstream) First(j *engine.Job) {
	a := j.Owner.(*attempt)
	shared := min(j.Cached, a.x.rec.line.PrefixTokens/policy.PieceTokens) * policy.PieceTokens
	u.reply(a, func() {
		a.x.rec.cachedTokens = shared
		// An earlier attempt may have generated all tokens, so that only the end of the answer is missing.
		a.x.vm.firstToken(a, min(j.Output, 1))
	})
}

// Progress implements engine.Sink.
func (u *upstream) Progress(j *engine.Job, n int) {
	a := j.Owner.(*attempt)
	u.reply(a, func() { a.x.vm.progress(a, n) })
}

// Done implements engine.Sink.
func (u *upstream) Done(j *engine.Job) {
	a := j.Owner.(*attempt)
	if j.Phase == engine.PrefillOnly && j.Generated() < j.Output {
		u.transfer(a, j)
		return
	}
	u.complete(a)
}

func (u *upstream) complete(a *attempt) {
	a.x.rec.completes++
	outcome := policy.Completed
	if u.losesAnswers {
		outcome = policy.FailedUnknown
	}
	u.reply(a, func() { a.x.vm.attemptEnded(a, outcome) })
}

// transfer moves the KV cache of a prompt to the decode engine.
func (u *upstream) transfer(a *attempt, j *engine.Job) {
	pieces := j.Prompt/policy.PieceTokens + 1
	d := a.decode
	transferTime := time.Duration(pieces)*engine.TransferTime + u.sim.fleet.latency(u.spec.DataCentre, d.spec.DataCentre)
	u.sim.after(transferTime, func() {
		if a.discarded {
			return
		}
		if d.down {
			d.reply(a, func() { a.x.vm.attemptFailed(a, policy.FailedUnknown) })
			return
		}
		next := &engine.Job{
			Owner: a, VM: j.VM, Priority: j.Priority, Phase: engine.DecodeOnly, Prompt: j.Prompt, Output: j.Output,
		}
		next.SetGenerated(j.Generated())
		a.job, a.host = next, d
		d.eng.Submit(next)
		d.startStep()
	})
}

// Crash implements engine.Sink.
func (u *upstream) Crash(j *engine.Job) { u.crash(j.Owner.(*attempt)) }

func (u *upstream) crash(a *attempt) {
	a.x.rec.crashes++
	u.kill(crashRestart)
}

// crashRestart is the time an upstream takes to restart after a request crashed it.
const crashRestart = 5 * time.Second

// kill crashes the upstream with all its requests, and restarts it after downtime unless that is 0.
func (u *upstream) kill(downtime time.Duration) {
	if u.down {
		return
	}
	u.down = true
	u.epoch++
	for _, a := range u.removeAll() {
		u.reply(a, func() { a.x.vm.attemptFailed(a, policy.Crashed) })
	}
	u.sim.announceAccepting(u, false, detectMin, detectMax)
	if downtime > 0 {
		u.sim.after(downtime, u.restart)
	}
}

// removeAll removes all attempts from the upstream and returns them.
func (u *upstream) removeAll() []*attempt {
	var out []*attempt
	if u.svc != nil {
		for _, c := range u.svc.Kill() {
			out = append(out, c.Owner.(*attempt))
		}
		return out
	}
	for _, j := range u.eng.Kill() {
		out = append(out, j.Owner.(*attempt))
	}
	return out
}

func (u *upstream) restart() {
	u.down = false
	u.sim.forgetCache(u)
	u.sim.announceAccepting(u, true, detectMin, detectMax)
}

// startCalls starts the waiting calls for which the service server has free slots.
func (u *upstream) startCalls() {
	for {
		c, t := u.svc.Next()
		if c == nil {
			return
		}
		a := c.Owner.(*attempt)
		a.countStart()
		epoch := u.epoch
		u.sim.after(t, func() {
			if epoch != u.epoch {
				return
			}
			if a.x.rec.line.CrashesUpstream {
				u.crash(a)
				return
			}
			u.svc.End(c)
			u.complete(a)
			u.startCalls()
		})
	}
}

// cancel cancels an attempt at the upstream. A service call that runs already continues.
func (u *upstream) cancel(a *attempt) {
	if a.host == nil {
		return
	}
	if a.call != nil {
		a.host.svc.Cancel(a.call)
		return
	}
	a.host.eng.Cancel(a.job)
}

// jobs returns the number of requests at the upstream.
func (u *upstream) jobs() int {
	if u.svc != nil {
		return len(u.svc.Running) + len(u.svc.Waiting)
	}
	return u.eng.Jobs()
}

func (u *upstream) report(vm int) policy.LoadReport {
	if u.eng != nil {
		return u.eng.Report(u.sim.now, vm)
	}
	rep := policy.LoadReport{At: u.sim.now, Running: len(u.svc.Running), Queued: len(u.svc.Waiting)}
	for _, list := range [][]*engine.Call{u.svc.Running, u.svc.Waiting} {
		for _, c := range list {
			if c.VM == vm {
				rep.OwnRunning++
			}
		}
	}
	return rep
}
