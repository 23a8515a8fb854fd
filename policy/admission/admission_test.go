package admission

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/result"
)

func fleet() *policy.Fleet {
	return &policy.Fleet{
		Upstreams: []*policy.Upstream{{Accepting: true}}, ByModel: map[string][]int{"m": {0}},
	}
}

func load(t testing.TB, id string) policy.Admitter {
	t.Helper()
	a, err := kernel.Load[policy.Admitter](id, nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against an order that a heap can't use: Less must be a strict weak order and compare priorities first.
func TestLessIsAnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := load(t, "admission.deadline")
		var list []*policy.Request
		for i := range rapid.IntRange(3, 20).Draw(rt, "n") {
			r := &policy.Request{
				ID: uint64(i), Model: "m", Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller"),
				Priority: rapid.IntRange(0, 2).Draw(rt, "priority"), PromptTokens: rapid.IntRange(1, 50000).Draw(rt, "prompt"),
				Deadline: time.Duration(rapid.IntRange(1, 3).Draw(rt, "deadline")) * time.Minute,
			}
			d.Admit(0, r, fleet(), policy.Choice{}, policy.QueueView{})
			list = append(list, r)
		}
		slices.SortFunc(list, func(a, b *policy.Request) int {
			switch {
			case d.Less(a, b):
				return -1
			case d.Less(b, a):
				return 1
			}
			return 0
		})
		for i := range list {
			for j := range i {
				if d.Less(list[i], list[j]) || list[i].Priority < list[j].Priority {
					rt.Fatalf("%d before %d", i, j)
				}
			}
		}
	})
}

// Guards against one caller's backlog delaying another caller's first requests.
func TestFairShareBetweenCallers(t *testing.T) {
	is := is.New(t)
	d := load(t, "admission.deadline")
	admit := func(id uint64, caller string) *policy.Request {
		r := &policy.Request{ID: id, Model: "m", Caller: caller, PromptTokens: 10000, Deadline: time.Hour}
		is.True(d.Admit(0, r, fleet(), policy.Choice{}, policy.QueueView{}).Admit)
		return r
	}
	var last *policy.Request
	for i := range uint64(20) {
		last = admit(i, "busy")
	}
	is.True(d.Less(admit(99, "quiet"), last))
}

// Guards against admitting requests that can't meet their deadline, and against a RetryAfter outside its bounds.
func TestRefusesLateRequests(t *testing.T) {
	is := is.New(t)
	d := load(t, "admission.deadline")
	r := &policy.Request{Model: "m", Deadline: time.Second}
	v := d.Admit(0, r, fleet(), policy.Choice{Finish: 2 * time.Second}, policy.QueueView{})
	is.True(!v.Admit && v.Code == result.CannotMeetDeadline && v.RetryAfter >= 200*time.Millisecond && v.RetryAfter <= 10*time.Second)
	f := fleet()
	f.Upstreams[0].Accepting = false
	v = d.Admit(0, r, f, policy.Choice{Prefill: policy.None}, policy.QueueView{})
	is.Equal(v.Code, result.NoUpstream)
}

// Guards against memory that grows with the number of all callers that have ever sent a request.
func TestForgetsCallersWithoutBacklog(t *testing.T) {
	is := is.New(t)
	d := load(t, "admission.deadline").(*Deadline)
	for i := range 100000 {
		r := &policy.Request{Model: "m", Caller: fmt.Sprint("c", i), PromptTokens: 10000, Deadline: time.Hour}
		d.Admit(0, r, fleet(), policy.Choice{}, policy.QueueView{})
		d.Done(0, r, 10000)
		d.virtualTime += 10000 // the fleet keeps serving requests
	}
	is.True(len(d.virtualFinish) < 1000)
}

func BenchmarkAdmit(b *testing.B) {
	const callers = 15000
	names := make([]string, callers)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	for _, id := range []string{"admission.deadline", "admission.fifo"} {
		b.Run(fmt.Sprintf("%s/callers=%d", id, callers), func(b *testing.B) {
			f := fleet()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := load(b, id)
			r := &policy.Request{Model: "m", PromptTokens: 1000, ExpectedOutput: 200, Deadline: time.Hour}
			admit := func(i int) {
				r.Caller, r.Tagged = names[i%callers], false
				d.Admit(0, r, f, policy.Choice{Finish: time.Second}, policy.QueueView{})
			}
			for i := range callers {
				admit(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				admit(i)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-held")
			runtime.KeepAlive(d)
		})
	}
}
