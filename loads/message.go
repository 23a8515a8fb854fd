package loads

import (
	"encoding/binary"
	"errors"

	"bergamotcroft.example/bergamot/policy"
)

// message is what an entry VM tells its peers.
type message struct {
	boot   uint64 // start of the process
	seq    uint64
	centre string // of a sum: its data centre; empty: the sender's own
	part   uint64 // of a sum that is sent in parts, which share the upstreams by their hashes
	parts  uint64
	loads  []load
	places []placement
	gone   []uint32 // hashes of upstreams whose address another one has
	// crashes are requests that crashed an upstream, and what became of them.
	crashes []Crash
}

// Crash says that a request crashed an upstream, or what became of it since.
type Crash struct {
	Request uint64 // its fingerprint
	ID      uint32 // of the crash, or one of the quarantine's values that stand in its place
}

// load is the work in hand at one upstream.
type load struct {
	upstream uint32 // hash of the name
	running  uint64
	prompt   uint64 // tokens
}

// placement says that an upstream has or will soon have the parts of a prompt.
type placement struct {
	upstream uint32
	parts    []policy.Part
}

const (
	promptUnit  = 64 // tokens; finer steps change no decision
	maxLoads    = 256
	maxPlaces   = 32 // in one datagram
	maxGone     = 32 // in one datagram
	maxCrashes  = 48 // in one datagram; a large engine takes some more with it
	maxParts    = 8
	maxDatagram = 1400 // bytes, below the usual MTU
)

var errMalformed = errors.New("malformed load message")

func (m *message) encode() []byte {
	b := make([]byte, 0, 256)
	b = binary.AppendUvarint(b, m.boot)
	b = binary.AppendUvarint(b, m.seq)
	b = binary.AppendUvarint(b, uint64(len(m.centre)))
	b = append(b, m.centre...)
	if m.centre != "" {
		b = binary.AppendUvarint(b, m.part)
		b = binary.AppendUvarint(b, m.parts)
	}
	b = binary.AppendUvarint(b, uint64(len(m.loads)))
	for _, l := range m.loads {
		b = binary.BigEndian.AppendUint32(b, l.upstream)
		b = binary.AppendUvarint(b, l.running)
		b = binary.AppendUvarint(b, (l.prompt+promptUnit/2)/promptUnit)
	}
	b = binary.AppendUvarint(b, uint64(len(m.places)))
	for _, p := range m.places {
		b = binary.BigEndian.AppendUint32(b, p.upstream)
		b = binary.AppendUvarint(b, uint64(len(p.parts)))
		for _, x := range p.parts {
			b = binary.BigEndian.AppendUint64(b, x.ID)
			b = binary.AppendUvarint(b, uint64(x.Tokens))
		}
	}
	b = binary.AppendUvarint(b, uint64(len(m.gone)))
	for _, u := range m.gone {
		b = binary.BigEndian.AppendUint32(b, u)
	}
	b = binary.AppendUvarint(b, uint64(len(m.crashes)))
	for _, c := range m.crashes {
		b = binary.BigEndian.AppendUint64(b, c.Request)
		b = binary.BigEndian.AppendUint32(b, c.ID)
	}
	return b
}

// reader takes numbers off a datagram.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) fixed(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) count(limit int) int {
	n := r.number()
	if n > uint64(limit) {
		r.bad = true
		return 0
	}
	return int(n)
}

func decode(b []byte) (message, error) {
	r := reader{b: b}
	m := message{boot: r.number(), seq: r.number()}
	m.centre = string(r.fixed(r.count(maxCentre)))
	if m.centre != "" {
		m.part, m.parts = r.number(), r.number()
		r.bad = r.bad || m.parts > maxRelayedParts || m.part >= m.parts
	}
	for range r.count(maxLoads) {
		m.loads = append(m.loads, load{binary.BigEndian.Uint32(r.fixed(4)), r.number(), r.number() * promptUnit})
	}
	for range r.count(maxPlaces) {
		p := placement{upstream: binary.BigEndian.Uint32(r.fixed(4))}
		for range r.count(maxParts) {
			p.parts = append(p.parts, policy.Part{ID: binary.BigEndian.Uint64(r.fixed(8)), Tokens: int(min(r.number(), 1<<24))})
		}
		m.places = append(m.places, p)
	}
	for range r.count(maxGone) {
		m.gone = append(m.gone, binary.BigEndian.Uint32(r.fixed(4)))
	}
	for range r.count(maxCrashes) {
		m.crashes = append(m.crashes, Crash{binary.BigEndian.Uint64(r.fixed(8)), binary.BigEndian.Uint32(r.fixed(4))})
	}
	if r.bad {
		return message{}, errMalformed
	}
	return m, nil
}
