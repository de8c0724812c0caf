package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// onOwnRecord acts on a record that this owner wrote. A repeated record has a
// zero fence result and is ignored.
func (c *Core) onOwnRecord(record *recordv1.GroupRecord, changed change) {
	if changed.fenceResult == 0 {
		return
	}
	switch k := record.GetKind().(type) {
	case *recordv1.GroupRecord_JobSubmitted:
		c.onJobSubmitted(jobID(k.JobSubmitted.GetJob().GetId()), changed)
	case *recordv1.GroupRecord_JobCancelled:
		c.onJobCancelled(jobID(k.JobCancelled.GetJob()), changed)
	case *recordv1.GroupRecord_TaskIntent:
		c.onTaskIntent(k.TaskIntent, changed)
	case *recordv1.GroupRecord_TaskStarted:
		c.onTaskStarted(changed)
	case *recordv1.GroupRecord_TaskStopping:
		c.onTaskStopping(changed)
	case *recordv1.GroupRecord_TaskStopped:
		c.onAttemptClosed(changed, func(t *task) policy.EndKind { return endKind(k.TaskStopped, t) })
	case *recordv1.GroupRecord_TaskEnded:
		c.onAttemptClosed(changed, func(t *task) policy.EndKind { return resultKind(t) })
	case *recordv1.GroupRecord_JobHandOff:
		c.onJobHandOff(changed)
	case *recordv1.GroupRecord_JobReceived:
		c.onJobReceived(k.JobReceived, changed)
	case *recordv1.GroupRecord_JobHandOffDone:
		c.onJobHandOffDone(changed)
	case *recordv1.GroupRecord_JobEnded:
		c.onJobEnded(changed)
	case *recordv1.GroupRecord_WorkerVerdict:
		delete(c.owner.pendingQuarantine, spec.WorkerID(k.WorkerVerdict.GetWorker()))
	case *recordv1.GroupRecord_Snapshot:
		c.onSnapshotPart(k.Snapshot)
	}
}

func resultKind(t *task) policy.EndKind {
	if t.code == int32(code.OK) {
		return policy.EndDone
	}
	return policy.EndFailed
}

// onTaskIntent completes a placement: its start command may be sent from now on.
func (c *Core) onTaskIntent(r *recordv1.TaskIntent, changed change) {
	t := changed.task
	if !changed.valid {
		c.onVoidTaskIntent(r)
		return
	}
	c.owner.pendingIntents--
	t.job.pendingIntents--
	t.attemptState.recordPending = false
	w := c.ensureWorker(t.worker)
	w.tasks[t.id()] = t
	w.batchDue = true
	c.emit(JobChanged{Job: t.job.id})
	c.sendDueBatches()
}

// onVoidTaskIntent undoes a placement whose intent had no effect because the job
// was cancelled in the meantime.
func (c *Core) onVoidTaskIntent(r *recordv1.TaskIntent) {
	t := c.taskByID(taskRefID(r.GetJob(), r.GetIndex()))
	if t == nil || t.attemptState == nil || t.active() {
		return
	}
	c.undoPlacement(t, spec.WorkerID(r.GetWorker()))
	c.maybeEnd(t.job)
}

func (c *Core) onTaskStarted(changed change) {
	c.checkPendingRecord(changed)
	t := changed.task
	t.attemptState.recordPending = false
	t.attemptState.runningSince = c.now
	c.emit(JobChanged{Job: t.job.id})
}

// checkPendingRecord asserts that a record of this owner applied to the open
// attempt for which it was written. It holds since the owner writes one record
// about an attempt at a time.
func (c *Core) checkPendingRecord(changed change) {
	invariant.Check(changed.valid && changed.task.attemptState != nil && changed.task.attemptState.recordPending,
		invariant.ResumedOnce, "own record about an attempt that is not open")
}

func (c *Core) onTaskStopping(changed change) {
	c.checkPendingRecord(changed)
	t := changed.task
	t.attemptState.recordPending = false
	c.ensureWorker(t.worker).batchDue = true
	c.emit(JobChanged{Job: t.job.id})
	c.sendDueBatches()
}

// onAttemptClosed releases the resources of an attempt that was closed. Its task
// is waiting again or has ended.
func (c *Core) onAttemptClosed(changed change, kind func(*task) policy.EndKind) {
	c.checkPendingRecord(changed)
	t := changed.task
	runTime := c.now - t.attemptState.runningSince
	t.attemptState = nil
	w := c.ensureWorker(t.worker)
	delete(w.tasks, t.id())
	w.batchDue = true
	c.owner.ledger.Release(t.id(), t.worker)
	c.decider.Ended(c.now, t.id(), kind(t), runTime)
	c.syncGranted(t.worker)
	if t.state == taskWaiting && t.job.open() {
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
	if t.job.active == 0 {
		t.job.phaseSince = c.now
	}
	c.emit(JobChanged{Job: t.job.id})
	c.maybeEnd(t.job)
}
