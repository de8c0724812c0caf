package planner

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestTaskOutsideItsJob guards against a panic of the leader when a worker
// lists a task that its job does not have: a job in the log must not end every
// leader in turn because of one worker's report.
func TestTaskOutsideItsJob(t *testing.T) {
	for _, task := range []jobs.Task{
		{Job: "j", Occurrence: 1},
		{Job: "j", Step: 2},
		{Job: "j", Index: 1},
		{Job: "j", Occurrence: math.MaxInt / 2},
		{Job: "j", Occurrence: 1 << 62},
		{Job: "j", Occurrence: 1 << 62, Step: 1},
		{Job: "j", Occurrence: -1},
		{Job: "j", Step: -1},
		{Job: "j", Index: -1},
	} {
		t.Run(task.String(), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.join(testWorker)
			h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100}, jobs.Step{Count: 1, CPUMilli: 100, After: []int{0}}))
			h.confirmWrites(h.advance(100))
			h.confirmWrites(h.report(testWorker, Report{
				StartedMS: 7, ClockMS: 300,
				Running: []RunningTask{{Task: task, Run: 9}},
				Ended:   []EndedTask{{Number: 1, Task: task, Run: 8, Kind: EndDone}},
			}))
			h.confirmWrites(h.advance(100))
			state, known := h.core.State("j")
			c.Assert(known, qt.IsTrue)
			c.Assert(state, qt.Equals, jobs.Active)
		})
	}
}
