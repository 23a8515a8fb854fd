// Package ring provides a bounded queue between two goroutines.
//
// A full ring blocks its producer, which applies back-pressure to an upstream connection. Closing the ring from either side
// wakes the other one.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Put after Close or Abort, and by Get once a closed ring is empty.
var ErrClosed = errors.New("ring closed")

// Ring is a bounded FIFO queue. Its slots are allocated once.
type Ring[T any] struct {
	mu     sync.Mutex
	slots  []T
	head   int
	count  int
	closed bool
	// Each channel holds at most one wake-up; a waiter checks the state again after it.
	space chan struct{}
	items chan struct{}
}

// New returns a ring with room for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make([]T, max(size, 1)), space: make(chan struct{}, 1), items: make(chan struct{}, 1)}
}

// TryPut adds v unless the ring is full or closed.
func (r *Ring[T]) TryPut(v T) bool {
	ok, _ := r.put(v)
	return ok
}

func (r *Ring[T]) put(v T) (ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		wake(r.space)
		return false, true
	}
	if r.count == len(r.slots) {
		return false, false
	}
	r.slots[(r.head+r.count)%len(r.slots)] = v
	r.count++
	wake(r.items)
	if r.count < len(r.slots) {
		wake(r.space)
	}
	return true, false
}

// Put adds v and waits while the ring is full.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for {
		ok, closed := r.put(v)
		if ok {
			return nil
		}
		if closed {
			return ErrClosed
		}
		select {
		case <-r.space:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// TryGet removes the oldest item, if there is one.
func (r *Ring[T]) TryGet() (T, bool) {
	v, ok, _ := r.get()
	return v, ok
}

func (r *Ring[T]) get() (v T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		if r.closed {
			wake(r.items)
		}
		return v, false, r.closed
	}
	var zero T
	v, r.slots[r.head] = r.slots[r.head], zero
	r.head = (r.head + 1) % len(r.slots)
	r.count--
	wake(r.space)
	if r.count > 0 || r.closed {
		wake(r.items)
	}
	return v, true, false
}

// Get removes the oldest item and waits while the ring is empty. After Close it returns the remaining items, then ErrClosed.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		v, ok, closed := r.get()
		if ok {
			return v, nil
		}
		if closed {
			return v, ErrClosed
		}
		select {
		case <-r.items:
		case <-ctx.Done():
			return v, context.Cause(ctx)
		}
	}
}

// Close ends the ring for producers; the consumer can still get the remaining items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	wake(r.space)
	wake(r.items)
}

// Abort ends the ring for both sides and discards its items.
func (r *Ring[T]) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.slots)
	r.count = 0
	r.closed = true
	wake(r.space)
	wake(r.items)
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
