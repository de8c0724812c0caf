package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestFailuresOfLongRunningTasksAreNotListed guards against a progress record
// that grows until the log rejects it: failures of long-running tasks count
// towards no limit and are not listed.
func TestFailuresOfLongRunningTasksAreNotListed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "watch", jobs.Step{Count: 1, CPUMilli: 100, LongRunning: true}))
	h.confirmWrites(h.advance(100))
	for i := range 50 {
		j := h.core.jobs["watch"]
		run := j.steps[0].tasks[0].lastRun
		h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{
			{Number: int64(i + 1), Task: jobs.Task{Job: "watch"}, Run: run, Kind: EndFailed},
		}}))
		h.confirmWrites(h.advance(300))
	}
	c.Assert(h.core.jobs["watch"].steps[0].tasks[0].lastRun > 5, qt.IsTrue)
	c.Assert(h.core.stateMachine.Jobs["watch"].Progress.Failures, qt.HasLen, 0)
}
