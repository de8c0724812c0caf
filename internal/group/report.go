package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// The reasons that TaskStopping and TaskStopped records state.
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

// pollsUntilUnreachable is how many poll periods without an answer make a
// worker unreachable.
const pollsUntilUnreachable = 3

func (c *Core) onWorkerFailed(e WorkerFailed) {
	if c.owner == nil {
		return
	}
	w := c.owner.workers[e.Worker]
	if w == nil || w.open != e.Serial {
		return
	}
	w.open = 0
	w.failing = true
}

// onWorkerAnswered takes a worker's report in. Answers to other batches than
// the open one are late and say nothing certain.
func (c *Core) onWorkerAnswered(e WorkerAnswered) {
	if c.owner == nil {
		return
	}
	w := c.owner.workers[e.Report.Worker]
	if w == nil || w.open != e.Serial {
		return
	}
	w.open = 0
	w.failing = false
	if e.Report.Fenced || e.Report.Epoch > c.owner.epoch {
		c.note("worker_fenced", "worker", string(w.worker.ID), "epoch", itoa(e.Report.Epoch))
		return
	}
	if e.Report.Epoch != c.owner.epoch && !c.opts.broken.noWorkerFence {
		c.note("worker_epoch", "worker", string(w.worker.ID), "epoch", itoa(e.Report.Epoch))
		return
	}
	if e.Report.Boot != w.boot {
		w.boot = e.Report.Boot
		w.startBy = make(map[attemptKey]time.Duration)
		w.urgent = true
	}
	w.clock = e.Report.Clock
	w.clockAt = e.ReceivedAt
	if !c.deciding() {
		return
	}
	if !w.answered {
		w.answered = true
		c.offerWorker(w)
	}
	c.takeReports(w, e.Report)
	c.observe(w, e)
	c.contactAll()
}

// takeReports compares what the worker states with each attempt booked on it.
func (c *Core) takeReports(w *contact, report *platform.WorkerReport) {
	stated := make(map[attemptKey]*platform.TaskReport, len(report.Tasks))
	w.over = w.over[:0]
	for i := range report.Tasks {
		r := &report.Tasks[i]
		stated[attemptKey{task: r.Task, attempt: r.Attempt}] = r
		if t := w.tasks[r.Task]; t == nil || t.attempt != r.Attempt {
			w.over = append(w.over, *r)
			w.urgent = w.urgent || r.State != platform.TaskRunning && w.mayForget(r)
		}
	}
	for _, t := range w.ordered() {
		r := stated[attemptKey{task: t.id(), attempt: t.attempt}]
		if r == nil {
			c.onAbsent(w, t)
			continue
		}
		c.onStated(w, t, r)
	}
}

// onStated takes in what the worker states about the open attempt of a task.
func (c *Core) onStated(w *contact, t *task, r *platform.TaskReport) {
	l := t.live
	if r.Checkpoint != "" {
		l.checkpoint = r.Checkpoint
	}
	l.progress = max(l.progress, r.Progress)
	switch r.State {
	case platform.TaskRunning:
		l.seenRunning = true
		l.adopted = false
		if t.state == taskStarting && !l.pending {
			c.writeStarted(t)
		}
	case platform.TaskRefused:
		l.refused = true
		if l.sentBoot != w.boot || w.clock > l.startBy {
			c.writeStopped(t, reasonRefused, false, false)
		}
	case platform.TaskStopped:
		reason := reasonStopped
		if t.state == taskStopping {
			reason = reasonEvict
		}
		c.writeStopped(t, reason, r.Ran || t.ranNow(), false)
	case platform.TaskDone:
		c.writeEnded(t, code.OK, "")
	case platform.TaskFailed:
		c.onFailed(t, r)
	}
}

// ranNow reports whether the open attempt is known to have run.
func (t *task) ranNow() bool {
	return t.state != taskStarting || t.live.seenRunning
}

// onFailed lets a failed task run again as long as that is allowed.
func (c *Core) onFailed(t *task, r *platform.TaskReport) {
	mayRepeat := !r.Ran || t.repeatable() || t.live.checkpoint != ""
	if mayRepeat && t.failures+1 < c.opts.MaxFailures {
		c.writeStopped(t, reasonFailed, r.Ran, false)
		return
	}
	c.writeEnded(t, code.JobFailed, r.Detail)
}

// onAbsent decides about an attempt that the worker does not list. A start
// under way may still arrive until its latest start time.
func (c *Core) onAbsent(w *contact, t *task) {
	l := t.live
	switch {
	case l.sentBoot != "" && l.sentBoot != w.boot && !c.opts.broken.ignoreBoot:
		c.writeStopped(t, reasonLost, true, true)
	case t.ranNow():
		c.writeStopped(t, reasonLost, true, true)
	case l.adopted && c.owner.reused && c.now <= c.oldRightEnd():
		return
	case l.adopted:
		ran := t.boot != w.boot
		c.writeStopped(t, reasonNotStarted, ran, ran)
	case l.sentBoot == "":
		if t.boot != w.boot || t.state == taskStopping || t.job.cancelled {
			c.writeStopped(t, reasonNotStarted, false, false)
		}
	case t.state == taskStopping || t.job.cancelled:
		if w.clock > l.startBy {
			c.writeStopped(t, reasonNotStarted, false, false)
		}
	}
}

// findLost gives up attempts on workers that do not answer, when their leases
// have expired or when no start was ever sent.
func (c *Core) findLost() {
	for _, id := range c.owner.order {
		w := c.owner.workers[id]
		unreachable := c.now-max(w.clockAt, c.owner.since) > pollsUntilUnreachable*c.opts.PollEvery
		if !unreachable {
			continue
		}
		for _, t := range w.ordered() {
			c.giveUp(t)
		}
		if w.offered {
			w.offered = false
			w.answered = false
			c.decider.RemoveWorker(c.now, id)
			c.note("worker_unreachable", "worker", string(id))
		}
	}
}

func (c *Core) giveUp(t *task) {
	l := t.live
	neverSent := !l.adopted && l.sentBoot == "" && !l.seenRunning
	if neverSent {
		c.writeStopped(t, reasonNotStarted, false, false)
		return
	}
	if c.now > l.leaseUntil || c.opts.broken.noLeaseWait {
		c.writeStopped(t, reasonLost, true, true)
	}
}

// writeStarted records that an attempt was seen running.
func (c *Core) writeStarted(t *task) {
	record := &recordv1.TaskStarted{Job: jobRef(t.job.id), Index: t.index, Attempt: uint32(t.attempt)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStarted{TaskStarted: record}}
	c.writeAbout(t, "worker reported the start", body)
}

// writeStopped records that the open attempt no longer runs and will not run
// again.
func (c *Core) writeStopped(t *task, reason string, ran, lost bool) {
	if t.live.pending {
		return
	}
	record := &recordv1.TaskStopped{
		Job:        jobRef(t.job.id),
		Index:      t.index,
		Attempt:    uint32(t.attempt),
		Reason:     reason,
		Checkpoint: t.live.checkpoint,
		Ran:        ran,
		Lost:       lost,
		Progress:   t.live.progress,
	}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStopped{TaskStopped: record}}
	c.writeAbout(t, reason, body)
}

func (c *Core) writeEnded(t *task, result code.Code, detail string) {
	if t.live.pending {
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
	c.writeAbout(t, "worker reported the end", body)
}

// writeAbout writes a record about the open attempt of a task, one at a time.
func (c *Core) writeAbout(t *task, why string, body *recordv1.GroupRecord) {
	l := t.live
	l.pending = true
	c.write(why, "", body, func(code.Code) { l.pending = false })
}

// observe passes the worker's measurements on to the decider.
func (c *Core) observe(w *contact, e WorkerAnswered) {
	if !w.offered {
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
