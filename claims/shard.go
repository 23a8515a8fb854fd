package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Bounds of the stored objects.
const (
	// headBytes seals a head. Each write sends the whole head, so it stays well below the store's limit of 1 MB.
	headBytes = 128 << 10
	// bucketTime seals a head by age, so that whole objects can be dropped after the retention.
	bucketTime = time.Hour
	// writeTries bounds the writes of a batch that loses races against other writers.
	writeTries = 6
)

// shardState is this VM's copy of one shard. Its user serialises the calls.
type shardState struct {
	name      string
	store     store.Store
	now       func() time.Time
	retention time.Duration
	unchecked bool // tests only: writes without the version condition, to show that the checks notice

	loaded   bool
	version  uint64
	readAt   time.Time // by the monotonic clock, after the answer that brought this version
	head     head
	index    map[string]int
	archives map[string]*sealed
	indexes  map[string]*folded
	orphans  []orphan
	deleted  map[string]bool // garbage that this VM has deleted and the head still names
	foldAt   int             // archives in the head that lead to a fold; 0: foldAt
	writes   int             // for measurement
}

// process applies a batch and returns an outcome for each op. A begin is granted only if its entry is known to be in the
// store.
func (s *shardState) process(ctx context.Context, ops []op) []outcome {
	maybe := false
	for try := 0; ; try++ {
		err := s.load(ctx)
		if errors.Is(err, store.ErrRateLimited) && try+1 < writeTries {
			pauseFor(try)
			continue
		}
		if err != nil {
			return failed(ops, err, maybe)
		}
		next := s.head.clone()
		next.ElapsedMS += s.now().Sub(s.readAt).Milliseconds()
		results, changed, err := s.applyAll(ctx, &next, ops)
		if err != nil {
			return failed(ops, err, maybe)
		}
		if !changed {
			return results
		}
		err = s.write(ctx, next)
		switch {
		case err == nil:
			return results
		case errors.Is(err, store.ErrConflict):
			s.loaded = false
		case errors.Is(err, store.ErrRateLimited) && try+1 < writeTries:
			pauseFor(try)
		case errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrUnavailable):
			return s.refuseWrites(results, ops, err, maybe)
		default: // the write may have taken effect: read back and look for the marks
			s.loaded, maybe = false, true
		}
		if try+1 >= writeTries {
			return failed(ops, err, maybe)
		}
	}
}

// pauseFor waits before a call that the store's rate limit has refused is made again: half a second in all tries.
func pauseFor(try int) {
	d := min(20*time.Millisecond<<try, 200*time.Millisecond)
	time.Sleep(d/2 + time.Duration(rand.Int64N(int64(d))))
}

// offline answers from memory and refuses what needs the store.
func (s *shardState) offline(ctx context.Context, ops []op) []outcome {
	if !s.loaded {
		return failed(ops, store.ErrUnavailable, false)
	}
	next := s.head.clone()
	results, changed, err := s.applyAll(ctx, &next, ops)
	if err != nil {
		return failed(ops, err, false)
	}
	if !changed {
		return results
	}
	return s.refuseWrites(results, ops, store.ErrUnavailable, false)
}

// refuseWrites keeps the outcomes that needed no write.
func (s *shardState) refuseWrites(results []outcome, ops []op, err error, maybe bool) []outcome {
	for i := range ops {
		if results[i].entry == nil {
			results[i] = outcome{err: err, maybe: maybe}
		}
	}
	return results
}

func failed(ops []op, err error, maybe bool) []outcome {
	out := make([]outcome, len(ops))
	for i := range out {
		out[i] = outcome{err: err, maybe: maybe}
	}
	return out
}

// applyAll applies the ops in order to next. Two begins for one key in a batch see each other.
func (s *shardState) applyAll(ctx context.Context, next *head, ops []op) ([]outcome, bool, error) {
	index := make(map[string]int, len(ops))
	out := make([]outcome, len(ops))
	changed := false
	for i, o := range ops {
		found, at, err := s.find(ctx, next, index, o.key)
		if err != nil {
			return nil, false, err
		}
		var c bool
		out[i], c = next.apply(o, found, at)
		changed = changed || c
		if at < 0 && c {
			index[o.key] = len(next.Entries) - 1
		}
	}
	return out, changed, nil
}

// find returns the newest entry of a key. added holds the indices of the keys that this batch has appended.
func (s *shardState) find(ctx context.Context, next *head, added map[string]int, key string) (*entry, int, error) {
	if at, ok := s.index[key]; ok {
		return &next.Entries[at], at, nil
	}
	if at, ok := added[key]; ok {
		return &next.Entries[at], at, nil
	}
	e, err := s.findSealed(ctx, next, key)
	return e, -1, err
}

// load reads the head and the archives that are not in memory. An archive that the head names must be there; without it
// nothing is granted.
func (s *shardState) load(ctx context.Context) error {
	if s.loaded {
		return nil
	}
	o, err := s.store.Get(ctx, topo.KindClaims, s.name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	h := head{}
	if err == nil {
		if h, err = decodeHead(o.Value); err != nil {
			return trace.Wrap(err, "claims object %s", s.name)
		}
	}
	readAt := s.now()
	if err := s.loadSealed(ctx, &h); err != nil {
		return err
	}
	s.adopt(h, o.Version, readAt)
	s.dropOrphans(ctx)
	return nil
}

func (s *shardState) adopt(h head, version uint64, at time.Time) {
	s.head, s.version, s.readAt, s.loaded = h, version, at, true
	s.index = make(map[string]int, len(h.Entries))
	for i := range h.Entries {
		s.index[h.Entries[i].Key] = i
	}
	s.trim()
}

// write puts the head under the condition of its version, after it has moved full or old entries to an archive.
func (s *shardState) write(ctx context.Context, next head) error {
	next.Garbage = slices.DeleteFunc(next.Garbage, func(name string) bool { return s.deleted[name] })
	value, err := topo.Encode(next)
	if err != nil {
		return trace.Wrap(err)
	}
	expected, err := s.expected(ctx)
	if err != nil {
		return err
	}
	if s.isFull(&next, len(value)) {
		if err = s.seal(ctx, &next, expected); err != nil {
			return err
		}
		if value, err = topo.Encode(next); err != nil {
			return trace.Wrap(err)
		}
	}
	s.writes++
	version, err := s.store.Put(ctx, store.Object{Kind: topo.KindClaims, Name: s.name, Version: expected, Value: value})
	if err != nil {
		return err
	}
	s.adopt(next, version, s.now())
	s.dropOrphans(ctx)
	s.collectGarbage(ctx)
	return nil
}

// expected is the version on which a write is conditional.
func (s *shardState) expected(ctx context.Context) (uint64, error) {
	if !s.unchecked {
		return s.version, nil
	}
	o, err := s.store.Get(ctx, topo.KindClaims, s.name)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return o.Version, err
}

func (s *shardState) isFull(next *head, size int) bool {
	age := time.Duration(next.ElapsedMS-next.OpenedMS) * time.Millisecond
	return size > headBytes && len(next.Entries) > 1 || len(next.Entries) > 0 && age > bucketTime
}
