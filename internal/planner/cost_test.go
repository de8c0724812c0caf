package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newIdleSite returns a core with a number of workers that have all reported.
func newIdleSite(workers int) (*harness, []WorkerInfo) {
	h := newHarness(safeguards{})
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			ID: WorkerID(fmt.Sprintf("w%04d", i)), Address: fmt.Sprint(i), Service: "s",
			Capacity: Resources{CPUMilli: 32_000, MemoryMB: 125_000}, Labels: []string{fmt.Sprint("r", i/12)}, StartedMS: 7,
		})
	}
	h.confirmWrites(h.step(WorkersChanged{Workers: infos}))
	for _, info := range infos {
		h.confirmWrites(h.report(info, Report{StartedMS: 7, ClockMS: 100}))
	}
	h.confirmWrites(h.advance(100))
	return h, infos
}

// fastest returns the shortest of some runs of fn, which other processes disturb
// least.
func fastest(runs int, fn func()) time.Duration {
	best := time.Hour
	for range runs {
		start := time.Now()
		fn()
		best = min(best, time.Since(start))
	}
	return best
}

// Guards against a cost of each report that grows with the number of workers:
// together with their number of reports it grew with the square, and took a fifth
// of the planner's time at 1,100 workers.
func TestReportCostIsIndependentOfOtherWorkers(t *testing.T) {
	cost := func(workers int) time.Duration {
		h, infos := newIdleSite(workers)
		return fastest(400, func() { h.report(infos[0], Report{StartedMS: 7, ClockMS: 200}) })
	}
	few, many := cost(50), cost(5000)
	qt.Check(t, many < 4*few+time.Microsecond, qt.IsTrue, qt.Commentf("50 workers: %v, 5000 workers: %v", few, many))
}

// Guards against a scan of all workers for each task of a step, whose tasks have
// equal requirements.
func TestTasksOfAStepShareAScan(t *testing.T) {
	const workers = 3000
	cost := func(tasks int) time.Duration {
		h, _ := newIdleSite(workers)
		n := 0
		return fastest(15, func() {
			n++
			h.now += minPassIntervalMS
			effects := h.submit(t, jobs.ID(fmt.Sprintf("job%d-%d", tasks, n)), jobs.Step{Count: tasks, CPUMilli: 100, EstimateMS: 900})
			starts := 0
			for _, e := range effects {
				if _, ok := e.(Start); ok {
					starts++
				}
			}
			if starts != tasks {
				t.Fatalf("%d of %d tasks started", starts, tasks)
			}
		})
	}
	one, many := cost(1), cost(40)
	qt.Check(t, many < 12*one, qt.IsTrue, qt.Commentf("1 task: %v, 40 tasks: %v", one, many))
}

// waitingSite returns a site on which no more tasks fit, with a number of waiting
// steps.
func waitingSite(t *testing.T, workers, steps int) (*harness, []WorkerInfo) {
	h, infos := newIdleSite(workers)
	for i := range infos {
		h.core.workers[infos[i].ID].used = Resources{CPUMilli: 31_000}
	}
	for i := range steps {
		h.submit(t, jobs.ID(fmt.Sprintf("wide%06d", i)), jobs.Step{Count: 1, CPUMilli: 2000, EstimateMS: 900})
	}
	h.advance(100)
	return h, infos
}

// Guards against a pass whose cost grows with the backlog: at twice the load that
// 1,100 workers bear the planner took more than a core, and every start waited for
// it.
func TestPassCostIsBounded(t *testing.T) {
	cost := func(steps int) time.Duration {
		h, infos := waitingSite(t, 1100, steps)
		return fastest(15, func() {
			h.now += minPassIntervalMS
			h.core.placementDue = true
			for _, info := range infos {
				h.core.markChanged(h.core.workers[info.ID])
			}
			h.step(RecordsRead{})
		})
	}
	few, many := cost(300), cost(3000)
	qt.Check(t, many < 4*few, qt.IsTrue, qt.Commentf("300 steps: %v, 3000 steps: %v", few, many))
}

// Guards against steps behind a long backlog that are never tried although their
// tasks would fit.
func TestBacklogDoesNotHideAFittingStep(t *testing.T) {
	const waiting = 1500
	h, infos := waitingSite(t, 1100, waiting)
	narrow := jobs.ID("narrow")
	effects := h.submit(t, narrow, jobs.Step{Count: 1, CPUMilli: 1200, EstimateMS: 60_000})
	_, early := findEffect[Start](effects)
	qt.Assert(t, early, qt.IsFalse)
	h.advance(40)
	// Room for the narrow step alone becomes free.
	w := h.core.workers[infos[7].ID]
	w.used.CPUMilli = 30_500
	h.core.markChanged(w)
	h.core.placementDue = true
	const passes = waiting/otherSteps + 1
	for range 2 * passes {
		h.now += minPassIntervalMS
		h.core.placementDue = true
		for _, info := range infos {
			h.core.workers[info.ID].reportedMS = h.now
		}
		for _, e := range h.step(RecordsRead{}) {
			if start, ok := e.(Start); ok && start.Task.Job == narrow {
				return
			}
		}
	}
	t.Fatalf("not started within %d passes", 2*passes)
}
