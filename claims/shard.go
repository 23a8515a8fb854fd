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

// Thresholds and limits of head writes.
const (
	// sealBytes is the size at which a head is sealed. Each write sends the whole head, so it stays well below the store's
	// limit of 1 MB.
	sealBytes = 128 << 10
	// sealAge is the age at which a head is sealed, so that whole archives can be deleted after the retention.
	sealAge = time.Hour
	// writeTries bounds the tries of a batch that meets conflicts with other writers or the store's rate limit.
	writeTries = 6
)

// shardState is this VM's copy of one shard. It is not safe for concurrent use; the batcher serialises the calls.
type shardState struct {
	name          string
	store         store.Store
	now           func() time.Time
	retention     time.Duration
	unconditional bool // tests only: writes on any version, to show that the tests detect a missing condition

	loaded        bool
	version       uint64
	readAt        time.Time // monotonic time after the store's answer with this version
	head          head
	index         map[string]int // index in head.Entries by key
	archives      map[string]*sealedArchive
	indexes       map[string]*archiveIndex
	orphans       []orphan
	deleted       map[string]bool // garbage that this VM has deleted and the head still lists
	foldThreshold int             // 0: the constant of the same name
	writes        int             // store writes, read by tests
}

// process applies a batch and returns a result for each op. A begin is granted only if its entry is known to be stored.
func (s *shardState) process(ctx context.Context, ops []op) []opResult {
	mayTakeEffect := false
	for try := 0; ; try++ {
		err := s.load(ctx)
		if errors.Is(err, store.ErrRateLimited) && try+1 < writeTries {
			sleepBackOff(try)
			continue
		}
		if err != nil {
			return failAll(ops, err, mayTakeEffect)
		}
		next := s.head.clone()
		next.ElapsedMS += s.now().Sub(s.readAt).Milliseconds()
		results, changed, err := s.applyAll(ctx, &next, ops)
		if err != nil {
			return failAll(ops, err, mayTakeEffect)
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
			sleepBackOff(try)
		case errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrUnavailable):
			return s.refuseWrites(results, ops, err, mayTakeEffect)
		default: // the write may have taken effect: the next try reads the head again and compares the marks
			s.loaded, mayTakeEffect = false, true
		}
		if try+1 >= writeTries {
			return failAll(ops, err, mayTakeEffect)
		}
	}
}

// sleepBackOff waits before a call that the store's rate limit refused is retried: about 0.5 s in total over all tries.
func sleepBackOff(try int) {
	d := min(20*time.Millisecond<<try, 200*time.Millisecond)
	time.Sleep(d/2 + time.Duration(rand.Int64N(int64(d))))
}

// processOffline returns the results of the ops that need no store write and refuses the others.
func (s *shardState) processOffline(ctx context.Context, ops []op) []opResult {
	if !s.loaded {
		return failAll(ops, store.ErrUnavailable, false)
	}
	next := s.head.clone()
	results, changed, err := s.applyAll(ctx, &next, ops)
	if err != nil {
		return failAll(ops, err, false)
	}
	if !changed {
		return results
	}
	return s.refuseWrites(results, ops, store.ErrUnavailable, false)
}

// refuseWrites sets err as the result of all ops except those refused by an existing entry.
func (s *shardState) refuseWrites(results []opResult, ops []op, err error, mayTakeEffect bool) []opResult {
	for i := range ops {
		if results[i].entry == nil {
			results[i] = opResult{err: err, mayTakeEffect: mayTakeEffect}
		}
	}
	return results
}

func failAll(ops []op, err error, mayTakeEffect bool) []opResult {
	out := make([]opResult, len(ops))
	for i := range out {
		out[i] = opResult{err: err, mayTakeEffect: mayTakeEffect}
	}
	return out
}

// applyAll applies the ops to next in order. An op sees the changes of earlier ops of the batch.
func (s *shardState) applyAll(ctx context.Context, next *head, ops []op) ([]opResult, bool, error) {
	index := make(map[string]int, len(ops))
	out := make([]opResult, len(ops))
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

// find returns the newest entry of a key and its index in next.Entries, or -1 if it is in an archive or does not exist.
// added holds the indices of the entries that this batch has appended.
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

// load reads the head and the archives that are not in memory. It fails if an archive that the head names is missing, so
// that nothing is granted without it.
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
	s.deleteOrphans(ctx)
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

// write stores the head with a conditional write, after sealing its entries if the head is too large or too old.
func (s *shardState) write(ctx context.Context, next head) error {
	next.Garbage = slices.DeleteFunc(next.Garbage, func(name string) bool { return s.deleted[name] })
	value, err := topo.Encode(next)
	if err != nil {
		return trace.Wrap(err)
	}
	expected, err := s.expectedVersion(ctx)
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
	s.deleteOrphans(ctx)
	s.collectGarbage(ctx)
	return nil
}

// expectedVersion returns the version on which a write of the head is conditional.
func (s *shardState) expectedVersion(ctx context.Context) (uint64, error) {
	if !s.unconditional {
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
	return size > sealBytes && len(next.Entries) > 1 || len(next.Entries) > 0 && age > sealAge
}
