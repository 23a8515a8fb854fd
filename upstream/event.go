package upstream

import (
	"errors"
	"strconv"
)

// Event is one event of an engine's stream. Its slices point into the stream's buffer and are valid until the next read.
type Event struct {
	RequestID    []byte
	Attempt      []byte
	Index        int    // position of the token in the answer, from 0
	Token        []byte // as a JSON string literal with its quotes
	End          bool   // whether this is the end marker; the fields below are set only there
	Count        int    // tokens of the complete answer
	FinishReason []byte
	PromptTokens int
	CachedTokens int
}

var errMalformed = errors.New("malformed event")

// parse reads one flat JSON object into e without allocating. Unknown fields with scalar values are skipped.
func (e *Event) parse(b []byte) error {
	*e = Event{Index: -1, Count: -1}
	s := scanner{b: b}
	if !s.accept('{') {
		return errMalformed
	}
	for {
		key, ok := s.stringLiteral()
		if !ok || !s.accept(':') {
			return errMalformed
		}
		value, ok := s.scalar()
		if !ok || !e.set(key[1:len(key)-1], value) {
			return errMalformed
		}
		if s.accept(',') {
			continue
		}
		if s.accept('}') && s.remaining() == 0 {
			return nil
		}
		return errMalformed
	}
}

// set stores a field and reports whether its value is valid.
func (e *Event) set(key, value []byte) bool {
	ok := true
	switch string(key) {
	case "request_id":
		e.RequestID, ok = unquote(value)
	case "attempt":
		e.Attempt, ok = unquote(value)
	case "finish_reason":
		e.FinishReason, ok = unquote(value)
	case "token":
		ok = value[0] == '"'
		e.Token = value
	case "end":
		e.End = string(value) == "true"
	case "index":
		e.Index, ok = parseCount(value)
	case "count":
		e.Count, ok = parseCount(value)
	case "prompt_tokens":
		e.PromptTokens, ok = parseCount(value)
	case "cached_tokens":
		e.CachedTokens, ok = parseCount(value)
	}
	return ok
}

// unquote strips the quotes of a string literal. It rejects escape sequences, which identifiers do not contain.
func unquote(v []byte) ([]byte, bool) {
	if v[0] != '"' {
		return nil, false
	}
	v = v[1 : len(v)-1]
	for _, c := range v {
		if c == '\\' {
			return nil, false
		}
	}
	return v, true
}

func parseCount(v []byte) (int, bool) {
	n, err := strconv.Atoi(string(v)) // the compiler does not allocate for this conversion
	return n, err == nil && n >= 0
}

// scanner reads the tokens of a flat JSON object.
type scanner struct {
	b []byte
	i int
}

func (s *scanner) skipSpace() {
	for s.i < len(s.b) && (s.b[s.i] == ' ' || s.b[s.i] == '\t' || s.b[s.i] == '\r') {
		s.i++
	}
}

// accept skips white space and reports whether c follows; if so, it moves past c.
func (s *scanner) accept(c byte) bool {
	s.skipSpace()
	if s.i >= len(s.b) || s.b[s.i] != c {
		return false
	}
	s.i++
	return true
}

func (s *scanner) remaining() int {
	s.skipSpace()
	return len(s.b) - s.i
}

// stringLiteral reads a string literal and returns it with its quotes.
func (s *scanner) stringLiteral() ([]byte, bool) {
	s.skipSpace()
	start := s.i
	if s.i >= len(s.b) || s.b[s.i] != '"' {
		return nil, false
	}
	for s.i++; s.i < len(s.b); s.i++ {
		switch c := s.b[s.i]; {
		case c == '"':
			s.i++
			return s.b[start:s.i], true
		case c == '\\':
			if !s.escape() {
				return nil, false
			}
		case c < ' ':
			return nil, false
		}
	}
	return nil, false
}

// escape checks the escape sequence at s.i and moves to its last byte.
func (s *scanner) escape() bool {
	s.i++
	if s.i >= len(s.b) {
		return false
	}
	switch s.b[s.i] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		if s.i+4 >= len(s.b) {
			return false
		}
		for _, c := range s.b[s.i+1 : s.i+5] {
			if (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'f') {
				return false
			}
		}
		s.i += 4
		return true
	}
	return false
}

// scalar reads a scalar value. Values other than strings are not validated.
func (s *scanner) scalar() ([]byte, bool) {
	s.skipSpace()
	if s.i < len(s.b) && s.b[s.i] == '"' {
		return s.stringLiteral()
	}
	start := s.i
	for s.i < len(s.b) && s.b[s.i] != ',' && s.b[s.i] != '}' && s.b[s.i] != '{' && s.b[s.i] != '[' {
		s.i++
	}
	return s.b[start:s.i], s.i > start
}
