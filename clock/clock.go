// Package clock returns the time since the machine booted. Leases, expiry times and other ages that guarantees
// depend on use this clock, because it is not changed by adjustments of the wall clock and continues to run
// while the machine is suspended.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time spent suspended, as an offset from the Unix epoch. Times from
// different machines must not be compared.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err)) // Linux has had this clock since 2.6.39.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
