package planner

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestOverdueJobIsBackfilled guards against an overdue best-effort job of which
// nothing runs although the workers have room: the predicted interference rules
// out every worker, and newer jobs use each margin before it. The pattern is a
// backlog of best-effort work beside serving tasks on all workers, as on days
// of load on tierrasegura-sched.
func TestOverdueJobIsBackfilled(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.submit(t, "serve", jobs.Step{Count: 1, CPUMilli: 8000, LongRunning: true, Image: "serve", TailTargetMS: 100})
	h.advance(100)
	h.teachInterference("serve", 3)
	// The serving task is so close to its target that the model rules out more
	// interference.
	reports := []RunningTask{{Task: jobs.Task{Job: "serve"}, Run: 1, Percent: 100, Usage: 88}}
	h.reportFor(5000, reports)
	h.submit(t, "overdue", jobs.Step{Count: 8, CPUMilli: 3000, MemoryMB: 100, BestEffort: true, Image: "fill", EstimateMS: 500})

	// While the service is nearly full, the job waits.
	worker := h.core.workers["w"]
	reserved := worker.used
	worker.used.CPUMilli = worker.info.Capacity.CPUMilli * 7 / 10
	c.Assert(startsOf(h.reportFor(3000, reports), "overdue"), qt.Equals, 0)

	worker.used = reserved
	effects := h.reportFor(3000, reports)
	c.Assert(startsOf(effects, "overdue"), qt.Equals, 1)

	// The run yields: it is slowed at once, not after the next report.
	overdue := h.core.jobs["overdue"].open[0].steps[0].tasks[0]
	c.Assert(overdue.runs, qt.HasLen, 1)
	run := overdue.runs[0]
	pace, ok := findEffect[Pace](h.step(StartDone{Worker: "w", Task: run.task.ref(), Run: run.number, Token: run.token, Outcome: Done}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(pace.Percent < 60, qt.IsTrue, qt.Commentf("pace %d", pace.Percent))

	// While it runs, no other task of the job is backfilled.
	reports = append(reports, RunningTask{Task: run.task.ref(), Run: run.number, Percent: 10, Usage: 300})
	c.Assert(startsOf(h.reportFor(3000, reports), "overdue"), qt.Equals, 0)

	// It ranks last until the job is starving, then first.
	c.Assert(h.core.paceRank(run), qt.Equals, backfillRank)
	h.now += starvationMS
	h.step(Suspended{})
	c.Assert(h.core.paceRank(run), qt.Equals, starvingRank)
}

// teachInterference makes the model expect that best-effort image "fill" raises
// the tail of a serving image by the given factor when it uses a fifth of the
// processors.
func (h *harness) teachInterference(serving string, factor float64) {
	h.core.interference.column("fill")
	for range 300 {
		h.core.interference.model(serving).observe(bestEffortUse{0, 0.2}, math.Log(factor))
	}
}

// reportFor reports the given runs every 100 ms for some time and returns the
// effects.
func (h *harness) reportFor(ms int64, running []RunningTask) []Effect {
	var out []Effect
	for end := h.now + ms; h.now < end; {
		out = append(out, h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now - 900_000, Running: running})...)
		out = append(out, h.advance(100)...)
	}
	return out
}

func startsOf(effects []Effect, id jobs.ID) int {
	n := 0
	for _, e := range effects {
		if s, ok := e.(Start); ok && s.Task.Job == id {
			n++
		}
	}
	return n
}
