package claims

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"bergamotcroft.example/bergamot/topo"
)

// state of an entry in a claims object.
type state string

const (
	claimed  state = "c" // granted; no outcome is recorded
	answered state = "d"
	unclear  state = "u" // the holder does not know the outcome
	tooLarge state = "l" // it ran, and the answer was too large to keep
	released state = "r" // not a byte had left; the key may be claimed again
)

// entry is what the store holds of one key. The newest entry of a key counts: those of the head, then the archives from
// the newest.
type entry struct {
	Key         string        `json:"k"`
	Fingerprint uint64        `json:"f"`
	Mark        uint64        `json:"m"` // of the attempt that holds the grant
	Holder      string        `json:"h"`
	Boot        uint64        `json:"b"`
	ClaimedMS   int64         `json:"t"` // shard's elapsed time at the claim
	State       state         `json:"s"`
	Answer      *storedAnswer `json:"a,omitempty"`
}

type storedAnswer struct {
	Status int               `json:"s"`
	Header map[string]string `json:"h,omitempty"`
	Body   []byte            `json:"b,omitempty"`
}

// archiveRef names a full object of older entries.
type archiveRef struct {
	Name     string `json:"name"`
	SealedMS int64  `json:"sealed_ms"` // shard's elapsed time when it was written
}

// head is the object of a shard that every claim rewrites under the condition of its version. It names its archives, so
// that no writer can miss an older claim.
type head struct {
	// ElapsedMS counts the time that writers have watched the shard by their monotonic clocks. It never runs ahead
	// of real time, whatever the wall clocks say, so nothing expires early.
	ElapsedMS int64        `json:"elapsed_ms"`
	OpenedMS  int64        `json:"opened_ms"` // when the first of Entries was written
	Sequence  uint64       `json:"sequence"`
	Archives  []archiveRef `json:"archives"`
	Entries   []entry      `json:"entries"`
	Indexes   []archiveRef `json:"indexes"` // of older archives
	Garbage   []string     `json:"garbage"` // objects that nothing names any more, to be deleted
}

// archive is the value of a sealed object.
type archive struct {
	Entries []entry `json:"entries"`
}

// indexObject stands for a number of older archives, so that the head stays small and a new owner needs not read them.
type indexObject struct {
	Archives []indexedArchive `json:"archives"`
}

type indexedArchive struct {
	Name   string `json:"name"`
	Hashes []byte `json:"hashes"` // short hashes of its keys, sorted, 8 bytes each
}

// keyHash names a key of a caller. A cryptographic hash keeps one caller from meeting another one's key.
func keyHash(caller, key string) string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(caller)))
	h.Write(n[:])
	h.Write([]byte(caller))
	h.Write([]byte(key))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// shortHash indexes archives in memory. Two keys with the same short hash cost a read, not a wrong answer.
func shortHash(key string) uint64 {
	b, err := base64.RawURLEncoding.DecodeString(key)
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// opKind is what is done to a key.
type opKind int

const (
	opBegin opKind = iota
	opFinish
	opRelease
)

// op is one operation on a caller key.
type op struct {
	kind        opKind
	key         string // keyHash
	fingerprint uint64
	mark        uint64
	holder      string
	boot        uint64
	answer      *Answer // for opFinish; nil: unknown
}

// outcome is the result of an op.
type outcome struct {
	granted bool
	entry   *entry // the entry that stands in the way of a begin, or nil
	err     error  // store error
	maybe   bool   // with err: the write may still take effect
}

// maxAnswerBytes bounds what is kept of an answer, so that some hundred fit into a head.
const maxAnswerBytes = 16 << 10

func recorded(a *Answer) (state, *storedAnswer) {
	if a == nil {
		return unclear, nil
	}
	size := len(a.Body)
	for k, v := range a.Header {
		size += len(k) + len(v)
	}
	if size > maxAnswerBytes {
		return tooLarge, nil
	}
	return answered, &storedAnswer{a.Status, a.Header, a.Body}
}

// apply changes the head by one op. found is the newest entry of the key, in the head or in an archive; at is its index in
// the head or -1. The head is only changed, and changed only returned as true, if the op has an effect.
func (h *head) apply(o op, found *entry, at int) (res outcome, changed bool) {
	holds := found != nil && found.Mark == o.mark
	switch o.kind {
	case opBegin:
		if found == nil || found.State == released {
			h.set(at, entry{Key: o.key, Fingerprint: o.fingerprint, Mark: o.mark, Holder: o.holder, Boot: o.boot,
				ClaimedMS: h.ElapsedMS, State: claimed})
			return outcome{granted: true}, true
		}
		if holds && found.State == claimed {
			return outcome{granted: true}, false // an earlier write of this attempt took effect
		}
		e := *found
		return outcome{entry: &e}, false
	case opFinish:
		if !holds || found.State != claimed {
			return outcome{}, false
		}
		e := *found
		e.State, e.Answer = recorded(o.answer)
		h.set(at, e)
		return outcome{}, true
	default:
		if !holds || found.State != claimed {
			return outcome{}, false
		}
		e := *found
		e.State = released
		h.set(at, e)
		return outcome{}, true
	}
}

func (h *head) set(at int, e entry) {
	if at >= 0 {
		h.Entries[at] = e
		return
	}
	if len(h.Entries) == 0 {
		h.OpenedMS = h.ElapsedMS
	}
	h.Entries = append(h.Entries, e)
}

// clone copies the head, so that a failed write leaves the original as it was.
func (h *head) clone() head {
	c := *h
	c.Archives = slices.Clone(h.Archives)
	c.Entries = slices.Clone(h.Entries)
	c.Indexes = slices.Clone(h.Indexes)
	c.Garbage = slices.Clone(h.Garbage)
	return c
}

func decodeHead(b []byte) (head, error)       { return topo.Decode[head](b) }
func decodeArchive(b []byte) (archive, error) { return topo.Decode[archive](b) }

func decodeIndex(b []byte) (indexObject, error) { return topo.Decode[indexObject](b) }
