package replay

import (
	"io"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotcroft.example/bergamot/topo"
)

// caseRun is one scenario with one seed, and the figures collected so far.
type caseRun struct {
	scenario scenario
	fleet    *Fleet
	seed     uint64
	scale    float64
	trace    Trace
	def      *Outcome
	naive    *Outcome
	figures  []Figure
}

// SuiteOptions select what the suite runs.
type SuiteOptions struct {
	Seeds int
	Only  string
	Scale float64 // factor of the scenarios' length; 0: 1
}

// Suite runs the scenarios with each seed and returns all figures in a fixed order.
func Suite(o SuiteOptions) ([]Figure, error) {
	var cases []*caseRun
	if o.Scale == 0 {
		o.Scale = 1
	}
	if o.Only != "" {
		if _, err := scenarioNamed(o.Only); err != nil {
			return nil, err
		}
	}
	for _, s := range scenarios {
		for seed := 1; seed <= o.Seeds && (o.Only == "" || o.Only == s.name); seed++ {
			cases = append(cases, &caseRun{scenario: s, seed: uint64(seed), scale: o.Scale})
		}
	}
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)-2, 1))
	for _, c := range cases {
		g.Go(c.run)
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var out []Figure
	for _, c := range cases {
		out = append(out, c.figures...)
	}
	return out, nil
}

// WriteFigures writes figures, one a line.
func WriteFigures(w io.Writer, figures []Figure) {
	for _, f := range figures {
		f.Write(w)
	}
}

func (c *caseRun) run() error {
	var err error
	if c.fleet, err = ExampleFleet(c.scenario.fleet); err != nil {
		return err
	}
	c.trace = c.scenario.generate(c.fleet, c.seed, c.scale)
	if c.def, err = Run(c.fleet, c.trace, Default, c.seed); err != nil {
		return err
	}
	if c.naive, err = Run(c.fleet, c.trace, Naive, c.seed); err != nil {
		return err
	}
	c.figures = append(c.figures, c.def.figures(c.scenario.name, "default", c.seed)...)
	c.figures = append(c.figures, c.naive.figures(c.scenario.name, "naive", c.seed)...)
	return c.scenario.measure(c)
}

// addBoth adds a measure of the default policy and of the naive baseline. The target applies to the default policy.
func (c *caseRun) addBoth(measure, unit string, value func(*Outcome) float64, target func(Figure) Figure) {
	f := Figure{Scenario: c.scenario.name, Policy: "default", Seed: c.seed, Measure: measure, Unit: unit, OK: true}
	n := f
	f.Value = value(c.def)
	n.Policy, n.Value = "naive", value(c.naive)
	if target != nil {
		f = target(f)
	}
	c.figures = append(c.figures, f, n)
}

func (c *caseRun) add(measure, unit string, value float64, target func(Figure) Figure) {
	f := Figure{Scenario: c.scenario.name, Policy: "default", Seed: c.seed, Measure: measure, Value: value, Unit: unit, OK: true}
	if target != nil {
		f = target(f)
	}
	c.figures = append(c.figures, f)
}

func atLeast(v float64) func(Figure) Figure { return func(f Figure) Figure { return f.atLeast(v) } }
func atMost(v float64) func(Figure) Figure  { return func(f Figure) Figure { return f.atMost(v) } }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// filter returns the lines of the trace for which keep returns true.
func (t Trace) filter(keep func(*Line) bool) Trace {
	var out Trace
	for i := range t {
		if keep(&t[i]) {
			out = append(out, t[i])
		}
	}
	return out
}

func (c *caseRun) runFiltered(p Policy, keep func(*Line) bool) (*Outcome, error) {
	return Run(c.fleet, c.trace.filter(keep), p, c.seed)
}

func ofClass(name string) func(*record) bool {
	return func(r *record) bool { return r.line.Class == name }
}

func anyRequest(*record) bool { return true }

func measureBlocking(c *caseRun) error {
	questionsOnly, err := c.runFiltered(Default, func(l *Line) bool { return l.Class == question.name })
	if err != nil {
		return err
	}
	logsOnly, err := c.runFiltered(Default, func(l *Line) bool { return l.Class == siteLog.name })
	if err != nil {
		return err
	}
	base := questionsOnly.firstTokenQuantile(0.99, anyRequest)
	c.add("question_idle_first_token_p99_ms", "ms", base, nil)
	c.addBoth("question_first_token_p99_relative_to_idle", "ratio", func(o *Outcome) float64 {
		return ratio(o.firstTokenQuantile(0.99, ofClass(question.name)), base)
	}, atMost(1.5))
	long := logsOnly.goodput(nil)
	c.addBoth("long_goodput_relative_to_no_questions", "ratio", func(o *Outcome) float64 {
		return ratio(o.goodput(ofClass(siteLog.name)), long)
	}, atLeast(0.95))
	return nil
}

func measureCrest(c *caseRun) error {
	from, to := scaledTime(crestFrom, c.scale), scaledTime(crestTo, c.scale)
	during := func(r *record) bool { return r.line.At() >= from && r.line.At() < to }
	capacity := c.fleet.capacity(crestMix)
	c.add("capacity", "requests/s", capacity, nil)
	c.addBoth("crest_goodput_relative_to_capacity", "ratio", func(o *Outcome) float64 {
		n := 0
		for _, r := range o.records {
			if during(r) && r.completeOnTime() {
				n++
			}
		}
		return ratio(float64(n)/(to-from).Seconds(), capacity)
	}, atLeast(0.95))
	c.addBoth("crest_work_on_time_relative_to_capacity", "ratio", func(o *Outcome) float64 {
		return ratio(o.workDone(c.fleet, from, to), capacity*c.fleet.meanWork(crestMix))
	}, atLeast(0.95))
	c.addBoth("top_priority_on_time", "share", func(o *Outcome) float64 {
		return o.onTimeShare(func(r *record) bool { return during(r) && r.line.Class == question.name })
	}, atLeast(0.99))
	c.addBoth("time_to_normal", "s", func(o *Outcome) float64 { return o.timeToNormal(to).Seconds() }, atMost(5))
	return nil
}

// workDone returns the engine time, for each second between from and to, of the requests that were answered on time. It
// weighs requests by their cost, so that refusing long requests does not raise it.
func (o *Outcome) workDone(f *Fleet, from, to time.Duration) float64 {
	u := f.meanEngine()
	work := 0.0
	for _, r := range o.records {
		if r.completeOnTime() && r.endAt >= from && r.endAt < to {
			work += class{prompt: r.line.PromptTokens, output: r.line.OutputTokens}.engineSeconds(u, 0)
		}
	}
	return work / (to - from).Seconds()
}

// meanWork returns the engine time of a mean request of a mix, in the unit of workDone.
func (f *Fleet) meanWork(mix []classShare) float64 {
	u := f.meanEngine()
	work := 0.0
	for _, p := range mix {
		work += p.share * p.engineSeconds(u, p.cached)
	}
	return work
}

// timeToNormal returns the time from the end of a peak to the last later arrival that was not answered on time.
func (o *Outcome) timeToNormal(end time.Duration) time.Duration {
	last := end
	for _, r := range o.records {
		if r.line.At() >= end && !r.completeOnTime() {
			last = max(last, r.line.At())
		}
	}
	return last - end
}

func measureSlowed(c *caseRun) error {
	base, err := c.runFiltered(Default, func(l *Line) bool { return l.Event != "slow_upstream" })
	if err != nil {
		return err
	}
	first := base.firstTokenQuantile(0.99, anyRequest)
	c.addBoth("first_token_p99_relative_to_unslowed", "ratio", func(o *Outcome) float64 {
		return ratio(o.firstTokenQuantile(0.99, anyRequest), first)
	}, atMost(1.3))
	answerTime := base.answerTimeQuantile(0.99, anyRequest)
	c.addBoth("answer_p99_relative_to_unslowed", "ratio", func(o *Outcome) float64 {
		return ratio(o.answerTimeQuantile(0.99, anyRequest), answerTime)
	}, atMost(1.3))
	return nil
}

// answerTimeQuantile returns a quantile of the time to the complete answer, over the requests that received one.
func (o *Outcome) answerTimeQuantile(q float64, match func(*record) bool) float64 {
	var all []float64
	for _, r := range o.records {
		if match(r) && r.complete() {
			all = append(all, millis(r.endAt-r.line.At()))
		}
	}
	return quantile(all, q)
}

func measureStragglers(c *caseRun) error {
	plain := slices.Clone(c.trace)
	long := map[int64]bool{}
	for i := int(c.seed) % stragglerEvery; i < len(plain); i += stragglerEvery {
		long[int64(i)+1] = true
		plain[i].OutputTokens /= stragglerFactor
		plain[i].DeadlineMS /= stragglerFactor
	}
	base, err := Run(c.fleet, plain, Default, c.seed)
	if err != nil {
		return err
	}
	notStraggler := func(r *record) bool { return !long[int64(r.id)] }
	first := base.firstTokenQuantile(0.99, notStraggler)
	c.addBoth("first_token_p99_of_the_rest_relative_to_no_stragglers", "ratio", func(o *Outcome) float64 {
		return ratio(o.firstTokenQuantile(0.99, notStraggler), first)
	}, atMost(1.2))
	c.addBoth("stragglers_on_time", "share", func(o *Outcome) float64 {
		return o.onTimeShare(func(r *record) bool { return !notStraggler(r) })
	}, nil)
	return nil
}

func measurePrefix(c *caseRun) error {
	oracle, err := run(c.fleet, c.trace, runOptions{policy: Default, seed: c.seed, oracle: true})
	if err != nil {
		return err
	}
	c.add("all_knowing_tokens_reused", "tokens", oracle.reusedPrefixTokens(), nil)
	c.addBoth("tokens_reused_relative_to_all_knowing", "ratio", func(o *Outcome) float64 {
		return ratio(o.reusedPrefixTokens(), oracle.reusedPrefixTokens())
	}, atLeast(0.85))
	return nil
}

// measureFaults adds how many upstreams one request crashed; violations are among the measures of every replay.
func measureFaults(c *caseRun) error {
	c.addBoth("upstreams_crashed_by_one_request", "upstreams", func(o *Outcome) float64 {
		most := 0
		for _, r := range o.records {
			most = max(most, r.crashes)
		}
		return float64(most)
	}, atMost(2))
	return nil
}

func measureShift(c *caseRun) error {
	best, err := c.hindsight()
	if err != nil {
		return err
	}
	c.addBoth("goodput_relative_to_naive", "ratio", func(o *Outcome) float64 {
		return ratio(o.goodput(nil), c.naive.goodput(nil))
	}, atLeast(1.5))
	c.add("hindsight_goodput", "requests/s", best, nil)
	c.addBoth("goodput_relative_to_hindsight", "ratio", func(o *Outcome) float64 { return ratio(o.goodput(nil), best) }, atLeast(0.90))
	count := func(from, to float64) float64 {
		n := 0
		for _, t := range c.def.roleChanges {
			if t >= scaledTime(from, c.scale) && t < scaledTime(to, c.scale) {
				n++
			}
		}
		return float64(n)
	}
	c.add("role_changes_in_lasting_shift_up", "changes", count(shiftOne, shiftTwo), atMost(2))
	c.add("role_changes_in_lasting_shift_down", "changes", count(shiftTwo, 1e6), atMost(2))
	c.add("role_changes_in_short_swing", "changes", count(0, shiftOne), atMost(0))
	return nil
}

// hindsight returns the goodput with the best fixed role split for each phase, chosen with knowledge of the phase's
// trace and with role changes between phases at no cost.
func (c *caseRun) hindsight() (float64, error) {
	total := 0
	bounds := []float64{0, shiftOne, shiftTwo, shiftEnd}
	for k := range len(bounds) - 1 {
		from, to := scaledTime(bounds[k], c.scale), scaledTime(bounds[k+1], c.scale)
		part := c.trace.filter(func(l *Line) bool { return l.At() >= from && l.At() < to })
		for i := range part {
			part[i].AtMS -= from.Milliseconds()
		}
		best, err := c.bestSplit(part)
		if err != nil {
			return 0, err
		}
		total += best
	}
	return float64(total) / c.trace.End().Seconds(), nil
}

// bestSplit returns the highest number of requests answered on time under any fixed role split.
func (c *caseRun) bestSplit(t Trace) (int, error) {
	fixed := Default
	fixed.Roles = Naive.Roles
	best, n := 0, len(c.fleet.engines())
	for p := 0; p <= 6; p++ {
		for d := 0; d+p <= n; d++ {
			if p+d == n && (p == 0 || d == 0) {
				continue
			}
			o, err := Run(c.fleet.withRoles(splitRoles(n, p, d)), t, fixed, c.seed)
			if err != nil {
				return 0, err
			}
			count := 0
			for _, r := range o.records {
				if r.completeOnTime() {
					count++
				}
			}
			best = max(best, count)
		}
	}
	return best, nil
}

// splitRoles returns roles with the first engines for prefill, the last for decode and the others for both.
func splitRoles(n, prefill, decode int) []topo.Role {
	roles := make([]topo.Role, n)
	for i := range roles {
		switch {
		case i < prefill:
			roles[i] = topo.RolePrefill
		case i >= n-decode:
			roles[i] = topo.RoleDecode
		default:
			roles[i] = topo.RoleBoth
		}
	}
	return roles
}
