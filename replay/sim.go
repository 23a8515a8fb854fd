package replay

import (
	"math/rand/v2"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/replay/engine"
	"bergamotcroft.example/bergamot/result"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
)

// Delays of the simulated environment; docs/replay.md lists them.
const (
	tickEvery  = 20 * time.Millisecond
	detectMin  = 200 * time.Millisecond // until the health check of an entry VM detects a failed or restarted upstream
	detectMax  = 1200 * time.Millisecond
	leaveMin   = 100 * time.Millisecond // until an entry VM receives the mark of a leaving upstream
	leaveMax   = 2 * time.Second
	markMin    = 50 * time.Millisecond // until an entry VM receives the mark of a planned change
	markMax    = 500 * time.Millisecond
	pollEvery  = 100 * time.Millisecond // interval of polls for an idle upstream
	settleTime = 120 * time.Second      // after the last deadline; a request without a final answer by then is lost
)

// Sim is the state of one replay.
type Sim struct {
	clock
	fleet  *Fleet
	policy Policy
	trace  Trace
	rng    *rand.Rand

	vms        []*vmDriver
	upstreams  []*upstream
	byName     map[string]*upstream
	records    []*record
	executions map[*policy.Request]*execution
	requests   uint64
	unanswered int // number of records without a final answer
	lastLine   time.Duration

	claims       map[string]claimState
	crashes      map[uint64]int // crashed attempts by record id, as package quarantine counts them by request body
	storeOutages int            // number of current outages
	storeDelay   time.Duration
	reportLag    time.Duration // added to the report lag of each upstream

	planner     policy.RolePlanner
	roleChanges []time.Duration
	lateWork    int // requests that reached a leaving upstream after leaveLimit
	trueCache   bool

	// intercept, unless it is nil, is called before each action; the action is skipped when it returns false. Tests
	// use it to inject faults into the driver.
	intercept func(*vmDriver, *execution, scheduler.Action) bool
}

// runOptions configure one replay.
type runOptions struct {
	policy  Policy
	seed    uint64
	oracle  bool // one entry VM, reports without lag, and routing by the true contents of the caches
	planner policy.RolePlanner
}

func newSim(f *Fleet, t Trace, o runOptions) (*Sim, error) {
	s := &Sim{
		fleet: f, policy: o.policy, trace: t, byName: map[string]*upstream{}, executions: map[*policy.Request]*execution{},
		claims: map[string]claimState{}, crashes: map[uint64]int{}, rng: rand.New(rand.NewPCG(o.seed, 0x5eed)), planner: o.planner, trueCache: o.oracle,
	}
	if o.oracle {
		f = f.withOneEntryVM()
		s.fleet = f
	}
	for _, spec := range f.Upstreams {
		u := &upstream{sim: s, spec: spec}
		if spec.Kind == topo.KindService {
			u.svc = &engine.Service{Slots: spec.MaxBatch, Slow: 1}
		} else {
			u.eng = engine.New(spec, len(f.EntryVMs), u)
		}
		s.upstreams = append(s.upstreams, u)
		s.byName[spec.Name] = u
	}
	for i, spec := range f.EntryVMs {
		sched, err := o.policy.newScheduler(o.seed*1000 + uint64(i))
		if err != nil {
			return nil, err
		}
		sched.SetUpstreams(f.Upstreams)
		s.vms = append(s.vms, &vmDriver{sim: s, index: i, spec: spec, sched: sched})
	}
	if o.oracle {
		s.useTrueCaches()
	}
	return s, nil
}

// withOneEntryVM returns a copy of the fleet with one entry VM, reports without lag and no lost cache events.
func (f *Fleet) withOneEntryVM() *Fleet {
	c := *f
	c.EntryVMs = f.EntryVMs[:1]
	c.ReportIntervalMS, c.CacheGapsPerMille = 20, 0
	c.Upstreams = append([]topo.Upstream(nil), f.Upstreams...)
	for i := range c.Upstreams {
		c.Upstreams[i].ReportLagMS = 0
	}
	return &c
}

// run replays the whole trace.
func (s *Sim) run() {
	limit := time.Duration(0)
	for i := range s.trace {
		l := &s.trace[i]
		s.lastLine = l.At()
		if l.Event != "" {
			s.after(l.At(), func() { s.applyEvent(l) })
			continue
		}
		rec := &record{line: l, id: uint64(i) + 1}
		s.records = append(s.records, rec)
		s.unanswered++
		limit = max(limit, l.At()+ms(l.DeadlineMS))
		s.after(l.At(), func() { s.send(rec) })
	}
	s.startLoops()
	for s.unanswered > 0 && s.step(limit+settleTime) {
	}
	// Executions that upstreams begin within a second after the last answer also count.
	for end := s.now + time.Second; s.step(end); {
	}
}

func (s *Sim) startLoops() {
	for i, v := range s.vms {
		s.every(tickEvery, time.Duration(i)*tickEvery/time.Duration(len(s.vms)), v.tick)
	}
	interval := ms(int64(s.fleet.ReportIntervalMS))
	for i, u := range s.upstreams {
		s.every(interval, time.Duration(i)*interval/time.Duration(len(s.upstreams)), func() { s.publish(u) })
	}
	if s.planner != nil {
		s.every(time.Second, time.Second, s.planRoles)
	}
}

// every runs f at this interval while requests are unanswered.
func (s *Sim) every(interval, offset time.Duration, f func()) {
	var repeat func()
	repeat = func() {
		f()
		if s.unanswered > 0 {
			s.after(interval, repeat)
		}
	}
	s.after(offset, repeat)
}

// randomDuration returns a random duration in [lo, hi).
func (s *Sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

// send sends a request to one of the entry VMs in the caller's address answer, chosen at random by number of cores.
func (s *Sim) send(rec *record) {
	n := len(s.vms)
	start := int(hashString(rec.line.Caller) % uint64(n))
	group, cores := min(s.fleet.AddressGroup, n), 0
	for k := range group {
		cores += max(s.vms[(start+k)%n].spec.Cores, 1)
	}
	pick := s.rng.IntN(cores)
	v := s.vms[start]
	for k := range group {
		v = s.vms[(start+k)%n]
		if pick -= max(v.spec.Cores, 1); pick < 0 {
			break
		}
	}
	s.after(s.fleet.clientLatency(), func() { v.receive(rec) })
}

// receiveAnswer records that the caller received an answer marked as complete.
func (s *Sim) receiveAnswer(rec *record) {
	if rec.final != finalNone {
		return
	}
	rec.final, rec.endAt = finalComplete, s.now
	s.unanswered--
}

// maxServiceSends bounds how often a caller sends one request to a service.
const maxServiceSends = 4

// maxCrashingSends bounds how often a caller sends a request that crashes upstreams: callers retry once after a
// failure.
const maxCrashingSends = 2

// quarantineCrashes is the number of crashes after which a request body is refused, as in package quarantine.
const quarantineCrashes = 2

// receiveRefusal handles a refusal at the caller. Calls of services are retried as package client does: with the same
// key after an unknown outcome, and without a key only when the refusal states not_run.
func (s *Sim) receiveRefusal(rec *record, code result.Code, e result.Execution, after time.Duration) {
	wait := max(after, 100*time.Millisecond)
	inTime := s.now+wait < rec.line.At()+ms(rec.line.DeadlineMS)
	repeat := e == result.NotRun || rec.line.Key != ""
	if rec.line.Service != "" && repeat && inTime && len(rec.submissions) < maxServiceSends {
		s.after(wait, func() { s.send(rec) })
		return
	}
	if rec.line.CrashesUpstream && len(rec.submissions) < maxCrashingSends {
		s.after(wait, func() { s.send(rec) })
		return
	}
	rec.final, rec.endAt, rec.code, rec.execution = finalRefused, s.now, code, e
	s.unanswered--
}

// announceAccepting sets at each entry VM, after a random delay of its own, whether u accepts new work.
func (s *Sim) announceAccepting(u *upstream, accepting bool, lo, hi time.Duration) {
	for _, v := range s.vms {
		s.after(s.randomDuration(lo, hi), func() {
			if accepting && (u.down || u.leaving || u.changes > 0) {
				return
			}
			v.sched.SetAccepting(u.spec.Name, accepting)
		})
	}
}

// publish sends the load report and the cache events of u to the entry VMs. Both arrive late, and some batches of cache
// events are lost.
func (s *Sim) publish(u *upstream) {
	if u.down {
		return
	}
	lag := ms(int64(u.spec.ReportLagMS)) + s.reportLag
	reports := make([]policy.LoadReport, len(s.vms))
	for i := range s.vms {
		reports[i] = u.report(i)
	}
	var ev scheduler.CacheEvent
	if u.eng != nil {
		ev.Inserted, ev.Removed = u.eng.CacheEvents()
		u.eng.ResetRates()
	}
	lost := s.rng.IntN(1000) < s.fleet.CacheGapsPerMille
	s.after(lag, func() {
		for i, v := range s.vms {
			at, ok := v.sched.Lookup(u.spec.Name)
			if !ok {
				continue
			}
			v.sched.Report(s.now, at, reports[i])
			if u.eng != nil && (lost || len(ev.Inserted)+len(ev.Removed) > 0) {
				e := ev
				if lost {
					e = scheduler.CacheEvent{Gap: true}
				}
				v.sched.CacheEvent(s.now, at, e)
			}
		}
	})
}

// forgetCache clears what the entry VMs have recorded of u's cache.
func (s *Sim) forgetCache(u *upstream) {
	for _, v := range s.vms {
		if at, ok := v.sched.Lookup(u.spec.Name); ok {
			v.sched.CacheEvent(s.now, at, scheduler.CacheEvent{Gap: true})
		}
	}
}

// trueCacheIndex is a prefix index that also matches the actual contents of the engine's cache.
type trueCacheIndex struct {
	policy.PrefixIndex
	eng *engine.Engine
}

// Match implements policy.PrefixIndex.
func (t trueCacheIndex) Match(prefix []uint64) int {
	return max(t.PrefixIndex.Match(prefix), t.eng.Matches(prefix))
}

func (s *Sim) useTrueCaches() {
	for _, u := range s.vms[0].sched.Fleet().Upstreams {
		if e := s.byName[u.Spec.Name].eng; e != nil {
			u.Cache = trueCacheIndex{u.Cache, e}
		}
	}
}
