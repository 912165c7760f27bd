// Package clock reads the machine's clocks.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// SinceBoot returns the time since the machine booted. Unlike Go's monotonic clock it
// includes the time for which the machine was suspended, so a lease that expired while the
// VM was paused does not appear valid afterwards.
func SinceBoot() time.Duration {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall returns the wall-clock time.
func Wall() fleet.UnixMillis {
	return fleet.Millis(time.Now())
}

// BootID returns the kernel's identifier of the current boot, or "" if it is not available.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
