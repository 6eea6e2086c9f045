package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's start, the time that it was
// suspended included. It neither jumps nor stands still.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every kernel that Go supports.
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
