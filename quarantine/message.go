package quarantine

import (
	"encoding/binary"
	"time"

	"bergamotcroft.example/bergamot/membership"
)

// eventKind is the kind of the broadcast events.
const eventKind = "quarantine"

type messageType byte

const (
	msgCrash   messageType = iota + 1 // a run crashed its upstream
	msgClaim                          // the sender wants to run the fingerprint
	msgRunning                        // the sender runs the fingerprint
	msgRelease                        // the sender neither runs nor claims the fingerprint
	msgClear                          // the fingerprint is no longer suspect: a run completed or got past the crash
)

// message is one entry of a broadcast: type, fingerprint and crash identifier.
type message struct {
	kind  messageType
	fp    Fingerprint
	crash uint64
}

const (
	messageBytes     = 1 + 8 + 8
	messagesPerEvent = membership.MaxEventBytes / messageBytes
)

// enqueue queues a message for the other members. Messages queued within BatchDelay share a broadcast, since the crash
// of an engine makes a whole batch suspect at once.
func (q *Quarantine) enqueue(kind messageType, fp Fingerprint, crash uint64) {
	if q.opts.List == nil {
		return
	}
	q.outbox = append(q.outbox, message{kind, fp, crash})
	if q.flushing {
		return
	}
	q.flushing = true
	if q.opts.BatchDelay < 0 {
		go q.flush()
		return
	}
	time.AfterFunc(q.opts.BatchDelay, q.flush)
}

func (q *Quarantine) flush() {
	q.mu.Lock()
	out := q.outbox
	q.outbox, q.flushing = nil, false
	q.mu.Unlock()
	for len(out) > 0 {
		n := min(len(out), messagesPerEvent)
		payload := make([]byte, 0, n*messageBytes)
		for _, m := range out[:n] {
			payload = append(payload, byte(m.kind))
			payload = binary.BigEndian.AppendUint64(payload, uint64(m.fp))
			payload = binary.BigEndian.AppendUint64(payload, m.crash)
		}
		_ = q.opts.List.Broadcast(eventKind, payload)
		out = out[n:]
	}
}

// handleEvent applies the messages of another member's broadcast.
func (q *Quarantine) handleEvent(e membership.Event) {
	if e.Origin == q.self {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for b := e.Payload; len(b) >= messageBytes; b = b[messageBytes:] {
		m := message{messageType(b[0]), Fingerprint(binary.BigEndian.Uint64(b[1:])), binary.BigEndian.Uint64(b[9:])}
		q.apply(e.Origin, m)
	}
}

func (q *Quarantine) apply(origin string, m message) {
	if m.kind == msgCrash {
		s := q.recordCrash(m.fp, m.crash)
		delete(s.claims, origin)
		if q.running[m.fp] > 0 {
			q.enqueue(msgRunning, m.fp, 0) // the other members wait until this run has ended
		}
		return
	}
	s := q.suspect(m.fp)
	if s == nil {
		return
	}
	switch m.kind {
	case msgClaim, msgRunning:
		_, known := s.claims[origin]
		s.claims[origin] = claim{q.opts.Now(), m.kind == msgRunning}
		if q.running[m.fp] > 0 && !known {
			q.enqueue(msgRunning, m.fp, 0)
		}
	case msgRelease:
		delete(s.claims, origin)
	case msgClear:
		delete(q.suspects, m.fp)
	}
	s.notifyChanged()
}
