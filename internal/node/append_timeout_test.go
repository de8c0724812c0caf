package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an append that is given up and repeated although the log is only
// slow, and against a limit that stays long after the log has recovered.
func TestAppendTimeoutFollowsDurations(t *testing.T) {
	c := qt.New(t)
	timer := &appendTimer{}
	c.Assert(timer.limit(), qt.Equals, shortestAppendTimeout)
	timer.answered(15 * time.Millisecond)
	c.Assert(timer.limit(), qt.Equals, shortestAppendTimeout)
	for _, want := range []time.Duration{700, 1400, 2500, 2500} {
		timer.notAnswered()
		c.Check(timer.limit(), qt.Equals, want*time.Millisecond)
	}
	for range 1000 {
		timer.notAnswered()
	}
	c.Assert(timer.limit(), qt.Equals, longestAppendTimeout)
	for range 20 {
		timer.answered(500 * time.Millisecond)
	}
	c.Assert(timer.limit() > 1400*time.Millisecond && timer.limit() <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", timer.limit()))
	timer.answered(time.Hour)
	c.Assert(timer.limit(), qt.Equals, longestAppendTimeout)
	for range 20 {
		timer.answered(15 * time.Millisecond)
	}
	c.Assert(timer.limit(), qt.Equals, shortestAppendTimeout)
}
