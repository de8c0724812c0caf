package planner

// drainState holds when a worker started to drain and when it departs.
type drainState struct {
	sinceMS     int64
	departureMS int64
}

const (
	// stallMS is the time without progress, according to fresh reports, after
	// which a run is stopped.
	stallMS = 2300
	// runCheckIntervalMS is the minimum time between two checks of a worker's
	// runs.
	runCheckIntervalMS = 100
	// freshReportMS is the maximum age of a fresh report.
	freshReportMS = 700
	// drainMoveLeadMS is how long before a worker's departure the checkpoints of its
	// tasks have to be known, so that they are reported before it leaves.
	drainMoveLeadMS = 400
	// maxStallDoublings bounds how far the limit of a task grows that has been stopped
	// for standing still.
	maxStallDoublings = 6
)

// checkRuns stops stalled runs and moves work off a draining worker.
func (c *Core) checkRuns(w *worker) {
	if c.now.MS-w.reportedMS > freshReportMS || c.now.MS-w.runsCheckedMS < runCheckIntervalMS {
		return
	}
	w.runsCheckedMS = c.now.MS
	c.runBuffer = append(c.runBuffer[:0], w.runs...)
	for _, r := range c.runBuffer {
		if r.phase != running {
			continue
		}
		switch {
		case w.info.Draining && c.mustMove(w, r) && (c.mayStopAgain(r.task, stopDraining) || c.mustLeaveNow(w)):
			c.stopForReplacement(r, stopDraining)
		case c.stalled(r) && c.mayStopAgain(r.task, stopStalled):
			r.task.avoid(w)
			if w.health.failure(r.task.step.job.id, c.now.MS) {
				c.emit(Decision{Event: "worker_suspect", Worker: w.info.ID, Reason: "run makes no progress"})
			}
			r.progressMS = c.now.MS
			r.task.stalls++
			c.stopForReplacement(r, stopStalled)
		default:
			c.checkSpeed(w, r)
		}
	}
}

// stalled reports whether a run makes no progress although nothing else delays
// it. A gang member may wait for the others, and a best-effort task for
// processor time.
func (c *Core) stalled(r *run) bool {
	s := r.task.step
	idleMS := r.worker.reportedMS - r.progressMS
	if idleMS <= stallMS || r.percent >= 100 || s.spec.Gang || r.confirmedMS == 0 {
		return false
	}
	if s.spec.BestEffort && (r.pace < 100 || c.bestEffortShare(r.worker, 0) < 0.5) {
		return false
	}
	// A task whose progress is reported in whole percent, or that resumes, may do well
	// and show nothing for longer than expected: each stop doubles the limit, so that
	// a wrong one cannot keep the task from finishing.
	limit := int64(max(stallMS, c.expectedDuration(s)/4)) << min(r.task.stalls, maxStallDoublings)
	if s.spec.Checkpointing {
		limit += c.config.RestoreMS
	}
	return idleMS > limit
}

// mustMove reports whether a run has to be moved off a draining worker now.
func (c *Core) mustMove(w *worker, r *run) bool {
	s := r.task.step
	switch {
	case s.spec.LongRunning:
		return c.unavailableTasks(s) < s.spec.MaxUnavailable || s.spec.MaxUnavailable == 0
	case s.spec.Checkpointing && w.drain.departureMS > 0:
		return c.now.MS >= w.drain.departureMS-c.config.StopTimeoutMS-drainMoveLeadMS
	}
	return false
}

// unavailableTasks counts the step's tasks that are not serving.
func (c *Core) unavailableTasks(s *step) int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.serving() {
			n++
		}
	}
	return n
}

func (t *task) serving() bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= 100 {
			return true
		}
	}
	return false
}

const (
	// minSpeedSpanMS is the minimum time over which a run's speed is measured.
	minSpeedSpanMS = 500
	// slowFactor is the factor by which a run's remaining time must exceed that
	// of a new start elsewhere before the run is replaced.
	slowFactor = 1.7
	// restartFactor is the same for a run whose progress would be lost.
	restartFactor = 2.5
	// maxReplaced bounds how often a task is replaced, so that a wrong estimate
	// cannot keep it from finishing.
	maxReplaced = 2
	// replaceMarginMS is added to the expected time of a new start for the
	// call, the report and the error of the estimate.
	replaceMarginMS = 500
)

// checkSpeed measures a run's speed by its progress. It marks slow workers and
// replaces runs that a new start elsewhere would overtake.
func (c *Core) checkSpeed(w *worker, r *run) {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.firstReportMS == 0 || r.task.replaced >= maxReplaced || r.usageMS-r.firstReportMS < minSpeedSpanMS || len(r.task.runs) > 1 {
		return
	}
	if s.spec.BestEffort && (r.pace < 100 || c.bestEffortShare(w, 0) < 0.9) {
		return
	}
	gained := r.percent - r.firstPercent
	rate := max(float64(gained), 0.5) / float64(r.usageMS-r.firstReportMS)
	expected := c.expectedDuration(s)
	if r.usageMS != r.speedCheckedMS && expected > 0 {
		r.speedCheckedMS = r.usageMS
		w.health.observeSpeed(expected*rate/100, c.now.MS)
	}
	if c.commandsWithheld() || c.lag.behind || c.exhausted(r.task) || !c.failuresKnown(r.task) {
		// No other run may start while commands are withheld, or once the attempts
		// are or may be used up.
		return
	}
	remaining := float64(100-r.percent) / rate
	fresh := expected + replaceMarginMS
	if s.spec.Checkpointing {
		fresh = expected*float64(100-r.percent)/100 + float64(c.config.StopTimeoutMS+c.config.RestoreMS) + replaceMarginMS + c.lostWork(r)
	}
	switch {
	case s.spec.Speculative && remaining > slowFactor*fresh:
		if other := c.pick(r.task, w); other != nil {
			r.task.replaced++
			c.start(r.task, other, r.task.lastRun+1, "speculative copy")
		}
	case s.spec.Checkpointing && remaining > slowFactor*fresh, remaining > restartFactor*fresh+float64(c.config.StopTimeoutMS):
		if c.mayStopAgain(r.task, stopSlow) && c.fitsElsewhere(s, w) {
			r.task.avoid(w)
			r.task.replaced++
			c.stopForReplacement(r, stopSlow)
		}
	}
}
