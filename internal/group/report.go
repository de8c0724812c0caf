package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// The reasons in TaskStopping and TaskStopped records.
const (
	reasonCancel     = "cancel"
	reasonEvict      = "evict"
	reasonMove       = "move"
	reasonLeaving    = "worker_leaving"
	reasonFailed     = "failed"
	reasonRefused    = "start_refused"
	reasonNotStarted = "not_started"
	reasonLost       = "worker_lost"
	reasonStopped    = "stopped"
)

// pollsUntilUnreachable is the number of poll periods without a response after
// which a worker is considered unreachable.
const pollsUntilUnreachable = 3

func (c *Core) onWorkerFailed(e WorkerFailed) {
	if c.owner == nil {
		return
	}
	w := c.owner.workers[e.Worker]
	if w == nil || w.batchInFlight != e.Serial {
		return
	}
	w.batchInFlight = 0
	w.lastBatchFailed = true
	for _, t := range w.sortedTasks() {
		t.attemptState.sentThrottle = throttleUnknown
	}
}

// onWorkerAnswered processes a worker's report. A response to any other batch
// than the one in flight is outdated and is ignored.
func (c *Core) onWorkerAnswered(e WorkerAnswered) {
	if c.owner == nil {
		return
	}
	w := c.owner.workers[e.Report.Worker]
	if w == nil || w.batchInFlight != e.Serial {
		return
	}
	w.batchInFlight = 0
	w.lastBatchFailed = false
	if e.Report.Fenced || e.Report.Epoch > c.owner.epoch {
		c.logEvent("worker_fenced", "worker", string(w.worker.ID), "epoch", itoa(e.Report.Epoch))
		return
	}
	if e.Report.Epoch != c.owner.epoch && !c.opts.mutations.noWorkerFence {
		c.logEvent("worker_epoch", "worker", string(w.worker.ID), "epoch", itoa(e.Report.Epoch))
		return
	}
	if e.Report.Boot != w.boot {
		w.boot = e.Report.Boot
		w.startBy = make(map[attemptKey]time.Duration)
		w.batchDue = true
	}
	w.clock = e.Report.Clock
	w.clockReadAt = e.ReceivedAt
	if !c.deciding() {
		return
	}
	if !w.reachable {
		w.reachable = true
		c.registerWorker(w)
	}
	c.reconcileReport(w, e.Report)
	c.observe(w, e)
	c.sendDueBatches()
}

// reconcileReport compares a worker's report with the attempts that are open on
// the worker.
func (c *Core) reconcileReport(w *workerState, report *platform.WorkerReport) {
	reported := make(map[attemptKey]*platform.TaskReport, len(report.Tasks))
	w.closedAttempts = w.closedAttempts[:0]
	for i := range report.Tasks {
		r := &report.Tasks[i]
		reported[attemptKey{task: r.Task, attempt: r.Attempt}] = r
		if t := w.tasks[r.Task]; t == nil || t.attempt != r.Attempt {
			w.closedAttempts = append(w.closedAttempts, *r)
			w.batchDue = w.batchDue || r.State != platform.TaskRunning && w.mayForget(r)
		}
	}
	for _, t := range w.sortedTasks() {
		r := reported[attemptKey{task: t.id(), attempt: t.attempt}]
		if r == nil {
			c.onAttemptMissing(w, t)
			continue
		}
		c.onAttemptReported(w, t, r)
	}
}

// onAttemptReported processes the worker's report on the open attempt of a task.
func (c *Core) onAttemptReported(w *workerState, t *task, r *platform.TaskReport) {
	a := t.attemptState
	if r.Checkpoint != "" {
		a.checkpoint = r.Checkpoint
	}
	a.progress = max(a.progress, r.Progress)
	switch r.State {
	case platform.TaskRunning:
		a.reportedRunning = true
		a.adopted = false
		if t.state == taskStarting && !a.recordPending {
			c.writeStarted(t)
		}
	case platform.TaskRefused:
		a.startRefused = true
		if a.sentBoot != w.boot || w.clock > a.startBy {
			c.writeStopped(t, reasonRefused, false, false)
		}
	case platform.TaskStopped:
		reason := reasonStopped
		if t.state == taskStopping {
			reason = reasonEvict
		}
		c.writeStopped(t, reason, r.Ran || t.openAttemptRan(), false)
	case platform.TaskDone:
		c.writeEnded(t, code.OK, "")
	case platform.TaskFailed:
		c.onAttemptFailed(t, r)
	}
}

// openAttemptRan reports whether the open attempt is known to have run.
func (t *task) openAttemptRan() bool {
	return t.state != taskStarting || t.attemptState.reportedRunning
}

// onAttemptFailed closes a failed attempt for a retry, or ends the task if it may
// not be retried.
func (c *Core) onAttemptFailed(t *task, r *platform.TaskReport) {
	mayRetry := !r.Ran || t.retryable() || t.attemptState.checkpoint != ""
	if mayRetry && t.failures+1 < c.opts.MaxFailures {
		c.writeStopped(t, reasonFailed, r.Ran, false)
		return
	}
	c.writeEnded(t, code.JobFailed, r.Detail)
}

// onAttemptMissing closes an attempt that the worker does not report, once it
// cannot start any more. A start command in flight can take effect until its
// StartBy.
func (c *Core) onAttemptMissing(w *workerState, t *task) {
	a := t.attemptState
	switch {
	case a.sentBoot != "" && a.sentBoot != w.boot:
		c.writeStopped(t, reasonLost, true, true)
	case t.openAttemptRan():
		c.writeStopped(t, reasonLost, true, true)
	case a.adopted:
		ran := t.boot != w.boot
		c.writeStopped(t, reasonNotStarted, ran, ran)
	case a.sentBoot == "":
		if t.boot != w.boot || t.state == taskStopping || t.job.cancelled {
			c.writeStopped(t, reasonNotStarted, false, false)
		}
	case t.state == taskStopping || t.job.cancelled:
		if w.clock > a.startBy {
			c.writeStopped(t, reasonNotStarted, false, false)
		}
	}
}

// closeLostAttempts closes the attempts on unreachable workers whose leases have
// expired or for which no start command was sent.
func (c *Core) closeLostAttempts() {
	for _, id := range c.owner.workerOrder {
		w := c.owner.workers[id]
		unreachable := c.now-max(w.clockReadAt, c.owner.takenOverAt) > pollsUntilUnreachable*c.opts.PollEvery
		if !unreachable {
			continue
		}
		for _, t := range w.sortedTasks() {
			c.closeIfLost(t)
		}
		if w.reachable {
			// No lease is renewed until the worker responds again, so the
			// leases expire.
			w.reachable = false
			w.registered = false
			c.decider.RemoveWorker(c.now, id)
			c.logEvent("worker_unreachable", "worker", string(id))
		}
	}
}

func (c *Core) closeIfLost(t *task) {
	a := t.attemptState
	neverSent := !a.adopted && a.sentBoot == "" && !a.reportedRunning
	if neverSent {
		c.writeStopped(t, reasonNotStarted, false, false)
		return
	}
	if c.now > a.leaseUntil || c.opts.mutations.noLeaseWait {
		c.writeStopped(t, reasonLost, true, true)
	}
}

// writeStarted records that an attempt was reported as running.
func (c *Core) writeStarted(t *task) {
	record := &recordv1.TaskStarted{Job: jobRef(t.job.id), Index: t.index, Attempt: uint32(t.attempt)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStarted{TaskStarted: record}}
	c.writeAttemptRecord(t, "worker reported the start", body)
}

// writeStopped records that the open attempt no longer runs and will not run
// again.
func (c *Core) writeStopped(t *task, reason string, ran, lost bool) {
	if t.attemptState.recordPending {
		return
	}
	record := &recordv1.TaskStopped{
		Job:        jobRef(t.job.id),
		Index:      t.index,
		Attempt:    uint32(t.attempt),
		Reason:     reason,
		Checkpoint: t.attemptState.checkpoint,
		Ran:        ran,
		Lost:       lost,
		Progress:   t.attemptState.progress,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStopped{TaskStopped: record}}
	c.writeAttemptRecord(t, reason, body)
}

func (c *Core) writeEnded(t *task, result code.Code, detail string) {
	if t.attemptState.recordPending {
		return
	}
	record := &recordv1.TaskEnded{
		Job:     jobRef(t.job.id),
		Index:   t.index,
		Attempt: uint32(t.attempt),
		Code:    int32(result),
		Detail:  detail,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskEnded{TaskEnded: record}}
	c.writeAttemptRecord(t, "worker reported the end", body)
}

// writeAttemptRecord writes a record about the open attempt of a task. The caller
// ensures that no other record about it is pending.
func (c *Core) writeAttemptRecord(t *task, why string, body *recordv1.GroupRecord) {
	a := t.attemptState
	a.recordPending = true
	c.write(why, "", body, func(code.Code) { a.recordPending = false })
}

// observe passes the worker's measurements to the decider.
func (c *Core) observe(w *workerState, e WorkerAnswered) {
	if !w.registered {
		return
	}
	report := policy.Report{
		Worker:      w.worker.ID,
		MeasuredAt:  e.ReceivedAt - max(e.Report.Clock-e.Report.MeasuredAt, 0),
		ServiceP99:  e.Report.ServiceP99,
		ServiceLoad: e.Report.ServiceLoad,
	}
	for _, r := range e.Report.Tasks {
		t := w.tasks[r.Task]
		if t == nil || t.attempt != r.Attempt || r.State != platform.TaskRunning {
			continue
		}
		report.Tasks = append(report.Tasks, policy.TaskUsage{
			Task:      r.Task,
			MilliCPU:  r.MilliCPU,
			MemoryMiB: r.MemoryMiB,
			Progress:  r.Progress,
		})
	}
	c.decider.Observe(c.now, report)
}

func taskRefID(ref *recordv1.JobRef, index uint32) spec.TaskID {
	return spec.TaskID{Job: jobID(ref), Index: index}
}
