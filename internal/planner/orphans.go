package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// orphan is a run of a job that is not in the log. A predecessor may have
// started it while the submission was being recorded; the job becomes known
// when the caller repeats the submission.
type orphan struct {
	task    RunningTask
	sinceMS int64
}

// orphanGraceMS is how long an orphan keeps running: callers repeat a
// submission that got no response within their time limit of some seconds.
const orphanGraceMS = 1500

// keepOrphan adds or updates an orphan and reports whether it may keep running
// for now.
func (w *worker) keepOrphan(rt *RunningTask, nowMS int64) bool {
	for i := range w.orphans {
		if o := &w.orphans[i]; o.task.Task == rt.Task && o.task.Run == rt.Run {
			o.task = *rt
			return nowMS-o.sinceMS < orphanGraceMS
		}
	}
	w.orphans = append(w.orphans, orphan{task: *rt, sinceMS: nowMS})
	return true
}

// dropOrphans removes the orphans that the worker no longer lists.
func (w *worker) dropOrphans(running []RunningTask) {
	w.orphans = slices.DeleteFunc(w.orphans, func(o orphan) bool {
		return !slices.ContainsFunc(running, func(rt RunningTask) bool { return rt.Task == o.task.Task && rt.Run == o.task.Run })
	})
}

// adoptOrphans takes over the orphans of a job that has just become known.
func (c *Core) adoptOrphans(id jobs.ID) {
	for _, w := range c.sortedWorkers {
		kept := w.orphans[:0]
		for i := range w.orphans {
			o := w.orphans[i]
			if o.task.Task.Job != id {
				kept = append(kept, o)
				continue
			}
			if r := c.adoptRun(w, &o.task); r != nil {
				r.confirmedMS, r.progressMS = c.now.MS, c.now.MS
				r.task.step.job.orphans++
			}
		}
		w.orphans = kept
	}
}
