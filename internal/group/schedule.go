package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// retryAfterReject is the pause after the journal refused an intent.
const retryAfterReject = time.Second

// scanEvery is the period at which the owner looks over jobs that wait, ended
// or moved.
const scanEvery = time.Second

func (c *Core) onTick() {
	if !c.deciding() {
		return
	}
	c.findLost()
	c.workOffCancelled()
	c.confirmCancels()
	c.relieve()
	c.review()
	c.schedule()
	c.scan()
	c.snapshotDue()
	c.contactAll()
}

// schedule lets the decider place waiting tasks and writes their intents.
func (c *Core) schedule() {
	room := c.opts.MaxPendingIntents - c.owner.intents
	if room <= 0 || c.now < c.owner.holdIntents || !c.servicesKnown {
		return
	}
	for _, p := range c.decider.Schedule(c.now, room) {
		c.place(p)
	}
}

func (c *Core) place(p policy.Placement) {
	t := c.taskByID(p.Task)
	w := c.owner.workers[p.Worker]
	invariant.Check(t != nil && t.state == taskWaiting && t.live == nil, invariant.ResumedOnce,
		"decider placed %s, which does not wait", p.Task)
	invariant.Check(w != nil, invariant.InternalConsistency, "decider chose the unknown worker %s", p.Worker)
	if !t.job.open() {
		c.decider.Ended(c.now, p.Task, policy.EndNotStarted, 0)
		return
	}
	if !w.answered || t.job.movePending || !c.owner.ledger.Reserve(c.now, p.Task, p.Worker, t.job.resources()) {
		c.unplace(t)
		return
	}
	c.writeIntent(t, w, p.Why)
}

// unplace puts a task that was placed back into the queue.
func (c *Core) unplace(t *task) {
	c.decider.Ended(c.now, t.id(), policy.EndNotStarted, 0)
	if t.state == taskWaiting && t.job.open() {
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
}

func (c *Core) writeIntent(t *task, w *contact, why string) {
	attempt := t.attempt + 1
	if c.opts.broken.reuseAttempt {
		attempt = max(t.attempt, 1)
	}
	t.live = newLive(c.now)
	t.live.pending = true
	t.job.pendingIntents++
	c.owner.intents++
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
		c.owner.holdIntents = c.now + retryAfterReject
		c.dropIntent(t, w.worker.ID)
	})
	if c.opts.broken.startBeforeReadBack {
		w.early = append(w.early, c.startCommand(w, t, attempt, c.onWorkerClock(w, c.right.Until)))
		w.urgent = true
	}
}

// dropIntent undoes a placement whose intent is not or not validly on record.
func (c *Core) dropIntent(t *task, id spec.WorkerID) {
	c.owner.intents--
	t.job.pendingIntents--
	t.live = nil
	c.owner.ledger.Free(t.id(), id)
	c.unplace(t)
}

// relieve frees slots that urgent requests want.
func (c *Core) relieve() {
	for _, p := range c.owner.ledger.Pressure(c.now) {
		c.syncGranted(p.Worker)
		w := c.owner.workers[p.Worker]
		need := p.Need
		for _, t := range w.ordered() {
			if t.leavingWorker() {
				need = need.Sub(t.job.resources())
			}
		}
		need = atLeastZero(need)
		if need.IsZero() {
			continue
		}
		for _, action := range c.decider.Relieve(c.now, p.Worker, need) {
			c.act(action)
		}
	}
}

// leavingWorker reports whether the task is about to leave its worker.
func (t *task) leavingWorker() bool {
	return t.state == taskStopping || t.job.cancelled || t.live.pending && t.state == taskRunning
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

// review acts on interference, sick workers and workers that leave.
func (c *Core) review() {
	if c.now < c.owner.nextReview {
		return
	}
	c.owner.nextReview = c.now + c.opts.ReviewEvery
	for _, action := range c.decider.Review(c.now) {
		c.act(action)
	}
	c.reportOverdue()
	var gone []*contact
	for _, id := range c.owner.order {
		w := c.owner.workers[id]
		c.syncGranted(id)
		if !w.leaving {
			continue
		}
		if w.seen {
			c.stopAll(w)
		}
		if !w.listed {
			gone = append(gone, w)
		}
	}
	for _, w := range gone {
		c.dropWorker(w)
	}
}

// stopAll moves the tasks of a worker that leaves.
func (c *Core) stopAll(w *contact) {
	for _, t := range w.ordered() {
		c.stopTask(t, reasonLeaving, "worker leaves")
	}
}

// reportOverdue tells about tasks that can no longer meet their deadline.
func (c *Core) reportOverdue() {
	late := make(map[spec.TaskID]bool)
	for _, id := range c.decider.Overdue(c.now) {
		late[id] = true
		if !c.owner.overdue[id] {
			c.emit(Overdue{Task: id})
		}
	}
	c.owner.overdue = late
}

func (c *Core) act(a policy.Action) {
	switch a.Kind {
	case policy.ActionQuarantine:
		c.writeVerdict(a.Worker, true, a.Why)
		return
	case policy.ActionRelease:
		c.writeVerdict(a.Worker, false, a.Why)
		return
	}
	t := c.taskByID(a.Task)
	if t == nil || t.live == nil || !t.active() || t.worker != a.Worker {
		return
	}
	switch a.Kind {
	case policy.ActionThrottle:
		t.live.throttle = a.ThrottlePercent
	case policy.ActionUnthrottle:
		t.live.throttle = unthrottled
	case policy.ActionMove:
		c.stopTask(t, reasonMove, a.Why)
	case policy.ActionEvict:
		c.stopTask(t, reasonEvict, a.Why)
	}
	c.owner.workers[t.worker].urgent = true
}

// stopTask records that a running task is to stop and resume elsewhere. A task
// that could not resume is asked for a checkpoint first.
func (c *Core) stopTask(t *task, reason, why string) {
	l := t.live
	if t.state != taskRunning || l.pending || t.job.cancelled {
		return
	}
	if !t.job.spec.GetRestartFromStart() && l.checkpoint == "" && t.checkpoint == "" {
		l.wantCheckpoint = true
		return
	}
	record := &recordv1.TaskStopping{
		Job: jobRef(t.job.id), Index: t.index, Attempt: uint32(t.attempt), Reason: reason,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStopping{TaskStopping: record}}
	c.writeAbout(t, why, body)
	c.note("task_stopping", "task", t.id().String(), "attempt", itoa(t.attempt),
		"worker", string(t.worker), "reason", reason, "why", why)
}

func (c *Core) writeVerdict(id spec.WorkerID, quarantined bool, why string) {
	if c.state().quarantined[id] == quarantined || c.owner.pendingVerdict[id] {
		return
	}
	c.owner.pendingVerdict[id] = true
	record := &recordv1.WorkerVerdict{Worker: string(id), Quarantined: quarantined}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_WorkerVerdict{WorkerVerdict: record}}
	pending := c.owner.pendingVerdict
	c.write(why, "", body, func(code.Code) { delete(pending, id) })
	c.note("worker_verdict", "worker", string(id), "quarantined", boolText(quarantined), "why", why)
}

func (c *Core) taskByID(id spec.TaskID) *task {
	j := c.state().jobs[id.Job]
	if j == nil || int(id.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// endKind states for the decider how an attempt ended.
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
