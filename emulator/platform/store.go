// Package platform emulates the platform: its object store, its VM list and its weight store.
//
// A Store can be used in the same process, or over HTTP through Handler. SetFaults injects faults; all random choices are drawn
// from the seed in Options.
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

// Options configures a Store. A rate of zero means no limit.
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

// Faults are the faults that the store injects at present. The zero value has none.
type Faults struct {
	Down        bool          // each call fails; a write has no effect
	Delay       time.Duration // before each answer
	LoseAnswers float64       // share of writes whose answer is lost after they took effect
	StaleReads  float64       // share of reads that return an old state
	StaleBy     time.Duration // age of that state, limited by the kept history
	WatchDelay  time.Duration // delay between a change and its delivery by a watch
	WatchGaps   float64       // share of watches with events that fail with ErrWatchGap
	VMLag       time.Duration // age of the VM list
}

// Counts counts the calls to the store.
type Counts struct {
	Reads, Writes, Watches, Refused uint64
	Watching                        int // watches that are waiting now; each uses one read a second of the read rate
}

const (
	defaultWatchTimeout = 5 * time.Second
	maxHistory          = 16                    // versions kept of each object for stale reads
	maxLog              = 4096                  // events kept for watches
	watchPoll           = 10 * time.Millisecond // interval of waitChange where it polls
)

type versionAt[T any] struct {
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

// Store is the emulated platform. It is safe for concurrent use.
type Store struct {
	opt      Options
	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	objects  map[key][]versionAt[record] // oldest first
	revision uint64
	log      []event
	changed  chan struct{} // closed at the next write
	dropped  uint64        // revision of the newest event that was removed from the log
	vms      []versionAt[[]store.VM]
	counts   Counts
	// downloads holds the time at which the last download of each version ends.
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
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed)), objects: map[key][]versionAt[record]{}, changed: make(chan struct{}), downloads: map[string]time.Time{},
		reads: newLimiter(opt.Rates.Reads), writes: newLimiter(opt.Rates.Writes),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// wakeWatches makes all waiting watches check for changes again. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns the number of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the VM list.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, versionAt[[]store.VM]{s.opt.Clock.Now(), slices.Clone(vms)})
}

// admit counts a call, checks it against a rate limit and applies Faults.Down and Faults.Delay.
func (s *Store) admit(ctx context.Context, l *rate.Limiter, count *uint64) error {
	s.mu.Lock()
	*count++
	down, delay := s.faults.Down, s.faults.Delay
	now := s.opt.Clock.Now()
	admitted := down || l.AllowN(now, 1)
	if !admitted {
		s.counts.Refused++
	}
	s.mu.Unlock()
	if !admitted {
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

func (s *Store) occurs(share float64) bool { return share > 0 && s.rng.Float64() < share }

// lookup returns the present state of an object or, for a stale read, its state of Faults.StaleBy ago.
func (s *Store) lookup(k key, stale bool) (record, bool) {
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
	if err := s.admit(ctx, s.reads, &s.counts.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.lookup(key{kind, name}, s.occurs(s.faults.StaleReads))
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
	if err := s.admit(ctx, s.reads, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.occurs(s.faults.StaleReads)
	var objects []store.Object
	for k := range s.objects {
		if r, ok := s.lookup(k, stale); ok && k.kind == kind && strings.HasPrefix(k.name, prefix) {
			objects = append(objects, clone(r.object))
		}
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, s.revision, nil
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
	if err := s.admit(ctx, s.writes, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	current, _ := s.lookup(k, false)
	if current.deleted {
		current.object.Version = 0
	}
	if current.object.Version != o.Version {
		return 0, store.ErrConflict
	}
	s.commit(k, clone(o), remove)
	if s.occurs(s.faults.LoseAnswers) {
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// commit stores a write. Versions are numbered over the whole store, so that an object that is deleted and created again does not
// reuse a version.
func (s *Store) commit(k key, o store.Object, remove bool) {
	s.revision++
	o.Version = s.revision
	at := s.opt.Clock.Now()
	h := append(s.objects[k], versionAt[record]{at, record{o, remove}})
	if len(h) > maxHistory {
		h = slices.Delete(h, 0, len(h)-maxHistory)
	}
	s.objects[k] = h
	s.log = append(s.log, event{s.revision, at, store.Event{Object: o, Deleted: remove}})
	s.wakeWatches()
	if len(s.log) > maxLog {
		s.dropped = s.log[0].revision
		s.log = slices.Delete(s.log, 0, 1)
	}
}

// Watch waits until objects of a kind have changed after revision from.
func (s *Store) Watch(ctx context.Context, kind string, from uint64) ([]store.Event, uint64, error) {
	if err := s.admit(ctx, s.reads, &s.counts.Watches); err != nil {
		return nil, from, err
	}
	s.addWatching(1)
	defer s.addWatching(-1)
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

// waitChange waits for the next write. On a clock other than the system's, which only offers Sleep, and while watches are delayed, it
// sleeps for watchPoll.
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

// addWatching changes the number of waiting watches by n and lowers the read rate by one call a second for each.
func (s *Store) addWatching(n int) {
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
	visibleUntil := s.opt.Clock.Now().Add(-s.faults.WatchDelay)
	var events []store.Event
	next := from
	start, _ := slices.BinarySearchFunc(s.log, from+1, func(e event, r uint64) int { return cmp.Compare(e.revision, r) })
	for _, e := range s.log[start:] {
		if e.at.After(visibleUntil) {
			break
		}
		next = e.revision
		if e.Object.Kind == kind {
			events = append(events, store.Event{Object: clone(e.Object), Deleted: e.Deleted})
		}
	}
	if len(events) > 0 && s.occurs(s.faults.WatchGaps) {
		return nil, from, store.ErrWatchGap
	}
	return events, next, nil
}

// VMs returns the VM list, which lags by Faults.VMLag.
func (s *Store) VMs(ctx context.Context) ([]store.VM, error) {
	if err := s.admit(ctx, s.reads, &s.counts.Reads); err != nil {
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

// Download waits as long as the weight store takes to deliver a model version. Downloads of one version run one after another at
// its rate.
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
