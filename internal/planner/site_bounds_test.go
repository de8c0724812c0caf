package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestHoldsFitLease guards against leases that lapse on a site that grants short ones
// only, because a hold call waits for an end for as long as the lease lasts.
func TestHoldsFitLease(t *testing.T) {
	c := qt.New(t)
	for _, leaseMS := range []int64{500, 1000, 4000, 60_000} {
		h := newHarness(safeguards{})
		h.core.config.LeaseMS = leaseMS
		h.join(testWorker)
		hold, ok := findEffect[Hold](h.report(testWorker, Report{StartedMS: 7, ClockMS: 200}))
		c.Assert(ok, qt.IsTrue)
		c.Check(hold.WaitMS > 0 && hold.WaitMS <= min(leaseMS/4, holdWaitMS), qt.IsTrue, qt.Commentf("lease of %d ms, wait of %d ms", leaseMS, hold.WaitMS))
	}
}

// TestDrainedWorkIsStoppedInTime guards against work that is lost when a worker
// leaves: a stop, which writes a checkpoint, has to end before that, however long it
// may take on the site.
func TestDrainedWorkIsStoppedInTime(t *testing.T) {
	for _, stopMS := range []int64{200, 900, 2500} {
		c := qt.New(t)
		h := newHarness(safeguards{})
		h.core.config.StopTimeoutMS = stopMS
		h.join(testWorker)
		task := jobs.Task{Job: "j"}
		h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 60_000, Checkpointing: true}))
		h.confirmWrites(h.advance(40))
		draining := testWorker
		draining.Draining, draining.RemainingMS = true, 5000
		h.step(WorkersChanged{Workers: []WorkerInfo{draining}})
		leavesMS := h.now + draining.RemainingMS
		stopped := false
		for i := 0; h.now < leavesMS && !stopped; i++ {
			effects := append(slices.Clone(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Running: []RunningTask{{Task: task, Run: 1, Percent: i / 10}}})), h.advance(20)...)
			_, stopped = findEffect[Stop](effects)
		}
		c.Check(leavesMS-h.now >= stopMS+200, qt.IsTrue, qt.Commentf("stop of %d ms sent %d ms before the worker leaves", stopMS, leavesMS-h.now))
		c.Check(leavesMS-h.now <= stopMS+600, qt.IsTrue, qt.Commentf("stop of %d ms sent %d ms before the worker leaves", stopMS, leavesMS-h.now))
	}
}

// TestSlowProgressIsNoStall guards against a task that is stopped and started again
// without end, because its progress shows more seldom than the leader expects: while
// it restores a checkpoint, or since it is long and states no estimate.
func TestSlowProgressIsNoStall(t *testing.T) {
	for _, test := range []struct {
		name              string
		restoreMS, idleMS int64
		checkpointing     bool
		maxStops          int
	}{
		{"restore", 4000, 5500, true, 0},
		{"long task without an estimate", 100, 12_000, false, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.core.config.RestoreMS = test.restoreMS
			h.join(testWorker)
			task := jobs.Task{Job: "j"}
			h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, Checkpointing: test.checkpointing}))
			h.confirmWrites(h.advance(40))
			var number int64
			run, sinceMS, stops := 1, h.now, 0
			for range 4000 {
				report := Report{StartedMS: 7, ClockMS: h.now, Running: []RunningTask{{Task: task, Run: run, Percent: int((h.now - sinceMS) / test.idleMS)}}}
				effects := append(slices.Clone(h.report(testWorker, report)), h.advance(20)...)
				h.confirmWrites(effects)
				if _, ok := findEffect[Stop](effects); !ok {
					continue
				}
				stops++
				number++
				effects = append(slices.Clone(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{{Number: number, Task: task, Run: run, Kind: EndStopped}}})), h.advance(300)...)
				h.confirmWrites(effects)
				start, ok := findEffect[Start](effects)
				c.Assert(ok, qt.IsTrue)
				run, sinceMS = start.Run, h.now
			}
			c.Check(stops <= test.maxStops, qt.IsTrue, qt.Commentf("stopped %d times in 80 s", stops))
		})
	}
}
