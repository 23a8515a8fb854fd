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

// Guards against buffers of many connections that together use more than the budget, and against a closed one that is still counted.
func TestBuffersShareTheBudget(t *testing.T) {
	is := is.New(t)
	const initial = 8 << 10
	b := NewBudget(kernelFactor * (3*initial + MaxBytes))
	conns := make([]resized, 3)
	buffers := make([]*Buffer, len(conns))
	for i := range conns {
		buffers[i] = b.Add(&conns[i], initial)
	}
	buffers[0].Grow(64 << 20)
	is.Equal(conns[0], resized{MaxBytes})
	buffers[1].Grow(16 << 10) // what the first one's growth leaves
	is.True(b.Used() <= kernelFactor*(3*initial+MaxBytes))
	buffers[2].Grow(MaxBytes) // nothing is left: it keeps its size
	is.Equal(len(conns[2]), 0)

	buffers[0].Shrink()
	is.Equal(conns[0], resized{MaxBytes, initial})
	buffers[2].Grow(MaxBytes)
	is.Equal(len(conns[2]), 1)
	for _, x := range buffers {
		x.Release()
		x.Release()
		x.Grow(MaxBytes) // closed
		x.Shrink()
	}
	is.Equal(b.Used(), int64(0))
	(*Buffer)(nil).Grow(1)
}

// Guards against a connection that loses the packets of its next large message, though the budget allows it.
func TestALargeBufferStaysWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	const initial = 8 << 10
	b := NewBudget(5 * kernelFactor * MaxBytes)
	conns := make([]resized, 3)
	buffers := make([]*Buffer, len(conns))
	for i := range conns {
		buffers[i] = b.Add(&conns[i], initial)
		buffers[i].Grow(MaxBytes)
	}
	buffers[0].Shrink() // three of five are more than half
	buffers[1].Shrink()
	is.Equal(conns[0], resized{MaxBytes, initial})
	is.Equal(conns[1], resized{MaxBytes})
}
