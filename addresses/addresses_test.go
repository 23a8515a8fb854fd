package addresses

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/membership"
)

func testMembers(n int, cores func(i int) int) []membership.Member {
	var ms []membership.Member
	for i := range n {
		name := fmt.Sprintf("vm%04d", i)
		ms = append(ms, membership.Member{Name: name, CallerAddress: name + ":8080", Cores: cores(i),
			DataCentre: fmt.Sprint("dc", i%3)})
	}
	return ms
}

func weightsByName(r Response) map[string]float64 {
	g := map[string]float64{}
	for _, a := range r.Addresses {
		g[a.Name] = a.Weight
	}
	return g
}

// Guards against callers that move to other VMs, and so lose their cached prefixes and shares of limits, when one VM is replaced.
func TestReplacingOneVMMovesFewCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(t, "vms")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 16), n, n).Draw(t, "cores")
		before := testMembers(n, func(i int) int { return sizes[i] })
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		after := append([]membership.Member(nil), before...)
		after[gone].Name = "replacement"
		const callers = 80
		for c := range callers {
			caller := fmt.Sprint("c", c)
			a, b := weightsByName(Answer(before, caller, "", Options{})), weightsByName(Answer(after, caller, "", Options{}))
			_, had := a[before[gone].Name]
			lost := 0
			for name := range a {
				if _, ok := b[name]; !ok {
					lost++
				}
			}
			_, won := b["replacement"]
			if lost > 1 || lost == 1 && !had && !won {
				t.Fatalf("%s lost %d of its VMs though it did not use the replaced one", caller, lost)
			}
		}
	})
}

// Guards against VMs whose load is not proportional to their number of cores.
func TestLoadFollowsCores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "vms")
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{2, 4, 8}), n, n).Draw(t, "cores")
		ms := testMembers(n, func(i int) int { return sizes[i] })
		load, total := map[string]float64{}, 0.0
		const callers = 4000
		v := newView(ms, Options{}.withDefaults())
		for c := range callers {
			g := weightsByName(v.answer(fmt.Sprint("c", c), ""))
			sum := 0.0
			for _, w := range g {
				sum += w
			}
			for name, w := range g {
				load[name] += w / sum
			}
		}
		for i := range ms {
			total += selectionWeight(&ms[i])
		}
		for _, m := range ms {
			want := callers * selectionWeight(&m) / total
			// Five standard deviations of the random choice, and a tenth for the approximation of the inclusion probability.
			if math.Abs(load[m.Name]-want) > 0.10*want+5*math.Sqrt(want) {
				t.Fatalf("%s with %d cores gets %.0f of %.0f", m.Name, m.Cores, load[m.Name], want)
			}
		}
	})
}

// Guards against answers that contain leaving VMs, prefer distant ones, or are empty when few VMs are alive.
func TestStatesAndDistance(t *testing.T) {
	is := is.New(t)
	ms := testMembers(12, func(int) int { return 4 })
	ms[0].State, ms[3].State, ms[6].State = membership.Leaving, membership.Uncertain, membership.Gone
	for c := range 50 {
		r := Answer(ms, fmt.Sprint("c", c), "dc0", Options{})
		is.Equal(r.Addresses[0].Name, "vm0009") // the only live VM of dc0
		for i, a := range r.Addresses {
			is.True(a.Name != "vm0000" && a.Name != "vm0003" && a.Name != "vm0006")
			is.Equal(a.Weight > 0, a.DataCentre == "dc0")
			is.Equal(a.DataCentre == "dc0", i == 0)
		}
		is.Equal(len(r.Addresses), 1+reserveAddresses)
	}
	for i := range ms {
		ms[i].State = membership.Uncertain
	}
	ms[1].State, ms[2].State = membership.Alive, membership.Leaving
	names := weightsByName(Answer(ms, "c", "", Options{}))
	is.Equal(len(names), DefaultGroup) // uncertain VMs are included because too few are alive
	_, ok := names["vm0002"]
	is.True(!ok)
	is.Equal(len(Answer(ms, "c", "no such", Options{}).Addresses), DefaultGroup)
}

// Guards against keep times longer than the drain time allows, so that a planned stop would interrupt callers.
func TestKeepTimeFitsIntoDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Second
		}
		o := Options{Drain: seconds("drain", 1, 600), Spread: seconds("spread", 1, 30), Finish: seconds("finish", 1, 120)}
		if o.Validate() != nil {
			if o.Drain >= o.Spread+o.Finish+DefaultSlack+minKeepTime {
				t.Fatal("sufficient drain time refused")
			}
			return
		}
		if o.Spread+o.KeepTime()+DefaultSlack+o.Finish > o.Drain || o.LeaveDelay()+o.Finish > o.Drain {
			t.Fatalf("%+v: keep %v", o, o.KeepTime())
		}
	})
}

type fakeMembers struct {
	membership.List
	members []membership.Member
	paused  bool
}

func (f *fakeMembers) TableChecked() bool { return !f.paused }

func (f *fakeMembers) Members() []membership.Member { return f.members }

// Guards against an answer from a view older than maxViewAge, and against one by a VM that was paused.
func TestHandler(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	f := &fakeMembers{members: testMembers(4, func(int) int { return 4 })}
	h := Handler(Options{Members: f, Now: func() time.Time { return now }})
	get := func() Response {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/addresses?data_centre=dc1", nil))
		var r Response
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &r))
		return r
	}
	is.Equal(get().Addresses[0].Name, "vm0001")
	is.Equal(get().KeepMS, (DefaultDrain - DefaultSpread - DefaultFinish - DefaultSlack).Milliseconds())
	f.members = testMembers(4, func(int) int { return 4 })
	f.members[1].State = membership.Leaving
	now = now.Add(maxViewAge + time.Millisecond)
	is.True(get().Addresses[0].Name != "vm0001")
	f.paused = true // after a pause
	is.Equal(len(get().Addresses), 0)
}
