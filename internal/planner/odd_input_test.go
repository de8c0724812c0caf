package planner

import (
	"math"
	"math/rand/v2"
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
			// No start was confirmed, and no listed task was one of the job's.
			state, known := h.core.State("j")
			c.Assert(known, qt.IsTrue)
			c.Assert(state, qt.Equals, jobs.Queued)
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

// injectOddReports lets one worker add rows to its reports that no planner has
// asked for: tasks outside of their job, of unknown jobs and of other steps,
// with extreme run numbers, kinds of end that do not exist and extreme readings.
func (sim *simulation) injectOddReports() {
	rng := rand.New(rand.NewPCG(sim.seed, 4))
	extremes := []int{0, 1, 2, 3, 99, 1000, 1 << 20, math.MaxInt32}
	pick := func() int { return extremes[rng.IntN(len(extremes))] }
	sim.oddRows = func(f *fakeWorker, r *Report) {
		if f != sim.workers[0] || rng.IntN(3) > 0 || len(sim.ids) == 0 {
			return
		}
		ref := jobs.Task{Job: sim.ids[rng.IntN(len(sim.ids))], Occurrence: pick(), Step: pick(), Index: pick()}
		if rng.IntN(4) == 0 {
			ref = jobs.Task{Job: "unknown", Occurrence: pick(), Step: pick(), Index: pick()}
		}
		r.Running = append(r.Running, RunningTask{Task: ref, Run: max(pick(), 1), Percent: pick() % 101, Usage: pick()})
		if len(r.Ended) == 0 {
			// The kinds that decide about a job are left out: they would be true.
			kinds := []EndKind{EndStopped, EndLapsed, EndBroken, EndAlone, "odd", ""}
			r.Ended = append(r.Ended, EndedTask{Number: f.lastEnd + 1, Task: ref, Run: max(pick(), 1), Kind: kinds[rng.IntN(len(kinds))]})
			f.lastEnd++
		}
	}
}

// TestRandomRunsWithOddReports guards against one worker whose reports end the
// leader, or keep the jobs on other workers from ending.
func TestRandomRunsWithOddReports(t *testing.T) {
	c := qt.New(t)
	// A run with the largest number left no room for the next one.
	c.Assert(runSeed(35, (*simulation).injectOddReports).violations, qt.HasLen, 0)
	// A run that was listed before it was due was started again at once.
	c.Assert(runSeed(83, (*simulation).injectOddReports).violations, qt.HasLen, 0)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).injectOddReports)
		c.Assert(sim.violations, qt.HasLen, 0)
	}
}
