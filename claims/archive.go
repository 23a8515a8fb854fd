package claims

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/store"
	"bergamotcroft.example/bergamot/topo"
)

// Bounds of sealed objects.
const (
	// keptArchives is how many of the newest archives keep their entries in memory. Outcomes of claims that were sealed
	// while they ran would otherwise cost a read each.
	keptArchives = 2
	// foldAt is the number of archives in a head of which the older half is folded into an index: about 3 KB of names.
	foldAt = 64
	// garbagePerWrite bounds the deletions after a write, which the next batch waits for.
	garbagePerWrite = 2
)

// sealed is an archive in memory: the short hashes, 8 bytes a key, and the entries of the newest ones.
type sealed struct {
	hashes  []uint64
	entries map[string]*entry // nil: read from the store when a hash hits
}

// folded is an index in memory.
type folded struct {
	names  []string
	hashes [][]uint64
}

// orphan is an object whose head write was not seen to take effect.
type orphan struct {
	name     string
	expected uint64 // version of the head that the write was conditional on
}

func seal(es []entry) *sealed {
	hs := make([]uint64, len(es))
	for i := range es {
		hs[i] = shortHash(es[i].Key)
	}
	slices.Sort(hs)
	return &sealed{hashes: slices.Compact(hs), entries: newest(es)}
}

// newest indexes entries by key. In one object a key has one entry.
func newest(es []entry) map[string]*entry {
	m := make(map[string]*entry, len(es))
	for i := range es {
		m[es[i].Key] = &es[i]
	}
	return m
}

// findSealed looks a key up in the archives of the head and then in those of its indexes, the newest first.
func (s *shardState) findSealed(ctx context.Context, next *head, key string) (*entry, error) {
	short := shortHash(key)
	for _, ref := range slices.Backward(next.Archives) {
		a := s.archives[ref.Name]
		if e, err := s.lookUp(ctx, ref.Name, a.hashes, a.entries, key, short); e != nil || err != nil {
			return e, err
		}
	}
	for _, ref := range slices.Backward(next.Indexes) {
		f := s.indexes[ref.Name]
		for i := range slices.Backward(f.names) {
			if e, err := s.lookUp(ctx, f.names[i], f.hashes[i], nil, key, short); e != nil || err != nil {
				return e, err
			}
		}
	}
	return nil, nil
}

func (s *shardState) lookUp(ctx context.Context, name string, hashes []uint64, es map[string]*entry, key string, short uint64) (*entry, error) {
	if _, hit := slices.BinarySearch(hashes, short); !hit {
		return nil, nil
	}
	if es == nil {
		a, err := s.readArchive(ctx, name)
		if err != nil {
			return nil, err
		}
		es = newest(a.Entries)
	}
	return es[key], nil
}

func (s *shardState) readArchive(ctx context.Context, name string) (archive, error) {
	o, err := s.store.Get(ctx, topo.KindClaims, name)
	if err != nil {
		return archive{}, fmt.Errorf("archive %s: %w", name, err)
	}
	return decodeArchive(o.Value)
}

// loadSealed reads the archives and indexes that are not in memory. What was read stays, so that a load that runs out of
// time goes on at the next try.
func (s *shardState) loadSealed(ctx context.Context, h *head) error {
	s.makeMaps()
	for _, ref := range slices.Backward(h.Archives) {
		if s.archives[ref.Name] != nil {
			continue
		}
		a, err := s.readArchive(ctx, ref.Name)
		if err != nil {
			return err
		}
		s.archives[ref.Name] = seal(a.Entries)
	}
	for _, ref := range h.Indexes {
		if s.indexes[ref.Name] != nil {
			continue
		}
		o, err := s.store.Get(ctx, topo.KindClaims, ref.Name)
		if err != nil {
			return fmt.Errorf("index %s: %w", ref.Name, err)
		}
		index, err := decodeIndex(o.Value)
		if err != nil {
			return trace.Wrap(err, "index %s", ref.Name)
		}
		s.indexes[ref.Name] = foldedOf(index)
	}
	return nil
}

func (s *shardState) makeMaps() {
	if s.archives == nil {
		s.archives, s.indexes, s.deleted = map[string]*sealed{}, map[string]*folded{}, map[string]bool{}
	}
}

func foldedOf(index indexObject) *folded {
	f := &folded{}
	for _, a := range index.Archives {
		hs := make([]uint64, len(a.Hashes)/8)
		for i := range hs {
			hs[i] = binary.BigEndian.Uint64(a.Hashes[8*i:])
		}
		f.names, f.hashes = append(f.names, a.Name), append(f.hashes, hs)
	}
	return f
}

// trim forgets what the head does not name, and the entries of all but the newest archives.
func (s *shardState) trim() {
	s.makeMaps()
	named := make(map[string]bool, len(s.head.Archives)+len(s.head.Indexes))
	for i, ref := range s.head.Archives {
		named[ref.Name] = true
		if i < len(s.head.Archives)-keptArchives {
			s.archives[ref.Name].entries = nil
		}
	}
	for _, ref := range s.head.Indexes {
		named[ref.Name] = true
	}
	for name := range s.archives {
		if !named[name] {
			delete(s.archives, name)
		}
	}
	for name := range s.indexes {
		if !named[name] {
			delete(s.indexes, name)
		}
	}
}

// seal writes the entries to an archive under a name that no other writer uses, and takes it into the head. The head's
// conditional write decides if the archive counts.
func (s *shardState) seal(ctx context.Context, next *head, expected uint64) error {
	s.makeMaps()
	name, err := s.create(ctx, next, archive{next.Entries}, expected)
	if err != nil {
		return err
	}
	s.archives[name] = seal(next.Entries)
	next.Archives = append(next.Archives, archiveRef{name, next.ElapsedMS})
	next.Entries, next.OpenedMS = nil, next.ElapsedMS
	if err := s.fold(ctx, next, expected); err != nil {
		return err
	}
	s.expire(next)
	return nil
}

// create writes a new object. It becomes an orphan until a head is seen to name it.
func (s *shardState) create(ctx context.Context, next *head, v any, expected uint64) (string, error) {
	value, err := topo.Encode(v)
	if err != nil {
		return "", trace.Wrap(err)
	}
	name := s.name + "/" + strconv.FormatUint(next.Sequence, 10) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	next.Sequence++
	s.writes++
	s.orphans = append(s.orphans, orphan{name, expected})
	_, err = s.store.Put(ctx, store.Object{Kind: topo.KindClaims, Name: name, Value: value})
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		return "", fmt.Errorf("%s not confirmed: %w", name, store.ErrUnavailable) // the head is as it was
	}
	return name, err
}

// fold moves the older half of many archives into an index.
func (s *shardState) fold(ctx context.Context, next *head, expected uint64) error {
	limit := s.foldAt
	if limit == 0 {
		limit = foldAt
	}
	if len(next.Archives) <= limit {
		return nil
	}
	old := next.Archives[:limit/2]
	var index indexObject
	for _, ref := range old {
		var b []byte
		for _, h := range s.archives[ref.Name].hashes {
			b = binary.BigEndian.AppendUint64(b, h)
		}
		index.Archives = append(index.Archives, indexedArchive{ref.Name, b})
	}
	name, err := s.create(ctx, next, index, expected)
	if err != nil {
		return err
	}
	s.indexes[name] = foldedOf(index)
	next.Indexes = append(next.Indexes, archiveRef{name, old[len(old)-1].SealedMS})
	next.Archives = slices.Clone(next.Archives[limit/2:])
	return nil
}

// expire moves objects past retention to the garbage. An index goes when its newest archive may.
func (s *shardState) expire(next *head) {
	old := func(a archiveRef) bool {
		return time.Duration(next.ElapsedMS-a.SealedMS)*time.Millisecond >= s.retention
	}
	next.Archives = slices.DeleteFunc(next.Archives, func(a archiveRef) bool {
		if old(a) {
			next.Garbage = append(next.Garbage, a.Name)
		}
		return old(a)
	})
	next.Indexes = slices.DeleteFunc(next.Indexes, func(a archiveRef) bool {
		if old(a) {
			next.Garbage = append(append(next.Garbage, s.indexes[a.Name].names...), a.Name)
		}
		return old(a)
	})
}

// collectGarbage deletes a few objects that the stored head calls garbage. No head can name them again.
func (s *shardState) collectGarbage(ctx context.Context) {
	for name := range s.deleted {
		if !slices.Contains(s.head.Garbage, name) {
			delete(s.deleted, name)
		}
	}
	n := 0
	for _, name := range s.head.Garbage {
		if n < garbagePerWrite && !s.deleted[name] && s.drop(ctx, name) {
			s.deleted[name] = true
			n++
		}
	}
}

// dropOrphans deletes objects whose head write has failed for good: the head has a later version, so that the write's
// condition can't hold any more, and nothing names them.
func (s *shardState) dropOrphans(ctx context.Context) {
	s.orphans = slices.DeleteFunc(s.orphans, func(o orphan) bool {
		if s.version <= o.expected {
			return false
		}
		return s.isNamed(o.name) || s.drop(ctx, o.name)
	})
}

func (s *shardState) isNamed(name string) bool {
	is := func(r archiveRef) bool { return r.Name == name }
	if slices.ContainsFunc(s.head.Archives, is) || slices.ContainsFunc(s.head.Indexes, is) {
		return true
	}
	for _, f := range s.indexes {
		if slices.Contains(f.names, name) {
			return true
		}
	}
	return slices.Contains(s.head.Garbage, name)
}

// drop deletes an object and says whether it is gone.
func (s *shardState) drop(ctx context.Context, name string) bool {
	o, err := s.store.Get(ctx, topo.KindClaims, name)
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	return err == nil && s.store.Delete(ctx, topo.KindClaims, name, o.Version) == nil
}
