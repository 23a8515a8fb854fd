package ingress

import (
	"context"
	"encoding/binary"
)

// Limits of a connection of HTTP/2 until a request on it has been verified. A peer's first call is verified within a round trip.
const (
	// ordinaryStreams and ordinaryData are part of connBytes.
	ordinaryStreams = 4
	ordinaryData    = 4 << 10
	// streamBytes is the memory of a stream: a goroutine, its state, and a header list of 8 KB, whose fields may be repeated by index and
	// so have no relation to the bytes that arrive.
	streamBytes = 20 << 10
	// dataCopies is how often a message may be held while its buffer grows.
	dataCopies = 2
	// controlBytes is the memory of the answer to a frame, which waits until the client reads.
	controlBytes    = 256
	ordinaryControl = 16 // part of connBytes
	// concurrentStreams is what a client is told to open at a time. A peer's transport opens no more before it is told.
	concurrentStreams = 100
	// maxStreams is above what a peer opens before its first answer.
	maxStreams = 2 * concurrentStreams
	// maxControlFrames is far above the few that a peer sends before its first answer.
	maxControlFrames = 1000
	// maxFrameBytes is the least limit that RFC 9113, section 4.2, permits and the one that Protect sets.
	maxFrameBytes = 16 << 10
)

// Preface of HTTP/2 (RFC 9113, section 3.4).
const (
	prefaceBytes = 24
	prefaceStart = "PRI"
)

// Frame types (RFC 9113, section 6).
const (
	frameData    = 0
	frameHeaders = 1
)

const frameHeadBytes = 9

// frameCounter counts the frames of a connection of HTTP/2 while they are read in parts.
type frameCounter struct {
	skip             int // bytes of the preface or of a payload that are still to come
	head             [frameHeadBytes]byte
	headLen          int
	oversized        bool
	streams, control int
	data             int64
}

// Count counts bytes that have been read.
func (f *frameCounter) Count(b []byte) {
	for len(b) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(b))
			f.skip -= n
			b = b[n:]
			continue
		}
		n := copy(f.head[f.headLen:], b)
		f.headLen += n
		b = b[n:]
		if f.headLen == frameHeadBytes {
			f.headLen = 0
			f.countFrame()
		}
	}
}

func (f *frameCounter) countFrame() {
	f.skip = int(binary.BigEndian.Uint32(f.head[:4]) >> 8)
	f.oversized = f.oversized || f.skip > maxFrameBytes
	switch f.head[3] {
	case frameData:
		f.data += int64(f.skip)
		f.control++ // an empty one takes memory, too
	case frameHeaders:
		f.streams++
	default:
		f.control++
	}
}

// exceeded returns the reason for which the connection must be closed whatever else is held, if there is one.
func (f *frameCounter) exceeded() string {
	switch {
	case f.oversized:
		return "frame"
	case f.streams > maxStreams:
		return "streams"
	case f.control > maxControlFrames+int(f.data/maxFrameBytes):
		return "frames"
	}
	return ""
}

// cost returns the memory above that of an ordinary connection.
func (f *frameCounter) cost() int64 {
	return int64(max(f.streams-ordinaryStreams, 0)*streamBytes+max(f.control-ordinaryControl, 0)*controlBytes) + dataCost(f.data)
}

// dataCost returns the memory of a message of which n bytes have arrived, above that of a short one.
func dataCost(n int64) int64 { return max(n-ordinaryData, 0) * dataCopies }

// countFrames counts bytes of a connection of HTTP/2. It returns the reason for which the connection must be closed, if there is one.
func (c *conn) countFrames(b []byte) string {
	c.frames.Count(b)
	if reason := c.frames.exceeded(); reason != "" {
		return reason
	}
	return c.hold(connBytes + c.frames.cost())
}

// hold charges the connection for what it holds, unless it is verified. It returns the reason for which the connection must be closed, if
// there is one.
func (c *conn) hold(n int64) string {
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone || !c.verified.Load() && !g.charge(c, n) {
		return "memory"
	}
	return ""
}

// Verified notes that the sender of the request whose context is given has proved to be a peer. Frames and messages on its connection are no
// longer counted, and a connection of HTTP/2 is no longer closed in favour of others.
func Verified(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.verified.Swap(true) {
		return
	}
	_ = c.SetReadBuffer(peerReadBytes) // fails only on a connection that has ended
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.gone {
		g.charge(c, connBytes)
	}
}
