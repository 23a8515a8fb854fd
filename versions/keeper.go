package versions

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/store"
)

// Options configures a Keeper. Store and Rank are required.
type Options struct {
	Store store.Store
	// Rank returns the position of this entry VM among those that may write plans, from 0, or below 0 if it gets plans from
	// another entry VM only.
	Rank func() int
	// OnStart is called with each stream that begins here while versions mix, before its first event. It must not block.
	OnStart func(Start)
	// OnPlans is called with the stored plans whenever they have changed. It must not block.
	OnPlans func(revision uint64, value []byte)
	// InMajority reports whether this entry VM has lost the store and still reaches more than half of the entry VMs; nil: it has
	// not, or does not.
	InMajority func() bool
	// LostWithin reports whether this entry VM has lost another one in this time and does not reach it; nil: it has not.
	LostWithin func(time.Duration) bool
	// Confirmed reports whether all other entry VMs have stated that they have the plans of a revision, or newer ones; nil: they have.
	Confirmed func(revision uint64) bool
	// AwaitEraChange waits until the store has been set back to a copy, as in package quarantine; nil: that does not happen.
	AwaitEraChange func(ctx context.Context, after uint64) (uint64, error)
	Clock          store.Clock
	Log            *zap.Logger
}

// Service is what a Keeper has to know of a service with resumable streams.
type Service struct {
	// Serving is the number of upstreams that begin streams, by version; those that state no version are left out.
	Serving map[string]int
	// Unversioned is the number of upstreams that begin streams and state no version.
	Unversioned int
	// Lifetime is how long after its beginning a stream can be taken up, as far as the configuration tells.
	Lifetime time.Duration
}

const (
	// planWait bounds how long a new stream waits for a plan that has a version for it. A plan is written within two answers of
	// the store, usually 10 ms.
	planWait = 200 * time.Millisecond
	// firstPlanWait is planWait before any plan is known, as in a fleet that starts.
	firstPlanWait = 1500 * time.Millisecond
	// contactTTL is how long an entry VM takes streams up by its plans after the store, or a peer that reaches it, last answered.
	// The store answers a watch every two seconds.
	contactTTL = 4 * time.Second
	// confirmationWait is how long streams begin by the plan before a new one while an entry VM has not confirmed the new one. After
	// that it takes no stream up by the plan before: it has not been in contact for contactTTL, or has read the new one.
	confirmationWait = contactTTL + time.Second
	// suspendedTime is the time without a tick from which this process counts as suspended. What it reads afterwards may have been sent
	// before, so it relies on its plans only once it has read them again.
	suspendedTime = time.Second
	tickInterval  = 100 * time.Millisecond
	// cutOffTTL is how long it begins streams by them. The others keep a plan that was replaced for as long while they don't
	// reach an entry VM that they have lost, since that one may still begin streams by it.
	cutOffTTL = 30 * time.Second
	// lifetimeMargin is added to the lifetime of streams, for entry VMs that learn of a plan late. Within it the membership finds
	// out which can't be reached.
	lifetimeMargin = 5 * time.Second
	// maxLifetime bounds the lifetime that deadlines of callers ask for.
	maxLifetime = 30 * time.Second
	retryLater  = 100 * time.Millisecond // for callers, while a plan is being written
)

var (
	continuedKnown   = metrics.NewCounter(`bergamot_streams_taken_up_total{how="beginning known"}`)
	continuedPlanned = metrics.NewCounter(`bergamot_streams_taken_up_total{how="by plan"}`)
	refusedTakeUps   = metrics.NewCounter(`bergamot_streams_taken_up_total{how="refused"}`)
	plansWritten     = metrics.NewCounter("bergamot_stream_plans_written_total")
)

// Keeper holds the plans and the beginnings of streams of one entry VM.
type Keeper struct {
	opts Options
	wake chan struct{}

	mu       sync.Mutex
	changed  chan struct{} // closed when plans or services change
	services map[string]*serviceState
	started  beginnings
	lifetime time.Duration // longest deadline of a caller, at most maxLifetime
	known    bool          // the stored plans have been read, written or received
	revision uint64        // of the stored plans, 0 if there are none
	newest   uint64        // highest revision that an entry VM has stated
	// unsureUntil is the time until which plans may have been in force that the store has lost.
	unsureUntil time.Time
	contactAt   time.Time // last answer of the store, or of a peer that reaches it
	tickedAt    time.Time // last tick of Run; zero before the first
	suspended   bool      // this process was suspended and has not read the plans since

	objectVersion uint64 // of the stored object, 0 if there is none; used by Run only
}

// serviceState is what is known of one service.
type serviceState struct {
	Service
	current Plan
	// earlier are the plans before current by which streams may still begin here, oldest first.
	earlier []earlierPlan
	past    []pastPlan // plans by which streams may have begun that can still be taken up
	stored  []Plan     // as in the store, the current one last
	joined  map[string]time.Time
	dirty   bool // its upstreams have changed since Run looked at it
	// changedAt is when Run last saw a change of the upstreams.
	changedAt time.Time
}

type pastPlan struct {
	plan       Plan
	until      time.Time // no stream that began by it can be taken up later
	replacedAt time.Time // or when this entry VM learned of it
}

// earlierPlan is a plan that streams begin by until the next one is confirmed or has been known for confirmationWait.
type earlierPlan struct {
	plan         Plan
	nextRevision uint64 // revision of the next one
	nextSince    time.Time
}

// New returns a Keeper without plans.
func New(o Options) *Keeper {
	if o.OnStart == nil {
		o.OnStart = func(Start) {}
	}
	if o.OnPlans == nil {
		o.OnPlans = func(uint64, []byte) {}
	}
	if o.InMajority == nil {
		o.InMajority = func() bool { return false }
	}
	if o.LostWithin == nil {
		o.LostWithin = func(time.Duration) bool { return false }
	}
	if o.Confirmed == nil {
		o.Confirmed = func(uint64) bool { return true }
	}
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Keeper{opts: o, wake: make(chan struct{}, 1), changed: make(chan struct{}), services: map[string]*serviceState{}}
}

// SetServices replaces what is known of the services with resumable streams.
func (k *Keeper) SetServices(services map[string]Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, s := range k.services {
		if _, ok := services[name]; !ok {
			s.Service = Service{Lifetime: s.Lifetime}
		}
	}
	for name, v := range services {
		s := k.service(name)
		if !sameServing(s.Service, v) {
			s.dirty = true
		}
		s.Service = v
	}
	k.notify()
}

func (k *Keeper) service(name string) *serviceState {
	s := k.services[name]
	if s == nil {
		s = &serviceState{joined: map[string]time.Time{}}
		k.services[name] = s
	}
	return s
}

func sameServing(a, b Service) bool {
	return a.Unversioned == b.Unversioned && maps.Equal(a.Serving, b.Serving)
}

// notify wakes the streams that wait for a plan, and Run. The lock is held.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
	k.trigger()
}

func (k *Keeper) trigger() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// beginVersion returns the version at which a stream begins now: that of the newest plan that no entry VM can be without, or, if
// it is not served, that of the newest plan. The lock is held.
func (k *Keeper) beginVersion(now time.Time, s *serviceState, stream StreamID) string {
	s.earlier = k.unconfirmed(now, s.earlier)
	return s.pick(s.earlier, stream)
}

// unconfirmed returns those of the earlier plans whose next one an entry VM can still be without. The lock is held.
func (k *Keeper) unconfirmed(now time.Time, earlier []earlierPlan) []earlierPlan {
	for len(earlier) > 0 && (now.Sub(earlier[0].nextSince) >= confirmationWait || k.opts.Confirmed(earlier[0].nextRevision)) {
		earlier = earlier[1:]
	}
	return earlier
}

func (s *serviceState) pick(earlier []earlierPlan, stream StreamID) string {
	if len(earlier) > 0 {
		if version := earlier[0].plan.Pick(stream); s.Serving[version] > 0 {
			return version
		}
	}
	return s.current.Pick(stream)
}

// lifetimeOf returns how long a stream of the service can be taken up. The lock is held.
func (k *Keeper) lifetimeOf(s *serviceState) time.Duration {
	return max(s.Lifetime, k.lifetime) + lifetimeMargin
}

// NoteContact records an answer of the store, or of a peer that reaches it.
func (k *Keeper) NoteContact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.contactAt = k.opts.Clock.Now()
}

// inContact reports whether this entry VM would have learned of plans that are older than ttl. One that is cut off from the store
// and from most entry VMs would not. The lock is held.
func (k *Keeper) inContact(now time.Time, ttl time.Duration) bool {
	return now.Sub(k.contactAt) <= ttl || k.opts.InMajority()
}

// keepPastPlans keeps the plans that were replaced while an entry VM that can't be reached may begin streams by them.
func (k *Keeper) keepPastPlans() {
	if !k.opts.LostWithin(cutOffTTL) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	for _, s := range k.services {
		for i, p := range s.past {
			last := p.replacedAt.Add(cutOffTTL)
			if now.Before(last) {
				last = now
			}
			if until := last.Add(k.lifetimeOf(s)); until.After(p.until) && !p.until.Before(now) {
				s.past[i].until = until
			}
		}
	}
}

// awaitChange waits until changed is closed or d has passed. It returns false if ctx has ended.
func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Began records that a stream has begun at a version, before its first event is passed on, and tells the other entry VMs while
// versions mix.
func (k *Keeper) Began(service string, stream StreamID, version string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	s := k.service(service)
	start := Start{stream, VersionHash(version)}
	k.started.add(now, start, k.lifetimeOf(s))
	if s.mixes(now) {
		k.opts.OnStart(start)
	}
}

// mixes reports whether streams of several versions can be taken up now.
func (s *serviceState) mixes(now time.Time) bool {
	return len(s.current) != 1 || len(s.Serving) != 1 || s.Unversioned > 0 ||
		slices.ContainsFunc(s.past, func(p pastPlan) bool { return !p.until.Before(now) })
}

// Receive records a stream that has begun at another entry VM.
func (k *Keeper) Receive(s Start) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started.add(k.opts.Clock.Now(), s, k.longestLifetime())
}

// longestLifetime returns how long a stream of any service can be taken up. The lock is held.
func (k *Keeper) longestLifetime() time.Duration {
	longest := k.lifetime + lifetimeMargin
	for _, s := range k.services {
		longest = max(longest, k.lifetimeOf(s))
	}
	return longest
}

// Revision returns the revision of the plans for the other entry VMs, or 0 while all streams have one version, so that they need
// not know.
func (k *Keeper) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	for _, s := range k.services {
		if len(s.current) > 0 && s.mixes(now) {
			return k.revision
		}
	}
	return 0
}

// NoteRevision records that another entry VM has plans of this revision. Older ones are not relied on until they are read again.
func (k *Keeper) NoteRevision(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision > k.newest {
		k.newest = revision
		k.trigger()
	}
}

// storedPlans is the stored form of all plans.
type storedPlans struct {
	Services map[string][]Plan `json:"services"` // the one in force last, before it those by which streams may have begun
}

// Bounds of what another writer may have stored.
const (
	maxPlans    = 32 // of one service
	maxVersions = 16 // of one plan
	maxServices = 64
)

// valid reports whether stored plans are within the bounds.
func (p *storedPlans) valid() bool {
	if len(p.Services) > maxServices {
		return false
	}
	for _, list := range p.Services {
		if len(list) == 0 || len(list) > maxPlans {
			return false
		}
		for _, plan := range list {
			if len(plan) == 0 || len(plan) > maxVersions {
				return false
			}
			for _, s := range plan {
				if s.Version == "" || s.Weight < 1 || s.Weight > shareUnits {
					return false
				}
			}
		}
	}
	return true
}

// Adopt puts stored plans in force unless newer ones are known. Streams that began by the plans before can still be taken up.
func (k *Keeper) Adopt(revision uint64, value []byte, from string) {
	var stored storedPlans
	if err := json.Unmarshal(value, &stored); err != nil || !stored.valid() {
		k.opts.Log.Warn("stored plans for versions are unreadable", zap.String("from", from), zap.Uint64("revision", revision), zap.Error(err))
		stored.Services = nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && revision <= k.revision {
		return
	}
	now := k.opts.Clock.Now()
	restored := store.EraOf(revision) > store.EraOf(k.revision) && store.EraOf(revision) > firstEra
	if restored {
		k.unsureUntil = now.Add(k.longestLifetime())
	}
	k.known, k.revision, k.newest = true, revision, max(k.newest, revision)
	for name, list := range stored.Services {
		s := k.service(name)
		k.adoptService(now, s, list, restored)
		k.opts.Log.Info("versions of streams", zap.String("service", name), zap.Stringer("plan", s.current), zap.Int("earlier", len(list)-1), zap.Uint64("revision", revision), zap.String("from", from))
	}
	for name, s := range k.services {
		if _, ok := stored.Services[name]; !ok {
			s.stored = nil // lost by the store; written again
		}
	}
	k.notify()
	k.opts.OnPlans(revision, value)
}

// firstEra is the era of a store that was never set back to a copy.
const firstEra = 1

// adoptService applies the stored plans of one service. The plan in force until now is kept as an earlier one, unless the list
// shows that no stream can have begun by it lately; that of a restored store doesn't. The lock is held.
func (k *Keeper) adoptService(now time.Time, s *serviceState, list []Plan, restored bool) {
	until := now.Add(confirmationWait + k.lifetimeOf(s)) // streams begin by it until the new one is confirmed
	for _, p := range list[:len(list)-1] {
		if !slices.ContainsFunc(s.past, func(x pastPlan) bool { return slices.Equal(x.plan, p) }) {
			s.past = append(s.past, pastPlan{p, until, now})
		}
	}
	last := list[len(list)-1]
	listed := slices.ContainsFunc(list, func(p Plan) bool { return slices.Equal(p, s.current) })
	if len(s.current) > 0 && !slices.Equal(s.current, last) && (listed || restored) {
		s.past = slices.DeleteFunc(s.past, func(x pastPlan) bool { return slices.Equal(x.plan, s.current) })
		s.past = append(s.past, pastPlan{s.current, until, now})
	}
	if before := s.previous(list); len(before) > 0 && !slices.Equal(before, last) {
		s.earlier = append(s.earlier, earlierPlan{before, k.revision, now})
		if len(s.earlier) > maxPlans {
			s.earlier = s.earlier[1:]
		}
	}
	before := s.current
	if len(before) == 0 { // what joined before this process started
		before = list[0]
	}
	for _, share := range last {
		if before.weight(share.Version) == 0 {
			s.joined[share.Version] = now
		}
	}
	for v := range s.joined {
		if last.weight(v) == 0 {
			delete(s.joined, v)
		}
	}
	s.current, s.stored = last, list
}

// previous returns the plan before the last one of a stored list, or nil: the one in force here, or the one before it in the list if
// this process has just started. The lock is held.
func (s *serviceState) previous(list []Plan) Plan {
	switch {
	case len(s.current) > 0:
		return s.current
	case len(list) > 1:
		return list[len(list)-2]
	}
	return nil
}

// tick records that this process runs. After a suspension the plans are read again. The time of the clock goes on in a suspension.
func (k *Keeper) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock.Now()
	if !k.tickedAt.IsZero() && now.Sub(k.tickedAt) > suspendedTime {
		k.opts.Log.Info("suspended; reading the plans for versions again", zap.Duration("time", now.Sub(k.tickedAt)))
		k.suspended = true
		k.trigger()
	}
	k.tickedAt = now
}

// unread reports whether the stored plans, or newer ones that a VM has stated, have not been read. The lock is held.
func (k *Keeper) unread() bool { return !k.known || k.newest > k.revision }

// mayBeOutdated reports whether newer plans may exist that have not been read. The lock is held.
func (k *Keeper) mayBeOutdated(now time.Time) bool {
	return k.unread() || k.suspended || !k.tickedAt.IsZero() && now.Sub(k.tickedAt) > suspendedTime
}
