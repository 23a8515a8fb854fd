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

// probeAddresses measures an answer that computes its table and one from a prepared table.
func probeAddresses(context.Context) ([]Series, error) {
	unprepared := Series{Role: "address answers", Cost: "answer_cpu", Unit: "s", SizeName: "members", Full: FullNodes}
	prepared := Series{Role: "address answers", Cost: "prepared_answer_cpu", Unit: "s", SizeName: "members", Full: FullNodes}
	for _, n := range []int{138, 550, 2200} {
		members := syntheticMembers(n)
		o := addresses.Options{Members: &staticMembers{self: members[0], members: members}}
		now := time.Now()
		o.Now = func() time.Time { return now } // a constant clock keeps the handler's prepared table valid
		i := 0
		unprepared.add(n, cpuPerCall(func() {
			addresses.Answer(members, fmt.Sprint("c", i), "dc1", o)
			i++
		}))
		h := addresses.Handler(o)
		var failedStatus int
		prepared.add(n, cpuPerCall(func() {
			r := httptest.NewRequest(http.MethodGet, "/v1/addresses?data_centre=dc1", nil)
			r.RemoteAddr = fmt.Sprintf("10.0.0.%d:1", i%250)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				failedStatus = w.Code
			}
			i++
		}))
		if failedStatus != 0 {
			return nil, fmt.Errorf("addresses: status %d", failedStatus)
		}
	}
	return []Series{unprepared, prepared}, nil
}

// add appends a point.
func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{float64(size), value})
}

// kvPieces is the KV memory of an engine, in pieces, as in the example fleet of Vairogs.
const kvPieces = 600

func engines(n int) []topo.Upstream {
	out := make([]topo.Upstream, n)
	for i := range out {
		out[i] = topo.Upstream{
			Name: fmt.Sprintf("engine-%05d", i), DataCentre: fmt.Sprintf("dc%d", i%FullDataCentres), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Kind: topo.KindEngine, Models: []string{fmt.Sprintf("m%d@1", i%4)}, PrefillTokensPerSecond: 12000, DecodeTokensPerSecond: 1100,
			MaxBatch: 32, KVPieces: kvPieces,
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

// probeServing measures the scheduler by number of upstreams: memory, a new set of upstreams, one request from offer to end, and a tick.
func probeServing(context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "serving", Cost: cost, Unit: unit, SizeName: "upstreams", Full: maxUpstreams}
	}
	memory, setUpstreams, request, tick := newSeries("scheduler_memory", "B"), newSeries("set_upstreams_cpu", "s"), newSeries("request_cpu", "s"), newSeries("tick_cpu", "s")
	for _, n := range []int{100, 1000, 10000} {
		specs := engines(n)
		var err error
		s, bytes := buildAndMeasure(func() (s *scheduler.Scheduler) {
			if s, err = newScheduler(); err == nil {
				s.SetUpstreams(specs)
			}
			return s
		})
		if err != nil {
			return nil, err
		}
		memory.add(n, bytes)
		setUpstreams.add(n, cpuPerCall(func() { s.SetUpstreams(specs) }))
		now, id, notDispatched := time.Duration(0), uint64(0), 0
		request.add(n, cpuPerCall(func() {
			for range 50 {
				now += 20 * time.Millisecond
				id++
				if !oneRequest(s, now, id) {
					notDispatched++
				}
			}
		})/50)
		if notDispatched > 0 {
			return nil, fmt.Errorf("serving: %d of %d requests were not dispatched", notDispatched, id)
		}
		tick.add(n, cpuPerCall(func() {
			now += 20 * time.Millisecond
			s.Tick(now)
		}))
	}
	return []Series{memory, setUpstreams, request, tick}, nil
}

// oneRequest offers a request of 12 pieces and completes it. It reports whether the scheduler dispatched the request.
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

// probeCacheEvents measures the intake of cache events and the size of their JSON by pieces in an event, and the index by pieces held.
func probeCacheEvents(context.Context) ([]Series, error) {
	newSeries := func(cost, unit string) Series {
		return Series{Role: "cache-event intake", Cost: cost, Unit: unit, SizeName: "pieces in an event"}
	}
	intake, eventSize := newSeries("intake_cpu", "s"), newSeries("event_bytes", "B")
	const upstreams = 100
	s, err := newScheduler()
	if err != nil {
		return nil, err
	}
	s.SetUpstreams(engines(upstreams))
	lastPiece := uint64(0)
	event := func(n int) scheduler.CacheEvent {
		e := scheduler.CacheEvent{Inserted: make([]uint64, n)}
		for i := range e.Inserted {
			lastPiece++
			e.Inserted[i] = policy.Mix64(lastPiece)
		}
		return e
	}
	for _, n := range []int{1, 8, 64} {
		intake.add(n, cpuPerCall(func() {
			for i := range upstreams {
				s.CacheEvent(time.Duration(lastPiece), i, event(n))
			}
		})/upstreams)
		raw, err := json.Marshal(upstream.CacheEvent{Inserted: event(n).Inserted})
		if err != nil {
			return nil, err
		}
		eventSize.add(n, float64(len(raw)))
	}
	index := Series{Role: "cache-event intake", Cost: "index_memory", Unit: "B", SizeName: "pieces held", Full: kvPieces * maxUpstreams}
	for _, n := range []int{75, 300, 1200} {
		_, bytes := buildAndMeasure(func() []policy.PrefixIndex {
			indexes := make([]policy.PrefixIndex, upstreams)
			for i := range indexes {
				indexes[i] = routing.NewIndex(n)
				indexes[i].Insert(0, event(n).Inserted)
			}
			return indexes
		})
		index.add(n*upstreams, bytes)
	}
	return []Series{intake, eventSize, index}, nil
}
