package claims

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"bergamotcroft.example/bergamot/topo"
)

// state is the state of an entry in a claims object.
type state string

const (
	claimed        state = "c" // granted; no outcome is recorded yet
	answered       state = "d" // the request ran and its answer is recorded
	unknownOutcome state = "u" // the request ended with an unknown outcome
	tooLarge       state = "l" // the request ran; its answer was too large to record
	released       state = "r" // nothing was sent; the key may be claimed again
)

// entry is the stored record of one key. The newest entry of a key is valid: that of the head, else that of the newest
// archive that has one.
type entry struct {
	Key         string        `json:"k"`
	Fingerprint uint64        `json:"f"`
	Mark        uint64        `json:"m"` // identifies the attempt that holds the grant
	Holder      string        `json:"h"`
	Boot        uint64        `json:"b"`
	ClaimedMS   int64         `json:"t"` // head.ElapsedMS at the claim
	State       state         `json:"s"`
	Answer      *storedAnswer `json:"a,omitempty"`
}

type storedAnswer struct {
	Status int               `json:"s"`
	Header map[string]string `json:"h,omitempty"`
	Body   []byte            `json:"b,omitempty"`
}

// archiveRef refers to an archive or an index.
type archiveRef struct {
	Name     string `json:"name"`
	SealedMS int64  `json:"sealed_ms"` // head.ElapsedMS when its newest archive was sealed
}

// head is the object of a shard that every claim rewrites with a conditional write on its version. It refers to all
// archives, so that no writer can miss an older claim.
type head struct {
	// ElapsedMS sums the time between reads and writes of the head as measured by the writers' monotonic clocks. It never
	// runs ahead of real time, whatever the wall clocks show, so that nothing expires early.
	ElapsedMS int64        `json:"elapsed_ms"`
	OpenedMS  int64        `json:"opened_ms"` // ElapsedMS when the first of Entries was added
	Sequence  uint64       `json:"sequence"`
	Archives  []archiveRef `json:"archives"`
	Entries   []entry      `json:"entries"`
	Indexes   []archiveRef `json:"indexes"` // of older archives
	Garbage   []string     `json:"garbage"` // expired objects, to be deleted
}

// archive is the value of an archive object, which holds sealed entries.
type archive struct {
	Entries []entry `json:"entries"`
}

// indexObject replaces the references to a number of older archives, so that the head stays small and a new owner need not
// read these archives.
type indexObject struct {
	Archives []indexedArchive `json:"archives"`
}

type indexedArchive struct {
	Name   string `json:"name"`
	Hashes []byte `json:"hashes"` // short hashes of its keys, sorted, 8 bytes each
}

// keyHash returns the stored form of a caller's key. The hash is cryptographic, so that no caller can produce a collision
// with a key of another caller.
func keyHash(caller, key string) string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(caller)))
	h.Write(n[:])
	h.Write([]byte(caller))
	h.Write([]byte(key))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// shortHash returns the hash by which archives are searched in memory. A collision costs a store read, not a wrong answer.
func shortHash(key string) uint64 {
	b, err := base64.RawURLEncoding.DecodeString(key)
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

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

type opResult struct {
	granted       bool
	entry         *entry // the existing entry that prevents a begin, or nil
	err           error  // store error
	mayTakeEffect bool   // with err: the write may still take effect
}

// maxAnswerBytes is the largest answer that is recorded, so that a head can hold some hundred usual answers.
const maxAnswerBytes = 16 << 10

func recordedState(a *Answer) (state, *storedAnswer) {
	if a == nil {
		return unknownOutcome, nil
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

// apply applies one op to the head. found is the newest entry of the key, in the head or in an archive; at is its index in
// the head, or -1. changed reports whether the op has modified the head.
func (h *head) apply(o op, found *entry, at int) (res opResult, changed bool) {
	holds := found != nil && found.Mark == o.mark
	switch o.kind {
	case opBegin:
		if found == nil || found.State == released {
			h.set(at, entry{Key: o.key, Fingerprint: o.fingerprint, Mark: o.mark, Holder: o.holder, Boot: o.boot,
				ClaimedMS: h.ElapsedMS, State: claimed})
			return opResult{granted: true}, true
		}
		if holds && found.State == claimed {
			return opResult{granted: true}, false // an earlier write of this attempt took effect
		}
		e := *found
		return opResult{entry: &e}, false
	case opFinish:
		if !holds || found.State != claimed {
			return opResult{}, false
		}
		e := *found
		e.State, e.Answer = recordedState(o.answer)
		h.set(at, e)
		return opResult{}, true
	default:
		if !holds || found.State != claimed {
			return opResult{}, false
		}
		e := *found
		e.State = released
		h.set(at, e)
		return opResult{}, true
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

// clone returns a copy of the head, so that a failed write leaves the original unchanged.
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
