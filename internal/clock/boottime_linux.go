package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM booted, including the time during which it
// was suspended. It neither jumps nor stops.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every kernel that Go supports.
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
