package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// suspectWorker returns a core with one worker whose pause after several
// failures is over.
func suspectWorker(t *testing.T) *harness {
	h := newHarness(safeguards{})
	h.join(testWorker)
	w := h.core.workers["w"]
	w.health.markSuspect(h.now)
	h.now += suspectMS
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 200})
	qt.New(t).Assert(w.health.suspect, qt.IsTrue)
	return h
}

// serve reports the worker's runs with the given percentage once per 100 ms and
// returns the starts; started runs are confirmed.
func (h *harness) serve(ms int64, percent int) []Start {
	var starts []Start
	for endMS := h.now + ms; h.now < endMS; {
		w := h.core.workers["w"]
		report := Report{StartedMS: 7, ClockMS: h.now}
		for _, r := range w.runs {
			report.Running = append(report.Running, RunningTask{Task: r.task.ref(), Run: r.number, Percent: percent})
		}
		effects := slices.Concat(slices.Clone(h.report(testWorker, report)), h.advance(100))
		h.confirmWrites(effects)
		for _, s := range allStarts(effects) {
			starts = append(starts, s)
			h.confirmWrites(h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done}))
		}
	}
	return starts
}

// TestServingTrialEndsSuspicion guards against a worker that gets nothing else any
// more because it is tried with a task that runs until its job is cancelled.
func TestServingTrialEndsSuspicion(t *testing.T) {
	c := qt.New(t)
	h := suspectWorker(t)
	starts := allStarts(h.submit(t, "j", jobs.Step{Count: 3, CPUMilli: 6400, EstimateMS: 300, LongRunning: true}))
	c.Assert(starts, qt.HasLen, 1)
	h.step(StartDone{Worker: "w", Task: starts[0].Task, Run: starts[0].Run, Token: starts[0].Token, Outcome: Done})
	c.Assert(h.serve(trialMS+500, 100), qt.HasLen, 2)
	c.Assert(h.core.workers["w"].health.suspect, qt.IsFalse)
}

// TestLongTrialDelaysOthersBriefly guards against a worker that stays nearly idle
// while its trial cannot end soon: a long task, a gang that waits for its members,
// a best-effort task that is paused. It stays suspect meanwhile.
func TestLongTrialDelaysOthersBriefly(t *testing.T) {
	for _, percent := range []int{0, 1} {
		c := qt.New(t)
		h := suspectWorker(t)
		starts := allStarts(h.submit(t, "j", jobs.Step{Count: 3, CPUMilli: 6400, EstimateMS: 60_000}))
		c.Assert(starts, qt.HasLen, 1)
		h.step(StartDone{Worker: "w", Task: starts[0].Task, Run: starts[0].Run, Token: starts[0].Token, Outcome: Done})
		c.Assert(h.serve(trialMS-300, percent), qt.HasLen, 0)
		c.Assert(h.serve(800, percent), qt.HasLen, 1)
		c.Assert(h.core.workers["w"].health.suspect, qt.IsTrue)
	}
}

// TestInvalidStartPrefersOthers guards against a task that never starts because
// one worker rejects it as invalid and is chosen again each time.
func TestInvalidStartPrefersOthers(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	infos := h.joinMany(2)
	starts := allStarts(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	c.Assert(starts, qt.HasLen, 1)
	h.step(StartDone{Worker: starts[0].Worker, Task: starts[0].Task, Run: starts[0].Run, Token: starts[0].Token, Outcome: Invalid})
	var again []Start
	for range 5 {
		for _, info := range infos {
			again = append(again, allStarts(h.report(info, Report{StartedMS: 7, ClockMS: h.now}))...)
		}
		again = append(again, allStarts(h.advance(100))...)
	}
	c.Assert(len(again) > 0, qt.IsTrue)
	c.Assert(again[0].Worker, qt.Not(qt.Equals), starts[0].Worker)
}
