package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutProxy passes connections on to an address. Of what comes back it passes on so many bytes and then closes or resets the connection.
func cutProxy(t *testing.T, to string, n int64, rst bool) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp4", to)
			if err != nil {
				_ = c.Close()
				return
			}
			go func() { _, _ = io.Copy(up, c) }()
			go func() {
				_, _ = io.CopyN(c, up, n)
				if rst {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
				_ = up.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer of another entry VM that is cut and counts as whole, with a shorter configuration or none.
func TestCutAnswersOfPeersFail(t *testing.T) {
	is := is.New(t)
	var value []byte
	for i := range 300 {
		value = append(value, byte(i*i*31>>3)) // does not compress to a few bytes
	}
	to := serve(t, &Handlers{GetConfiguration: func(_ context.Context, r uint64) (uint64, []byte, error) { return r + 1, value, nil }})
	cuts, whole := 0, 0
	for n := int64(0); n < 2000 && whole < 12; n++ {
		cuts++
		c := NewClient(ClientOptions{Secret: "right", Timeout: time.Minute})
		revision, got, err := c.GetConfiguration(t.Context(), cutProxy(t, to, n, n%4 == 3), 4)
		c.Close()
		if err != nil {
			if whole > 0 && n%4 != 3 {
				t.Errorf("%d bytes fail, and fewer do not: %v", n, err)
			}
			continue
		}
		whole++
		is.Equal(revision, uint64(5))
		is.True(bytes.Equal(got, value))
	}
	t.Logf("%d cuts, %d of them whole", cuts, whole)
	is.True(whole > 0 && cuts-whole > len(value))
}
