package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock tells the time since the VM's start. Unlike the monotonic clock of
// package time it counts while the VM is suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Only a kernel without the clock fails, and such a VM can't tell how old
		// its configuration is.
		panic(err)
	}
	return time.Duration(now.Nano())
}
