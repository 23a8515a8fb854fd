package conns

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/silence"
)

// Guards against a time-out for each idle connection that has gone silent, and against a request that is written twice for it.
func TestOneTimeoutEmptiesASilentPool(t *testing.T) {
	is := is.New(t)
	const idle = 3
	upstream := startScripted(t, okAnswer, okAnswer, okAnswer, okAnswer, okAnswer, okAnswer)
	proxy, err := silence.NewProxy(upstream.Addr().String())
	is.NoErr(err)
	defer proxy.Close()
	p := New(Options{})
	defer p.Close()

	var responses []*Response
	for range idle {
		r, err := p.Do(t.Context(), proxy.Address(), &Request{Method: "GET", URI: "/", ID: "first"})
		is.NoErr(err)
		_, err = r.ReadAll(100)
		is.NoErr(err)
		responses = append(responses, r)
	}
	for _, r := range responses {
		r.Close()
	}
	proxy.Silence()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = p.Do(ctx, proxy.Address(), &Request{Method: "POST", URI: "/", ID: "booking"})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Stage, Sent)
	is.Equal(upstream.requests.Load(), int32(idle))

	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var next sync.WaitGroup
	for range idle - 1 {
		next.Go(func() {
			r, err := p.Do(ctx, proxy.Address(), &Request{Method: "GET", URI: "/", ID: "next"})
			if err != nil {
				t.Error(err)
				return
			}
			r.Close()
		})
	}
	next.Wait()
	is.Equal(upstream.requests.Load(), int32(2*idle-1))
}
