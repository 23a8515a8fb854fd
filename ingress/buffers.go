package ingress

import (
	"net"
	"syscall"

	"go.uber.org/zap"
)

// The kernel's buffers of a connection. What the kernel has received and the process has not read counts towards the VM's memory.
const (
	// minReadBytes is the buffer for reading that a connection has from its first packet on. An ordinary head fits.
	minReadBytes = 8 << 10
	// maxReadBytes is that of a connection with a large body. Requests of 4 MB on loopback take 4 % longer with half of it.
	maxReadBytes = 512 << 10
	// peerReadBytes is that of a verified peer, whose messages have a few KB.
	peerReadBytes = 64 << 10
	// writeBytes is the buffer for writing of a client's connection. Answers stall with 32 KB, where a segment on loopback has 64 KB.
	writeBytes = 128 << 10
	// kernelFactor is how many times the size of a buffer Linux may use.
	kernelFactor = 2
)

// boundBuffers sets the buffers of a listener, which its connections inherit before they are accepted. A buffer that is made smaller later
// holds what the client was told that it may send.
func (l *listener) boundBuffers() {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, minReadBytes)
			if err == nil && !l.peers { // peers fetch large answers from other regions
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, writeBytes)
			}
		})
	}
	if err != nil {
		l.guard.opts.Log.Warn("the kernel's buffers of clients are not bounded", zap.String("listener", l.name), zap.Error(err))
	}
}

// expectBody gives the connection a buffer for a body of which n bytes are still to come, as large as the budget allows. Without room it
// keeps the smaller one, and the body takes longer.
func (c *conn) expectBody(n int64) {
	size := min(n, maxReadBytes)
	g := c.listener.guard
	g.mu.Lock()
	for size > c.readBuffer && g.maxBytes > 0 && g.buffers+kernelFactor*(size-c.readBuffer) > g.maxBytes {
		size /= 2
	}
	grows := !c.gone && size > c.readBuffer
	if grows {
		g.setReadBuffer(c, size)
	}
	g.mu.Unlock()
	if grows {
		_ = c.SetReadBuffer(int(size)) // fails only on a connection that has ended
	}
}

// releaseBuffer gives a body's buffer back.
func (c *conn) releaseBuffer() {
	g := c.listener.guard
	g.mu.Lock()
	large := !c.gone && c.readBuffer > minReadBytes
	g.mu.Unlock()
	if !large {
		return
	}
	_ = c.SetReadBuffer(minReadBytes) // before others get the room
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.gone {
		g.setReadBuffer(c, minReadBytes)
	}
}

// setReadBuffer counts the buffer of a connection. Callers hold g.mu.
func (g *Guard) setReadBuffer(c *conn, size int64) {
	g.buffers += kernelFactor * (size - c.readBuffer)
	c.readBuffer = size
}
