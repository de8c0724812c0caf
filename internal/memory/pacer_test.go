package memory

import (
	"math"
	"runtime/debug"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/telemetry"
)

const mb = 1 << 20

// Guards against collections that follow one another on an instance that
// allocates much beside a small heap, and against a heap that grows beyond the
// memory of a weak instance.
func TestGrowthWithinTheLimit(t *testing.T) {
	for name, test := range map[string]struct {
		rate, live, limit float64
		want              int
	}{
		"idle":                            {rate: 1 * mb, live: 4 * mb, limit: 184 * mb, want: 100},
		"busy":                            {rate: 50 * mb, live: 25 * mb, limit: 536 * mb, want: 400},
		"busy on a weak instance":         {rate: 50 * mb, live: 25 * mb, limit: 184 * mb, want: 194},
		"heap near its share":             {rate: 50 * mb, live: 200 * mb, limit: 536 * mb, want: 100},
		"heap over its share":             {rate: 50 * mb, live: 400 * mb, limit: 536 * mb, want: 100},
		"before the first collection":     {rate: 50 * mb, live: 0, limit: 536 * mb, want: 100},
		"a small heap with a large limit": {rate: 50 * mb, live: 5 * mb, limit: 4096 * mb, want: 2000},
	} {
		got := growthPercent(test.rate, test.live, test.limit)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", name))
		if goal := test.live * (1 + float64(got)/100); got > minPercent {
			qt.Check(t, goal <= test.limit*goalShare, qt.IsTrue, qt.Commentf("%s: %v", name, goal))
		}
	}
}

// Guards against a pacer that stops the process every second for changes that
// make no difference, or that keeps the pace of a burst.
func TestPaceFollowsTheLoad(t *testing.T) {
	c := qt.New(t)
	var set []int
	p := &Pacer{limitBytes: 536 * mb, percent: minPercent, setPercent: func(percent int) { set = append(set, percent) }}
	allocated := uint64(0)
	second := func(rate uint64) {
		allocated += rate
		p.adjust(telemetry.RuntimeUsage{AllocatedBytes: allocated, LiveBytes: 20 * mb}, time.Second)
	}
	for range 5 {
		second(5 * mb)
	}
	c.Assert(set, qt.HasLen, 0)
	second(60 * mb)
	second(65 * mb)
	second(58 * mb)
	c.Assert(set, qt.DeepEquals, []int{600})
	second(2 * mb)
	second(2 * mb)
	c.Assert(set, qt.DeepEquals, []int{600, 100})
}

// Guards against an instance that is killed because the runtime does not know its
// limit.
func TestLimitIsSet(t *testing.T) {
	c := qt.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	c.Assert(before, qt.Equals, int64(math.MaxInt64))
	NewPacer(200 * mb)
	c.Assert(debug.SetMemoryLimit(-1), qt.Equals, int64(140*mb))
}
