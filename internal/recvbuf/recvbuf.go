// Package recvbuf bounds the kernel's buffers for what a process has received and not yet read, which count towards the memory of its
// machine.
//
// A connection has a small buffer from its first packet on, since a window that has been advertised is not taken back when the buffer is
// made smaller. It gets a larger one while a large message is read, as far as a Budget allows; otherwise the message takes longer.
package recvbuf

import (
	"sync"
	"syscall"
)

// kernelFactor is how many times the size of a buffer Linux may use.
const kernelFactor = 2

// MaxBytes is the size of the largest buffer. Requests of 4 MB on loopback are no faster with twice as much.
const MaxBytes = 256 << 10

// SetInitial sets the buffer of a socket that is to connect, or of the connections that a listening one will accept.
func SetInitial(c syscall.RawConn, bytes int) error { return SetOption(c, syscall.SO_RCVBUF, bytes) }

// SetOption sets SO_RCVBUF or SO_SNDBUF of a socket.
func SetOption(c syscall.RawConn, option, bytes int) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, bytes) }); err != nil {
		return err
	}
	return failed
}

// Budget bounds the bytes that the buffers of many connections may use.
type Budget struct {
	mu        sync.Mutex
	max, used int64
}

// NewBudget returns a Budget of max bytes; 0: not bounded.
func NewBudget(max int64) *Budget { return &Budget{max: max} }

// Used returns the bytes that the buffers may use at present.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Conn is a connection whose buffer can be resized.
type Conn interface{ SetReadBuffer(bytes int) error }

// Buffer is the buffer of one connection. A nil Buffer is that of a connection without one.
type Buffer struct {
	budget        *Budget
	conn          Conn
	initial, size int64
	released      bool
}

// Add counts the buffer of a connection that has an initial size. Initial buffers are counted without a limit, since the number of
// connections is bounded elsewhere.
func (b *Budget) Add(c Conn, initial int64) *Buffer {
	x := &Buffer{budget: b, conn: c, initial: initial}
	b.mu.Lock()
	defer b.mu.Unlock()
	x.resize(initial)
	return x
}

// resize counts another size. The budget's lock is held.
func (x *Buffer) resize(size int64) {
	x.budget.used += kernelFactor * (size - x.size)
	x.size = size
}

// Grow enlarges the buffer for a message of n bytes, as far as the budget allows.
func (x *Buffer) Grow(n int64) {
	if x == nil {
		return
	}
	b := x.budget
	b.mu.Lock()
	size := min(n, MaxBytes)
	for size > x.size && b.max > 0 && b.used+kernelFactor*(size-x.size) > b.max {
		size /= 2
	}
	grows := !x.released && size > x.size
	if grows {
		x.resize(size)
	}
	b.mu.Unlock()
	if grows {
		_ = x.conn.SetReadBuffer(int(size)) // fails only on a connection that has ended
	}
}

// Shrink gives the buffer its initial size again if more than half of the budget is used. Otherwise it stays, since the sender's window
// stays as well: the kernel would drop what a smaller buffer can't take, and the sender repeat it after a timeout.
func (x *Buffer) Shrink() {
	if x == nil {
		return
	}
	b := x.budget
	b.mu.Lock()
	due := !x.released && x.size > x.initial && b.max > 0 && b.used > b.max/2
	b.mu.Unlock()
	if !due {
		return
	}
	_ = x.conn.SetReadBuffer(int(x.initial)) // before others can take it
	b.mu.Lock()
	defer b.mu.Unlock()
	if !x.released {
		x.resize(x.initial)
	}
}

// Release ends the count of a connection that is closed.
func (x *Buffer) Release() {
	if x == nil {
		return
	}
	x.budget.mu.Lock()
	defer x.budget.mu.Unlock()
	if !x.released {
		x.resize(0)
		x.released = true
	}
}
