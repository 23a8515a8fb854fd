package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/topo"
)

// An upstream may limit the requests per second that it takes from all entry VMs together. While it does, each request
// to it needs a permit. Package permits distributes the permits among the entry VMs by the demand that LimitDemands
// reports. An unused permit expires, so that permits do not accumulate to a burst.

const (
	// minLimit is the rate in requests per second at which limited upstreams are asked at least, since only an answer
	// shows the end of a limit.
	minLimit = 0.5
	// maxLimit bounds a limit, so that sums of limits do not overflow.
	maxLimit = 1e6
	// permitLifetime is the time from the receipt of a permit until it expires.
	permitLifetime = time.Second
	// endedLimitLifetime is how long the end of a limit is remembered, so that an older report of the limit has no
	// effect.
	endedLimitLifetime = 10 * time.Second
	// backlogLifetime is how long a report of the requests waiting at all entry VMs is used.
	backlogLifetime = time.Second
	// reviewInterval is the time between two reviews of the requests that wait for limited upstreams only.
	reviewInterval = 100 * time.Millisecond
	// demandWindow is the time constant of the decaying count of requests that would have taken a permit.
	demandWindow = time.Second
	// minWanted is the count below which no permit is asked for in advance.
	minWanted = 0.2
)

// Limit is the last known statement of an upstream about its limit.
type Limit struct {
	Named      bool
	PerSecond  float64       // if Named
	ObservedAt time.Duration // when an entry VM received the answer
}

// LimitBacklog is the demand of all entry VMs for the permits of one upstream.
type LimitBacklog struct {
	Waiting [policy.Priorities]int // waiting requests by priority
	VMs     int                    // entry VMs with waiting requests
}

// LimitDemand is the demand of this entry VM for the permits of one upstream.
type LimitDemand struct {
	Upstream uint64 // hash of its name
	Name     string
	Limit    Limit
	Answered bool                   // this entry VM has received the answer that stated Limit
	Waiting  [policy.Priorities]int // waiting requests that it could serve, by priority
	Ahead    int                    // permits that further requests are expected to use
	Returned int                    // permits that have expired unused since the last call
}

// limitState is the state of an upstream with a limit, or whose limit has ended lately.
type limitState struct {
	upstream  *policy.Upstream
	limit     Limit
	answered  bool          // the statement came with an answer to this entry VM
	permits   []permitBatch // oldest first
	returned  int
	wanted    float64 // decaying count of requests that used a permit, or would have if one had been at hand
	wantedAt  time.Duration
	backlog   LimitBacklog
	backlogAt time.Duration // 0: none received
}

type permitBatch struct {
	n       int
	expires time.Duration
}

// AnswerLimit records what an answer states about its upstream's limit. An answer that names none ends the limit only if its
// request was sent after the last answer with a limit, since answers may overtake each other.
func (s *Scheduler) AnswerLimit(now time.Duration, name string, named bool, perSecond float64, sentAt time.Duration) {
	i, ok := s.byName[name]
	if !ok {
		return
	}
	u := s.fleet.Upstreams[i]
	st := s.limits[u.Hash]
	if !named && (st == nil || !st.limit.Named || sentAt <= st.limit.ObservedAt) {
		return
	}
	s.setLimit(now, u, Limit{Named: named, PerSecond: perSecond, ObservedAt: now})
	s.limits[u.Hash].answered = true
}

// LearnLimit records what another entry VM knows about an upstream's limit, unless this one knows something newer.
func (s *Scheduler) LearnLimit(now time.Duration, upstream uint64, l Limit) {
	var u *policy.Upstream
	if st := s.limits[upstream]; st != nil {
		if u = st.upstream; l.ObservedAt <= st.limit.ObservedAt {
			return
		}
	} else if u = s.upstreamByHash(upstream); u == nil || !l.Named {
		return
	}
	s.setLimit(now, u, l)
	s.limits[upstream].answered = false
}

func (s *Scheduler) upstreamByHash(hash uint64) *policy.Upstream {
	i := slices.IndexFunc(s.fleet.Upstreams, func(u *policy.Upstream) bool {
		return u.Hash == hash && u.Spec.State != topo.UpstreamWithdrawn
	})
	if i < 0 {
		return nil
	}
	return s.fleet.Upstreams[i]
}

func (s *Scheduler) setLimit(now time.Duration, u *policy.Upstream, l Limit) {
	st := s.limits[u.Hash]
	if st == nil {
		st = &limitState{upstream: u}
		s.limits[u.Hash] = st
	}
	l.PerSecond = min(max(l.PerSecond, minLimit), maxLimit)
	if l.Named && (!u.Limited || l.PerSecond < u.Limit) {
		s.capacityLost = true
	}
	if u.Limited && !l.Named {
		st.permits, u.Permits = nil, 0
		s.rampUp(now, u)
	}
	u.Limited, u.Limit, st.limit = l.Named, l.PerSecond, l
}

// Limited reports whether any upstream is limited.
func (s *Scheduler) Limited() bool {
	for _, st := range s.limits {
		if st.limit.Named {
			return true
		}
	}
	return false
}

// GrantPermits adds n permits for a limited upstream.
func (s *Scheduler) GrantPermits(now time.Duration, upstream uint64, n int) {
	if st := s.limits[upstream]; st != nil && st.limit.Named && n > 0 {
		st.add(n, now+permitLifetime)
	}
}

// SetLimitBacklog records the demand of all entry VMs for the permits of an upstream.
func (s *Scheduler) SetLimitBacklog(now time.Duration, upstream uint64, b LimitBacklog) {
	if st := s.limits[upstream]; st != nil {
		st.backlog, st.backlogAt = b, max(now, 1)
	}
}

// LimitDemands returns the demand for permits of each upstream with a limit, and of those whose limit has ended lately.
func (s *Scheduler) LimitDemands(now time.Duration) []LimitDemand {
	s.expirePermits(now)
	out := make([]LimitDemand, 0, len(s.limits))
	for hash, st := range s.limits {
		d := LimitDemand{Upstream: hash, Name: st.upstream.Spec.Name, Limit: st.limit, Answered: st.answered, Returned: st.returned}
		st.returned = 0
		if st.limit.Named && st.upstream.Accepting {
			s.addWaiting(&d, st.upstream)
			// A permit in advance for each request that is expected while a permit lasts.
			if wanted := st.wantedNow(now); wanted >= minWanted {
				ahead := math.Ceil(wanted * permitLifetime.Seconds() / demandWindow.Seconds())
				d.Ahead = max(int(ahead)-st.upstream.Permits, 0)
			}
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b LimitDemand) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// addWaiting adds the queued requests that u could serve to d.
func (s *Scheduler) addWaiting(d *LimitDemand, u *policy.Upstream) {
	keys := make([]string, 0, len(u.Spec.Models)+1)
	for _, m := range u.Spec.Models {
		keys = append(keys, "m:"+m)
	}
	if u.Spec.Service != "" {
		keys = append(keys, "s:"+u.Spec.Service)
	}
	for _, key := range keys {
		if q := s.queues[key]; q != nil {
			for i, n := range q.count {
				d.Waiting[i] += n
			}
		}
	}
}

func (st *limitState) add(n int, expires time.Duration) {
	st.permits = append(st.permits, permitBatch{n, expires})
	st.upstream.Permits += n
}

// take uses one permit, the oldest.
func (st *limitState) take() {
	if st.upstream.Permits == 0 {
		return
	}
	st.upstream.Permits--
	if st.permits[0].n--; st.permits[0].n == 0 {
		st.permits = st.permits[1:]
	}
}

func (st *limitState) wantedNow(now time.Duration) float64 {
	return st.wanted * math.Exp(-float64(now-st.wantedAt)/float64(demandWindow))
}

func (st *limitState) recordWanted(now time.Duration) {
	st.wanted, st.wantedAt = st.wantedNow(now)+1, now
}

// expirePermits removes the permits that have expired, and the states of upstreams that are gone or no longer limited.
func (s *Scheduler) expirePermits(now time.Duration) {
	for hash, st := range s.limits {
		u := st.upstream
		if s.fleet.Upstreams[u.Index] != u || s.byName[u.Spec.Name] != u.Index || u.Spec.State == topo.UpstreamWithdrawn ||
			!st.limit.Named && now-st.limit.ObservedAt > endedLimitLifetime {
			u.Limited, u.Permits = false, 0
			delete(s.limits, hash)
			continue
		}
		for len(st.permits) > 0 && st.permits[0].expires <= now {
			st.returned += st.permits[0].n
			u.Permits -= st.permits[0].n
			st.permits = st.permits[1:]
		}
	}
}

// usePermits uses a permit for each limited upstream of an attempt.
func (s *Scheduler) usePermits(now time.Duration, r *policy.Request, a attempt) {
	s.usePermit(now, a.prefill)
	r.DecodePermit = a.decode != a.prefill && s.usePermit(now, a.decode)
}

// usePermit uses a permit of upstream i and reports whether it is limited.
func (s *Scheduler) usePermit(now time.Duration, i int) bool {
	u := s.fleet.Upstreams[i]
	if u.Limited {
		st := s.limits[u.Hash]
		st.take()
		st.recordWanted(now)
	}
	return u.Limited
}

// releaseDecodePermit makes the permit that is reserved for r's decoder available, for the choice of a decoder now. If it
// is not used then, it expires.
func (s *Scheduler) releaseDecodePermit(now time.Duration, r *policy.Request) {
	if !r.DecodePermit {
		return
	}
	r.DecodePermit = false
	u := s.fleet.Upstreams[r.Decode]
	if st := s.limits[u.Hash]; st != nil && u.Limited {
		st.permits = slices.Insert(st.permits, 0, permitBatch{1, now})
		u.Permits++
	}
}

// recordMissed counts a request that would have gone to a limited upstream if a permit had been at hand.
func (s *Scheduler) recordMissed(now time.Duration, c policy.Choice) {
	if c.WithPermit == nil {
		return
	}
	if st := s.limits[c.WithPermit.Hash]; st != nil {
		st.recordWanted(now)
	}
}

// limitedWait returns the expected time until it is r's turn if all upstreams that accept r are limited, otherwise 0. ahead
// is the number of requests of r's priority that wait before it at this entry VM.
//
// Permits go to the most urgent requests of all entry VMs and, among those, to the entry VMs in turn.
func (s *Scheduler) limitedWait(now time.Duration, q *queue, r *policy.Request, ahead int) time.Duration {
	if len(s.limits) == 0 {
		return 0
	}
	rate, ok := s.fleet.LimitedRate(r)
	if !ok {
		return 0
	}
	b := s.newestBacklog(now, r)
	level := priorityLevel(r)
	moreUrgent := 0
	for i := range level {
		moreUrgent += max(b.Waiting[i], q.count[i])
	}
	own, all := q.count[level], b.Waiting[level]
	before := ahead
	if own > 0 && all > own {
		before = ahead * all / own
	} else if own == 0 {
		before = all
	}
	before = min(before, ahead*max(b.VMs, 1)+max(b.VMs-1, 0))
	return seconds(float64(moreUrgent+before+1) / rate)
}

// newestBacklog returns the newest backlog of the limited upstreams that accept r.
func (s *Scheduler) newestBacklog(now time.Duration, r *policy.Request) LimitBacklog {
	var newest limitState
	for _, i := range s.fleet.Candidates(r) {
		if st := s.limits[s.fleet.Upstreams[i].Hash]; st != nil && st.backlogAt > newest.backlogAt && now-st.backlogAt <= backlogLifetime {
			newest = *st
		}
	}
	return newest.backlog
}

// reviewDue reports whether the requests that wait for limited upstreams only have to be reviewed.
func (s *Scheduler) reviewDue(now time.Duration) bool {
	if len(s.limits) == 0 || now < s.nextReview {
		return false
	}
	s.nextReview = now + reviewInterval
	return true
}
