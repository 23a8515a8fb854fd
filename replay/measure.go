package replay

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
)

// Outcome is the result of one replay.
type Outcome struct {
	records     []*record
	roleChanges []time.Duration
	lateWork    int
	length      time.Duration // from the first arrival to the last
}

// Run replays a trace under a policy.
func Run(f *Fleet, t Trace, p Policy, seed uint64) (*Outcome, error) {
	return run(f, t, runOptions{policy: p, seed: seed})
}

func run(f *Fleet, t Trace, o runOptions) (*Outcome, error) {
	if o.planner == nil {
		planner, err := kernel.Load[policy.RolePlanner](o.policy.Roles, nil)
		if err != nil {
			return nil, err
		}
		o.planner = planner
	}
	s, err := newSim(f, t, o)
	if err != nil {
		return nil, err
	}
	s.run()
	return &Outcome{records: s.records, roleChanges: s.roleChanges, lateWork: s.lateWork, length: t.End()}, nil
}

// Figure is one measured value, printed as one line of output.
type Figure struct {
	Scenario, Policy string
	Seed             uint64
	Class            string
	Measure          string
	Value            float64
	Unit             string
	Target           string // empty: none
	OK               bool
}

// Write prints the figure as one line.
func (f Figure) Write(w io.Writer) {
	class := ""
	if f.Class != "" {
		class = " class=" + f.Class
	}
	target := f.Target
	if target == "" {
		target = "none"
	}
	fmt.Fprintf(w, "scenario=%s policy=%s seed=%d%s measure=%s value=%s unit=%s target=%s ok=%t\n",
		f.Scenario, f.Policy, f.Seed, class, f.Measure, strconv.FormatFloat(f.Value, 'f', 4, 64), f.Unit, target, f.OK)
}

// atLeast returns the figure with a lower bound as its target.
func (f Figure) atLeast(v float64) Figure {
	f.Target, f.OK = ">="+strconv.FormatFloat(v, 'g', -1, 64), f.Value >= v
	return f
}

// atMost returns the figure with an upper bound as its target.
func (f Figure) atMost(v float64) Figure {
	f.Target, f.OK = "<="+strconv.FormatFloat(v, 'g', -1, 64), f.Value <= v
	return f
}

// figures returns the measures that every replay prints.
func (o *Outcome) figures(scenario, policy string, seed uint64) []Figure {
	newFigure := func(measure string, value float64, unit string) Figure {
		return Figure{Scenario: scenario, Policy: policy, Seed: seed, Measure: measure, Value: value, Unit: unit, OK: true}
	}
	onTime, refused := 0, 0
	classes := map[string][]*record{}
	for _, r := range o.records {
		if r.completeOnTime() {
			onTime++
		}
		if r.final == finalRefused {
			refused++
		}
		classes[r.line.Class] = append(classes[r.line.Class], r)
	}
	n := float64(max(len(o.records), 1))
	f := audit(o.records)
	out := []Figure{
		newFigure("requests", float64(len(o.records)), "requests"),
		newFigure("goodput", o.goodput(nil), "requests/s"),
		newFigure("on_time", float64(onTime)/n, "share"),
		newFigure("refused", float64(refused)/n, "share"),
		newFigure("lost", float64(f.lost), "requests").atMost(0),
		newFigure("doubled", float64(f.doubled), "requests").atMost(0),
		newFigure("cut", float64(f.cut), "requests").atMost(0),
		newFigure("false_not_run", float64(f.falseNotRun), "requests").atMost(0),
		newFigure("late_new_work", float64(o.lateWork), "requests"),
		newFigure("role_changes", float64(len(o.roleChanges)), "changes"),
	}
	names := make([]string, 0, len(classes))
	for c := range classes {
		names = append(names, c)
	}
	slices.Sort(names)
	for _, c := range names {
		match := func(r *record) bool { return r.line.Class == c }
		for _, f := range []Figure{
			newFigure("first_token_p50_ms", o.firstTokenQuantile(0.5, match), "ms"),
			newFigure("first_token_p99_ms", o.firstTokenQuantile(0.99, match), "ms"),
			newFigure("on_time", o.onTimeShare(match), "share"),
		} {
			f.Class = c
			out = append(out, f)
		}
	}
	return out
}

// goodput returns the number of requests answered completely and on time for each second of the trace. A nil match
// selects all requests.
func (o *Outcome) goodput(match func(*record) bool) float64 {
	n := 0
	for _, r := range o.records {
		if (match == nil || match(r)) && r.completeOnTime() {
			n++
		}
	}
	return float64(n) / max(o.length.Seconds(), 0.001)
}

func (o *Outcome) onTimeShare(match func(*record) bool) float64 {
	n, all := 0, 0
	for _, r := range o.records {
		if match(r) {
			all++
			if r.completeOnTime() {
				n++
			}
		}
	}
	return float64(n) / float64(max(all, 1))
}

// firstTokenQuantile returns a quantile of the time to the first token, or to the answer for services, over the
// requests that received one.
func (o *Outcome) firstTokenQuantile(q float64, match func(*record) bool) float64 {
	var all []float64
	for _, r := range o.records {
		if !match(r) {
			continue
		}
		switch {
		case r.firstAt > 0:
			all = append(all, millis(r.firstAt-r.line.At()))
		case r.final == finalComplete && r.line.Service != "":
			all = append(all, millis(r.endAt-r.line.At()))
		}
	}
	return quantile(all, q)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns a quantile of v, which it sorts.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// reusedPrefixTokens returns the number of prompt tokens of shared prefixes that were found in a cache.
func (o *Outcome) reusedPrefixTokens() float64 {
	n := 0
	for _, r := range o.records {
		if r.final == finalComplete {
			n += r.cachedTokens
		}
	}
	return float64(n)
}

// Play replays a trace and returns its figures.
func Play(f *Fleet, t Trace, p Policy, seed uint64) ([]Figure, error) {
	o, err := Run(f, t, p, seed)
	if err != nil {
		return nil, err
	}
	return o.figures("trace", p.Name, seed), nil
}
