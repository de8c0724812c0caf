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
	// watchEveryMS is the least time between two looks at a worker's runs.
	watchEveryMS = 100
	// freshMS is the age up to which a report counts as fresh.
	freshMS = 700
	// moveBeforeMS is how long before a worker leaves its checkpointing tasks
	// are stopped.
	moveBeforeMS = 600
)

// watchRuns stops runs that stand still and moves work off a worker that
// leaves.
func (c *Core) watchRuns(w *worker) {
	if c.now.MS-w.answeredMS > freshMS || c.now.MS-w.watchedMS < watchEveryMS {
		return
	}
	w.watchedMS = c.now.MS
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
			r.progressMS = c.now.MS
			c.stopRun(r, "no progress")
		default:
			c.watchSpeed(w, r)
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

const (
	// speedAfterMS is the least time over which a run's speed is judged.
	speedAfterMS = 500
	// slowFactor is by how much a run's remaining time must exceed that of a
	// new start elsewhere before it is replaced.
	slowFactor = 1.7
	// restartFactor is the same for a run whose work so far would be lost.
	restartFactor = 2.5
	// maxReplaced bounds how often a task is replaced: a wrong estimate must not
	// keep it from its end.
	maxReplaced = 2
	// replaceMarginMS is added to the time of a new start: the call, the
	// report and the error of the estimate.
	replaceMarginMS = 500
)

// watchSpeed judges a run by its progress: it marks slow workers and replaces
// runs that a new start elsewhere would overtake.
func (c *Core) watchSpeed(w *worker, r *run) {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.firstMS == 0 || r.task.replaced >= maxReplaced || r.usageMS-r.firstMS < speedAfterMS || len(r.task.runs) > 1 {
		return
	}
	if s.spec.Fills && (r.pace < 100 || c.fillShare(w, 0) < 0.9) {
		return
	}
	gained := r.percent - r.firstPercent
	rate := max(float64(gained), 0.5) / float64(r.usageMS-r.firstMS)
	expected := c.expected(s)
	if r.usageMS != r.judgedMS && expected > 0 {
		r.judgedMS = r.usageMS
		w.health.observeSpeed(expected*rate/100, c.now.MS)
	}
	if c.suspended || c.exhausted(r.task) {
		// No other run may follow this one, or not now.
		return
	}
	remaining := float64(100-r.percent) / rate
	fresh := expected + replaceMarginMS
	if s.spec.Checkpointing {
		fresh = expected*float64(100-r.percent)/100 + float64(c.config.StopTimeoutMS+c.config.RestoreMS) + replaceMarginMS
	}
	switch {
	case s.spec.Speculative && remaining > slowFactor*fresh:
		if other := c.pick(r.task, w); other != nil {
			r.task.replaced++
			c.start(r.task, other, r.task.lastRun+1, "second copy")
		}
	case s.spec.Checkpointing && remaining > slowFactor*fresh, remaining > restartFactor*fresh+float64(c.config.StopTimeoutMS):
		if c.pick(r.task, w) != nil {
			r.task.avoid = append(r.task.avoid, w)
			r.task.replaced++
			c.stopRun(r, "slow")
		}
	}
}
