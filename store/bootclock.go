package store

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock measures the time since the machine was booted, including time suspended. Steps of the wall clock do not affect
// it. Its times are valid on one machine only.
type BootClock struct{}

// Now returns the time since boot, added to the Unix epoch, without a monotonic reading.
func (BootClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // the kernel lacks this clock; leases then also check the wall clock
	}
	return time.Unix(t.Sec, t.Nsec)
}

// Sleep waits on a timer.
func (BootClock) Sleep(ctx context.Context, d time.Duration) error {
	return SystemClock{}.Sleep(ctx, d)
}
