package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/kernel"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/policy/routing"
	"bergamotcroft.example/bergamot/scheduler"
	"bergamotcroft.example/bergamot/topo"
	"bergamotcroft.example/bergamot/upstream"

	// The policies register themselves.
	_ "bergamotcroft.example/bergamot/policy/admission"
	_ "bergamotcroft.example/bergamot/policy/health"
	_ "bergamotcroft.example/bergamot/policy/retry"
)

// probeAddresses measures an answer with a new table and with a prepared one.
func probeAddresses(context.Context) ([]Series, error) {
	fresh := Series{Role: "address answers", Cost: "answer_cpu", Unit: "s", By: "members", Full: FullNodes}
	ready := Series{Role: "address answers", Cost: "prepared_answer_cpu", Unit: "s", By: "members", Full: FullNodes}
	for _, n := range []int{138, 550, 2200} {
		members := fleet(n)
		o := addresses.Options{Members: &list{self: members[0], members: members}}
		now := time.Now()
		o.Now = func() time.Time { return now } // the table that the handler has prepared stays valid
		i := 0
		fresh.add(n, cpu(func() {
			addresses.Answer(members, fmt.Sprint("c", i), "dc1", o)
			i++
		}))
		h := addresses.Handler(o)
		var failed int
		ready.add(n, cpu(func() {
			r := httptest.NewRequest(http.MethodGet, "/v1/addresses?data_centre=dc1", nil)
			r.RemoteAddr = fmt.Sprintf("10.0.0.%d:1", i%250)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				failed = w.Code
			}
			i++
		}))
		if failed != 0 {
			return nil, fmt.Errorf("addresses: status %d", failed)
		}
	}
	return []Series{fresh, ready}, nil
}

// add appends a point.
func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{float64(size), value})
}

// pieces is the KV memory of an engine, in pieces, as in the example fleet of Vairogs.
const pieces = 600

func engines(n int) []topo.Upstream {
	out := make([]topo.Upstream, n)
	for i := range out {
		out[i] = topo.Upstream{
			Name: fmt.Sprintf("engine-%05d", i), DataCentre: fmt.Sprintf("dc%d", i%FullDataCentres), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Kind: topo.KindEngine, Models: []string{fmt.Sprintf("m%d@1", i%4)}, PrefillTokensPerSecond: 12000, DecodeTokensPerSecond: 1100,
			MaxBatch: 32, KVPieces: pieces,
		}
	}
	return out
}

func newScheduler() (*scheduler.Scheduler, error) {
	router, err := kernel.Load[policy.Router]("routing.prefix_affinity", nil)
	if err != nil {
		return nil, err
	}
	o := scheduler.Options{Router: router, QueueCapacity: 2000, NewCache: routing.NewIndex}
	if o.Admitter, err = kernel.Load[policy.Admitter]("admission.deadline", nil); err != nil {
		return nil, err
	}
	if o.Health, err = kernel.Load[policy.HealthTracker]("health.relative", nil); err != nil {
		return nil, err
	}
	if o.Retry, err = kernel.Load[policy.RetryPolicy]("retry.budget", nil); err != nil {
		return nil, err
	}
	return scheduler.New(o), nil
}

// probeServing measures the scheduler by upstreams: memory, a new set of upstreams, one request from offer to end, and a tick.
func probeServing(context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "serving", Cost: cost, Unit: unit, By: "upstreams", Full: subsetUpstreams}
	}
	memory, set, request, tick := of("scheduler_memory", "B"), of("set_upstreams_cpu", "s"), of("request_cpu", "s"), of("tick_cpu", "s")
	for _, n := range []int{100, 1000, 10000} {
		specs := engines(n)
		var err error
		s, bytes := held(func() (s *scheduler.Scheduler) {
			if s, err = newScheduler(); err == nil {
				s.SetUpstreams(specs)
			}
			return s
		})
		if err != nil {
			return nil, err
		}
		memory.add(n, bytes)
		set.add(n, cpu(func() { s.SetUpstreams(specs) }))
		now, id, lost := time.Duration(0), uint64(0), 0
		request.add(n, cpu(func() {
			for range 50 {
				now += 20 * time.Millisecond
				id++
				if !oneRequest(s, now, id) {
					lost++
				}
			}
		})/50)
		if lost > 0 {
			return nil, fmt.Errorf("serving: %d of %d requests were not dispatched", lost, id)
		}
		tick.add(n, cpu(func() {
			now += 20 * time.Millisecond
			s.Tick(now)
		}))
	}
	return []Series{memory, set, request, tick}, nil
}

// oneRequest offers a request of 12 pieces and ends it at once.
func oneRequest(s *scheduler.Scheduler, now time.Duration, id uint64) bool {
	r := &policy.Request{
		ID: id, Caller: fmt.Sprint("c", id%100), Class: "question", Model: fmt.Sprintf("m%d@1", id%4), PromptTokens: 12300, Priority: 1,
		Arrival: now, Deadline: now + time.Hour, Prefill: policy.None, Decode: policy.None, Avoid: policy.None, AvoidDecode: policy.None,
		HedgePrefill: policy.None, HedgeDecode: policy.None, InFlightIndex: policy.None, Idempotent: true,
	}
	for i := range uint64(12) {
		r.Prefix = append(r.Prefix, policy.Mix64(id%50*1000+i))
	}
	a := s.Offer(now, r)
	if len(a) != 1 || a[0].Kind != scheduler.Dispatch {
		return false
	}
	s.FirstToken(now+5*time.Millisecond, r)
	s.Progress(now+6*time.Millisecond, r, 10)
	s.Finished(now+10*time.Millisecond, r, policy.Completed)
	return true
}

// probeCacheEvents measures the intake of cache events by pieces in an event, their JSON, and the index by pieces that it holds.
func probeCacheEvents(context.Context) ([]Series, error) {
	of := func(cost, unit string) Series {
		return Series{Role: "cache-event intake", Cost: cost, Unit: unit, By: "pieces in an event"}
	}
	intake, wire := of("intake_cpu", "s"), of("event_bytes", "B")
	const upstreams = 100
	s, err := newScheduler()
	if err != nil {
		return nil, err
	}
	s.SetUpstreams(engines(upstreams))
	next := uint64(0)
	event := func(n int) scheduler.CacheEvent {
		e := scheduler.CacheEvent{Inserted: make([]uint64, n)}
		for i := range e.Inserted {
			next++
			e.Inserted[i] = policy.Mix64(next)
		}
		return e
	}
	for _, n := range []int{1, 8, 64} {
		intake.add(n, cpu(func() {
			for i := range upstreams {
				s.CacheEvent(time.Duration(next), i, event(n))
			}
		})/upstreams)
		raw, err := json.Marshal(upstream.CacheEvent{Inserted: event(n).Inserted})
		if err != nil {
			return nil, err
		}
		wire.add(n, float64(len(raw)))
	}
	index := Series{Role: "cache-event intake", Cost: "index_memory", Unit: "B", By: "pieces held", Full: pieces * subsetUpstreams}
	for _, n := range []int{75, 300, 1200} {
		_, bytes := held(func() []policy.PrefixIndex {
			all := make([]policy.PrefixIndex, upstreams)
			for i := range all {
				all[i] = routing.NewIndex(n)
				all[i].Insert(0, event(n).Inserted)
			}
			return all
		})
		index.add(n*upstreams, bytes)
	}
	return []Series{intake, wire, index}, nil
}
