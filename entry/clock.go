package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the VM booted. Unlike the monotonic clock of
// package time, it advances while the VM is suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// This fails only if the kernel lacks the clock. Without it, the node can't
		// determine the age of its configuration.
		panic(err)
	}
	return time.Duration(now.Nano())
}
