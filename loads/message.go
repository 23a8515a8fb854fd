package loads

import (
	"encoding/binary"
	"errors"

	"bergamotcroft.example/bergamot/internal/wire"
	"bergamotcroft.example/bergamot/policy"
	"bergamotcroft.example/bergamot/quarantine"
	"bergamotcroft.example/bergamot/versions"
)

// message is the content of one datagram.
type message struct {
	boot       uint64 // of the sending process; grows with each start
	seq        uint64
	dataCentre string // of a sum; empty for the loads of one VM
	part       uint64 // of a sum sent in parts, which divide the upstreams by their hashes
	parts      uint64
	loads      []load
	placements []placement
	gone       []uint32 // hashes of upstreams whose address another upstream has taken over
	// crashes are requests that crashed an upstream, and changes of their state since.
	crashes []Crash
	limits  []limitNotice
	// partNotices are about parts of prompts that crash upstreams.
	partNotices []quarantine.PartNotice
	// starts are streams that have begun while software versions mix; plansRevision is that of the plans by which they did.
	starts        []versions.Start
	plansRevision uint64
}

// Crash reports that a request crashed an upstream, or a later state of that request.
type Crash struct {
	Request uint64 // its fingerprint
	ID      uint32 // of the crash, or a constant of package quarantine for a later state
}

// load is the work in flight at one upstream.
type load struct {
	upstream     uint32 // hash of the name
	running      uint64
	promptTokens uint64
}

// placement states that an upstream holds, or will soon hold, the parts of a prompt.
type placement struct {
	upstream uint32
	parts    []policy.Part
}

const (
	promptUnit    = 64 // tokens; finer steps change no routing decision
	maxLoads      = 256
	maxPlacements = 32 // in one datagram
	maxGone       = 32 // in one datagram
	maxCrashes    = 48 // in one datagram; the crash of a large engine may involve more requests, which follow in the next one
	maxParts      = 8
	maxDatagram   = 1400 // bytes, below the usual MTU
)

var errMalformed = errors.New("malformed load message")

func (m *message) encode() []byte {
	b := make([]byte, 0, 256)
	b = binary.AppendUvarint(b, m.boot)
	b = binary.AppendUvarint(b, m.seq)
	b = binary.AppendUvarint(b, uint64(len(m.dataCentre)))
	b = append(b, m.dataCentre...)
	if m.dataCentre != "" {
		b = binary.AppendUvarint(b, m.part)
		b = binary.AppendUvarint(b, m.parts)
	}
	b = binary.AppendUvarint(b, uint64(len(m.loads)))
	for _, l := range m.loads {
		b = binary.BigEndian.AppendUint32(b, l.upstream)
		b = binary.AppendUvarint(b, l.running)
		b = binary.AppendUvarint(b, (l.promptTokens+promptUnit/2)/promptUnit)
	}
	b = binary.AppendUvarint(b, uint64(len(m.placements)))
	for _, p := range m.placements {
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
	return appendStarts(appendPartNotices(appendLimits(b, m.limits), m.partNotices), m.starts, m.plansRevision)
}

func decode(b []byte) (message, error) {
	r := wire.Reader{B: b}
	m := message{boot: r.Uvarint(), seq: r.Uvarint()}
	m.dataCentre = string(r.Fixed(r.Count(maxDataCentreBytes)))
	if m.dataCentre != "" {
		m.part, m.parts = r.Uvarint(), r.Uvarint()
		r.Malformed = r.Malformed || m.parts > maxRelayedParts || m.part >= m.parts
	}
	for range r.Count(maxLoads) {
		m.loads = append(m.loads, load{binary.BigEndian.Uint32(r.Fixed(4)), r.Uvarint(), r.Uvarint() * promptUnit})
	}
	for range r.Count(maxPlacements) {
		p := placement{upstream: binary.BigEndian.Uint32(r.Fixed(4))}
		for range r.Count(maxParts) {
			p.parts = append(p.parts, policy.Part{ID: binary.BigEndian.Uint64(r.Fixed(8)), Tokens: int(min(r.Uvarint(), 1<<24))})
		}
		m.placements = append(m.placements, p)
	}
	for range r.Count(maxGone) {
		m.gone = append(m.gone, binary.BigEndian.Uint32(r.Fixed(4)))
	}
	for range r.Count(maxCrashes) {
		m.crashes = append(m.crashes, Crash{binary.BigEndian.Uint64(r.Fixed(8)), binary.BigEndian.Uint32(r.Fixed(4))})
	}
	m.limits = readLimits(&r)
	m.partNotices = readPartNotices(&r)
	m.starts, m.plansRevision = readStarts(&r)
	if r.Malformed {
		return message{}, errMalformed
	}
	return m, nil
}
