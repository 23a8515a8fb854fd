package soak

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/platform/standin"
)

// Guards against a stand-in of the platform that takes orders above the maximum, of a holder without a new fencing number, or for servers
// that were just taken away, and against servers that are taken away without a notice in the store.
func TestThePlatformTakesOrders(t *testing.T) {
	is := is.New(t)
	fl := &fleet{store: standin.NewStore(), observed: observations{runs: map[string][]standin.Run{}, leavingSince: map[string]time.Time{}, linkDisturbances: map[string][]interval{}}}
	c, err := newCapacity(fl)
	is.NoErr(err)
	defer c.close()
	send := func(holder, fencing, body string) int {
		r := httptest.NewRequest(http.MethodPost, "/scale", strings.NewReader(body))
		r.Header.Set("Duty-Holder", holder)
		r.Header.Set("Fencing-Token", fencing)
		w := httptest.NewRecorder()
		c.api.ServeHTTP(w, r)
		return w.Code
	}
	const preemptible = `{"service":"spot","zone":"dc0","preemptible":true,"desired":`
	is.Equal(send("vm1", "3", preemptible+"2}"), http.StatusOK)
	is.Equal(send("vm1", "3", preemptible+"3}"), http.StatusOK) // beside the 3 that were found
	is.Equal(len(c.api.Breaches()), 0)
	is.Equal(send("vm1", "3", preemptible+"4}"), http.StatusBadRequest)
	is.Equal(len(c.api.Breaches()), 1) // above the maximum
	c.api.Lease = 0
	send("vm2", "3", preemptible+"3}")
	is.Equal(len(c.api.Breaches()), 2) // the number has not grown
	send("vm2", "2", preemptible+"3}")
	is.Equal(len(c.api.Breaches()), 3)
	c.api.Lease = leaseBound
	send("vm3", "9", preemptible+"3}")
	is.Equal(len(c.api.Breaches()), 4) // two holders at a time
	is.Equal(len(fl.observed.capacityOrders), 2)
	is.Equal(fl.observed.capacityOrders[1].added, 1)

	c.mu.Lock()
	is.NoErr(c.start(group{scaledService, "dc0", true}))
	c.starting = map[group]int{}
	c.mu.Unlock()
	lost, spare := c.reclaim("dc0", minNotice, minUnavailable)
	is.Equal(lost, map[string]int{scaledService: 1})
	is.Equal(spare, map[string]int{scaledService: 6, scaledEngines: 6})
	leaving := 0
	for _, name := range fl.store.Names("servers") {
		var e struct {
			State       string
			Preemptible bool
			LeavesMS    float64 `json:"leaves_ms"`
		}
		is.NoErr(json.Unmarshal(fl.store.Get("servers", name), &e))
		if e.State == "draining" && e.Preemptible && e.LeavesMS == 2200 {
			leaving++
		}
	}
	is.Equal(leaving, 1)
	is.Equal(send("vm3", "9", preemptible+"1}"), http.StatusConflict)
	is.Equal(send("vm3", "9", preemptible+"0}"), http.StatusOK)
	is.Equal(len(c.api.Breaches()), 4)
}

// Guards against checks of a reclaim that miss a broken guarantee, or report one that was kept.
func TestReclaimCheckers(t *testing.T) {
	const moved, ordered, holders = "requests at servers that are taken away go elsewhere", "servers are ordered elsewhere", "one holder at a time orders servers, up to the maximum"
	const work = "servers that are taken away get no new work"
	call := func(path string, from, to, status int, whole bool) func(s *scenario) {
		return func(s *scenario) {
			s.call("once", from, to, func(o *standin.Outcome) {
				o.Path, o.Status, o.Whole, o.Err = path, status, whole, errors.New("broken off")
			})
		}
	}
	order := func(ms, added int, zone string, preemptible bool) func(s *scenario) {
		return func(s *scenario) {
			s.call("once", 0, 10, nil) // of the only entry VM
			s.observed.reclaims[0].lost[scaledService] = 2
			s.observed.recordOrder(capacityOrder{s.after(ms), group{scaledService, zone, preemptible}, added})
		}
	}
	for i, c := range []struct {
		promise string
		build   func(s *scenario)
	}{
		{moved, call("/long-spot-read/x", 2000, 2500, 502, false)},
		{moved, call("/long-spot-resume/x", 2000, 2500, 200, false)},
		{"", call("/long-spot-resume/x", 2000, 2500, 200, true)},
		{"", call("/long-spot-once/x", 2000, 2500, 502, false)},
		{"", call("/long-spot-stream/x", 2000, 2500, 200, false)},
		{"", call("/long-spot-read/x", 2000, 2500, 503, false)},
		{"", call("/long-spot-read/x", 2000, 8001, 502, false)}, // its time had passed
		{"", call("/long-spot-read/x", 20000, 20500, 502, false)},
		{ordered, order(100, 0, "dc1", true)},
		{ordered, order(100, 2, "dc0", true)},
		{ordered, order(4000, 2, "dc1", true)},
		{"", order(2900, 1, "dc1", true)},
		{"", order(100, 1, "dc0", false)},
		{"", func(s *scenario) {
			order(100, 0, "dc1", true)(s)
			s.observed.reclaims[0].spare = nil // nowhere is room
		}},
		{"", func(s *scenario) {
			order(100, 0, "dc1", true)(s)
			s.entry.disturbances = []interval{{s.after(-1000), s.after(1000)}}
		}},
		{holders, func(s *scenario) { s.observed.capacityBreaches = []string{"7 servers"} }},
		{work, func(s *scenario) {
			s.observed.leavingSince["i"] = s.after(0)
			s.run("read", "/long-spot-read/x", scaledService, 2100, 2200, true)
			s.observed.calls[0].Whole = true
		}},
		{work, func(s *scenario) {
			s.observed.leavingSince["i"] = s.after(0)
			s.run("resume", "/long-spot-resume/x", scaledEngines, 2100, 2200, true)
			s.observed.runs["resume"][0].Started, s.observed.runs["resume"][0].PromptOnly = time.Time{}, true
			s.observed.calls[0].Whole = true
		}},
		{"", func(s *scenario) {
			s.observed.leavingSince["i"] = s.after(0)
			s.run("read", "/long-spot-read/x", scaledService, 2040, 2200, true)
			s.observed.calls[0].Whole = true
		}},
	} {
		is := is.New(t)
		s := newScenario()
		s.observed.reclaims = []reclaim{{interval{s.after(0), s.after(15000)}, "dc0", map[string]int{}, map[string]int{scaledService: 3}}}
		c.build(s)
		found := s.observed.judge(true)
		if c.promise == "" {
			is.Equal(found, nil) // case i
		} else if len(found) != 1 || found[0].Promise != c.promise {
			t.Errorf("case %d: %v, not %q", i, found, c.promise)
		}
	}
}
