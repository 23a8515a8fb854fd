package recvbuf

import (
	"testing"

	"github.com/matryer/is"
)

type resized []int

func (r *resized) SetReadBuffer(bytes int) error {
	*r = append(*r, bytes)
	return nil
}

// Guards against buffers of many connections that together use more than the budget, and against room that a closed one keeps.
func TestBuffersShareTheBudget(t *testing.T) {
	is := is.New(t)
	const initial = 8 << 10
	b := NewBudget(kernelFactor * (3*initial + maxBytes))
	conns := make([]resized, 3)
	buffers := make([]*Buffer, len(conns))
	for i := range conns {
		buffers[i] = b.Add(&conns[i], initial)
	}
	buffers[0].Grow(64 << 20)
	is.Equal(conns[0], resized{maxBytes})
	buffers[1].Grow(16 << 10) // into the room that the first one's growth leaves
	is.True(b.Used() <= kernelFactor*(3*initial+maxBytes))
	buffers[2].Grow(maxBytes) // no room: it keeps its size
	is.Equal(len(conns[2]), 0)

	buffers[0].Shrink()
	is.Equal(conns[0], resized{maxBytes, initial})
	buffers[2].Grow(maxBytes)
	is.Equal(len(conns[2]), 1)
	for _, x := range buffers {
		x.Release()
		x.Release()
		x.Grow(maxBytes) // closed
		x.Shrink()
	}
	is.Equal(b.Used(), int64(0))
	(*Buffer)(nil).Grow(1)
}
