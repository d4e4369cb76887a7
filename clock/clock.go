// Package clock tells the time since the machine started. Ages that guard a promise use it, because it
// neither jumps with the time of day nor stands still while the machine is suspended.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspension included, as an offset from the Unix epoch. Times of two
// machines must not be compared.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // Linux has had this clock since 2.6.39.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
