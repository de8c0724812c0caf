package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that misses a suspension: the instance would go on as
// leader with leases that have expired meanwhile.
func TestClockCountsASuspension(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	before := clock.now().MS
	// During a suspension the monotonic clock stands still while the wall clock
	// and the kernel's clock go on.
	const suspended = 3 * time.Second
	k := *clock.calibration.Load()
	k.wall -= suspended
	k.boot -= suspended
	clock.calibration.Store(&k)
	after := clock.now().MS
	c.Assert(after >= before, qt.IsTrue, qt.Commentf("%d then %d", before, after))
	c.Assert(bootTime().Milliseconds()-after <= 50, qt.IsTrue)
}

// Guards against time that runs backwards after the wall clock has been set.
func TestClockNeverRunsBackwards(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	last := clock.now().MS
	for i := range 1000 {
		k := *clock.calibration.Load()
		k.wall += time.Duration(i%7-3) * time.Hour
		clock.calibration.Store(&k)
		now := clock.now().MS
		c.Assert(now >= last, qt.IsTrue)
		last = now
	}
	c.Assert(bootTime().Milliseconds()-last <= 50, qt.IsTrue)
}

// Guards against a clock that is ahead because the process did not run for a moment
// while it read the kernel's clock: leases would count as over too early.
func TestClockLeavesOutTheTimeOfReadingIt(t *testing.T) {
	c := qt.New(t)
	const stopped = 200 * time.Millisecond
	clock := newClock()
	reads := 0
	clock.bootTime = func() time.Duration {
		if reads++; reads == 1 {
			time.Sleep(stopped)
		}
		return bootTime()
	}
	clock.calibrate()
	c.Assert(clock.now().MS-bootTime().Milliseconds() < stopped.Milliseconds()/2, qt.IsTrue)
}
