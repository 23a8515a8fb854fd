package ingress

import (
	"net"
	"syscall"

	"go.uber.org/zap"

	"bergamotcroft.example/bergamot/internal/recvbuf"
)

// The kernel's buffers of a connection.
const (
	// minReadBytes is the buffer for reading until a large body is read. An ordinary head fits.
	minReadBytes = 8 << 10
	// peerReadBytes is that of a verified peer, whose messages have a few KB.
	peerReadBytes = 64 << 10
	// writeBytes is the buffer for writing of a client's connection. Answers stall with 32 KB, where a segment on loopback has 64 KB.
	writeBytes = 128 << 10
)

// ReadBuffers returns the budget of the kernel's buffers for reading, which other connections of the process share.
func (g *Guard) ReadBuffers() *recvbuf.Budget { return g.readBuffers }

// boundBuffers sets the buffers that the connections of a listener inherit.
func (l *listener) boundBuffers() {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = recvbuf.SetInitial(raw, minReadBytes)
	}
	if err == nil && !l.peers { // peers fetch large answers from other regions
		err = recvbuf.SetOption(raw, syscall.SO_SNDBUF, writeBytes)
	}
	if err != nil {
		l.guard.opts.Log.Warn("the kernel's buffers of clients are not bounded", zap.String("listener", l.name), zap.Error(err))
	}
}
