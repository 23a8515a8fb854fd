package configuration

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"bergamotcroft.example/bergamot/topo"
)

// Names of the objects of topo.KindConfiguration. The head is the only one that changes.
const (
	headName    = "head"
	chunkPrefix = "chunk-"
)

// Accounts and upstreams are spread over buckets by the hash of their name, and each bucket is one chunk. A change of one
// account rewrites one bucket: small buckets keep the change small, few buckets keep the index small.
const (
	bucketTarget = 32 // items, about 7 KB
	bucketMax    = 64 // above this average number of items the number of buckets grows
	bucketMin    = 8  // below it the number shrinks; the gap between the bounds gives hysteresis
)

// maxHistory is the number of accepted revisions that the head lists. An entry takes about 180 bytes, and each watcher
// reads the head every few seconds.
const maxHistory = 32

// Entry describes one accepted revision.
type Entry struct {
	Revision uint64    `json:"revision"`
	Accepted time.Time `json:"accepted"`
	Author   string    `json:"author,omitempty"`
	Index    string    `json:"index"`  // hash of the index chunk
	Mark     string    `json:"mark"`   // writer mark of the head, to settle a lost answer after later writes
	Chunks   int       `json:"chunks"` // number of chunks that the previous revision lacks
}

// head is the object that decides which revision is accepted. History[0] is the accepted one.
type head struct {
	History []Entry `json:"history"`
}

func (h head) entry() Entry {
	if len(h.History) == 0 {
		return Entry{}
	}
	return h.History[0]
}

// index names the chunks of a revision by content hash; "" stands for an empty one.
type index struct {
	Models    string   `json:"models"`
	Classes   string   `json:"classes"`
	Services  string   `json:"services"`
	Accounts  []string `json:"accounts"`
	Upstreams []string `json:"upstreams"`
}

// refs returns all references in a fixed order: the three single ones, accounts, upstreams.
func (x index) refs() []string {
	return slices.Concat([]string{x.Models, x.Classes, x.Services}, x.Accounts, x.Upstreams)
}

// withRefs returns an index of the same shape with other references.
func (x index) withRefs(refs []string) index {
	n := 3 + len(x.Accounts)
	return index{refs[0], refs[1], refs[2], slices.Clone(refs[3:n]), slices.Clone(refs[n:])}
}

func (x index) sameShape(y index) bool {
	return len(x.Accounts) == len(y.Accounts) && len(x.Upstreams) == len(y.Upstreams)
}

// missingFrom returns the references of x that y lacks, without duplicates.
func (x index) missingFrom(y index) []string {
	have := map[string]bool{"": true}
	for _, r := range y.refs() {
		have[r] = true
	}
	var out []string
	for _, r := range x.refs() {
		if !have[r] {
			have[r] = true
			out = append(out, r)
		}
	}
	return out
}

// hash returns the name of a chunk: its SHA-256 cut to 128 bits, which suffice against accidental collisions.
func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// encoder collects chunks by hash.
type encoder struct {
	chunks map[string][]byte
	err    error
}

func (e *encoder) add(v any) string {
	b, err := topo.Encode(v)
	if err != nil && e.err == nil {
		e.err = err
	}
	h := hash(b)
	e.chunks[h] = b
	return h
}

// encodeSection encodes a list as one chunk and returns its reference.
func encodeSection[T any](e *encoder, items []T) string {
	if len(items) == 0 {
		return ""
	}
	return e.add(items)
}

// encodeBuckets spreads a list over buckets and encodes each as one chunk. before is the previous number of buckets.
func encodeBuckets[T any](e *encoder, items []T, before int, name func(T) string) []string {
	n := bucketCount(len(items), before)
	parts := make([][]T, n)
	for _, it := range items {
		b := xxhash.Sum64String(name(it)) % uint64(n)
		parts[b] = append(parts[b], it)
	}
	refs := make([]string, n)
	for i, p := range parts {
		slices.SortFunc(p, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
		refs[i] = encodeSection(e, p)
	}
	return refs
}

// bucketCount returns the previous number of buckets while they are neither too full nor too empty, and otherwise a power
// of two.
func bucketCount(items, before int) int {
	if before > 0 && items <= before*bucketMax && (items >= before*bucketMin || before == 1) {
		return before
	}
	n := 1
	for n*bucketTarget < items {
		n *= 2
	}
	return n
}

func accountName(a topo.Account) string   { return a.Caller }
func upstreamName(u topo.Upstream) string { return u.Name }

// encode returns the index and chunks of a configuration. before is the index of the previous revision.
func encode(c *topo.Configuration, before index) (x index, chunks map[string][]byte, err error) {
	e := &encoder{chunks: map[string][]byte{}}
	x = index{
		Models: encodeSection(e, c.Models), Classes: encodeSection(e, c.Classes), Services: encodeSection(e, c.Services),
		Accounts:  encodeBuckets(e, c.Accounts, len(before.Accounts), accountName),
		Upstreams: encodeBuckets(e, c.Upstreams, len(before.Upstreams), upstreamName),
	}
	return x, e.chunks, e.err
}

// snapshot is one revision in memory. It is immutable.
type snapshot struct {
	entry     Entry
	index     index
	indexRaw  []byte
	chunks    map[string][]byte
	accounts  map[string][]topo.Account // decoded buckets by hash, reused by the next revision
	upstreams map[string][]topo.Upstream
	config    *topo.Configuration
}

// assemble decodes a revision. get returns a chunk by hash; chunks and decoded buckets of before are reused.
func assemble(e Entry, x index, raw []byte, before *snapshot, get func(string) ([]byte, bool)) (*snapshot, error) {
	if hash(raw) != e.Index {
		return nil, trace.BadParameter("index of revision %d does not match its hash", e.Revision)
	}
	if before == nil {
		before = &snapshot{}
	}
	s := &snapshot{
		entry: e, index: x, indexRaw: raw, chunks: map[string][]byte{},
		accounts: map[string][]topo.Account{}, upstreams: map[string][]topo.Upstream{},
	}
	for _, r := range x.refs() {
		if err := s.addChunk(r, before, get); err != nil {
			return nil, err
		}
	}
	c := &topo.Configuration{Revision: e.Revision, Accepted: e.Accepted, Author: e.Author}
	err := trace.NewAggregate(
		decodeSection(s, x.Models, &c.Models), decodeSection(s, x.Classes, &c.Classes), decodeSection(s, x.Services, &c.Services),
		joinBuckets(s, x.Accounts, before.accounts, s.accounts, &c.Accounts, accountName),
		joinBuckets(s, x.Upstreams, before.upstreams, s.upstreams, &c.Upstreams, upstreamName),
	)
	s.config = c
	return s, err
}

func (s *snapshot) addChunk(ref string, before *snapshot, get func(string) ([]byte, bool)) error {
	if ref == "" {
		return nil
	}
	if b, ok := before.chunks[ref]; ok {
		s.chunks[ref] = b
		return nil
	}
	b, ok := get(ref)
	if !ok {
		return trace.NotFound("chunk %s of revision %d", ref, s.entry.Revision)
	}
	if hash(b) != ref {
		return trace.BadParameter("chunk %s does not match its hash", ref)
	}
	s.chunks[ref] = b
	return nil
}

func decodeSection[T any](s *snapshot, ref string, into *[]T) (err error) {
	if ref != "" {
		*into, err = topo.Decode[[]T](s.chunks[ref])
	}
	return err
}

func joinBuckets[T any](s *snapshot, refs []string, before, now map[string][]T, into *[]T, name func(T) string) error {
	for _, r := range refs {
		if r == "" {
			continue
		}
		items, ok := before[r]
		if !ok {
			var err error
			if items, err = topo.Decode[[]T](s.chunks[r]); err != nil {
				return err
			}
		}
		now[r] = items
		*into = append(*into, items...)
	}
	slices.SortFunc(*into, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return nil
}
