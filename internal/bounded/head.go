package bounded

import "bytes"

// MaxHeadLines bounds the lines of the head of a response that this system reads as a client. Typical heads have 5 to 20 lines; net/http holds
// each in well over 100 bytes, however short it is.
const MaxHeadLines = 1000

// HeadCounter counts the lines and bytes of the head of a message while they are read in parts.
type HeadCounter struct {
	Size, Lines, EmptyLines int // EmptyLines are those before the head
	lineLength              int
	startsWithCR            bool // of the line
}

// Count counts bytes up to the end of the head and reports whether that is among them.
func (h *HeadCounter) Count(b []byte) (ended bool) {
	for len(b) > 0 {
		n := bytes.IndexByte(b, '\n')
		part := b
		if n >= 0 {
			part = b[:n]
		}
		if h.lineLength == 0 && len(part) > 0 {
			h.startsWithCR = part[0] == '\r'
		}
		h.lineLength += len(part)
		h.Size += len(part)
		if n < 0 {
			return false
		}
		b = b[n+1:]
		h.Size++
		empty := h.lineLength == 0 || h.lineLength == 1 && h.startsWithCR
		switch {
		case empty && h.Lines > 0:
			return true
		case empty:
			h.EmptyLines++
		default:
			h.Lines++
		}
		h.lineLength, h.startsWithCR = 0, false
	}
	return false
}
