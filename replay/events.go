package replay

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// applyEvent applies an event of the trace. Events that name an unknown upstream are ignored.
func (s *Sim) applyEvent(l *Line) {
	u := s.byName[l.Upstream]
	switch l.Event {
	case "store_down":
		s.storeOutages++
		s.after(ms(l.ForMS), func() { s.storeOutages-- })
	case "store_slow":
		s.storeDelay += ms(l.DelayMS)
		s.after(ms(l.ForMS), func() { s.storeDelay -= ms(l.DelayMS) })
	case "delay_reports":
		s.reportLag += ms(l.LagMS)
		s.after(ms(l.ForMS), func() { s.reportLag -= ms(l.LagMS) })
	default:
		if u != nil {
			s.applyUpstreamEvent(u, l)
		}
	}
}

func (s *Sim) applyUpstreamEvent(u *upstream, l *Line) {
	switch l.Event {
	case "slow_upstream":
		u.setSlow(l.Factor)
		s.after(ms(l.ForMS), func() { u.setSlow(1) })
	case "lose_answers":
		u.losesAnswers = true
		s.after(ms(l.ForMS), func() { u.losesAnswers = false })
	case "kill_upstream":
		u.kill(ms(l.ForMS))
	case "leave_upstream":
		u.leave(leaveMin, leaveMax)
	case "withdraw_upstream":
		u.leave(markMin, markMax)
	}
}

func (u *upstream) setSlow(f float64) {
	if u.svc != nil {
		u.svc.Slow = f
		return
	}
	u.eng.Slow = f
}

// leave removes an upstream permanently: each entry VM stops sending new work when the mark reaches it, and running
// work finishes.
func (u *upstream) leave(lo, hi time.Duration) {
	if u.leaving {
		return
	}
	u.leaving, u.leavingSince = true, u.sim.now
	u.sim.announceAccepting(u, false, lo, hi)
	u.whenIdle(leaveLimit, func() { u.down = true })
}

// whenIdle runs f when the upstream has no requests, but not before earliest has passed.
func (u *upstream) whenIdle(earliest time.Duration, f func()) {
	u.sim.after(earliest, func() {
		if u.jobs() > 0 && !u.down {
			u.whenIdle(pollEvery, f)
			return
		}
		f()
	})
}

// planRoles acts as the role controller of the fleet's model: it sums the workload mixes of the entry VMs, calls the
// planner and starts the role changes that it returns.
func (s *Sim) planRoles() {
	var mix policy.Mix
	model := ""
	for _, u := range s.upstreams {
		if len(u.spec.Models) > 0 {
			model = u.spec.Models[0]
			break
		}
	}
	for _, v := range s.vms {
		m := v.sched.Mix(s.now, model)
		mix.PrefillTokensPerSecond += m.PrefillTokensPerSecond
		mix.DecodeTokensPerSecond += m.DecodeTokensPerSecond
		mix.Refused += m.Refused / float64(len(s.vms))
	}
	for _, c := range s.planner.Plan(s.now, mix, s.engineRoles()) {
		s.byName[c.Engine].changeRole(c.Role)
	}
}

func (s *Sim) engineRoles() []policy.EngineRole {
	v := s.vms[0]
	var out []policy.EngineRole
	for _, u := range s.upstreams {
		at, ok := v.sched.Lookup(u.spec.Name)
		if u.eng == nil || !ok || u.down || u.leaving {
			continue
		}
		state := v.sched.Fleet().Upstreams[at]
		out = append(out, policy.EngineRole{
			Name: u.spec.Name, Spec: u.spec, Role: u.eng.Role, Changing: u.changes > 0,
			Running: state.OwnRunning + state.OtherRunning(), Slowdown: v.sched.Fleet().Health.Factor(at),
		})
	}
	return out
}

// changeRole performs a planned role change: the entry VMs stop sending new work, running work finishes, the engine
// is out of service while it changes, and returns with an empty cache.
func (u *upstream) changeRole(to topo.Role) {
	if u.changes > 0 || u.down || u.leaving {
		return
	}
	s := u.sim
	u.changes++
	s.roleChanges = append(s.roleChanges, s.now)
	s.announceAccepting(u, false, markMin, markMax)
	u.whenIdle(markMax+50*time.Millisecond, func() {
		s.after(ms(int64(u.spec.RoleChangeMS)), func() {
			u.changes--
			u.eng.Role = to
			s.forgetCache(u)
			for _, v := range s.vms {
				v.sched.SetRole(u.spec.Name, to)
			}
			s.announceAccepting(u, true, markMin, markMax)
		})
	})
}
