package node

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"redwingvale/internal/planner"
)

// clock reads a monotonic clock that, unlike that of package time, also advances
// while the process is suspended. The kernel's clock of this kind costs a system
// call, which the event loop would make several times for each event, so it is
// read only when the wall clock has moved against the monotonic one: a suspension
// moves it.
type clock struct {
	start time.Time
	// bootTime reads the kernel's clock.
	bootTime    func() time.Duration
	calibrating sync.Mutex
	calibration atomic.Pointer[calibration]
}

// calibration holds differences between clocks.
type calibration struct {
	// wall is the wall clock less the monotonic clock, boot the clock that counts
	// suspensions less the monotonic clock.
	wall, boot time.Duration
}

// maxClockDrift is how far the wall clock may move against the monotonic clock
// before the kernel's clock is read again; a shorter suspension has no effect that
// matters.
const maxClockDrift = 2 * time.Millisecond

// A reading of all clocks that took longer than maxReadTime, because the process
// did not run meanwhile, is repeated up to maxReadings times in all.
const (
	maxReadTime = 100 * time.Microsecond
	maxReadings = 10
)

func newClock() *clock {
	c := &clock{start: time.Now(), bootTime: bootTime}
	c.calibrate()
	return c
}

// now reads the clock and the wall clock.
func (c *clock) now() planner.Time { return c.at(time.Now()) }

// at converts a time that has just been read.
func (c *clock) at(t time.Time) planner.Time {
	monotonic := t.Sub(c.start)
	k := c.calibration.Load()
	if drift := wallTime(t) - monotonic - k.wall; drift > maxClockDrift || drift < -maxClockDrift {
		k = c.calibrate()
	}
	return planner.Time{MS: (monotonic + k.boot).Milliseconds(), UnixMS: t.UnixMilli()}
}

// calibrate reads all clocks. The result never moves the clock backwards: only
// suspensions change the difference, and they increase it.
func (c *clock) calibrate() *calibration {
	c.calibrating.Lock()
	defer c.calibrating.Unlock()
	var k *calibration
	shortest := time.Duration(math.MaxInt64)
	for i := 0; i < maxReadings && shortest > maxReadTime; i++ {
		t := time.Now()
		monotonic := t.Sub(c.start)
		boot := c.bootTime()
		// The time between the two readings would put the clock ahead.
		if took := time.Since(t); took < shortest {
			shortest, k = took, &calibration{wall: wallTime(t) - monotonic, boot: boot - monotonic}
		}
	}
	if last := c.calibration.Load(); last != nil {
		k.boot = max(k.boot, last.boot)
	}
	c.calibration.Store(k)
	return k
}

func wallTime(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// now reads the instance's clocks.
func (n *Node) now() planner.Time { return n.clock.now() }

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

func millisecondsDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
