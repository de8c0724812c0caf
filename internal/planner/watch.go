package planner

import "slices"

// drainState is when a worker began to drain and when it leaves.
type drainState struct {
	sinceMS  int64
	leavesMS int64
}

const (
	// stallMS without progress, seen in fresh reports, ends a run.
	stallMS = 2300
	// freshMS is the age up to which a report counts as fresh.
	freshMS = 700
	// moveBeforeMS is how long before a worker leaves its checkpointing tasks
	// are stopped.
	moveBeforeMS = 600
)

// watchRuns stops runs that stand still and moves work off a worker that
// leaves.
func (c *Core) watchRuns(w *worker) {
	if c.now.MS-w.answeredMS > freshMS {
		return
	}
	for _, r := range slices.Clone(w.runs) {
		if r.phase != running {
			continue
		}
		switch {
		case w.info.Draining && c.mustLeave(w, r):
			c.stopRun(r, "worker leaves")
		case c.stalled(r):
			if !slices.Contains(r.task.avoid, w) {
				r.task.avoid = append(r.task.avoid, w)
			}
			if w.health.failure(r.task.step.job.id, c.now.MS) {
				c.emit(Decision{Event: "worker_suspect", Worker: w.info.ID, Reason: "work stands still"})
			}
			c.stopRun(r, "no progress")
		}
	}
}

// stalled reports whether a run makes no progress although nothing holds it
// back. A gang waits for its members and filling work for processor time.
func (c *Core) stalled(r *run) bool {
	s := r.task.step
	if r.percent >= 100 || s.spec.Gang || r.confirmedMS == 0 {
		return false
	}
	if s.spec.Fills && (r.pace < 100 || c.fillShare(r.worker, 0) < 0.5) {
		return false
	}
	limit := int64(max(stallMS, c.expected(s)/4))
	return r.worker.answeredMS-r.progressMS > limit
}

// mustLeave reports whether a run has to be moved off a draining worker now.
func (c *Core) mustLeave(w *worker, r *run) bool {
	s := r.task.step
	switch {
	case s.spec.LongRunning:
		return c.away(s) < s.spec.MaxUnavailable || s.spec.MaxUnavailable == 0
	case s.spec.Checkpointing && w.drain.leavesMS > 0:
		return c.now.MS >= w.drain.leavesMS-moveBeforeMS
	}
	return false
}

// away counts the step's tasks that are not at work.
func (c *Core) away(s *step) int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.atWork() {
			n++
		}
	}
	return n
}

func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= 100 {
			return true
		}
	}
	return false
}
