package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/endless"
	"bergamotcroft.example/bergamot/peer/peerv1"
)

// servePeerAnswer returns the address of a peer that answers with total bytes, or without end if total is negative,
// and a channel that is closed when the peer stops sending.
func servePeerAnswer(t *testing.T, status, total int) (address string, stopped chan struct{}) {
	stopped = make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(stopped)
		w.Header().Set("Content-Type", "application/proto")
		w.WriteHeader(status)
		chunk := []byte(strings.Repeat("x", 64<<10))
		for n := 0; total < 0 || n < total; n += len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	s.Config.Protocols = protocols()
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), stopped
}

// Guards against a peer whose answer never ends: the size bound must end the call before its timeout, with about the
// memory that the largest answer takes, and the peer must stop sending.
func TestPeersWithoutEnd(t *testing.T) {
	table := func(c *Client, at string) error {
		_, err := c.ExchangeTable(t.Context(), at, &peerv1.ExchangeTableRequest{})
		return err
	}
	configuration := func(c *Client, at string) error {
		_, _, err := c.GetConfiguration(t.Context(), at, 1)
		return err
	}
	for name, k := range map[string]struct {
		status, largest int
		call            func(*Client, string) error
	}{
		"answer":        {http.StatusOK, maxSmallAnswerBytes, table},
		"configuration": {http.StatusOK, maxAnswerBytes, configuration},
		"error":         {http.StatusInternalServerError, maxSmallAnswerBytes, table},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewClient(ClientOptions{Secret: "s", Timeout: time.Minute})
			defer c.Close()
			measure := func(total int) uint64 {
				at, stopped := servePeerAnswer(t, k.status, total)
				var err error
				taken := endless.Allocated(func() { err = k.call(c, at) })
				is.True(err != nil || total >= 0)
				t.Logf("%d bytes, %v", taken, err)
				<-stopped
				return taken
			}
			usual := measure(k.largest)
			is.True(measure(-1) < usual+endless.MemoryBound)
		})
	}
}
