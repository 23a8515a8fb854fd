package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/topo"
)

// sharingSeed is the seed of the arrivals.
const sharingSeed = 7

// loadClient is a stream of requests of one account.
type loadClient struct {
	account   string
	perSecond float64
	tokens    func(i int) int // of the i-th prompt
	from, to  time.Duration
	atOnce    bool // sends a refused request again at once, up to 20 times, instead of once after the RetryAfter
}

// got is what the callers of one account have got. The requests are those of the clients, without repeats.
type got struct{ requests, inTime, late, smallServed, largeServed, inVain, refused int }

func (g *got) served() float64 { return float64(g.inTime + g.late) }

// play runs clients against a scheduler with a fake fleet: engines compute prompts one after another, those in time first, at the rate that
// the router assumes before it has measured any.
func play(t *testing.T, admitter string, clients []loadClient) map[string]*got {
	t.Helper()
	const engines, rate, target, patience = 4, 25000.0, 600 * time.Millisecond, 3 * time.Second
	load := func(id string) any {
		m, err := kernel.Load[any](id, nil)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	s := New(Options{
		Router: load("routing.measured").(policy.Router), Admitter: load(admitter).(policy.Admitter),
		Health: load("health.reachable").(policy.HealthTracker), Retry: load("retry.window").(policy.RetryPolicy), QueueCapacity: 200,
		NewCache: routing.NewIndex, NoYield: true, NoRescue: true, CachesImports: true,
	})
	var list []topo.Upstream
	for i := range engines {
		list = append(list, topo.Upstream{Name: string(rune('a' + i)), Kind: topo.KindEngine, Models: []string{"m"}, MaxBatch: 64, KVPieces: 450})
	}
	s.SetUpstreams(list)

	type job struct {
		r       *policy.Request
		c       *loadClient
		tries   int
		arrival time.Duration
	}
	type timed struct {
		at time.Duration
		do func()
	}
	var events []timed
	at := func(t time.Duration, do func()) { events = append(events, timed{t, do}) }
	now, id := time.Duration(0), uint64(0)
	jobs := map[uint64]*job{}
	out := map[string]*got{}
	queues, busy := make([][]*policy.Request, engines), make([]bool, engines)
	var handle func([]Action)
	var start func(e int)
	start = func(e int) {
		if busy[e] || len(queues[e]) == 0 {
			return
		}
		first := 0
		for i, r := range queues[e] {
			if late, l := now > r.FirstTokenTarget, now > queues[e][first].FirstTokenTarget; late != l && l {
				first = i
			}
		}
		r := queues[e][first]
		queues[e] = slices.Delete(queues[e], first, first+1)
		busy[e] = true
		at(now+time.Duration(float64(r.PromptTokens)/rate*1e9), func() {
			busy[e] = false
			start(e)
			if !s.inFlight(r) || r.Prefill != e {
				return
			}
			if now < r.GiveUpAt() {
				j := jobs[r.ID]
				g := out[j.c.account]
				if now <= r.FirstTokenTarget {
					g.inTime++
				} else {
					g.late++
				}
				if r.PromptTokens > 4000 {
					g.largeServed++
				} else {
					g.smallServed++
				}
			}
			s.FirstToken(now, r)
			at(now+300*time.Millisecond, func() {
				s.Progress(now, r, 50)
				handle(s.Finished(now, r, policy.Completed))
			})
		})
	}
	var offer func(j *job)
	handle = func(actions []Action) {
		for _, a := range slices.Clone(actions) {
			switch a.Kind {
			case Dispatch:
				queues[a.Prefill] = append(queues[a.Prefill], a.Request)
				start(a.Prefill)
			case Refuse:
				for e := range queues {
					queues[e] = slices.DeleteFunc(queues[e], func(r *policy.Request) bool { return r == a.Request })
				}
				j := jobs[a.Request.ID]
				delete(jobs, a.Request.ID)
				if now-a.Request.Arrival > 500*time.Millisecond {
					out[j.c.account].inVain++
				}
				out[j.c.account].refused++
				again, most := now+a.RetryAfter, 1
				if left := j.arrival + patience - now; a.RetryAfter > left/3 {
					again = now + left/3
				}
				if j.c.atOnce {
					again, most = now+10*time.Millisecond, 20
				}
				if j.tries++; j.tries <= most && again < j.arrival+patience {
					at(again, func() { offer(j) })
				}
			}
		}
	}
	offer = func(j *job) {
		id++
		j.r = &policy.Request{
			ID: id, Model: "m", Caller: j.c.account, Class: "c", Priority: 1, PromptTokens: j.r.PromptTokens, Arrival: now,
			FirstTokenTarget: j.arrival + target, FirstTokenDeadline: j.arrival + patience, Deadline: now + time.Minute, ResendsLimited: true,
		}
		jobs[id] = j
		handle(s.Offer(now, j.r))
	}
	random := rand.New(rand.NewPCG(sharingSeed, 1))
	for i := range clients {
		c := &clients[i]
		out[c.account] = &got{}
		n := 0
		for at0 := c.from; ; {
			at0 += time.Duration(random.ExpFloat64() / c.perSecond * 1e9)
			if at0 >= c.to {
				break
			}
			tokens := c.tokens(n)
			n++
			out[c.account].requests++
			at(at0, func() { offer(&job{r: &policy.Request{PromptTokens: tokens}, c: c, arrival: now}) })
		}
	}
	for tick := time.Duration(0); tick < 40*time.Second; tick += 20 * time.Millisecond {
		at(tick, func() { handle(s.Tick(now)) })
	}
	for len(events) > 0 {
		next := 0
		for i := range events {
			if events[i].at < events[next].at {
				next = i
			}
		}
		e := events[next]
		events[next] = events[len(events)-1]
		events = events[:len(events)-1]
		now = e.at
		e.do()
	}
	for a, g := range out {
		t.Logf("%s, seed %d, %s: %+v", admitter, sharingSeed, a, *g)
	}
	return out
}

// capacity is the requests per second of 2,500 tokens that the fake fleet serves.
const capacity = 40.0

func same(n int) func(int) int { return func(int) int { return n } }

// Guards against a burst of one account that takes the capacity of the others.
func TestABurstOfOneAccountLeavesTheOthersInTime(t *testing.T) {
	is := is.New(t)
	out := play(t, "admission.objective", []loadClient{
		{account: "burst", perSecond: 3 * capacity, tokens: same(2500), from: 2 * time.Second, to: 12 * time.Second},
		{account: "x", perSecond: 0.25 * capacity, tokens: same(2500), to: 15 * time.Second},
		{account: "y", perSecond: 0.25 * capacity, tokens: same(2500), to: 15 * time.Second},
	})
	for _, a := range []string{"x", "y"} {
		is.True(float64(out[a].inTime) >= 0.9*float64(out[a].requests))
	}
	is.True(out["burst"].served() >= 0.4*10*capacity) // what the others leave is used: work-conserving
}

// Guards against unequal shares of accounts with equal demand, of which one sends again at once and often what was refused.
func TestEqualDemandGetsEqualShares(t *testing.T) {
	is := is.New(t)
	out := play(t, "admission.objective", []loadClient{
		{account: "x", perSecond: 0.7 * capacity, tokens: same(2500), to: 30 * time.Second},
		{account: "y", perSecond: 0.7 * capacity, tokens: same(2500), to: 30 * time.Second},
		{account: "again", perSecond: 0.7 * capacity, tokens: same(2500), to: 30 * time.Second, atOnce: true},
	})
	mean := (out["x"].served() + out["y"].served() + out["again"].served()) / 3
	for _, a := range []string{"x", "y"} {
		is.True(out[a].served() >= 0.9*mean && out[a].served() <= 1.1*mean)
	}
	is.True(out["again"].served() <= 1.1*mean)
}

// Guards against an account that is served much less often because its requests are large, and against large requests of an account
// that are served less often than its small ones.
func TestLargeRequestsAreServed(t *testing.T) {
	is := is.New(t)
	out := play(t, "admission.objective", []loadClient{
		{account: "small", perSecond: capacity, tokens: same(1500), to: 30 * time.Second},
		{account: "large", perSecond: 0.3 * capacity, tokens: same(9000), to: 30 * time.Second},
		{account: "mixed", perSecond: 0.5 * capacity, tokens: func(i int) int { return 1500 + i%2*7500 }, to: 30 * time.Second},
	})
	all, served := 0.0, 0.0
	for _, g := range out {
		all, served = all+float64(g.requests), served+g.served()
	}
	for _, g := range out {
		is.True(g.served()/float64(g.requests) >= served/all/4)
	}
	mixed := out["mixed"]
	is.True(float64(mixed.largeServed) >= 0.9*float64(mixed.smallServed))
}

// Guards against capacity that goes to requests that have missed their target while others could still meet theirs.
func TestAPeakServesMoreInTime(t *testing.T) {
	is := is.New(t)
	peak := func() []loadClient {
		return []loadClient{
			{account: "x", perSecond: 0.8 * capacity, tokens: same(2500), to: 20 * time.Second},
			{account: "y", perSecond: 0.9 * capacity, tokens: same(2500), from: 5 * time.Second, to: 15 * time.Second},
		}
	}
	inTime := map[string]int{}
	for _, admitter := range []string{"admission.patience", "admission.objective"} {
		for _, g := range play(t, admitter, peak()) {
			inTime[admitter] += g.inTime
		}
	}
	is.True(inTime["admission.objective"] > inTime["admission.patience"])
}

// Guards against a queue that keeps the order of the ranks that its requests had when they were queued.
func TestAQueueFollowsTheRanks(t *testing.T) {
	is := is.New(t)
	admitter, err := kernel.Load[policy.Admitter]("admission.objective", nil)
	is.NoErr(err)
	s := New(Options{Admitter: admitter})
	seed := uint64(11)
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	q := s.queueFor(&policy.Request{Model: "m"})
	fleet := &policy.Fleet{ByModel: map[string][]int{"m": {0}}, Upstreams: []*policy.Upstream{{Accepting: true}}}
	now := time.Duration(0)
	for id := range uint64(500) {
		now += time.Duration(random.IntN(20)) * time.Millisecond
		q.rerank(now)
		r := &policy.Request{
			ID: id, Model: "m", Caller: string(rune('a' + random.IntN(5))), Priority: random.IntN(2), Arrival: now, PromptTokens: 1 + random.IntN(9000),
			FirstTokenTarget: now + time.Duration(1+random.IntN(900))*time.Millisecond, Deadline: now + time.Hour,
		}
		is.True(admitter.Admit(now, r, fleet, policy.Choice{FirstToken: time.Millisecond}, policy.QueueView{Capacity: 1 << 20}).Admit)
		q.push(now, r)
		if q.rerank(now); id%2 == 0 {
			continue
		}
		first := q.pop()
		for _, other := range q.items {
			s.ranker.Rank(now, other) // as it is now
			is.True(!s.less(other, first))
		}
		s.ranker.Dispatched(now, first)
	}
}
