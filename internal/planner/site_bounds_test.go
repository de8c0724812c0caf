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
