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

// seen builds what a run saw of one attempt.
type seen struct {
	b book
	e *entry
	t time.Time
}

func newSeen() *seen {
	return &seen{e: &entry{name: "vm0"}, t: time.Unix(1000, 0), b: book{
		runs: map[string][]standin.Run{}, leaving: map[string]time.Time{}, planned: map[string][]span{},
	}}
}

func (s *seen) at(ms int) time.Time { return s.t.Add(time.Duration(ms) * time.Millisecond) }

func (s *seen) call(id string, from, to int, change func(o *standin.Outcome)) {
	o := standin.Outcome{Attempt: standin.Attempt{ID: id, Path: "/" + strings.TrimRight(id, "0123456789") + "/x", Body: "b"}, Sent: s.at(from + 1), Ended: s.at(to), Status: 200, Whole: true}
	if change != nil {
		change(&o)
	}
	s.b.calls = append(s.b.calls, call{Outcome: o, entry: s.e, class: id, began: s.at(from)})
}

func (s *seen) run(id, path, service string, from, to int, whole bool) {
	if !slices.ContainsFunc(s.b.calls, func(c call) bool { return c.ID == id }) { // what its client saw says nothing
		a := standin.Attempt{ID: id, Path: path, Body: "b"}
		s.b.calls = append(s.b.calls, call{Outcome: standin.Outcome{Attempt: a}, entry: s.e, class: id, began: s.at(from)})
	}
	s.b.runs[id] = append(s.b.runs[id], standin.Run{
		ID: id, Path: path, Service: service, Server: "i", Body: "b", Arrived: s.at(from), Began: s.at(from), Ended: s.at(to), Whole: whole,
	})
}

// crash lets a request end a server at each of some times.
func (s *seen) crash(at ...int) {
	for i, ms := range at {
		id := fmt.Sprintf("read%d", i)
		s.run(id, "/read/x", "app", ms, ms+10, false)
		s.b.runs[id][0].Crashed = true
	}
}

// quiet lets a server that wants quiet for a second get requests at some times.
func (s *seen) quiet(at ...int) {
	s.b.quiet503 = []quietSpan{{span{s.at(0), s.at(1000)}, "i"}}
	for i, ms := range at {
		s.run(fmt.Sprintf("read%d", i), "/read/x", "app", ms, ms+10, true)
	}
}

// Guards against a checker that finds nothing, and against one that finds fault with what is allowed.
func TestCheckers(t *testing.T) {
	cases := []struct {
		promise string // empty: kept
		build   func(s *seen)
	}{
		{"", func(s *seen) { s.call("once", 0, 50, nil); s.run("once", "/once/x", "app", 10, 40, true) }},
		{"answers are whole and their own", func(s *seen) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Wrong = "x" }) }},
		{"known routes are served", func(s *seen) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 404 }) }},
		{"a refused request does not run", func(s *seen) {
			s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 503 })
			s.run("read", "/read/x", "app", 10, 40, true)
		}},
		{"", func(s *seen) { s.call("read", 0, 50, func(o *standin.Outcome) { o.Status = 503 }) }},
		{"requests run once", func(s *seen) {
			s.run("once", "/once/x", "app", 10, 40, true)
			s.run("once", "/once/x", "app", 60, 90, true)
		}},
		{"requests run once", func(s *seen) {
			s.run("stream", "/stream/x", "text", 10, 40, false)
			s.run("stream", "/stream/x", "text", 60, 90, true)
		}},
		{"", func(s *seen) {
			s.run("read", "/read/x", "app", 10, 40, false)
			s.run("read", "/read/x", "app", 60, 90, true)
		}},
		{"requests run once", func(s *seen) {
			s.run("resume", "/resume/x", "text", 10, 40, true)
			s.run("resume", "/resume/x", "text", 60, 90, true)
		}},
		{"leaving upstreams get no requests", func(s *seen) {
			s.b.leaving["i"] = s.at(0)
			s.call("read", 2000, 4000, nil)
			s.run("read", "/read/x", "app", 2600, 2700, true)
		}},
		{"", func(s *seen) {
			s.b.leaving["i"] = s.at(0)
			s.run("read", "/read/x", "app", 1900, 2700, true)
		}},
		{"", func(s *seen) { // an entry VM was disturbed
			s.b.leaving["i"] = s.at(0)
			s.e.touched = []span{{s.at(100), s.at(2800)}}
			s.call("read", 2000, 4000, nil)
			s.run("read", "/read/x", "app", 2600, 2700, true)
		}},
		{"configurations are in force in time", func(s *seen) {
			s.b.moves = []move{{s.at(-9000), "app"}, {s.at(0), "other"}}
			s.call("moving", 2600, 2700, nil)
			s.run("moving", "/moving/x", "app", 2620, 2650, true)
		}},
		{"", func(s *seen) {
			s.b.moves = []move{{s.at(-9000), "app"}, {s.at(0), "other"}}
			s.call("moving", 1900, 2700, nil)
			s.run("moving", "/moving/x", "app", 2620, 2650, true)
			s.call("moving2", 10, 50, nil)
			s.run("moving2", "/moving/x", "other", 20, 40, true)
		}},
		{"work ends when its client leaves", func(s *seen) {
			s.call("read", 0, 30, func(o *standin.Outcome) { o.Left = true })
			s.run("read", "/read/x", "app", 10, 1100, true)
		}},
		{"", func(s *seen) { // what must not be run again is finished
			s.call("once", 0, 30, func(o *standin.Outcome) { o.Left = true })
			s.run("once", "/once/x", "app", 10, 1100, true)
		}},
		{"", func(s *seen) { // the closed connection was not seen: seed 20 with a cut link
			s.call("read", 0, 30, func(o *standin.Outcome) { o.Left = true })
			s.run("read", "/read/x", "app", 10, 1100, true)
			s.b.links = map[string][]span{"i": {{s.at(-100), s.at(1000)}}}
		}},
		{"answers come within the route's time", func(s *seen) { s.call("read", 0, 5100, nil) }},
		{"a planned stop loses no request", func(s *seen) {
			s.b.planned["vm0"] = []span{{s.at(0), s.at(8000)}}
			s.call("read", 100, 200, func(o *standin.Outcome) { o.Status, o.Whole, o.Err = 0, false, errors.New("reset") })
			s.run("read", "/read/x", "app", 110, 1000, true)
		}},
		{"a planned stop loses no request", func(s *seen) { // that came before it, and whose run the entry VM broke off
			s.b.planned["vm0"] = []span{{s.at(150), s.at(8000)}}
			s.call("read", 100, 700, func(o *standin.Outcome) { o.Status, o.Whole, o.Err = 0, false, errors.New("reset") })
			s.run("read", "/read/x", "app", 110, 690, false)
			s.b.runs["read"][0].Closed = true
		}},
		{"", func(s *seen) { // the upstream broke off
			s.b.planned["vm0"] = []span{{s.at(0), s.at(8000)}}
			s.call("stream", 100, 200, func(o *standin.Outcome) { o.Whole, o.Err = false, errors.New("cut") })
			s.run("stream", "/stream/x", "text", 110, 190, false)
		}},
		{"only what was asked runs", func(s *seen) {
			s.b.runs["read"] = []standin.Run{{ID: "read", Path: "/read/x", Service: "app", Server: "i", Began: s.at(0)}}
		}},
		{"only what was asked runs", func(s *seen) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/y", "app", 10, 40, true)
		}},
		{"only what was asked runs", func(s *seen) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.b.runs["read"][0].Body = "c"
		}},
		{"requests go where a configuration sent them", func(s *seen) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "text", 10, 40, true)
		}},
		{"", func(s *seen) { s.crash(0, 100, 200) }},
		{"a crashing request ends few servers", func(s *seen) { s.crash(0, 100, 200, 300) }},
		{"", func(s *seen) { // an entry VM was disturbed, and what came later than known is within the bound
			s.e.touched = []span{{s.at(0), s.at(9000)}}
			s.crash(0, 100, 200, 300, 4000, 4100, 4200)
		}},
		{"a crashing request ends few servers", func(s *seen) {
			s.e.touched = []span{{s.at(0), s.at(9000)}}
			s.crash(0, 100, 200, 4000, 4100, 4200, 4300)
		}},
		{"upstreams that say that they leave get no new work", func(s *seen) {
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.b.runs["read"][0].Leaving = true
			s.call("read2", 51, 90, nil)
			s.run("read2", "/read/x", "app", 60, 80, true)
		}},
		{"", func(s *seen) { // sent before
			s.call("read", 0, 50, nil)
			s.run("read", "/read/x", "app", 10, 40, true)
			s.b.runs["read"][0].Leaving = true
			s.call("read2", 49, 90, nil)
			s.run("read2", "/read/x", "app", 60, 80, true)
		}},
		{"upstreams that ask for quiet get it", func(s *seen) { s.quiet(600, 700, 800, 900) }},
		{"", func(s *seen) { s.quiet(100, 200, 300, 700, 800, 900, 1100) }},
		{"service recovers", func(s *seen) {
			s.b.quiet = s.at(0)
			s.call("read", 13000, 13100, func(o *standin.Outcome) { o.Status = 502 })
		}},
	}
	for i, c := range cases {
		is := is.New(t)
		s := newSeen()
		c.build(s)
		found := s.b.judge(true)
		if c.promise == "" {
			is.Equal(found, nil) // case i
			continue
		}
		if len(found) != 1 || found[0].Promise != c.promise {
			t.Errorf("case %d: %v, not %q", i, found, c.promise)
		}
	}
}

// Guards against a seed that plays other faults in another run.
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

// Guards against a checker of memory that reads nothing.
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
