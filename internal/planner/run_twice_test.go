package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestSecondRunIsLogged guards against a task that runs twice without a line that
// names both runs and says how the leader came to know their workers. A worker that
// neither the log nor the directory held joins after the takeover.
func TestSecondRunIsLogged(t *testing.T) {
	row := RunningTask{Task: jobs.Task{Job: "j"}, Run: 1, Percent: 10}
	end := EndedTask{Number: 1, Task: row.Task, Run: 1, Kind: EndDone}
	for _, test := range []struct {
		name        string
		speculative bool
		// done is set if the successor's own run has ended by then.
		done   bool
		report Report
		reason string
	}{
		{"runs", false, false, Report{Running: []RunningTask{row}}, "listed"},
		{"runs, task is done", false, true, Report{Running: []RunningTask{row}}, "listed, task is done"},
		{"has ended", false, false, Report{Ended: []EndedTask{end}}, "ended as done"},
		{"has ended, task is done", false, true, Report{Ended: []EndedTask{end}}, "ended as done, task is done"},
		{"failed", false, false, Report{Ended: []EndedTask{{Number: 1, Task: row.Task, Run: 1, Kind: EndFailed}}}, ""},
		{"speculative", true, false, Report{Running: []RunningTask{row}}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newHarness(safeguards{})
			first.join(testWorker)
			// The second task keeps the job going.
			first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 2, CPUMilli: 100, EstimateMS: 900, Speculative: test.speculative}))
			first.confirmWrites(first.advance(100))
			h, _ := first.successor(testWorker)
			effects := slices.Clone(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100}))
			effects = append(effects, h.advance(100)...)
			c.Assert(startsOf(effects, "j"), qt.Equals, 2)
			s, _ := findEffect[Start](effects)
			if test.done {
				h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{{Number: 1, Task: s.Task, Run: s.Run, Kind: EndDone}}, Running: []RunningTask{{Task: jobs.Task{Job: "j", Index: 1}, Run: s.Run}}}))
			}
			joined := workerNamed("joined")
			h.now += 100
			h.step(WorkersChanged{Workers: []WorkerInfo{joined, testWorker}})
			test.report.StartedMS, test.report.ClockMS = 7, 100
			lines := decisions(h.report(joined, test.report), "run_twice")
			if test.reason == "" {
				c.Assert(lines, qt.HasLen, 0)
				return
			}
			checkDetails(t, lines, "known_from=joined known_ms=0 other_run=1001 other_worker=w other_known_from=log job_from=log settled_by=reports")
			c.Check(lines[0].Warn && lines[0].Run == 1, qt.IsTrue)
			c.Check(lines[0].Reason, qt.Equals, test.reason)
			c.Check(detail(lines[0], "other_started_by"), qt.Equals, "this leader")
			c.Assert(decisions(h.report(joined, test.report), "run_twice"), qt.HasLen, 0, qt.Commentf("logged once"))
		})
	}
}

// TestRunOfFinalJobIsLogged guards the same for a job whose final state is recorded
// already, as that of a short job is when the worker joins.
func TestRunOfFinalJobIsLogged(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndDone}}}))
	h.confirmWrites(h.advance(200))
	c.Assert(h.core.jobs["j"], qt.IsNil)
	joined := workerNamed("joined")
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{joined, testWorker}}))
	report := Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}}}
	lines := decisions(h.report(joined, report), "run_twice")
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0].Reason, qt.Equals, "listed, job has ended")
}
