package loads

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"bergamotcroft.example/bergamot/internal/wire"
)

// Limit is the last known statement of an upstream about the requests that it takes from all entry VMs together.
type Limit struct {
	Upstream   uint64 // hash of its name
	PerSecond  float64
	Ended      bool // it names no limit any more
	Firsthand  bool // the entry VM that states it has received the answer itself
	ObservedAt time.Time
}

// maxLimits bounds the limits in a datagram; others follow in the next one.
const maxLimits = 16

// limitNotice is a Limit in a datagram, which has no clock in common with its receiver.
type limitNotice struct {
	upstream  uint64
	perSecond float64
	ended     bool
	firsthand bool
	age       time.Duration
}

// Flags of a limitNotice.
const (
	flagEnded     = 1
	flagFirsthand = 2
)

// limitQueue holds the newest limit of each upstream that is still to be sent.
type limitQueue []queued[Limit]

// add queues a limit in place of an older one of the same upstream.
func (q *limitQueue) add(l Limit) {
	i := slices.IndexFunc(*q, func(e queued[Limit]) bool { return e.value.Upstream == l.Upstream })
	switch {
	case i >= 0 && l.ObservedAt.After((*q)[i].value.ObservedAt):
		(*q)[i] = queued[Limit]{l, noticeSends}
	case i < 0 && len(*q) < maxPending:
		*q = append(*q, queued[Limit]{l, noticeSends})
	}
}

// take returns the limits for the next message.
func (q *limitQueue) take(now time.Time) (taken []limitNotice) {
	var list []Limit
	list, *q = takeQueued(*q, maxLimits)
	for _, l := range list {
		taken = append(taken, limitNotice{l.Upstream, l.PerSecond, l.Ended, l.Firsthand, max(now.Sub(l.ObservedAt), 0)})
	}
	return taken
}

func (n limitNotice) limit(now time.Time) Limit {
	return Limit{n.upstream, n.perSecond, n.ended, n.firsthand, now.Add(-n.age)}
}

// QueueLimit queues a limit to be sent to all entry VMs, so that those that did not get an answer of the upstream keep
// the limit too.
func (x *Exchange) QueueLimit(l Limit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pendingLimits.add(l)
	if x.relaying.active {
		x.relaying.limits.add(l)
	}
	x.TriggerRound()
}

// reportLimits passes the limits of a message to Options.OnLimit.
func (x *Exchange) reportLimits(now time.Time, m *message) {
	if x.opts.OnLimit == nil {
		return
	}
	for _, n := range m.limits {
		x.opts.OnLimit(n.limit(now))
	}
}

// appendLimits encodes limits.
func appendLimits(b []byte, limits []limitNotice) []byte {
	b = binary.AppendUvarint(b, uint64(len(limits)))
	for _, n := range limits {
		b = binary.BigEndian.AppendUint64(b, n.upstream)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(n.perSecond))
		flags := uint64(0)
		if n.ended {
			flags |= flagEnded
		}
		if n.firsthand {
			flags |= flagFirsthand
		}
		b = binary.AppendUvarint(b, flags)
		b = binary.AppendUvarint(b, uint64(n.age.Milliseconds()))
	}
	return b
}

// maxLimitAge bounds the age of a limit in a message, so that it does not overflow.
const maxLimitAge = time.Hour

// limits decodes the limits at the end of a datagram. Processes of an older version send none.
func readLimits(r *wire.Reader) (out []limitNotice) {
	if len(r.B) == 0 {
		return nil
	}
	for range r.Count(maxLimits) {
		n := limitNotice{upstream: binary.BigEndian.Uint64(r.Fixed(8)), perSecond: math.Float64frombits(binary.BigEndian.Uint64(r.Fixed(8)))}
		flags := r.Uvarint()
		n.ended, n.firsthand = flags&flagEnded != 0, flags&flagFirsthand != 0
		n.age = time.Duration(min(r.Uvarint(), uint64(maxLimitAge/time.Millisecond))) * time.Millisecond
		if math.IsNaN(n.perSecond) || n.perSecond < 0 {
			r.Malformed = true
		}
		out = append(out, n)
	}
	return out
}
