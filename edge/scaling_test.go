package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/catalog"
	"bergamotcroft.example/bergamot/platform"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

const scaledConfiguration = `{"version":1,"routes":[],"services":[
	{"name":"llm","engine":{"slots":48,"moves":true,"reconfig_s":2},"scaling":{"min":1,"max":94,"startup_s":4,"spot_price":0.22,"zone_prices":{"a":1,"b":0.8}}},
	{"name":"fixed"}]}`

// Guards against servers that are counted although they are taken away or not ready, a demand that hides the busier role, and
// orders for a service whose number of servers is fixed.
func TestServersAndDemandOfAScaledService(t *testing.T) {
	is := is.New(t)
	table, err := platform.Decoder{}.Configuration([]byte(scaledConfiguration))
	is.NoErr(err)
	s := &catalog.State{Table: table}
	fleet := map[string]upstreamLoad{}
	add := func(state, phase, kind string, l upstreamLoad) {
		id := fmt.Sprintf("i-%d", len(s.Entries))
		x, err := platform.Decoder{}.Entry(id, []byte(`{"service":"llm","address":"127.0.0.1:1","zone":"a","slots":48,"phase":"`+phase+`","state":"`+state+`"`+kind+`}`))
		is.NoErr(err)
		s.Entries = append(s.Entries, x)
		l.role = topo.Role(x.Role)
		fleet[upstreamName(&x)] = l
	}
	for i := range 4 {
		add("ready", "prefill", "", upstreamLoad{prompt: float64(i % 2 * 900)}) // half of them busy
	}
	for range 3 {
		add("ready", "decode", `,"preemptible":true`, upstreamLoad{running: 48}) // full
	}
	add("draining", "decode", `,"preemptible":true,"leaves_ms":2300`, upstreamLoad{})
	add("draining", "decode", "", upstreamLoad{})
	s.Entries = append(s.Entries, catalog.Entry{ID: "x", Service: "fixed", DataCentre: "a"})
	var a arrivals
	now := time.Unix(1000, 0)
	a.note(now, s)
	add("ready", "decode", `,"preemptible":true`, upstreamLoad{running: 48})
	a.note(now.Add(time.Second), s)
	list := servicesToScale(s, fleet, &a)
	is.Equal(len(list), 1)
	x := list[0]
	is.Equal(x.Startup, 4*time.Second)
	is.Equal(len(x.DataCentres), 2)
	od, pre := x.DataCentres[0].Kinds[policy.OnDemand], x.DataCentres[0].Kinds[policy.Preemptible]
	is.Equal([]int{od.Serving, od.Leaving, od.Reclaimed}, []int{4, 1, 0})
	is.Equal([]int{pre.Serving, pre.Settling, pre.Leaving, pre.Reclaimed}, []int{3, 1, 1, 1})
	is.True(math.Abs(x.DataCentres[1].Kinds[policy.Preemptible].Price-0.176) < 1e-9)
	is.Equal(x.Demand, 8.0) // the generating engines are full
	a.note(now.Add(4*time.Second), s)
	is.Equal(servicesToScale(s, fleet, &a)[0].DataCentres[0].Kinds[policy.Preemptible].Serving, 4)
}

// Guards against requests that are moved from servers whose end is not stated, or of services whose servers are not ordered, and against
// an end that a later heartbeat puts off.
func TestEndsOfServersThatAreTakenAway(t *testing.T) {
	is := is.New(t)
	table, err := platform.Decoder{}.Configuration([]byte(scaledConfiguration))
	is.NoErr(err)
	entry := func(id, service string, preemptible bool, leavesIn time.Duration) catalog.Entry {
		return catalog.Entry{ID: id, StartTimeMS: 1, Service: service, Preemptible: preemptible, Leaving: true, LeavesIn: leavesIn}
	}
	s := &catalog.State{Table: table, Entries: []catalog.Entry{
		entry("a", "llm", true, 2300*time.Millisecond), entry("b", "llm", false, 2200*time.Millisecond), entry("c", "llm", true, 0),
		entry("d", "fixed", true, 2300*time.Millisecond), entry("e", "fixed", false, 2300*time.Millisecond),
	}}
	var a takenAway
	now := time.Unix(1000, 0)
	a.note(now, s)
	want := map[string]time.Duration{"a@1": 1300 * time.Millisecond, "b@1": 1200 * time.Millisecond}
	is.Equal(a.ends(now), want)
	a.note(now.Add(time.Second), s)
	is.Equal(a.ends(now), want)
	later := now.Add(2 * time.Second)
	is.Equal([]bool{a.now(later, "b@1"), a.now(later, "d@1"), a.now(later, "e@1")}, []bool{true, true, false})
}
