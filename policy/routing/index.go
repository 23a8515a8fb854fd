package routing

import (
	"time"

	"bergamotcroft.example/bergamot/policy"
)

// Index is a bounded record of the pieces believed to be in one engine's prefix cache. Hashes are chained, so a piece that
// is present implies those before it, and Match finds the last present piece by binary search. A full index evicts the
// least recently inserted pieces, as the engine does.
type Index struct {
	capacity int
	byHash   map[uint64]int32
	entries  []entry
	head     int32 // most recent
	tail     int32 // least recent
	free     int32
}

type entry struct {
	hash       uint64
	prev, next int32
}

const nilEntry = int32(-1)

// NewIndex returns an index for an engine with this many pieces of KV memory.
func NewIndex(kvPieces int) policy.PrefixIndex {
	x := &Index{capacity: max(kvPieces, 1)}
	x.Reset()
	return x
}

// Reset implements policy.PrefixIndex.
func (x *Index) Reset() {
	x.byHash = map[uint64]int32{}
	x.entries = x.entries[:0]
	x.head, x.tail, x.free = nilEntry, nilEntry, nilEntry
}

// Match implements policy.PrefixIndex.
func (x *Index) Match(prefix []uint64) int {
	if len(x.byHash) == 0 || len(prefix) == 0 {
		return 0
	}
	lo, hi := 0, len(prefix) // prefix[:lo] is present
	for lo < hi {
		mid := (lo + hi) / 2
		if _, ok := x.byHash[prefix[mid]]; ok {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// Insert implements policy.PrefixIndex. Pieces are touched from the last to the first, so that the ends of prefixes
// are evicted before their beginnings.
func (x *Index) Insert(_ time.Duration, prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		x.touch(prefix[i])
	}
}

func (x *Index) touch(h uint64) {
	if i, ok := x.byHash[h]; ok {
		x.unlink(i)
		x.pushFront(i)
		return
	}
	if len(x.byHash) >= x.capacity {
		x.remove(x.tail)
	}
	i := x.free
	if i == nilEntry {
		x.entries = append(x.entries, entry{})
		i = int32(len(x.entries) - 1)
	} else {
		x.free = x.entries[i].next
	}
	x.entries[i].hash = h
	x.byHash[h] = i
	x.pushFront(i)
}

// Remove implements policy.PrefixIndex.
func (x *Index) Remove(pieces []uint64) {
	for _, h := range pieces {
		if i, ok := x.byHash[h]; ok {
			x.remove(i)
		}
	}
}

func (x *Index) remove(i int32) {
	delete(x.byHash, x.entries[i].hash)
	x.unlink(i)
	x.entries[i].next = x.free
	x.free = i
}

func (x *Index) pushFront(i int32) {
	e := &x.entries[i]
	e.prev, e.next = nilEntry, x.head
	if x.head != nilEntry {
		x.entries[x.head].prev = i
	}
	x.head = i
	if x.tail == nilEntry {
		x.tail = i
	}
}

func (x *Index) unlink(i int32) {
	e := x.entries[i]
	if e.prev == nilEntry {
		x.head = e.next
	} else {
		x.entries[e.prev].next = e.next
	}
	if e.next == nilEntry {
		x.tail = e.prev
	} else {
		x.entries[e.next].prev = e.prev
	}
}
