package soak

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

// scenario builds the observations of a run with one entry VM. Times count in milliseconds from base.
type scenario struct {
	observed observations
	entry    *entryVM
	base     time.Time
}

func newScenario() *scenario {
	return &scenario{entry: &entryVM{name: "vm0"}, base: time.Unix(1000, 0), observed: observations{
		runs: map[string][]standin.Run{}, leavingSince: map[string]time.Time{}, plannedStops: map[string][]interval{}, hangups: map[string][]interval{},
	}}
}

func (s *scenario) after(ms int) time.Time { return s.base.Add(time.Duration(ms) * time.Millisecond) }

func (s *scenario) call(id string, from, to int, change func(o *standin.Outcome)) {
	o := standin.Outcome{Attempt: standin.Attempt{ID: id, Path: "/" + strings.TrimRight(id, "0123456789") + "/x", Body: "b", Deadline: clientDeadline}, Sent: s.after(from + 1), Ended: s.after(to), Status: 200, Whole: true}
	if change != nil {
		change(&o)
	}
	s.observed.calls = append(s.observed.calls, call{Outcome: o, entry: s.entry, class: id, began: s.after(from)})
}

func (s *scenario) run(id, path, service string, from, to int, whole bool) {
	if !slices.ContainsFunc(s.observed.calls, func(c call) bool { return c.ID == id }) { // a call without a known outcome
		a := standin.Attempt{ID: id, Path: path, Body: "b"}
		s.observed.calls = append(s.observed.calls, call{Outcome: standin.Outcome{Attempt: a}, entry: s.entry, class: id, began: s.after(from)})
	}
	s.observed.runs[id] = append(s.observed.runs[id], standin.Run{
		ID: id, Path: path, Service: service, Server: "i", Body: "b", Arrived: s.after(from), Started: s.after(from), Ended: s.after(to), Whole: whole,
	})
}

// crashingRuns records a request that crashes a server at each of the given times.
func (s *scenario) crashingRuns(at ...int) {
	for i, ms := range at {
		id := fmt.Sprintf("read%d", i)
		s.run(id, "/read/x", "app", ms, ms+10, false)
		s.observed.runs[id][0].Crashed = true
	}
}

// crashingPart records requests with a crashing part at the given times; those that reach a server crash it.
func (s *scenario) crashingPart(at ...int) {
	s.crashingRuns(at...)
	for _, runs := range s.observed.runs {
		runs[0].Part, runs[0].Body = "dead1", runs[0].ID
	}
	for i := range s.observed.calls {
		c := &s.observed.calls[i]
		c.CrashingPart, c.Body = "dead1", c.ID
	}
}

// runsDuringQuiet records requests at the given times to a server that asks for quiet for the first second.
func (s *scenario) runsDuringQuiet(at ...int) {
	s.observed.quietPeriods = []quietPeriod{{interval{s.after(0), s.after(1000)}, "i"}}
	for i, ms := range at {
		s.run(fmt.Sprintf("read%d", i), "/read/x", "app", ms, ms+10, true)
	}
}

// runsUnderLimit records n requests, gap milliseconds apart, to a server that names 1 a second, from limitSettleTime after its first answer.
func (s *scenario) runsUnderLimit(n, gap int) {
	s.observed.limitPeriods = []limitPeriod{{interval{s.after(0), s.after(10000)}, "i", 1}}
	for i := range n {
		ms := 3001 + gap*i
		s.run(fmt.Sprintf("read%d", i), "/read/x", "app", ms, ms+10, true)
	}
}

// besideSlowReaders records requests that were served and that were refused while clients read slowly, and a slow one that failed.
func (s *scenario) besideSlowReaders(served, refused int) {
	s.observed.slowPeriods = []interval{{s.after(0), s.after(5000)}}
	for i := range served + refused {
		s.call(fmt.Sprintf("read%d", i), 1000+i, 1010+i, func(o *standin.Outcome) {
			if i < refused {
				o.Status = 503
			}
		})
	}
	s.call("once", 1000, 1010, func(o *standin.Outcome) { o.Status = 504 })
	s.observed.calls[len(s.observed.calls)-1].class = uploadClass
}

// cutInStop records a stream that a planned stop from 0 to stopGrace cuts while its server is at work.
func (s *scenario) cutInStop(from, sent, cut int) {
	s.observed.plannedStops["vm0"] = []interval{{s.after(0), s.after(int(stopGrace / time.Millisecond))}}
	s.call("stream", from, cut, func(o *standin.Outcome) {
		o.Path, o.Sent, o.Whole, o.Err = "/long-stream/x", s.after(sent), false, errors.New("cut")
	})
	s.run("stream", "/long-stream/x", "text", sent, cut-1, false)
	s.observed.runs["stream"][0].Closed = true
}

// Guards against checkers that miss a violation, and against checkers that report allowed behaviour.
func TestCheckers(t *testing.T) {
	cases := []struct {
		promise string // that is violated; empty: none
		build   func(s *scenario)
	}{
		{"", func(s *scenario) { s.call("once", 0, 50, nil); s.run("once", "/once/x", "app", 10, 40, true) }},
		{"answers are whole and their own", func(s *scenario) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Violation = "x" }) }},
		{"known routes are served", func(s *scenario) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 404 }) }},
		{"a refused request does not run", func(s *scenario) {
			s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 503 })
			s.run("read", "/read/x", "app", 10, 40, true)
		}},
		{"", func(s *scenario) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 503 }) }},
		{"requests run once", func(s *scenario) {
			s.run("once", "/once/x", "app", 10, 40, true)
			s.run("once", "/once/x", "app", 60, 90, true)
		}},
		{"requests run once", func(s *scenario) {
			s.run("stream", "/stream/x", "text", 10, 40, false)
			s.run("stream", "/stream/x", "text", 60, 90, true)
		}},
		{"", func(s *scenario) {
			s.run("read", "/read/x", "app", 10, 40, false)
			s.run("read", "/read/x", "app", 60, 90, true)
		}},
		{"requests run once", func(s *scenario) {
			s.run("resume", "/resume/x", "text", 10, 40, true)
			s.run("resume", "/resume/x", "text", 60, 90, true)
		}},
		{"leaving upstreams get no requests", func(s *scenario) {
			s.observed.leavingSince["i"] = s.after(0)
			s.call("read", 2000, 4000, nil)
			s.run("read", "/read/x", "app", 2600, 2700, true)
		}},
		{"", func(s *scenario) {
			s.observed.leavingSince["i"] = s.after(0)
			s.run("read", "/read/x", "app", 1900, 2700, true)
		}},
		{"", func(s *scenario) { // an entry VM was disturbed
			s.observed.leavingSince["i"] = s.after(0)
			s.entry.disturbances = []interval{{s.after(100), s.after(2800)}}
			s.call("read", 2000, 4000, nil)
			s.run("read", "/read/x", "app", 2600, 2700, true)
		}},
		{"configurations are in force in time", func(s *scenario) {
			s.observed.routeChanges = []routeChange{{at: s.after(-9000), service: "app"}, {at: s.after(0), service: "other"}}
			s.call("moving", 2600, 2700, nil)
			s.run("moving", "/moving/x", "app", 2620, 2650, true)
		}},
		{"", func(s *scenario) {
			s.observed.routeChanges = []routeChange{{at: s.after(-9000), service: "app"}, {at: s.after(0), service: "other"}}
			s.call("moving", 1900, 2700, nil)
			s.run("moving", "/moving/x", "app", 2620, 2650, true)
			s.call("moving2", 10, 50, nil)
			s.run("moving2", "/moving/x", "other", 20, 40, true)
		}},
		{"work ends when its client leaves", func(s *scenario) {
			s.call("read", 0, 30, func(o *standin.Outcome) { o.Disconnected = true })
			s.run("read", "/read/x", "app", 10, 1100, true)
		}},
		{"", func(s *scenario) { // a request that must not run twice is finished
			s.call("once", 0, 30, func(o *standin.Outcome) { o.Disconnected = true })
			s.run("once", "/once/x", "app", 10, 1100, true)
		}},
		{"", func(s *scenario) { // the closed connection goes unnoticed over a cut link, as with seed 20
			s.call("read", 0, 30, func(o *standin.Outcome) { o.Disconnected = true })
			s.run("read", "/read/x", "app", 10, 1100, true)
			s.observed.linkDisturbances = map[string][]interval{"i": {{s.after(-100), s.after(1000)}}}
		}},
		{"answers come within the route's time", func(s *scenario) { s.call("read", 0, 5100, nil) }},
		{"a planned stop loses no request", func(s *scenario) {
			s.observed.plannedStops["vm0"] = []interval{{s.after(0), s.after(8000)}}
			s.call("read", 100, 200, func(o *standin.Outcome) { o.Status, o.Whole, o.Err = 0, false, errors.New("reset") })
			s.run("read", "/read/x", "app", 110, 1000, true)
		}},
		{"a planned stop loses no request", func(s *scenario) { // the request came before the stop, and the entry VM aborted its run
			s.observed.plannedStops["vm0"] = []interval{{s.after(150), s.after(8000)}}
			s.call("read", 100, 700, func(o *standin.Outcome) { o.Status, o.Whole, o.Err = 0, false, errors.New("reset") })
			s.run("read", "/read/x", "app", 110, 690, false)
			s.observed.runs["read"][0].Closed = true
		}},
		{"a planned stop loses no request", func(s *scenario) { // the request came late in the stop, and the process ended under it
			s.observed.plannedStops["vm0"] = []interval{{s.after(0), s.after(8000)}}
			s.call("once", 7000, 7800, func(o *standin.Outcome) { o.Status, o.Whole, o.Err = 0, false, errors.New("reset") })
			s.run("once", "/once/x", "app", 7010, 7790, false)
			s.observed.runs["once"][0].Closed = true
		}},
		{"configurations are in force in time", func(s *scenario) { // connections had gone silent before and again after the change
			s.observed.routeChanges = []routeChange{{at: s.after(-9000), service: "app"}, {at: s.after(0), service: "other", boundFrom: s.after(900)}}
			s.call("moving", 3500, 3600, nil)
			s.run("moving", "/moving/x", "app", 3520, 3550, true)
		}},
		{"", func(s *scenario) {
			s.observed.routeChanges = []routeChange{{at: s.after(-9000), service: "app"}, {at: s.after(0), service: "other", boundFrom: s.after(900)}}
			s.call("moving", 3300, 3400, nil)
			s.run("moving", "/moving/x", "app", 3320, 3350, true)
		}},
		{"a planned stop loses no request", func(s *scenario) { // after a run of the prompt only, which ends by itself
			s.cutInStop(100, 200, 300)
			s.run("stream", "/stream/x", "text", 110, 120, false)
			runs := s.observed.runs["stream"]
			runs[1].Started, runs[1].PromptOnly = time.Time{}, true
		}},
		{"a planned stop loses no request", func(s *scenario) { s.cutInStop(3500, 3600, 8300) }}, // the process was killed under it
		{"a planned stop loses no request", func(s *scenario) { // a body that is whole only after clients have left
			s.cutInStop(2900, 3100, 7500)
		}},
		{"", func(s *scenario) { s.cutInStop(2900, 2999, 7500) }}, // still at work in the last sixth of the grace
		{"a planned stop loses no request", func(s *scenario) { s.cutInStop(2900, 2999, 6600) }},
		{"a planned stop loses no request", func(s *scenario) { // read, never passed on
			s.cutInStop(100, 200, 1000)
			clear(s.observed.runs)
		}},
		{"", func(s *scenario) { // crossed the close
			s.cutInStop(100, 200, 300)
			clear(s.observed.runs)
		}},
		{"", func(s *scenario) { s.cutInStop(100, 200, 6100) }}, // its time was over
		{"a hangup loses no request", func(s *scenario) {
			s.cutInStop(100, 200, 300)
			s.observed.hangups, s.observed.plannedStops = s.observed.plannedStops, nil
		}},
		{"", func(s *scenario) { // the client asked for the rest of a stream, and the server's stream had no event
			s.call("resume", 0, 50, func(o *standin.Outcome) { o.After, o.Violation = 3, "x" })
			s.run("resume", "/resume/x", "text", 10, 40, false)
			s.observed.runs["resume"][0].After, s.observed.runs["resume"][0].False = 3, standin.ServerContinuesNoEvent
		}},
		{"answers are whole and their own", func(s *scenario) { // the server had something else
			s.call("resume", 0, 50, func(o *standin.Outcome) { o.After, o.Violation = 3, "x" })
			s.run("resume", "/resume/x", "text", 10, 40, false)
			s.observed.runs["resume"][0].After, s.observed.runs["resume"][0].False = 3, standin.ServerContinuesWithText
		}},
		{"answers are whole and their own", func(s *scenario) { // the entry VM joined it to events of another server
			s.call("resume", 0, 50, func(o *standin.Outcome) { o.After, o.Violation = 3, "x" })
			s.run("resume", "/resume/x", "text", 10, 40, false)
			s.observed.runs["resume"][0].After, s.observed.runs["resume"][0].False = 5, standin.ServerContinuesNoEvent
		}},
		{"", func(s *scenario) { // the upstream aborted the run
			s.observed.plannedStops["vm0"] = []interval{{s.after(0), s.after(8000)}}
			s.call("stream", 100, 200, func(o *standin.Outcome) { o.Whole, o.Err = false, errors.New("cut") })
			s.run("stream", "/stream/x", "text", 110, 190, false)
		}},
		{"only what was asked runs", func(s *scenario) {
			s.observed.runs["read"] = []standin.Run{{ID: "read", Path: "/read/x", Service: "app", Server: "i", Started: s.after(0)}}
		}},
		{"only what was asked runs", func(s *scenario) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/y", "app", 10, 40, true)
		}},
		{"only what was asked runs", func(s *scenario) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.observed.runs["read"][0].Body = "c"
		}},
		{"requests go where a configuration sent them", func(s *scenario) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "text", 10, 40, true)
		}},
		{"", func(s *scenario) { s.crashingRuns(0, 100, 200) }},
		{"a crashing request ends few servers", func(s *scenario) { s.crashingRuns(0, 100, 200, 300) }},
		{"", func(s *scenario) { // an entry VM was disturbed, and the crashes after crashPropagation are within crashLimit
			s.entry.disturbances = []interval{{s.after(0), s.after(9000)}}
			s.crashingRuns(0, 100, 200, 300, 4000, 4100, 4200)
		}},
		{"", func(s *scenario) { s.crashingPart(0, 100, 200, 300, 400, 500, 3500, 3600, 3700) }},
		{"a crashing part ends few servers", func(s *scenario) { s.crashingPart(0, 100, 200, 300, 400, 3500, 3600, 3700, 3800) }},
		{"", func(s *scenario) { // the entry VM was disturbed
			s.entry.disturbances = []interval{{s.after(3000), s.after(3300)}}
			s.crashingPart(0, 100, 200, 300, 400, 3500, 3600, 3700, 3800)
		}},
		{"sound prompts are not refused", func(s *scenario) {
			s.call("read", 0, 50, func(o *standin.Outcome) { o.Status, o.Refusal = 503, "crashing_part" })
		}},
		{"a crashing request ends few servers", func(s *scenario) {
			s.entry.disturbances = []interval{{s.after(0), s.after(9000)}}
			s.crashingRuns(0, 100, 200, 4000, 4100, 4200, 4300)
		}},
		{"upstreams that say that they leave get no new work", func(s *scenario) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.observed.runs["read"][0].Leaving = true
			s.call("read2", 51, 90, nil)
			s.run("read2", "/read/x", "app", 60, 80, true)
		}},
		{"", func(s *scenario) { // sent before the announcement was passed on
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.observed.runs["read"][0].Leaving = true
			s.call("read2", 49, 90, nil)
			s.run("read2", "/read/x", "app", 60, 80, true)
		}},
		{"upstreams that ask for quiet get it", func(s *scenario) { s.runsDuringQuiet(600, 700, 800, 900) }},
		{"", func(s *scenario) { s.runsDuringQuiet(100, 200, 300, 700, 800, 900, 1100) }},
		{"upstreams that name a limit get no more", func(s *scenario) { s.runsUnderLimit(12, 300) }},
		{"", func(s *scenario) { s.runsUnderLimit(11, 300) }},
		{"", func(s *scenario) { s.runsUnderLimit(17, 400) }}, // not more than 11 in any 4 s
		{"", func(s *scenario) { // the entry VM was disturbed
			s.entry.disturbances = []interval{{s.after(100), s.after(200)}}
			s.runsUnderLimit(30, 100)
		}},
		{"", func(s *scenario) { // the link was cut meanwhile
			s.observed.linkDisturbances = map[string][]interval{"i": {{s.after(3000), s.after(4000)}}}
			s.runsUnderLimit(30, 100)
		}},
		{"ordinary requests are answered beside slow clients", func(s *scenario) { s.besideSlowReaders(94, 6) }},
		{"", func(s *scenario) { s.besideSlowReaders(95, 5) }},
		{"", func(s *scenario) { // a server was down
			s.observed.crashOutages = map[string][]interval{"i": {{s.after(1000), s.after(1100)}}}
			s.besideSlowReaders(90, 10)
		}},
		{"answers are whole and their own", func(s *scenario) {
			s.call("read", 0, 9000, func(o *standin.Outcome) { o.Disconnected, o.Whole, o.Violation = true, false, "other bytes" })
			s.observed.calls[0].class = slowClass
		}},
		{"answers come within the route's time", func(s *scenario) {
			s.call("once", 0, 6002, func(o *standin.Outcome) { o.Sent = s.after(1000) })
			s.observed.calls[0].class = uploadClass
		}},
		{"", func(s *scenario) { // the upload took a second
			s.call("once", 0, 5999, func(o *standin.Outcome) { o.Sent = s.after(1000) })
			s.observed.calls[0].class = uploadClass
		}},
		{"", func(s *scenario) { // a slow client gets the end of its answer as late as it reads
			s.call("read", 0, 9000, nil)
			s.observed.calls[0].class = slowClass
		}},
		{"service recovers", func(s *scenario) {
			s.observed.faultsEnded = s.after(0)
			s.call("read", 13000, 13100, func(o *standin.Outcome) { o.Status = 502 })
		}},
	}
	for i, c := range cases {
		is := is.New(t)
		s := newScenario()
		c.build(s)
		found := s.observed.judge(true)
		if c.promise == "" {
			is.Equal(found, nil) // case i
			continue
		}
		if len(found) != 1 || found[0].Promise != c.promise {
			t.Errorf("case %d: %v, not %q", i, found, c.promise)
		}
	}
}

// Guards against a seed whose plan differs between runs.
func TestPlansFollowTheirSeed(t *testing.T) {
	is := is.New(t)
	a, b := newPlan(7, 20*time.Second, nil), newPlan(7, 20*time.Second, nil)
	is.Equal(a, b)
	is.True(len(a) > 10)
	is.True(len(newPlan(8, 20*time.Second, nil)) > 0)
	for _, f := range newPlan(7, 20*time.Second, []string{"entry-kill"}) {
		is.Equal(f.kind, "entry-kill")
	}
}

// Guards against a memory check that finds no value in the status file.
func TestPeakMemory(t *testing.T) {
	is := is.New(t)
	n, ok := peakMemory("Name:\tx\nVmPeak:\t 9 kB\nVmHWM:\t  2048 kB\nVmRSS:\t 1 kB\n")
	is.True(ok)
	is.Equal(n, int64(2<<20))
	_, ok = peakMemory("Name:\tx\n")
	is.True(!ok)
	own, err := os.ReadFile("/proc/self/status")
	is.NoErr(err)
	n, ok = peakMemory(string(own))
	is.True(ok && n > 1<<20)
}
