package client

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// A paused or partitioned entry VM keeps its connections open without answering. When a request has received no bytes
// for probeAfter, the entry VM is probed with a request for addresses, which it answers at once at any load. After
// probeLimit failed probes in a row the attempt at this entry VM is abandoned.
const (
	probeAfter = 2 * time.Second
	probeLimit = 2
)

// errUnresponsive is the cancellation cause of an attempt whose entry VM failed its probes.
var errUnresponsive = errors.New("the entry VM answers neither the request nor a request for addresses")

// watch returns a context that is cancelled when the entry VM at address stops answering. markActive records that
// bytes were received; stop ends the watch.
func (c *Client) watch(ctx context.Context, address string) (watched context.Context, markActive func(), stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	var active atomic.Bool
	go func() {
		t := time.NewTicker(probeAfter)
		defer t.Stop()
		failures := 0
		for {
			select {
			case <-watched.Done():
				return
			case <-t.C:
			}
			if active.Swap(false) {
				failures = 0
				continue
			}
			if _, err := c.addresses.fetch(watched, address); err == nil {
				failures = 0
				continue
			}
			if failures++; failures >= probeLimit {
				cancel(errUnresponsive)
				return
			}
		}
	}()
	return watched, func() { active.Store(true) }, func() { cancel(context.Canceled) }
}

// watchedBody is an answer's body that records received bytes and ends the watch when it is closed.
type watchedBody struct {
	io.ReadCloser
	markActive, stop func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.markActive()
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}
