package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// queue is a heap of the requests of one model or service that wait in the entry VM, in the order of Scheduler.less.
type queue struct {
	key   string
	items []*policy.Request
	less  func(a, b *policy.Request) bool
	count [policy.Priorities]int
	// Time of the last departure and moving mean of the interval between departures, for the expected wait.
	lastDeparture     time.Duration
	departureInterval time.Duration
	fair              fairOrder
	ranker            policy.OrderChanger // nil: the order does not change
	rankedUntil       time.Duration       // the ranks of the items change then
	rankedChanges     uint64              // ranker.Changes at the last rerank
	overloadedUntil   time.Duration       // the limits of the upstreams count as overloaded until then
}

func (q *queue) Len() int           { return len(q.items) }
func (q *queue) Less(i, j int) bool { return q.before(q.items[i], q.items[j]) }
func (q *queue) Swap(i, j int)      { q.items[i], q.items[j] = q.items[j], q.items[i] }

// before reports whether a comes before b.
func (q *queue) before(a, b *policy.Request) bool {
	if q.fair.active && a.FairTag != b.FairTag && !answerInterrupted(a) && !answerInterrupted(b) {
		return a.FairTag < b.FairTag
	}
	return q.less(a, b)
}

// Push implements heap.Interface; callers use push.
func (q *queue) Push(x any) { q.items = append(q.items, x.(*policy.Request)) }

// Pop implements heap.Interface; callers use pop.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	r := q.items[n]
	q.items[n] = nil
	q.items = q.items[:n]
	return r
}

func priorityLevel(r *policy.Request) int { return min(max(r.Priority, 0), policy.Priorities-1) }

func (q *queue) push(now time.Duration, r *policy.Request) {
	if len(q.items) == 0 {
		q.lastDeparture = now // idle time does not count as an interval between departures
		q.rankedUntil = math.MaxInt64
		if q.ranker != nil {
			q.rankedChanges = q.ranker.Changes()
		}
	}
	q.rank(now, r)
	heap.Push(q, r)
	q.count[priorityLevel(r)]++
}

// rank sets the rank of r, which is not queued.
func (q *queue) rank(now time.Duration, r *policy.Request) {
	if q.ranker != nil {
		q.rankedUntil = min(q.rankedUntil, q.ranker.Rank(now, r))
	}
}

// rerank restores the order after the ranks of the items have changed. It does nothing in between, so that a call is cheap.
func (q *queue) rerank(now time.Duration) {
	if q.ranker == nil || len(q.items) == 0 || now < q.rankedUntil && q.ranker.Changes() == q.rankedChanges {
		return
	}
	q.rankedUntil, q.rankedChanges = math.MaxInt64, q.ranker.Changes()
	for _, r := range q.items {
		q.rank(now, r)
	}
	heap.Init(q)
}

func (q *queue) pop() *policy.Request {
	r := heap.Pop(q).(*policy.Request)
	q.count[priorityLevel(r)]--
	return r
}

func (q *queue) remove(r *policy.Request) bool {
	i := slices.Index(q.items, r)
	if i < 0 {
		return false
	}
	heap.Remove(q, i)
	q.count[priorityLevel(r)]--
	return true
}

// hasRequestBefore reports whether a queued request is ordered before r.
func (q *queue) hasRequestBefore(r *policy.Request) bool {
	return len(q.items) > 0 && !q.before(r, q.items[0])
}

// waitAhead estimates how long r will wait, from the number of queued requests of the same or a higher priority and the
// recent interval between departures.
func (q *queue) waitAhead(r *policy.Request) time.Duration {
	ahead := 0
	for i := 0; i <= priorityLevel(r); i++ {
		ahead += q.count[i]
	}
	return time.Duration(ahead) * q.departureInterval
}

// aheadOf returns the number of queued requests of r's level that come before r, which is not queued. It returns 0 if no
// upstream is limited, since only limitedWait uses it.
func (s *Scheduler) aheadOf(q *queue, r *policy.Request) (n int) {
	if len(s.limits) == 0 {
		return 0
	}
	q.fair.tag(r)
	for _, other := range q.items {
		if other.ShareLevel() == r.ShareLevel() && q.before(other, r) {
			n++
		}
	}
	return n
}

// recordDeparture updates the moving mean of the interval between departures.
func (q *queue) recordDeparture(now time.Duration) {
	const smoothing = 0.1
	gap := now - q.lastDeparture
	q.lastDeparture = now
	q.departureInterval += time.Duration(smoothing * float64(gap-q.departureInterval))
}

func queueKey(r *policy.Request) string {
	if r.Service != "" {
		return "s:" + r.Service
	}
	return "m:" + r.Model
}

func (s *Scheduler) newQueue(key string) *queue {
	return &queue{key: key, less: s.less, ranker: s.ranker, rankedUntil: math.MaxInt64}
}

func (s *Scheduler) queueFor(r *policy.Request) *queue {
	key := queueKey(r)
	q, ok := s.queues[key]
	if !ok {
		q = s.newQueue(key)
		s.queues[key] = q
		at, _ := slices.BinarySearchFunc(s.sortedQueues, key, func(q *queue, k string) int { return strings.Compare(q.key, k) })
		s.sortedQueues = slices.Insert(s.sortedQueues, at, q)
	}
	return q
}

func (s *Scheduler) retryAfter(v policy.QueueView) time.Duration {
	return min(max(v.WaitAhead, 200*time.Millisecond), 10*time.Second)
}

// queueView returns the view of a request before which ahead others of its share level wait.
func (s *Scheduler) queueView(now time.Duration, q *queue, r *policy.Request, ahead int) policy.QueueView {
	return policy.QueueView{
		Len: s.queued, Capacity: s.opts.QueueCapacity, WaitAhead: q.waitAhead(r), LimitedWait: s.limitedWait(now, r, ahead),
		LimitedPatience: q.limitedPatience(now, r),
	}
}

// refuseQueued refuses a request of q for which the admitter has decided so.
func (s *Scheduler) refuseQueued(now time.Duration, q *queue, r *policy.Request, v policy.Verdict, view policy.QueueView) {
	if view.LimitedWait > 0 {
		q.overloadedUntil = now + overloadMemory
	}
	s.refuse(now, r, v.Code, v.RetryAfter)
}

// less orders a queue. Suspects whose answer has begun come first, since each needs an upstream without another suspect
// while its answer is interrupted; the admitter orders all others.
func (s *Scheduler) less(a, b *policy.Request) bool {
	if x, y := answerInterrupted(a), answerInterrupted(b); x != y {
		return x
	}
	return s.opts.Admitter.Less(a, b)
}

func answerInterrupted(r *policy.Request) bool { return r.Suspect && r.Generated > 0 }

// estimate is a moving mean of output tokens or call times.
type estimate struct {
	mean float64
	n    int
	last time.Duration // time of the last sample
}

const (
	defaultOutputTokens = 200 // estimate for a class without a finished request
	minSamples          = 3   // finished requests of a class below which its estimate is a guess
	minSamplesToClip    = 10  // samples from which outliers are clipped
	clipFactor          = 3   // outliers are clipped to this multiple of the mean
)

// estimateTTL is the age from which an estimate counts as a guess again. Otherwise an estimate that is too high could
// get all requests of a class refused for ever, since none would finish to correct it.
const estimateTTL = 10 * time.Second

// expectOutput sets r.ExpectedOutput and r.OutputGuessed.
func (s *Scheduler) expectOutput(now time.Duration, r *policy.Request) {
	v := float64(defaultOutputTokens)
	e, ok := s.outputTokens[r.Class]
	if ok {
		v = e.mean
	}
	r.OutputGuessed = !ok || e.n < minSamples || now-e.last > estimateTTL
	if r.MaxOutput > 0 {
		v = math.Min(v, float64(r.MaxOutput))
	}
	if r.HintOutput > 0 {
		v, r.OutputGuessed = float64(r.HintOutput), false
	}
	r.ExpectedOutput = v
}

func (s *Scheduler) learn(now time.Duration, r *policy.Request) {
	if r.Service != "" {
		s.learnCall(now, r)
		return
	}
	e, ok := s.outputTokens[r.Class]
	if !ok {
		e = &estimate{}
		s.outputTokens[r.Class] = e
	}
	e.add(now, float64(r.Generated))
}

// add updates the mean with a sample: the arithmetic mean at first, an exponential moving mean later. Outliers are
// clipped, because a few jobs run many times longer than the others and the estimate is for ordinary jobs.
func (e *estimate) add(now time.Duration, v float64) {
	const smoothing = 0.05
	if e.n >= minSamplesToClip {
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

// mixWindow is the time constant of the exponential decay.
const mixWindow = 10 * time.Second

func (s *Scheduler) mixMeterFor(model string) *mixMeter {
	m, ok := s.mixMeters[model]
	if !ok {
		m = &mixMeter{}
		s.mixMeters[model] = m
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

func (m *mixMeter) addOffered(now time.Duration, r *policy.Request) {
	m.decay(now)
	m.prefill += r.Work(r.Cached)
	m.decode += r.ExpectedOutput
	m.requests++
}

func (m *mixMeter) addRefused(now time.Duration) {
	m.decay(now)
	m.refusal++
}

// Mix returns the recent load offered to this entry VM for a model.
func (s *Scheduler) Mix(now time.Duration, model string) policy.Mix {
	m := s.mixMeterFor(model)
	m.decay(now)
	w := mixWindow.Seconds()
	mix := policy.Mix{PrefillTokensPerSecond: m.prefill / w, DecodeTokensPerSecond: m.decode / w}
	if m.requests > 0 {
		mix.Refused = math.Min(m.refusal/m.requests, 1)
	}
	return mix
}
