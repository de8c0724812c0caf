package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
