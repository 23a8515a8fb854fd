package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// queue holds the requests of one model or service that wait in the entry VM, in the admitter's order.
type queue struct {
	key   string
	items []*policy.Request
	less  func(a, b *policy.Request) bool
	count [policy.Priorities]int
	// Moving rate of departures, for the expected wait.
	lastPop  time.Duration
	interval time.Duration
}

func (q *queue) Len() int           { return len(q.items) }
func (q *queue) Less(i, j int) bool { return q.less(q.items[i], q.items[j]) }
func (q *queue) Swap(i, j int)      { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface; use push.
func (q *queue) Push(x any) { q.items = append(q.items, x.(*policy.Request)) }

// Pop implements heap.Interface; use pop.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	r := q.items[n]
	q.items[n] = nil
	q.items = q.items[:n]
	return r
}

func level(r *policy.Request) int { return min(max(r.Priority, 0), policy.Priorities-1) }

func (q *queue) push(now time.Duration, r *policy.Request) {
	if len(q.items) == 0 {
		q.lastPop = now // idle time says nothing about the rate of departures
	}
	heap.Push(q, r)
	q.count[level(r)]++
}

func (q *queue) pop() *policy.Request {
	r := heap.Pop(q).(*policy.Request)
	q.count[level(r)]--
	return r
}

func (q *queue) remove(r *policy.Request) bool {
	i := slices.Index(q.items, r)
	if i < 0 {
		return false
	}
	heap.Remove(q, i)
	q.count[level(r)]--
	return true
}

// blocks reports whether a waiting request comes before r.
func (q *queue) blocks(r *policy.Request) bool {
	return len(q.items) > 0 && !q.less(r, q.items[0])
}

// waitAhead estimates the time until r could leave from the requests of its priority or a higher one and the recent
// rate of departures.
func (q *queue) waitAhead(r *policy.Request) time.Duration {
	ahead := 0
	for i := 0; i <= level(r); i++ {
		ahead += q.count[i]
	}
	return time.Duration(ahead) * q.interval
}

// departed updates the rate of departures.
func (q *queue) departed(now time.Duration) {
	const smoothing = 0.1
	gap := now - q.lastPop
	q.lastPop = now
	q.interval += time.Duration(smoothing * float64(gap-q.interval))
}

func (s *Scheduler) queue(r *policy.Request) *queue {
	key := "m:" + r.Model
	if r.Service != "" {
		key = "s:" + r.Service
	}
	q, ok := s.queues[key]
	if !ok {
		q = &queue{key: key, less: s.less}
		s.queues[key] = q
		at, _ := slices.BinarySearchFunc(s.order, key, func(q *queue, k string) int { return strings.Compare(q.key, k) })
		s.order = slices.Insert(s.order, at, q)
	}
	return q
}

// less orders a queue: suspects whose answer has begun come first, since each waits for an upstream without a suspect and
// its caller waits in the middle of an answer.
func (s *Scheduler) less(a, b *policy.Request) bool {
	x, y := a.Suspect && a.Generated > 0, b.Suspect && b.Generated > 0
	if x != y {
		return x
	}
	return s.opts.Admitter.Less(a, b)
}

// estimate is a moving mean of output tokens.
type estimate struct {
	mean float64
	n    int
	last time.Duration // of the last value
}

const (
	defaultOutput = 200 // tokens, before a class has finished any request
	learnedAfter  = 3   // finished requests from which the estimate counts
	clipAfter     = 10  // finished requests from which outliers are clipped
	clipFactor    = 3   // times the mean that one request counts at most
)

// estimateLife is the age from which an estimate is a guess again. When an estimate gets all requests of a class refused, none
// of them finishes to correct it.
const estimateLife = 10 * time.Second

// expectOutput sets the estimate of r's output.
func (s *Scheduler) expectOutput(now time.Duration, r *policy.Request) {
	v := float64(defaultOutput)
	e, ok := s.output[r.Class]
	if ok {
		v = e.mean
	}
	r.Guessed = !ok || e.n < learnedAfter || now-e.last > estimateLife
	if r.MaxOutput > 0 {
		v = math.Min(v, float64(r.MaxOutput))
	}
	if r.HintOutput > 0 {
		v, r.Guessed = float64(r.HintOutput), false
	}
	r.ExpectedOutput = v
}

func (s *Scheduler) learn(now time.Duration, r *policy.Request) {
	if r.Service != "" {
		s.learnCall(now, r)
		return
	}
	e, ok := s.output[r.Class]
	if !ok {
		e = &estimate{}
		s.output[r.Class] = e
	}
	e.add(now, float64(r.Generated))
}

// add takes a value: the plain mean at first, a moving one later. A few jobs run many times longer than the rest; they
// count in part, since the estimate stands for the ordinary ones.
func (e *estimate) add(now time.Duration, v float64) {
	const smoothing = 0.05
	if e.n >= clipAfter {
		v = min(v, clipFactor*e.mean)
	}
	e.last = now
	e.n++
	e.mean += max(smoothing, 1/float64(e.n)) * (v - e.mean)
}

// mixMeter measures the offered load of one model with exponential decay.
type mixMeter struct {
	last              time.Duration
	prefill, decode   float64
	requests, refusal float64
}

// mixWindow is the time constant of the measured mix.
const mixWindow = 10 * time.Second

func (s *Scheduler) meter(model string) *mixMeter {
	m, ok := s.mix[model]
	if !ok {
		m = &mixMeter{}
		s.mix[model] = m
	}
	return m
}

func (m *mixMeter) decay(now time.Duration) {
	f := math.Exp(-float64(now-m.last) / float64(mixWindow))
	m.last = now
	m.prefill *= f
	m.decode *= f
	m.requests *= f
	m.refusal *= f
}

func (m *mixMeter) offered(now time.Duration, r *policy.Request) {
	m.decay(now)
	m.prefill += r.Work(r.Cached)
	m.decode += r.ExpectedOutput
	m.requests++
}

func (m *mixMeter) refused(now time.Duration) {
	m.decay(now)
	m.refusal++
}

// Mix returns the recent load offered to this entry VM for a model.
func (s *Scheduler) Mix(now time.Duration, model string) policy.Mix {
	m := s.meter(model)
	m.decay(now)
	w := mixWindow.Seconds()
	mix := policy.Mix{PrefillTokensPerSecond: m.prefill / w, DecodeTokensPerSecond: m.decode / w}
	if m.requests > 0 {
		mix.Refused = math.Min(m.refusal/m.requests, 1)
	}
	return mix
}
