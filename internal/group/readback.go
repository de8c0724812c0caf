package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// readBack lets the owner act on one of its own records. A repeat of a record
// changes nothing and is told apart by its verdict.
func (c *Core) readBack(record *recordv1.GroupRecord, changed change) {
	if changed.verdict == 0 {
		return
	}
	switch k := record.GetKind().(type) {
	case *recordv1.GroupRecord_JobSubmitted:
		c.submittedBack(jobID(k.JobSubmitted.GetJob().GetId()), changed)
	case *recordv1.GroupRecord_JobCancelled:
		c.cancelledBack(jobID(k.JobCancelled.GetJob()), changed)
	case *recordv1.GroupRecord_TaskIntent:
		c.intentBack(k.TaskIntent, changed)
	case *recordv1.GroupRecord_TaskStarted:
		c.startedBack(changed)
	case *recordv1.GroupRecord_TaskStopping:
		c.stoppingBack(changed)
	case *recordv1.GroupRecord_TaskStopped:
		c.closedBack(changed, func(t *task) policy.EndKind { return endKind(k.TaskStopped, t) })
	case *recordv1.GroupRecord_TaskEnded:
		c.closedBack(changed, func(t *task) policy.EndKind { return resultKind(t) })
	case *recordv1.GroupRecord_JobHandOff:
		c.handOffBack(changed)
	case *recordv1.GroupRecord_JobReceived:
		c.receivedBack(k.JobReceived, changed)
	case *recordv1.GroupRecord_JobHandOffDone:
		c.handOffDoneBack(changed)
	case *recordv1.GroupRecord_JobEnded:
		c.jobEndedBack(changed)
	case *recordv1.GroupRecord_WorkerVerdict:
		delete(c.owner.pendingVerdict, spec.WorkerID(k.WorkerVerdict.GetWorker()))
	case *recordv1.GroupRecord_Snapshot:
		c.snapshotBack(k.Snapshot)
	}
}

func resultKind(t *task) policy.EndKind {
	if t.code == int32(code.OK) {
		return policy.EndDone
	}
	return policy.EndFailed
}

// intentBack makes a placement final: from here on the start may be sent.
func (c *Core) intentBack(r *recordv1.TaskIntent, changed change) {
	t := changed.task
	if !changed.valid {
		c.voidIntent(r)
		return
	}
	c.owner.intents--
	t.job.pendingIntents--
	t.live.pending = false
	w := c.contact(t.worker)
	w.tasks[t.id()] = t
	w.urgent = true
	c.emit(Changed{Job: t.job.id})
	c.contactAll()
}

// voidIntent undoes a placement of a job that was cancelled meanwhile.
func (c *Core) voidIntent(r *recordv1.TaskIntent) {
	t := c.taskByID(taskRefID(r.GetJob(), r.GetIndex()))
	if t == nil || t.live == nil || t.active() {
		return
	}
	c.dropIntent(t, spec.WorkerID(r.GetWorker()))
	c.maybeEnd(t.job)
}

func (c *Core) startedBack(changed change) {
	c.checkOwn(changed)
	t := changed.task
	t.live.pending = false
	t.live.since = c.now
	c.emit(Changed{Job: t.job.id})
}

// checkOwn asserts that a record of this owner about an open attempt met the
// attempt for which it was written: it writes one at a time.
func (c *Core) checkOwn(changed change) {
	invariant.Check(changed.valid && changed.task.live != nil && changed.task.live.pending,
		invariant.ResumedOnce, "own record about an attempt that is not open")
}

func (c *Core) stoppingBack(changed change) {
	c.checkOwn(changed)
	t := changed.task
	t.live.pending = false
	c.contact(t.worker).urgent = true
	c.emit(Changed{Job: t.job.id})
	c.contactAll()
}

// closedBack ends an attempt: its resources are free and the task waits again
// or has ended.
func (c *Core) closedBack(changed change, kind func(*task) policy.EndKind) {
	c.checkOwn(changed)
	t := changed.task
	ran := c.now - t.live.since
	t.live = nil
	w := c.contact(t.worker)
	delete(w.tasks, t.id())
	w.urgent = true
	c.owner.ledger.Free(t.id(), t.worker)
	c.decider.Ended(c.now, t.id(), kind(t), ran)
	c.syncGranted(t.worker)
	if t.state == taskWaiting && t.job.open() {
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
	if t.job.active == 0 {
		t.job.since = c.now
	}
	c.emit(Changed{Job: t.job.id})
	c.maybeEnd(t.job)
}
