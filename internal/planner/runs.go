package planner

import "slices"

// start sends a task to a worker.
func (c *Core) start(t *task, w *worker, number int, reason string) *run {
	r := &run{task: t, ref: t.ref(), worker: w, number: number, phase: starting, token: w.token, sentMS: c.now.MS, pace: 100}
	t.lastRun, t.stopped = max(t.lastRun, number), false
	j := t.step.job
	c.attach(r)
	j.startSent, j.lastStartMS = true, c.now.MS
	c.emit(Start{
		Worker: w.info.ID, Address: w.info.Address, Token: w.token, Task: t.ref(), Run: number,
		Payload: j.spec.Payload, LeaseEndMS: c.nextLeaseEnd(w), Checkpoint: t.checkpoint,
		Ticket: t.step.advice.tickets[w.info.ID].value, DataCentre: w.info.DataCentre,
	})
	d := c.decision("start_sent", r, reason)
	d.AgeMS, d.Details = c.now.MS-w.reportedMS, c.startDetails(j)
	c.emit(d)
	return r
}

// confirmStarted notes that a task of a job has started.
func (c *Core) confirmStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.recorded && !j.state.Final() {
		c.markDirty(j)
		c.emitState(j)
	}
}

func (c *Core) startDone(e StartDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.findRun(e.Task, e.Run)
	if r == nil || (r.phase != starting && r.phase != stopping) || r.confirmedMS > 0 {
		return
	}
	if e.Outcome == Done {
		r.confirmedMS, r.progressMS = c.now.MS, c.now.MS
		c.confirmStarted(r.task.step.job)
		if r.phase == starting {
			r.phase = running
		}
		if r.backfill {
			// It must not interfere at full pace until the next report.
			c.setPaces(w)
		}
		return
	}
	d := c.decision("start_failed", r, e.Outcome.String())
	d.AgeMS = c.now.MS - r.sentMS
	c.emit(d)
	switch e.Outcome {
	case OutcomeUnknown:
		if c.disabled.resolveStart {
			break
		}
		if r.phase == starting {
			r.phase = startUnknown
		}
		c.raiseToken(w, r.token)
		return
	case WrongWorker:
		if !w.movedFrom(e.Address) {
			c.markDead(w, "other_worker")
			return
		}
	case Fenced:
		c.fencedBy(w, e.Token)
	case NoRoom, LeaseExpired:
		w.noRoomUntilMS = c.now.MS + noRoomPauseMS
	case NoTicket:
		delete(r.task.step.advice.tickets, w.info.ID)
	case StaleRun:
		// The worker has stopped or ended a run with this number or a higher one.
		r.task.avoid(w)
	case Evacuated:
		c.noteDeclined(w)
	case Refused, Unreachable:
		w.health.refused(c.now.MS)
	case Invalid:
		r.task.notBeforeMS = c.now.MS + holdRetryMS
		r.task.avoid(w)
	}
	r.over = d.Reason
	c.loseRun(r)
}

// raiseToken fences off every call that was sent with an older token. The next
// report shows which of them were carried out.
func (c *Core) raiseToken(w *worker, usedToken uint64) {
	if w.token <= usedToken {
		w.token = usedToken + 1
	}
	if w.confirmed < w.token {
		c.sendHold(w)
	}
}

// handleEnd processes the end of a run that a worker lists. Its report has waited for
// waitedMS.
func (c *Core) handleEnd(w *worker, end *EndedTask, waitedMS int64) {
	r := w.findRun(end.Task, end.Run)
	t := c.taskOf(end.Task)
	if r != nil {
		t = r.task
	}
	if t == nil || end.Run > maxRun {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	j := t.step.job
	j.started = true
	d := Decision{Event: "run_ended", Job: j.id, Task: end.Task.String(), Run: end.Run, Worker: w.info.ID, Reason: string(end.Kind), WaitedMS: waitedMS}
	if r != nil {
		d.AgeMS = c.now.MS - r.sentMS
		r.over = d.Reason
		c.observeEnd(w, r, end.Kind)
		c.noteRunEnded(r, end.Kind)
		c.detach(r)
	}
	c.emit(d)
	c.noteSecondDone(w, t, end)
	if r == nil && end.Kind == EndDone {
		t.setLast(&run{task: t, ref: end.Task, worker: w, number: end.Run, over: d.Reason, adopted: true}, c.now.MS)
	}
	if j.state.Final() {
		return
	}
	c.markDirty(j)
	if end.Checkpoint != "" && !t.done {
		c.keepCheckpoint(t, end.Checkpoint)
	}
	switch end.Kind {
	case EndDone:
		if !t.step.spec.LongRunning {
			c.completeTask(t)
		}
	case EndFailed:
		c.taskFailed(t, w, end.Run)
	}
	if !t.done && !j.state.Final() {
		c.gangMemberOver(t, end.Run)
		c.afterRun(t)
	}
}

// completeTask finishes a task. In a gang the end of one member completes all
// of them.
func (c *Core) completeTask(t *task) {
	s := t.step
	if s.spec.Gang {
		for i := range s.tasks {
			c.finishTask(&s.tasks[i])
		}
		return
	}
	c.finishTask(t)
	for _, r := range slices.Clone(t.runs) {
		c.stopRun(r, "another copy completed the task")
	}
}

// keepCheckpoint stores the checkpoint from which a task resumes. A checkpoint
// of any member applies to its whole gang.
func (c *Core) keepCheckpoint(t *task, checkpoint string) {
	if !t.step.spec.Checkpointing {
		return
	}
	j := t.step.job
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = tasks[:0]
		for i := range t.step.tasks {
			tasks = append(tasks, &t.step.tasks[i])
		}
	}
	for _, other := range tasks {
		other.checkpoint = checkpoint
		j.progress.SetCheckpoint(other.ref(), checkpoint)
	}
	if !j.state.Final() {
		c.markDirty(j)
	}
}

// stopRun sends a stop for a run. The run occupies its room until the worker
// lists its end.
func (c *Core) stopRun(r *run, reason string) {
	if r.phase == stopping || r.phase == awaitingEnd {
		return
	}
	r.phase, r.stopReason = stopping, reason
	c.emit(c.decision("stop_sent", r, reason))
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSentMS = c.now.MS
	if c.suspended {
		return
	}
	c.emit(Stop{Worker: r.worker.info.ID, Address: r.worker.info.Address, Token: r.worker.token, Task: r.task.ref(), Run: r.number})
}

func (c *Core) stopDone(e StopDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.findRun(e.Task, e.Run)
	if r == nil || r.phase != stopping {
		return
	}
	switch e.Outcome {
	case Done:
		// The worker will reject a start that has not arrived yet and never
		// list that run, so the next report with a higher token resolves it.
		if r.confirmedMS == 0 {
			c.raiseToken(w, r.token)
		}
	case WrongWorker:
		if !w.movedFrom(e.Address) {
			c.markDead(w, "other_worker")
		}
	}
}
