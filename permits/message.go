package permits

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"bergamotcroft.example/bergamot/internal/wire"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/scheduler"
)

// message is the content of one datagram.
type message struct {
	boot    uint64 // of the sending process; grows with each start
	seq     uint64
	asks    []ask
	answers []answer
}

// statement is what the sender knows about the limit of an upstream.
type statement struct {
	upstream  uint64 // hash of its name
	named     bool
	firsthand bool // the sender has received the answer itself
	perSecond float64
	age       time.Duration // since an answer of the upstream stated it
}

// ask is the demand of an entry VM for the permits of an upstream, in place of its earlier demand.
type ask struct {
	statement
	demand   demand
	returned int // unused permits that the VM gives back
}

// answer is the allocator's answer to an ask.
type answer struct {
	statement
	granted int
	backlog scheduler.LimitBacklog
}

const (
	maxEntries  = 10 // asks and answers, each, in one datagram
	maxCount    = 1 << 20
	maxAge      = time.Hour
	maxDatagram = 1400 // bytes, below the usual MTU
	// formatVersion begins each message and differs from the first byte of other messages under the same secret.
	formatVersion = 0xb1
)

// Flags of a statement.
const (
	flagNamed     = 1
	flagFirsthand = 2
)

var errMalformed = errors.New("malformed permit message")

func (m *message) encode() []byte {
	b := make([]byte, 0, 128)
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, m.boot)
	b = binary.AppendUvarint(b, m.seq)
	b = binary.AppendUvarint(b, uint64(len(m.asks)))
	for i := range m.asks {
		x := &m.asks[i]
		b = x.append(b)
		for _, n := range x.demand {
			b = binary.AppendUvarint(b, uint64(n))
		}
		b = binary.AppendUvarint(b, uint64(x.returned))
	}
	b = binary.AppendUvarint(b, uint64(len(m.answers)))
	for i := range m.answers {
		x := &m.answers[i]
		b = x.append(b)
		b = binary.AppendUvarint(b, uint64(x.granted))
		for level, vms := range x.backlog.VMs {
			if b = binary.AppendUvarint(b, uint64(vms)); vms > 0 {
				b = binary.AppendUvarint(b, uint64(x.backlog.Turn[level]))
			}
		}
	}
	return b
}

func (s *statement) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, s.upstream)
	flags := byte(0)
	if s.named {
		flags |= flagNamed
	}
	if s.firsthand {
		flags |= flagFirsthand
	}
	b = append(b, flags)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(s.perSecond)))
	return binary.AppendUvarint(b, uint64(s.age.Milliseconds()))
}

func readStatement(r *wire.Reader) statement {
	s := statement{upstream: binary.BigEndian.Uint64(r.Fixed(8))}
	flags := r.Fixed(1)[0]
	s.named, s.firsthand = flags&flagNamed != 0, flags&flagFirsthand != 0
	s.perSecond = float64(math.Float32frombits(binary.BigEndian.Uint32(r.Fixed(4))))
	s.age = time.Duration(r.Count(int(maxAge.Milliseconds()))) * time.Millisecond
	if math.IsNaN(s.perSecond) || math.IsInf(s.perSecond, 0) || s.perSecond < 0 {
		r.Malformed = true
	}
	return s
}

func decode(b []byte) (message, error) {
	r := wire.Reader{B: b}
	if r.Fixed(1)[0] != formatVersion {
		return message{}, errMalformed
	}
	m := message{boot: r.Uvarint(), seq: r.Uvarint()}
	for range r.Count(maxEntries) {
		x := ask{statement: readStatement(&r)}
		for i := range levels {
			x.demand[i] = r.Count(maxCount)
		}
		x.returned = r.Count(maxCount)
		m.asks = append(m.asks, x)
	}
	for range r.Count(maxEntries) {
		x := answer{statement: readStatement(&r), granted: r.Count(maxCount)}
		for level := range policy.ShareLevels {
			if x.backlog.VMs[level] = r.Count(maxCount); x.backlog.VMs[level] > 0 {
				x.backlog.Turn[level] = r.Count(maxCount)
			}
		}
		m.answers = append(m.answers, x)
	}
	if r.Malformed {
		return message{}, errMalformed
	}
	return m, nil
}
