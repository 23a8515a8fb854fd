package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bergamotcroft.example/bergamot/peer/peerv1"
)

func serve(t *testing.T, h *Handlers) string {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := New(Options{Listener: l, Secret: "right", Handlers: h})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	return l.Addr().String()
}

// Guards against calls from outside the fleet: a call with a wrong secret must not reach a handler.
func TestWrongSecretIsRefused(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("calls", func(t *testing.T) {
		is := is.New(t)
		calls := 0
		whole := make([]byte, 9<<20) // a configuration of the full size is about 8 MB
		address := serve(t, &Handlers{GetConfiguration: func(_ context.Context, r uint64) (uint64, []byte, error) {
			calls++
			return r + 1, whole, nil
		}})
		bad := NewClient(ClientOptions{Secret: "wrong"})
		defer bad.Close()
		_, _, err := bad.GetConfiguration(t.Context(), address, 4)
		is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
		is.Equal(calls, 0)

		// Whole configurations take seconds on a busy machine; another test covers the timeout.
		good := NewClient(ClientOptions{Secret: "right", Timeout: time.Minute})
		defer good.Close()
		revision, value, err := good.GetConfiguration(t.Context(), address, 4)
		is.NoErr(err)
		is.Equal(revision, uint64(5))
		is.Equal(len(value), len(whole))
		_, err = good.ExchangeShares(t.Context(), address, &peerv1.ExchangeSharesRequest{}) // no handler
		is.Equal(connect.CodeOf(err), connect.CodeUnimplemented)
	})
}

// Guards against a call that waits for ever for a peer that does not answer.
func TestCallsHaveALimit(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Handlers{GetConfiguration: func(ctx context.Context, _ uint64) (uint64, []byte, error) {
		<-ctx.Done() // the deadline of the client
		return 0, nil, ctx.Err()
	}})
	c := NewClient(ClientOptions{Secret: "right", Timeout: 50 * time.Millisecond})
	defer c.Close()
	_, _, err := c.GetConfiguration(t.Context(), address, 4)
	is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
}

// Guards against a call whose deadline passes first at the peer, which must not answer that it is unavailable.
func TestACallsLimitHoldsAtThePeer(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Handlers{GetConfiguration: func(ctx context.Context, _ uint64) (uint64, []byte, error) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}})
	for i := range 400 {
		c := NewClient(ClientOptions{Secret: "right", Timeout: time.Duration(20+10*i) * time.Microsecond})
		_, _, err := c.GetConfiguration(t.Context(), address, 4)
		c.Close()
		is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
	}
}
