// Package clock reads the machine's clocks.
package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Boot returns the time since the machine booted. Unlike Go's monotonic clock it
// goes on while the machine is suspended, so a lease that was held before a VM was
// paused is seen to have ended.
func Boot() time.Duration {
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

// BootID names the present run of the machine's kernel, or is empty where the kernel
// does not say.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
