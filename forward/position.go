package forward

import (
	"bytes"
	"sync/atomic"
)

// position is the place that a stream has reached: the identifier of its last event.
type position struct {
	id       []byte // nil: no event with an identifier yet
	number   int64  // of id, if numbered
	numbered bool   // the identifiers are numbers, which increase
	step     step
	// dataWithoutID is set while the last data had no identifier, so that no other upstream can go on after it.
	dataWithoutID bool
}

// step is how the numbers of a stream's events have increased so far.
type step int

const (
	stepUnknown step = iota
	stepOne          // consecutive
	stepOther
)

// startAfter returns the position of a caller that has the events up to id. Only a number tells which events come next.
func startAfter(id string) position {
	n, ok := parseNumber([]byte(id))
	if !ok {
		return position{}
	}
	return position{id: []byte(id), number: n, numbered: true}
}

// maxNumberDigits bounds identifiers that are taken as numbers, so that they fit in an int64.
const maxNumberDigits = 18

// parseNumber parses an identifier that consists of decimal digits.
func parseNumber(id []byte) (n int64, ok bool) {
	if len(id) == 0 || len(id) > maxNumberDigits {
		return 0, false
	}
	for _, c := range id {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// fit is how an event's identifier relates to a position.
type fit int

const (
	follows fit = iota
	repeats
	decreases
	skips
	mixedKinds // a number after another text, or the reverse
)

// fit returns how an event with this identifier relates to the position. Of identifiers that are no numbers only equal ones are
// known not to follow.
func (p *position) fit(id []byte) fit {
	if p.id == nil {
		return follows
	}
	n, numbered := parseNumber(id)
	switch {
	case numbered != p.numbered:
		return mixedKinds
	case !numbered:
		if bytes.Equal(id, p.id) {
			return repeats
		}
		return follows
	case n == p.number:
		return repeats
	case n < p.number:
		return decreases
	case p.step == stepOne && n != p.number+1:
		return skips
	}
	return follows
}

// advance moves the position to an event that follows it.
func (p *position) advance(id []byte) {
	n, numbered := parseNumber(id)
	if p.id != nil && numbered {
		if p.step != stepOther && n == p.number+1 {
			p.step = stepOne
		} else {
			p.step = stepOther
		}
	}
	p.id, p.number, p.numbered, p.dataWithoutID = append(p.id[:0], id...), n, numbered, false
}

// clone returns a copy that shares no memory.
func (p *position) clone() position {
	c := *p
	c.id = bytes.Clone(p.id)
	return c
}

// Reasons why an answer does not continue a stream.
const (
	reasonMediaType  = "media type"
	reasonEncoding   = "content encoding"
	reasonStatus     = "status"
	reasonNoEvent    = "no event"
	reasonNoID       = "event without id"
	reasonRepeats    = "id repeated"
	reasonDecreases  = "id set back"
	reasonSkips      = "id left out"
	reasonMixedKinds = "id of another kind"
)

// sequence checks the events of one attempt against the position of the stream.
type sequence struct {
	position
	continues bool         // an earlier attempt has begun the stream
	accepted  bool         // an event of this attempt has been accepted
	repeated  bool         // this attempt has repeated the event before its first one
	movable   *atomic.Bool // set while another upstream can go on from the position; nil: not asked for
}

func (s *sequence) setMovable(movable bool) {
	if s.movable != nil && s.movable.Load() != movable {
		s.movable.Store(movable)
	}
}

// next reports whether an event is to be relayed. reason is why it does not continue the stream; empty: it does, or it may be dropped.
func (s *sequence) next(ev *event) (relay bool, reason string) {
	if len(ev.id) == 0 {
		// Nothing is relayed before an event that shows that the answer continues from the position.
		waiting := !s.accepted && (s.continues || s.id != nil)
		switch {
		case !ev.data:
			return !waiting, ""
		case waiting && s.id != nil:
			return false, reasonNoID
		}
		s.accepted, s.dataWithoutID = true, true
		s.setMovable(false)
		return true, ""
	}
	switch s.fit(ev.id) {
	case repeats:
		if s.accepted || s.repeated {
			return false, reasonRepeats
		}
		s.repeated = true // some upstreams repeat the event after which they go on
		return false, ""
	case decreases:
		return false, reasonDecreases
	case skips:
		return false, reasonSkips
	case mixedKinds:
		return false, reasonMixedKinds
	}
	s.accepted = true
	s.advance(ev.id)
	s.setMovable(true)
	return true, ""
}
