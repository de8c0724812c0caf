package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// intentRetryDelay is the delay of new intents after the journal rejected one.
const intentRetryDelay = time.Second

// scanInterval is the period of scanJobs.
const scanInterval = time.Second

func (c *Core) onTick() {
	if !c.deciding() {
		return
	}
	c.closeLostAttempts()
	c.processCancelledJobs()
	c.confirmCancels()
	c.relievePressure()
	c.review()
	c.schedule()
	c.scanJobs()
	c.maybeWriteSnapshot()
	c.sendDueBatches()
}

// schedule has the decider place waiting tasks and writes their intents.
func (c *Core) schedule() {
	limit := c.opts.MaxPendingIntents - c.owner.pendingIntents
	if limit <= 0 || c.now < c.owner.intentsPausedUntil || !c.servicesKnown {
		return
	}
	for _, p := range c.decider.Schedule(c.now, limit) {
		c.place(p)
	}
}

func (c *Core) place(p policy.Placement) {
	t := c.taskByID(p.Task)
	w := c.owner.workers[p.Worker]
	invariant.Check(t != nil && t.state == taskWaiting && t.attemptState == nil, invariant.ResumedOnce,
		"decider placed %s, which is not waiting", p.Task)
	invariant.Check(w != nil, invariant.InternalConsistency, "decider chose unknown worker %s", p.Worker)
	if !t.job.open() {
		c.decider.Ended(c.now, p.Task, policy.EndNotStarted, 0)
		return
	}
	if !w.reachable || t.job.handOffPending || !c.owner.ledger.Reserve(c.now, p.Task, p.Worker, t.job.resources()) {
		c.requeue(t)
		return
	}
	c.writeIntent(t, w, p.Why)
}

// requeue returns a placed task to the queue.
func (c *Core) requeue(t *task) {
	c.decider.Ended(c.now, t.id(), policy.EndNotStarted, 0)
	if t.state == taskWaiting && t.job.open() {
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
}

func (c *Core) writeIntent(t *task, w *workerState, why string) {
	attempt := t.attempt + 1
	if c.opts.mutations.reuseAttempt {
		attempt = max(t.attempt, 1)
	}
	t.attemptState = newAttemptState(c.now)
	t.attemptState.recordPending = true
	t.job.pendingIntents++
	c.owner.pendingIntents++
	record := &recordv1.TaskIntent{
		Job:        jobRef(t.job.id),
		Index:      t.index,
		Attempt:    uint32(attempt),
		Worker:     string(w.worker.ID),
		Checkpoint: t.checkpoint,
		Boot:       w.boot,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskIntent{TaskIntent: record}}
	c.write(why, "", body, func(code.Code) {
		c.owner.intentsPausedUntil = c.now + intentRetryDelay
		c.undoPlacement(t, w.worker.ID)
	})
	if c.opts.mutations.startBeforeReadBack {
		w.earlyStarts = append(w.earlyStarts, c.startCommand(w, t, attempt, c.toWorkerClock(w, c.ownershipLease.Until)))
		w.batchDue = true
	}
}

// undoPlacement undoes a placement whose intent was rejected or void.
func (c *Core) undoPlacement(t *task, id spec.WorkerID) {
	c.owner.pendingIntents--
	t.job.pendingIntents--
	t.attemptState = nil
	c.owner.ledger.Release(t.id(), id)
	c.requeue(t)
}

// relievePressure frees the slots that urgent requests need.
func (c *Core) relievePressure() {
	for _, p := range c.owner.ledger.Pressure(c.now) {
		c.syncGranted(p.Worker)
		w := c.owner.workers[p.Worker]
		need := p.Need
		for _, t := range w.sortedTasks() {
			if t.leavingWorker() {
				need = need.Sub(t.job.resources())
			}
		}
		need = atLeastZero(need)
		if need.IsZero() {
			continue
		}
		for _, action := range c.decider.Relieve(c.now, p.Worker, need) {
			c.applyAction(action)
		}
	}
}

// leavingWorker reports whether the task is being stopped on its worker, or a
// record of its stop or end is pending.
func (t *task) leavingWorker() bool {
	return t.state == taskStopping || t.job.cancelled || t.attemptState.recordPending && t.state == taskRunning
}

func atLeastZero(r spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     max(r.MilliCPU, 0),
		MemoryMiB:    max(r.MemoryMiB, 0),
		Accelerators: max(r.Accelerators, 0),
		Slots:        max(r.Slots, 0),
		Connections:  max(r.Connections, 0),
	}
}

// review acts on interference, on unhealthy workers and on leaving workers.
func (c *Core) review() {
	if c.now < c.owner.nextReview {
		return
	}
	c.owner.nextReview = c.now + c.opts.ReviewEvery
	for _, action := range c.decider.Review(c.now) {
		c.applyAction(action)
	}
	c.reportOverdue()
	var unlisted []*workerState
	for _, id := range c.owner.workerOrder {
		w := c.owner.workers[id]
		c.syncGranted(id)
		if !w.leaving {
			continue
		}
		if w.seen {
			c.stopAllTasks(w)
		}
		if !w.listed {
			unlisted = append(unlisted, w)
		}
	}
	for _, w := range unlisted {
		c.removeIdleWorker(w)
	}
}

// stopAllTasks stops the tasks of a leaving worker so that they resume elsewhere.
func (c *Core) stopAllTasks(w *workerState) {
	for _, t := range w.sortedTasks() {
		c.stopTask(t, reasonLeaving, "worker leaves")
	}
}

// reportOverdue emits TaskOverdue for tasks that can no longer meet their
// deadline.
func (c *Core) reportOverdue() {
	overdue := make(map[spec.TaskID]bool)
	for _, id := range c.decider.Overdue(c.now) {
		overdue[id] = true
		if !c.owner.overdue[id] {
			c.emit(TaskOverdue{Task: id})
		}
	}
	c.owner.overdue = overdue
}

func (c *Core) applyAction(a policy.Action) {
	switch a.Kind {
	case policy.ActionQuarantine:
		c.writeQuarantine(a.Worker, true, a.Why)
		return
	case policy.ActionRelease:
		c.writeQuarantine(a.Worker, false, a.Why)
		return
	}
	t := c.taskByID(a.Task)
	if t == nil || t.attemptState == nil || !t.active() || t.worker != a.Worker {
		return
	}
	switch a.Kind {
	case policy.ActionThrottle:
		t.attemptState.wantedThrottle = a.ThrottlePercent
	case policy.ActionUnthrottle:
		t.attemptState.wantedThrottle = unthrottled
	case policy.ActionMove:
		c.stopTask(t, reasonMove, a.Why)
	case policy.ActionEvict:
		c.stopTask(t, reasonEvict, a.Why)
	}
	c.owner.workers[t.worker].batchDue = true
}

// stopTask records that a running task is to stop and resume elsewhere. A task
// that could not resume must write a checkpoint first.
func (c *Core) stopTask(t *task, reason, why string) {
	a := t.attemptState
	if t.state != taskRunning || a.recordPending || t.job.cancelled {
		return
	}
	if !t.job.spec.GetRestartFromStart() && a.checkpoint == "" && t.checkpoint == "" {
		a.needsCheckpoint = true
		return
	}
	record := &recordv1.TaskStopping{
		Job: jobRef(t.job.id), Index: t.index, Attempt: uint32(t.attempt), Reason: reason,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStopping{TaskStopping: record}}
	c.writeAttemptRecord(t, why, body)
	c.logEvent("task_stopping", "task", t.id().String(), "attempt", itoa(t.attempt),
		"worker", string(t.worker), "reason", reason, "why", why)
}

func (c *Core) writeQuarantine(id spec.WorkerID, quarantined bool, why string) {
	if c.state().quarantined[id] == quarantined || c.owner.pendingQuarantine[id] {
		return
	}
	c.owner.pendingQuarantine[id] = true
	record := &recordv1.WorkerVerdict{Worker: string(id), Quarantined: quarantined}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_WorkerVerdict{WorkerVerdict: record}}
	pending := c.owner.pendingQuarantine
	c.write(why, "", body, func(code.Code) { delete(pending, id) })
	c.logEvent("worker_verdict", "worker", string(id), "quarantined", formatBool(quarantined), "why", why)
}

func (c *Core) taskByID(id spec.TaskID) *task {
	j := c.state().jobs[id.Job]
	if j == nil || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// endKind returns how an attempt ended, in the decider's terms.
func endKind(r *recordv1.TaskStopped, t *task) policy.EndKind {
	switch {
	case t.job.cancelled:
		return policy.EndCancelled
	case r.GetReason() == reasonFailed:
		return policy.EndFailed
	case r.GetLost():
		return policy.EndLost
	case !r.GetRan():
		return policy.EndNotStarted
	default:
		return policy.EndStopped
	}
}
