package versions

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Start is a stream that has begun, as entry VMs tell one another.
type Start struct {
	Stream  StreamID
	Version uint32 // hash of the version
}

// VersionHash returns the hash of a version in a Start.
func VersionHash(version string) uint32 { return uint32(xxhash.Sum64String(version)) }

// maxBeginnings bounds the table of beginnings. A VM of the full-size fleet begins 20 streams a second.
const maxBeginnings = 1 << 15

// beginnings holds the versions at which streams began, for as long as they may be taken up.
type beginnings struct {
	byStream map[StreamID]beginning
	order    []expiringStream // oldest first
}

type beginning struct {
	version uint32 // hash
	until   time.Time
}

type expiringStream struct {
	stream StreamID
	until  time.Time
}

func (b *beginnings) add(now time.Time, s Start, lifetime time.Duration) {
	if b.byStream == nil {
		b.byStream = map[StreamID]beginning{}
	}
	b.expire(now)
	until := now.Add(lifetime)
	b.byStream[s.Stream] = beginning{s.Version, until}
	b.order = append(b.order, expiringStream{s.Stream, until})
	if len(b.order) > maxBeginnings {
		b.dropFirst()
	}
}

func (b *beginnings) expire(now time.Time) {
	for len(b.order) > 0 && b.order[0].until.Before(now) {
		b.dropFirst()
	}
}

func (b *beginnings) dropFirst() {
	first := b.order[0]
	b.order = b.order[1:]
	if b.byStream[first.stream].until.Equal(first.until) { // not added again since
		delete(b.byStream, first.stream)
	}
}

// version returns the hash of the version at which a stream began.
func (b *beginnings) version(now time.Time, stream StreamID) (hash uint32, ok bool) {
	x, ok := b.byStream[stream]
	return x.version, ok && !x.until.Before(now)
}
