package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/silence"
)

// proxiedPeer starts a peer behind a proxy and returns the proxy and a client that has an idle connection through it.
func proxiedPeer(t *testing.T, timeout time.Duration) (*silence.Proxy, *Client) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s, err := New(Options{Listener: l, Secret: "s", Handlers: &Handlers{
		GetConfiguration: func(context.Context, uint64) (uint64, []byte, error) { return 7, []byte("{}"), nil },
	}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	proxy, err := silence.NewProxy(l.Addr().String())
	is.NoErr(err)
	c := NewClient(ClientOptions{Secret: "s", Timeout: timeout})
	t.Cleanup(func() {
		c.Close()
		proxy.Close()
		cancel()
		is.NoErr(<-done)
	})
	_, _, err = c.GetConfiguration(t.Context(), proxy.Address(), 0)
	is.NoErr(err)
	return proxy, c
}

// Guards against a follower that goes on calling its peer on a connection that has gone silent, also while another call waits on it.
func TestATimeoutEndsASilentConnection(t *testing.T) {
	is := is.New(t)
	proxy, c := proxiedPeer(t, 30*time.Second)

	proxy.Silence()
	waiting := make(chan error, 1)
	longer, end := context.WithCancel(t.Context())
	go func() {
		_, _, err := c.GetConfiguration(longer, proxy.Address(), 0)
		waiting <- err
	}()
	short, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	_, _, err := c.GetConfiguration(short, proxy.Address(), 0)
	is.True(err != nil) // on the silent connection
	revision, _, err := c.GetConfiguration(t.Context(), proxy.Address(), 0)
	is.NoErr(err)
	is.Equal(revision, uint64(7))
	end()
	is.True(<-waiting != nil)
}

// Guards against a follower that leaves a silent watcher and calls the next one on an idle connection that is silent too.
func TestIdleConnectionsAreNotKept(t *testing.T) {
	is := is.New(t)
	proxy, c := proxiedPeer(t, 5*time.Second)
	proxy.Silence()
	time.Sleep(2 * idleConnTimeout) // a busy machine closes them later
	_, _, err := c.GetConfiguration(t.Context(), proxy.Address(), 0)
	is.NoErr(err)
}
