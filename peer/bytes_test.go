package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

type countingListener struct {
	net.Listener
	bytes, segments *atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	c.l.segments.Add(1)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	c.l.segments.Add(1)
	return n, err
}

// Guards against calls whose headers take more bytes than the budgets of limits and membership allow for.
func TestBytesOfASmallCall(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &countingListener{inner, new(atomic.Int64), new(atomic.Int64)}
	d := &peerv1.Demand{Account: 1 << 60, Requests: 3.7, Tokens: 812, Concurrent: 2}
	s, err := New(Options{Listener: l, Secret: "s", Handlers: &Handlers{
		ExchangeShares: func(context.Context, *peerv1.ExchangeSharesRequest) (*peerv1.ExchangeSharesResponse, error) {
			return &peerv1.ExchangeSharesResponse{Demands: []*peerv1.Demand{d}}, nil
		}}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c := NewClient(ClientOptions{Secret: "s"})
	request := &peerv1.ExchangeSharesRequest{From: "entry-vm-0001", Demands: []*peerv1.Demand{d}}
	call := func() {
		_, err := c.ExchangeShares(t.Context(), inner.Addr().String(), request)
		is.NoErr(err)
	}
	call() // the first call opens the connection and fills the header compression tables
	before, segments := l.bytes.Load(), l.segments.Load()
	const calls = 50
	for range calls {
		call()
	}
	bytes, reads := float64(l.bytes.Load()-before)/calls, float64(l.segments.Load()-segments)/calls
	const tcpHeader = 52 // IP and TCP with time stamps; most acknowledgements are piggybacked on data
	fmt.Printf("measure=peer_call payload_bytes=%d bytes=%.0f segments=%.1f with_headers=%.0f\n",
		proto.Size(request)+proto.Size(&peerv1.ExchangeSharesResponse{Demands: []*peerv1.Demand{d}}), bytes, reads, bytes+reads*tcpHeader)
	is.True(bytes < 600)
	c.Close()
	cancel()
	is.NoErr(<-done)
}
