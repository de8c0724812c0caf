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

// TestProgressOfDifferentShape guards against a panic of every leader after two
// different submissions with one ID: the log keeps the first of them, but the
// progress may have been recorded for the other.
func TestProgressOfDifferentShape(t *testing.T) {
	for _, test := range []struct {
		name     string
		recorded jobs.Step
	}{
		{"fewer tasks", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}},
		{"more tasks", jobs.Step{Count: 90, CPUMilli: 1, EstimateMS: 900}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newHarness(safeguards{})
			first.join(testWorker)
			direct, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 20, CPUMilli: 100, EstimateMS: 900}, {Count: 1, CPUMilli: 100, After: []int{0}}}})
			c.Assert(err, qt.IsNil)
			effects := append([]Effect(nil), first.submit(t, "j", test.recorded)...)
			// Another instance records the other submission before the leader's
			// write is carried out.
			_, err = first.core.stateMachine.Apply(jobs.SubmissionRecord("j", direct))
			c.Assert(err, qt.IsNil)
			first.confirmWrites(effects)
			first.confirmWrites(first.advance(100))
			first.confirmWrites(first.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{
				{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndFailed},
			}}))
			first.confirmWrites(first.advance(100))

			h := first.nextLeader()
			h.step(QueuesChanged{Queues: []Queue{testQueue}})
			h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 2000, Ended: []EndedTask{
				{Number: 2, Task: jobs.Task{Job: "j", Index: 19}, Run: 1, Kind: EndDone},
			}}))
			h.confirmWrites(h.advance(8000))
			state, _ := h.core.State("j")
			c.Assert(state, qt.Equals, jobs.Active)
		})
	}
}
