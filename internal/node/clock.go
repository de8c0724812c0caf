package node

import (
	"time"

	"golang.org/x/sys/unix"

	"redwingvale/internal/planner"
)

// now reads the monotonic clock and the wall clock. Unlike the monotonic clock
// of package time, this one also advances while the process is suspended.
func (n *Node) now() planner.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return planner.Time{MS: ts.Nano() / int64(time.Millisecond), UnixMS: time.Now().UnixMilli()}
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

func millisecondsDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
