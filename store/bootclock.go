package store

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock counts the time since the machine's start, with the time for which it was suspended. Steps of the time of day do not
// reach it. Its times have no meaning outside of the process's machine.
type BootClock struct{}

// Now returns the time since the machine's start, as a time after the Unix epoch without a monotonic reading.
func (BootClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now() // kernels without the clock; leases then also check the time of day
	}
	return time.Unix(t.Sec, t.Nsec)
}

// Sleep waits on a timer.
func (BootClock) Sleep(ctx context.Context, d time.Duration) error {
	return SystemClock{}.Sleep(ctx, d)
}
