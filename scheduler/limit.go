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
	// sameLimit is the relative difference up to which two limits are the same; messages round them.
	sameLimit = 1e-4
	// permitLifetime is the time from the receipt of a permit until it expires.
	permitLifetime = time.Second
	// endedLimitLifetime is how long the end of a limit is remembered, so that an older report of the limit has no
	// effect.
	endedLimitLifetime = 10 * time.Second
	// backlogLifetime is how long a report of the requests waiting at all entry VMs is used.
	backlogLifetime = time.Second
	// reviewInterval is the time between two reviews of the requests that wait for limited upstreams only.
	reviewInterval = 50 * time.Millisecond
	// settlingTime is the time after its arrival in which a request may still be refused for a long wait. It covers the answers
	// of the permit allocators, which tell the turn of this entry VM.
	settlingTime = 150 * time.Millisecond
	// demandWindow is the time constant of the decaying count of requests that would have taken a permit.
	demandWindow = time.Second
	// confirmInterval is the age of a limit from which a request is sent there to learn whether it still holds.
	confirmInterval = time.Second
	// minWanted is the count below which no permit is asked for in advance.
	minWanted = 0.2
)

// Limit is the last known statement of an upstream about its limit.
type Limit struct {
	Named      bool
	PerSecond  float64       // if Named
	ObservedAt time.Duration // when an entry VM received the answer
	Firsthand  bool          // the entry VM that states it has received the answer itself
}

// LimitBacklog is the demand of all entry VMs for the permits of one upstream, by share level.
type LimitBacklog struct {
	VMs  [policy.ShareLevels]int // entry VMs with waiting requests
	Turn [policy.ShareLevels]int // of these, those that get a permit before this one does
}

// LimitDemand is the demand of this entry VM for the permits of one upstream.
type LimitDemand struct {
	Upstream uint64 // hash of its name
	Name     string
	Limit    Limit
	Waiting  [policy.ShareLevels]int // waiting requests that it could serve, by share level
	Ahead    int                     // permits that further requests are expected to use
	Returned int                     // permits that have expired unused since the last call
}

// limitState is the state of an upstream with a limit, or whose limit has ended lately.
type limitState struct {
	upstream  *policy.Upstream
	limit     Limit
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
	s.setLimit(now, u, Limit{Named: named, PerSecond: perSecond, ObservedAt: now, Firsthand: true})
}

// LearnLimit records what another entry VM knows about an upstream's limit, unless this one knows something newer.
func (s *Scheduler) LearnLimit(now time.Duration, upstream uint64, l Limit) {
	var u *policy.Upstream
	if st := s.limits[upstream]; st != nil {
		// A statement that is passed on from VM to VM must not become newer on the way.
		same := !l.Firsthand && l.Named == st.limit.Named && math.Abs(l.PerSecond-st.limit.PerSecond) <= sameLimit*st.limit.PerSecond
		if u = st.upstream; l.ObservedAt <= st.limit.ObservedAt || same {
			return
		}
	} else if u = s.upstreamByHash(upstream); u == nil || !l.Named || now-l.ObservedAt > endedLimitLifetime {
		return // unknown, or its end may have been forgotten
	}
	l.Firsthand = false
	s.setLimit(now, u, l)
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
	u.Limited, u.Limit, u.LimitUnconfirmed, st.limit = l.Named, l.PerSecond, false, l
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
		d := LimitDemand{Upstream: hash, Name: st.upstream.Spec.Name, Limit: st.limit, Returned: st.returned}
		st.returned = 0
		if st.limit.Named && st.upstream.Accepting {
			d.Waiting = s.waitingFor(st.upstream)
			// A permit in advance for each request that is expected while a permit lasts.
			if wanted := st.wantedNow(now); wanted >= minWanted {
				ahead := math.Ceil(wanted * permitLifetime.Seconds() / demandWindow.Seconds())
				d.Ahead = max(int(ahead)-st.upstream.Permits, 0)
			}
			st.upstream.LimitUnconfirmed = now-st.limit.ObservedAt >= confirmInterval
			if st.upstream.LimitUnconfirmed && st.upstream.Permits == 0 {
				d.Ahead = max(d.Ahead, 1)
			}
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b LimitDemand) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// waitingFor returns the queued requests that u could serve, by share level.
func (s *Scheduler) waitingFor(u *policy.Upstream) (n [policy.ShareLevels]int) {
	count := func(key string) {
		if q := s.queues[key]; q != nil {
			for _, r := range q.items {
				n[r.ShareLevel()]++
			}
		}
	}
	if u.Spec.Service != "" {
		count("s:" + u.Spec.Service)
	}
	for _, m := range u.Spec.Models {
		count("m:" + m)
	}
	return n
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
			u.Limited, u.LimitUnconfirmed, u.Permits = false, false, 0
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

// retakeDecodePermit takes back a permit that releaseDecodePermit has just made available.
func (s *Scheduler) retakeDecodePermit(r *policy.Request) {
	u := s.fleet.Upstreams[r.Decode]
	if st := s.limits[u.Hash]; st != nil && u.Limited {
		st.take()
		r.DecodePermit = true
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
// is the number of requests of r's level that wait before it at this entry VM. At each upstream, the levels share the permits
// by weight, and the entry VMs with requests of a level get them in turn.
func (s *Scheduler) limitedWait(now time.Duration, r *policy.Request, ahead int) time.Duration {
	if len(s.limits) == 0 {
		return 0
	}
	if _, ok := s.fleet.LimitedRate(r); !ok {
		return 0
	}
	level := r.ShareLevel()
	first, later := math.Inf(1), 0.0 // seconds to this VM's first turn, and its turns per second
	for _, i := range s.fleet.Candidates(r) {
		u := s.fleet.Upstreams[i]
		if !u.Accepting || !u.Limited || u.Role == topo.RolePrefill {
			continue
		}
		var b LimitBacklog
		if st := s.limits[u.Hash]; st.backlogAt > 0 && now-st.backlogAt <= backlogLifetime {
			b = st.backlog
		}
		weights := 0.0
		for l, vms := range b.VMs {
			if vms > 0 || l == level {
				weights += policy.ShareWeight(l)
			}
		}
		rate := u.Limit * policy.ShareWeight(level) / weights
		first = min(first, float64(b.Turn[level]+1)/rate)
		later += rate / float64(max(b.VMs[level], 1))
	}
	return seconds(first + float64(ahead)/later)
}

const (
	// transientWait is the expected time until its turn with which a request is queued for limited upstreams even if it then
	// misses its target: a short burst is served late rather than refused.
	transientWait = time.Second
	// overloadMemory is how long after a refusal the upstreams' limits count as overloaded. Requests that would miss their
	// target are refused then, as they would only make later ones miss theirs.
	overloadMemory = 2 * time.Second
)

// limitedPatience returns the longest expected time until its turn with which r may wait for limited upstreams.
func (q *queue) limitedPatience(now time.Duration, r *policy.Request) time.Duration {
	switch {
	case r.FirstTokenTarget == 0 || now-r.Arrival > settlingTime:
		return math.MaxInt64
	case now < q.overloadedUntil:
		return r.FirstTokenTarget - now
	default:
		return max(r.FirstTokenTarget-now, transientWait)
	}
}

// reviewDue reports whether the requests that wait for limited upstreams only have to be reviewed.
func (s *Scheduler) reviewDue(now time.Duration) bool {
	if len(s.limits) == 0 || now < s.nextReview {
		return false
	}
	s.nextReview = now + reviewInterval
	return true
}
