package store

import (
	"context"
	"time"
)

// Clock is the source of time of the packages that use the store. Tests replace it to simulate pauses and drift.
type Clock interface {
	// Now returns the time with a monotonic reading.
	Now() time.Time
	// Sleep waits for d and returns nil, or returns the cause if ctx ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits on a timer.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
