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

// Limits on sealed objects.
const (
	// cachedArchives is the number of newest archives whose entries stay in memory. Without them, recording the outcome
	// of a claim that was sealed while its request ran would cost a store read.
	cachedArchives = 2
	// foldThreshold is the number of archives named by a head, about 3 KB of names, above which the older half is folded
	// into an index.
	foldThreshold = 64
	// deletesPerWrite bounds the deletions after a write, because the next batch waits for them.
	deletesPerWrite = 2
)

// sealedArchive is the in-memory form of an archive: the short hashes of its keys, 8 bytes each, and, for the newest
// archives, the entries.
type sealedArchive struct {
	hashes  []uint64
	entries map[string]*entry // nil: read from the store when a hash hits
}

// archiveIndex is the in-memory form of an indexObject: archive names and, for each, the short hashes of its keys.
type archiveIndex struct {
	names  []string
	hashes [][]uint64
}

// orphan is an object that was written but is not yet named by a head known to be stored.
type orphan struct {
	name     string
	expected uint64 // version of the head that the write was conditional on
}

func newSealedArchive(es []entry) *sealedArchive {
	hs := make([]uint64, len(es))
	for i := range es {
		hs[i] = shortHash(es[i].Key)
	}
	slices.Sort(hs)
	return &sealedArchive{hashes: slices.Compact(hs), entries: entriesByKey(es)}
}

// entriesByKey indexes entries by key. An object has at most one entry for a key.
func entriesByKey(es []entry) map[string]*entry {
	m := make(map[string]*entry, len(es))
	for i := range es {
		m[es[i].Key] = &es[i]
	}
	return m
}

// findSealed looks up a key in the archives that the head names and then in those of its indexes, newest first.
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
		es = entriesByKey(a.Entries)
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

// loadSealed reads the archives and indexes that are not in memory. Objects read before an error stay in memory, so that
// the next try resumes a load that timed out.
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
		s.archives[ref.Name] = newSealedArchive(a.Entries)
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
		s.indexes[ref.Name] = newArchiveIndex(index)
	}
	return nil
}

func (s *shardState) makeMaps() {
	if s.archives == nil {
		s.archives, s.indexes, s.deleted = map[string]*sealedArchive{}, map[string]*archiveIndex{}, map[string]bool{}
	}
}

func newArchiveIndex(index indexObject) *archiveIndex {
	f := &archiveIndex{}
	for _, a := range index.Archives {
		hs := make([]uint64, len(a.Hashes)/8)
		for i := range hs {
			hs[i] = binary.BigEndian.Uint64(a.Hashes[8*i:])
		}
		f.names, f.hashes = append(f.names, a.Name), append(f.hashes, hs)
	}
	return f
}

// trim drops archives and indexes that the head does not name from memory, and the entries of all but the newest archives.
func (s *shardState) trim() {
	s.makeMaps()
	named := make(map[string]bool, len(s.head.Archives)+len(s.head.Indexes))
	for i, ref := range s.head.Archives {
		named[ref.Name] = true
		if i < len(s.head.Archives)-cachedArchives {
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

// seal writes the entries of the head to an archive with a unique name and adds the archive to the head. The archive only
// counts once the conditional write of the head succeeds.
func (s *shardState) seal(ctx context.Context, next *head, expected uint64) error {
	s.makeMaps()
	name, err := s.create(ctx, next, archive{next.Entries}, expected)
	if err != nil {
		return err
	}
	s.archives[name] = newSealedArchive(next.Entries)
	next.Archives = append(next.Archives, archiveRef{name, next.ElapsedMS})
	next.Entries, next.OpenedMS = nil, next.ElapsedMS
	if err := s.fold(ctx, next, expected); err != nil {
		return err
	}
	s.expire(next)
	return nil
}

// create writes a new object and returns its name. The object is an orphan until a stored head names it.
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
		return "", fmt.Errorf("%s not confirmed: %w", name, store.ErrUnavailable) // the stored head is unchanged
	}
	return name, err
}

// fold replaces the older half of the head's archives by an index when there are more than the threshold.
func (s *shardState) fold(ctx context.Context, next *head, expected uint64) error {
	limit := s.foldThreshold
	if limit == 0 {
		limit = foldThreshold
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
	s.indexes[name] = newArchiveIndex(index)
	next.Indexes = append(next.Indexes, archiveRef{name, old[len(old)-1].SealedMS})
	next.Archives = slices.Clone(next.Archives[limit/2:])
	return nil
}

// expire moves objects past the retention to the garbage. An index expires with its newest archive.
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

// collectGarbage deletes up to deletesPerWrite objects that the stored head lists as garbage. No later head refers to them.
func (s *shardState) collectGarbage(ctx context.Context) {
	for name := range s.deleted {
		if !slices.Contains(s.head.Garbage, name) {
			delete(s.deleted, name)
		}
	}
	n := 0
	for _, name := range s.head.Garbage {
		if n < deletesPerWrite && !s.deleted[name] && s.deleteObject(ctx, name) {
			s.deleted[name] = true
			n++
		}
	}
}

// deleteOrphans deletes the orphans that the head does not refer to and whose head write can no longer take effect, because
// the stored head already has a later version than that write expects.
func (s *shardState) deleteOrphans(ctx context.Context) {
	s.orphans = slices.DeleteFunc(s.orphans, func(o orphan) bool {
		if s.version <= o.expected {
			return false
		}
		return s.isReferenced(o.name) || s.deleteObject(ctx, o.name)
	})
}

func (s *shardState) isReferenced(name string) bool {
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

// deleteObject deletes an object and reports whether it no longer exists.
func (s *shardState) deleteObject(ctx context.Context, name string) bool {
	o, err := s.store.Get(ctx, topo.KindClaims, name)
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	return err == nil && s.store.Delete(ctx, topo.KindClaims, name, o.Version) == nil
}
