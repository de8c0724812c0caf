package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
)

// handleReport processes a worker's report of its runs.
func (c *Core) handleReport(w *worker, e HoldDone) {
	if w.startedMS != 0 && e.Report.StartedMS != 0 && e.Report.StartedMS != w.startedMS {
		if e.Report.StartedMS < w.startedMS {
			return
		}
		c.handleRestart(w, e.Report.StartedMS)
	}
	if w.startedMS == 0 {
		w.startedMS, w.knownMS = e.Report.StartedMS, c.now.MS
		if w.info.StartedMS != 0 && w.startedMS > w.info.StartedMS {
			w.restartedMS = w.startedMS
			w.closure.open()
			c.markWorkerDirty(w.info.ID)
		}
	}
	if e.Report.ClockMS >= w.clockMS {
		// The worker's clock is not later than that when the report arrived: taken
		// for the time of handling it, it would make leases too short.
		w.clockMS, w.clockReadMS = e.Report.ClockMS, cmp.Or(e.ReceivedMS, c.now.MS)
	}
	if w.inheritedLeaseEndMS == 0 || w.confirmed < w.restartToken && e.Token >= w.restartToken {
		c.noteInheritedLease(w)
	}
	if !w.reported || c.now.MS-w.reportedMS > unresponsiveMS {
		c.placementDue = true
	}
	if !w.reported {
		w.firstReportMS = c.now.MS
	}
	w.reported = true
	if e.Late {
		// The worker may be silent, or have restarted, since.
		w.reportedMS = max(w.reportedMS, e.SentMS)
	} else {
		w.reportedMS, w.unverified = c.now.MS, false
	}
	w.confirmed = max(w.confirmed, e.Token)
	overtaken := e.Token < w.confirmed || e.SentMS < w.reportSentMS
	w.reportSentMS = max(w.reportSentMS, e.SentMS)
	w.moreEnded = e.Report.MoreEnded
	for i := range e.Report.Ended {
		end := &e.Report.Ended[i]
		if end.Number <= w.processedEnd {
			continue
		}
		w.processedEnd = end.Number
		w.closure.unrecorded = append(w.closure.unrecorded, unrecordedEnd{end.Number, end.Task})
		c.noteUnacknowledged(w)
		if c.isEarlyEnd(end) {
			c.addEarlyEnd(w, end)
			continue
		}
		c.handleEnd(w, end, c.now.MS-cmp.Or(e.ReceivedMS, c.now.MS))
	}
	if !w.moreEnded {
		w.dropOrphans(e.Report.Running)
	}
	c.reports++
	w.findFrom = 0
	if !overtaken {
		w.closure.unmatched = w.closure.unmatched[:0]
	}
	for i := range e.Report.Running {
		if r := c.handleListed(w, &e.Report.Running[i], e.SentMS); r != nil {
			r.listedReport = c.reports
		} else if !overtaken {
			w.closure.unmatched = append(w.closure.unmatched, e.Report.Running[i].Task)
			c.noteSecondRun(w, &e.Report.Running[i], e.SentMS)
		}
	}
	c.runBuffer = append(append(c.runBuffer[:0], w.runs...), w.ended...)
	for _, r := range c.runBuffer {
		if r.listedReport != c.reports {
			c.handleMissing(r, e)
		}
	}
	c.controlInterference(w)
	c.markChanged(w)
}

// markChanged notes that more tasks may fit on a worker than in the current
// pass.
func (c *Core) markChanged(w *worker) {
	if w.changedPass != c.pass+1 {
		w.changedPass = c.pass + 1
		c.changedNext = append(c.changedNext, w)
	}
}

// handleMissing resolves a run that a report does not list. If the report may
// lack ends, the run is over, but not lost: its end may follow.
func (c *Core) handleMissing(r *run, e HoldDone) {
	// A run is over if it was confirmed before the hold call was sent, or if the
	// call had a higher token, so that the start can no longer be carried out.
	fenced := r.confirmedMS == 0 && e.Token > r.token
	switch {
	case r.phase == starting, !fenced && (r.confirmedMS == 0 || r.confirmedMS >= e.SentMS):
	case e.Report.MoreEnded:
		c.awaitEnd(r)
	case !fenced:
		r.over = "not listed by its worker"
		c.emit(c.decision("run_lost", r, r.over))
		c.gangMemberOver(r.task, r.number)
		c.loseRun(r)
	default:
		if r.phase == startUnknown {
			r.over = "not carried out"
			c.emit(c.decision("start_settled", r, r.over))
		}
		c.loseRun(r)
	}
}

// awaitEnd releases the room of a run that its worker no longer runs. The task
// does not start again before the worker has listed all of its ends.
func (c *Core) awaitEnd(r *run) {
	w := r.worker
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.ended = append(w.ended, r)
	r.phase = awaitingEnd
	c.releaseRoom(r)
	c.emit(c.decision("end_awaited", r, "the worker has more ends than it lists"))
	c.gangMemberOver(r.task, r.number)
}

// handleListed updates the core's run that matches one that a worker lists, or
// adopts it. A run that should not exist is stopped; a run of an unknown job is
// kept as an orphan for a while.
func (c *Core) handleListed(w *worker, rt *RunningTask, sentMS int64) *run {
	r := w.findRun(rt.Task, rt.Run)
	if r == nil {
		r = c.adoptRun(w, rt)
	}
	if r == nil && c.jobs[rt.Task.Job] == nil && c.stateMachine.SubmittedEntry(rt.Task.Job) == nil &&
		(w.keepOrphan(rt, c.now.MS) && !c.cancelledUnknown(rt.Task.Job) || c.disabled.stopOrphans) {
		return nil
	}
	if r == nil {
		c.stopUnexpected(w, rt, "run is not expected on this worker")
		return nil
	}
	if r.confirmedMS == 0 {
		r.confirmedMS = c.now.MS
		r.progressMS = c.now.MS
		c.confirmStarted(r.task.step.job)
	}
	if r.phase == starting || r.phase == startUnknown {
		r.phase = running
	}
	if rt.Checkpoint != "" {
		if rt.Checkpoint != r.checkpoint {
			r.checkpointPercent = rt.Percent
		}
		r.checkpoint = rt.Checkpoint
	}
	if r.firstReportMS == 0 {
		r.firstReportMS, r.firstPercent = c.now.MS, rt.Percent
		if r.task.checkpoint != "" {
			r.checkpointPercent = rt.Percent
		}
	}
	if rt.Percent > r.percent {
		r.percent, r.progressMS = rt.Percent, c.now.MS
	}
	c.observeServing(r)
	r.usage, r.usageMS = rt.Usage, c.now.MS
	if r.smoothedUsage == 0 {
		r.smoothedUsage = float64(rt.Usage)
	}
	r.smoothedUsage += usageWeight * (float64(rt.Usage) - r.smoothedUsage)
	if r.phase == stopping && sentMS-r.stopSentMS > holdRetryMS {
		c.sendStop(r)
	}
	return r
}

// stopUnexpected stops a run that belongs to no current task.
func (c *Core) stopUnexpected(w *worker, rt *RunningTask, reason string) {
	c.emit(Stop{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Task: rt.Task, Run: rt.Run})
	c.emit(Decision{Event: "stop_sent", Job: rt.Task.Job, Task: rt.Task.String(), Run: rt.Run, Worker: w.info.ID, Reason: reason})
}

// adoptRun takes over a run that a predecessor started, if the task still needs
// one.
//
// The step may not be queued yet: the predecessor may have processed ends of
// earlier steps that are not recorded and that this leader has not seen yet.
func (c *Core) adoptRun(w *worker, rt *RunningTask) *run {
	t := c.taskOf(rt.Task)
	if t == nil || t.done || t.step.job.state.Final() || rt.Run > maxRun {
		return nil
	}
	if len(t.runs) > 0 {
		return nil
	}
	r := &run{task: t, ref: rt.Task, worker: w, number: rt.Run, phase: running, token: w.token, sentMS: c.now.MS, pace: 100, adopted: true}
	if t.step.spec.BestEffort {
		// The pace set by the predecessor is unknown, so it is set again.
		r.pace = 0
	}
	t.lastRun = max(t.lastRun, rt.Run)
	c.attach(r)
	t.step.job.started = true
	c.emit(c.decision("run_adopted", r, "listed by its worker"))
	return r
}

// taskOf returns the task that a worker names, or nil if no current job has it.
func (c *Core) taskOf(ref jobs.Task) *task {
	s := c.stepOf(StepID{ref.Job, ref.Occurrence, ref.Step})
	if s == nil || ref.Index < 0 || ref.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[ref.Index]
}

// stepOf returns a step by its ID, or nil if no current job has it or its occurrence
// has ended.
func (c *Core) stepOf(id StepID) *step {
	j := c.jobs[id.Job]
	if j == nil || !j.spec.HasStep(id.Occurrence, id.Step) {
		return nil
	}
	if o := c.occurrenceOf(j, id.Occurrence); o != nil {
		return o.steps[id.Step]
	}
	return nil
}

// attach adds a run to its worker and task and reserves its room.
func (c *Core) attach(r *run) {
	s := r.task.step
	c.useSpare(r.worker, s)
	r.worker.runs = append(r.worker.runs, r)
	r.worker.plannedValid, r.worker.demandValid = false, false
	r.worker.used = r.worker.used.plus(s.resources())
	if s.spec.LongRunning {
		r.worker.longRunning = r.worker.longRunning.plus(s.resources())
	}
	r.task.runs = append(r.task.runs, r)
	r.task.unreconciled = false
	s.activeRuns++
	c.noteRunBegins(s)
	s.job.progressVersion++
	c.unqueue(r.task)
}

// detach removes a run from its worker and task and releases its room.
func (c *Core) detach(r *run) {
	s := r.task.step
	w := r.worker
	if i := slices.Index(w.runs, r); i >= 0 {
		w.runs = slices.Delete(w.runs, i, i+1)
		c.releaseRoom(r)
	} else if i := slices.Index(w.ended, r); i >= 0 {
		w.ended = slices.Delete(w.ended, i, i+1)
	} else {
		return
	}
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
	}
	r.task.setLast(r, c.now.MS)
	s.activeRuns--
	s.job.progressVersion++
	c.dropEnded(s.occurrence)
	c.placementDue = true
}

// releaseRoom returns the room of a run to its worker.
func (c *Core) releaseRoom(r *run) {
	w, s := r.worker, r.task.step
	w.plannedValid, w.demandValid = false, false
	w.used = w.used.minus(s.resources())
	c.noteRunLeaves(s)
	if s.spec.LongRunning {
		w.longRunning = w.longRunning.minus(s.resources())
	}
	c.markChanged(w)
	c.placementDue = true
}

// runsOf counts the worker's runs of a step.
func (w *worker) runsOf(s *step) int {
	n := 0
	for _, runs := range [2][]*run{w.runs, w.ended} {
		for _, r := range runs {
			if r.task.step == s {
				n++
			}
		}
	}
	return n
}

// findRun returns the worker's run of a task with a number, or nil. Workers list
// their runs in the order of their starts, as runs are kept, so the search begins
// behind the run that was found last.
func (w *worker) findRun(ref jobs.Task, number int) *run {
	for i := range w.runs {
		at := (w.findFrom + i) % len(w.runs)
		if r := w.runs[at]; r.is(ref, number) {
			w.findFrom = at + 1
			return r
		}
	}
	for _, r := range w.ended {
		if r.is(ref, number) {
			return r
		}
	}
	return nil
}

// is reports whether r is the run of a task with a number.
func (r *run) is(ref jobs.Task, number int) bool {
	return r.number == number && r.ref == ref
}

// loseRun releases a run that has ended without being listed as ended.
func (c *Core) loseRun(r *run) {
	t := r.task
	if r.checkpoint != "" {
		c.keepCheckpoint(t, r.checkpoint)
	}
	c.detach(r)
	c.afterRun(t)
}

// afterRun queues a task for its next start when none of its runs is active.
func (c *Core) afterRun(t *task) {
	if len(t.runs) > 0 {
		return
	}
	c.requeue(t)
	if t.waiting && !c.failuresKnown(t) {
		j := t.step.job
		c.emit(Decision{Event: "start_held", Job: j.id, Task: t.ref().String(), Run: t.lastRun, Reason: "not all failures known", Details: []Detail{
			{Name: "failures", Number: int64(j.progress.FailuresOf(t.failureTask()))},
			{Name: "attempts", Number: int64(c.attemptLimitOf(j).max)},
			{Name: "unreported", Number: int64(c.awaitedWorkers())},
		}})
	}
}

func (c *Core) loseRuns(w *worker, reason string) {
	for _, r := range slices.Concat(w.runs, w.ended) {
		d := c.decision("run_lost", r, reason)
		d.AgeMS, r.over = c.now.MS-w.reportedMS, reason
		c.emit(d)
		c.gangMemberOver(r.task, r.number)
		c.loseRun(r)
	}
}

func (c *Core) decision(event string, r *run, reason string) Decision {
	return Decision{
		Event: event, Job: r.task.step.job.id, Task: r.task.ref().String(),
		Run: r.number, Worker: r.worker.info.ID, Reason: reason,
	}
}
