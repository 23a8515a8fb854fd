// Package platform is a stand-in for the platform: its object store, its list of VMs and its weight store.
//
// One Store serves callers in the same process, and over HTTP through Handler. Faults are switched on by SetFaults; every
// random choice comes from the seed in Options.
package platform

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotcroft.example/bergamot/store"
)

// Options configure a Store. Zero rates mean no limit.
type Options struct {
	Rates        store.Rates
	WatchTimeout time.Duration // 0: 5 s
	Clock        store.Clock
	Seed         uint64
	Weights      map[string]Weight // by "model@version"
}

// Weight is a model version in the weight store.
type Weight struct {
	Bytes          int64   `json:"bytes"`
	BytesPerSecond float64 `json:"bytes_per_s"` // rate limit of the weight store for this version
}

// Faults are the present faults of the store. The zero value has none.
type Faults struct {
	Down        bool          // each call fails; a write has no effect
	Delay       time.Duration // before each answer
	LoseAnswers float64       // share of writes whose answer is lost after they took effect
	StaleReads  float64       // share of reads answered from the past
	StaleBy     time.Duration // age of an answer from the past, up to the kept history
	WatchDelay  time.Duration // age that a change must have before a watch delivers it
	WatchGaps   float64       // share of watches that answer that events were dropped
	VMLag       time.Duration // age of the VM list
}

// Counts are the calls that the store has taken.
type Counts struct {
	Reads, Writes, Watches, Refused uint64
	Watching                        int // watches waiting now, each counted as one read a second
}

const (
	defaultWatchTimeout = 5 * time.Second
	maxHistory          = 16   // former versions kept of each object for answers from the past
	maxLog              = 4096 // events kept for watches
	watchPoll           = 10 * time.Millisecond
)

type past[T any] struct {
	at    time.Time
	value T
}

type record struct {
	object  store.Object
	deleted bool
}

type key struct{ kind, name string }

type event struct {
	revision uint64
	at       time.Time
	store.Event
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	opt      Options
	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	objects  map[key][]past[record] // oldest first
	revision uint64
	log      []event
	changed  chan struct{} // closed at the next write
	dropped  uint64        // revision of the newest event that the log has lost
	vms      []past[[]store.VM]
	counts   Counts
	// downloads is when the last download of each version ends.
	downloads map[string]time.Time
	reads     *rate.Limiter
	writes    *rate.Limiter
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(opt Options) *Store {
	if opt.Clock == nil {
		opt.Clock = store.SystemClock{}
	}
	if opt.WatchTimeout <= 0 {
		opt.WatchTimeout = defaultWatchTimeout
	}
	return &Store{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)), objects: map[key][]past[record]{}, changed: make(chan struct{}), downloads: map[string]time.Time{},
		reads: limiter(opt.Rates.Reads), writes: limiter(opt.Rates.Writes),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the present faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// wake ends the wait of all watches, which then look again. It needs s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the VM list.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, past[[]store.VM]{s.opt.Clock.Now(), slices.Clone(vms)})
}

// begin counts a call, takes it out of a rate and applies outage and slowness.
func (s *Store) begin(ctx context.Context, l *rate.Limiter, count *uint64) error {
	s.mu.Lock()
	*count++
	down, delay := s.faults.Down, s.faults.Delay
	now := s.opt.Clock.Now()
	taken := down || l.AllowN(now, 1)
	if !taken {
		s.counts.Refused++
	}
	s.mu.Unlock()
	if !taken {
		return store.ErrRateLimited
	}
	if delay > 0 && s.opt.Clock.Sleep(ctx, delay) != nil {
		return store.ErrUnavailable
	}
	if down {
		return store.ErrUnavailable
	}
	return nil
}

func (s *Store) chance(share float64) bool { return share > 0 && s.rng.Float64() < share }

// asOf returns the state of an object for a read, which under faults may be an old one.
func (s *Store) asOf(k key, stale bool) (record, bool) {
	h := s.objects[k]
	limit := s.opt.Clock.Now()
	if stale {
		limit = limit.Add(-s.faults.StaleBy)
	}
	for _, p := range slices.Backward(h) {
		if !p.at.After(limit) {
			return p.value, !p.value.deleted
		}
	}
	return record{}, false
}

// Get returns an object, or ErrNotFound.
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := s.begin(ctx, s.reads, &s.counts.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.asOf(key{kind, name}, s.chance(s.faults.StaleReads))
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return clone(r.object), nil
}

func clone(o store.Object) store.Object {
	o.Value = slices.Clone(o.Value)
	return o
}

// List returns the objects of a kind whose names begin with prefix.
func (s *Store) List(ctx context.Context, kind, prefix string) ([]store.Object, uint64, error) {
	if err := s.begin(ctx, s.reads, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.chance(s.faults.StaleReads)
	var found []store.Object
	for k := range s.objects {
		if r, ok := s.asOf(k, stale); ok && k.kind == kind && strings.HasPrefix(k.name, prefix) {
			found = append(found, clone(r.object))
		}
	}
	slices.SortFunc(found, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return found, s.revision, nil
}

// Put writes o if the stored version equals o.Version.
func (s *Store) Put(ctx context.Context, o store.Object) (uint64, error) {
	if len(o.Value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if o.Writer == "" {
		o.Writer = store.NewWriterMark("")
	}
	return s.write(ctx, o, false)
}

// Delete removes an object if its version equals version.
func (s *Store) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := s.write(ctx, store.Object{Kind: kind, Name: name, Version: version}, true)
	return err
}

func (s *Store) write(ctx context.Context, o store.Object, remove bool) (uint64, error) {
	if err := s.begin(ctx, s.writes, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	now, _ := s.asOf(k, false)
	if now.deleted {
		now.object.Version = 0
	}
	if now.object.Version != o.Version {
		return 0, store.ErrConflict
	}
	s.apply(k, clone(o), remove)
	if s.chance(s.faults.LoseAnswers) {
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// apply stores a write. Versions are numbered over the whole store, so that a name never sees a version twice.
func (s *Store) apply(k key, o store.Object, remove bool) {
	s.revision++
	o.Version = s.revision
	at := s.opt.Clock.Now()
	h := append(s.objects[k], past[record]{at, record{o, remove}})
	if len(h) > maxHistory {
		h = slices.Delete(h, 0, len(h)-maxHistory)
	}
	s.objects[k] = h
	s.log = append(s.log, event{s.revision, at, store.Event{Object: o, Deleted: remove}})
	s.wake()
	if len(s.log) > maxLog {
		s.dropped = s.log[0].revision
		s.log = slices.Delete(s.log, 0, 1)
	}
}

// Watch waits until objects of a kind have changed after revision from.
func (s *Store) Watch(ctx context.Context, kind string, from uint64) ([]store.Event, uint64, error) {
	if err := s.begin(ctx, s.reads, &s.counts.Watches); err != nil {
		return nil, from, err
	}
	s.waiting(1)
	defer s.waiting(-1)
	end := s.opt.Clock.Now().Add(s.opt.WatchTimeout)
	for {
		events, next, err := s.changes(kind, from)
		if err != nil || len(events) > 0 || !s.opt.Clock.Now().Before(end) {
			return events, next, err
		}
		if s.waitChange(ctx, end) != nil {
			return nil, from, store.ErrUnavailable
		}
	}
}

// waitChange waits for the next write, or for a short time on a clock that only knows sleep and while watches are late.
func (s *Store) waitChange(ctx context.Context, end time.Time) error {
	s.mu.Lock()
	changed, late := s.changed, s.faults.WatchDelay > 0
	s.mu.Unlock()
	if _, ok := s.opt.Clock.(store.SystemClock); !ok || late {
		return s.opt.Clock.Sleep(ctx, watchPoll)
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// waiting takes a waiting watch out of the read rate, one call a second.
func (s *Store) waiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watching += n
	if s.opt.Rates.Reads > 0 {
		left := max(0, s.opt.Rates.Reads-float64(s.counts.Watching))
		s.reads.SetLimitAt(s.opt.Clock.Now(), rate.Limit(left))
	}
}

func (s *Store) changes(kind string, from uint64) ([]store.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down:
		return nil, from, store.ErrUnavailable
	case from < s.dropped:
		return nil, from, store.ErrWatchGap
	}
	seen := s.opt.Clock.Now().Add(-s.faults.WatchDelay)
	var events []store.Event
	next := from
	start, _ := slices.BinarySearchFunc(s.log, from+1, func(e event, r uint64) int { return cmp.Compare(e.revision, r) })
	for _, e := range s.log[start:] {
		if e.at.After(seen) {
			break
		}
		next = e.revision
		if e.Object.Kind == kind {
			events = append(events, store.Event{Object: clone(e.Object), Deleted: e.Deleted})
		}
	}
	if len(events) > 0 && s.chance(s.faults.WatchGaps) {
		return nil, from, store.ErrWatchGap
	}
	return events, next, nil
}

// VMs returns the VM list, which lags by Faults.VMLag.
func (s *Store) VMs(ctx context.Context) ([]store.VM, error) {
	if err := s.begin(ctx, s.reads, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.opt.Clock.Now().Add(-s.faults.VMLag)
	for i, p := range slices.Backward(s.vms) {
		if !p.at.After(limit) || i == 0 {
			return slices.Clone(p.value), nil
		}
	}
	return nil, nil
}

// ErrUnknownWeight is returned for a model version that the weight store does not have.
var ErrUnknownWeight = errors.New("model version not in the weight store")

// Weight returns the size and rate limit of a model version.
func (s *Store) Weight(version string) (Weight, error) {
	w, ok := s.opt.Weights[version]
	if !ok {
		return Weight{}, ErrUnknownWeight
	}
	return w, nil
}

// Download waits as long as the weight store needs to deliver a model version. Downloads of one version share its rate: each
// begins when those before it have ended.
func (s *Store) Download(ctx context.Context, version string) error {
	w, err := s.Weight(version)
	if err != nil || w.BytesPerSecond <= 0 {
		return err
	}
	s.mu.Lock()
	now := s.opt.Clock.Now()
	begin := s.downloads[version]
	if begin.Before(now) {
		begin = now
	}
	end := begin.Add(time.Duration(float64(w.Bytes) / w.BytesPerSecond * float64(time.Second)))
	s.downloads[version] = end
	s.mu.Unlock()
	return s.opt.Clock.Sleep(ctx, end.Sub(now))
}
