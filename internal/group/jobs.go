package group

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// pendingSubmit is a JobSubmitted record that has not been read back.
type pendingSubmit struct {
	hash     uint64
	requests []Request
}

// pendingCancel is a JobCancelled record that has not been read back.
type pendingCancel struct{ requests []Request }

// unconfirmedCancel is a recorded cancellation. The reply is sent once no
// start command sent before it can still take effect.
type unconfirmedCancel struct {
	job     spec.JobID
	request Request
}

// contentHash returns a hash of the job as the caller submitted it.
func contentHash(job *recordv1.JobSpec) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(job)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (c *Core) onSubmit(e Submit) {
	if !c.deciding() {
		c.refuse(e.Request, code.New(code.NotOwner, "group %s", c.opts.Group))
		return
	}
	id := jobID(e.Job.GetId())
	hash := contentHash(e.Job)
	if known := c.state().jobs[id]; known != nil {
		c.replyToResubmission(e.Request, known, hash)
		return
	}
	if pending := c.owner.pendingSubmits[id]; pending != nil {
		if pending.hash != hash {
			c.refuse(e.Request, code.New(code.JobConflict, "job %s", id))
			return
		}
		pending.requests = append(pending.requests, e.Request)
		return
	}
	job, err := c.admitSubmission(e)
	if err != nil {
		c.refuse(e.Request, err)
		return
	}
	c.owner.pendingSubmits[id] = &pendingSubmit{hash: hash, requests: []Request{e.Request}}
	record := &recordv1.JobSubmitted{Job: job, ContentHash: hash}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobSubmitted{JobSubmitted: record}}
	c.write("submitted", e.Actor, body, func(reason code.Code) {
		c.replyToSubmits(id, code.New(reason, "job %s", id))
	})
}

// replyToResubmission replies to the submission of a job that is already
// known. It is refused if the content differs.
func (c *Core) replyToResubmission(request Request, known *job, hash uint64) {
	if known.contentHash != hash {
		c.refuse(request, code.New(code.JobConflict, "job %s", known.id))
		return
	}
	c.reply(request, known)
}

// replyToSubmits replies to all requests that wait for the submission of a job.
func (c *Core) replyToSubmits(id spec.JobID, err error) {
	pending := c.owner.pendingSubmits[id]
	delete(c.owner.pendingSubmits, id)
	if pending == nil {
		return
	}
	for _, request := range pending.requests {
		if err != nil {
			c.refuse(request, err)
			continue
		}
		c.replyToResubmission(request, c.state().jobs[id], pending.hash)
	}
}

func (c *Core) onJobSubmitted(id spec.JobID, changed change) {
	if changed.valid {
		c.enqueueJob(changed.job)
	}
	c.replyToSubmits(id, nil)
}

// enqueueJob queues the waiting tasks of a submitted or received job.
func (c *Core) enqueueJob(j *job) {
	j.phaseSince = c.now
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			c.decider.Enqueue(c.now, c.policyTask(t))
		}
	}
	c.emit(JobChanged{Job: j.id})
	c.maybeEnd(j)
}

// checkJob refuses a job that is malformed or can never run.
func (c *Core) checkJob(job *recordv1.JobSpec) error {
	need := record.ToResources(job.GetPerTask())
	class := spec.Class(job.GetClass())
	deadline := job.GetDeadlineUnixMs()
	switch {
	case !spec.ValidID(job.GetId().GetTeam()) || !spec.ValidID(job.GetId().GetName()):
		return code.New(code.BadID, "job id %q of team %q", job.GetId().GetName(), job.GetId().GetTeam())
	case class != spec.Deadline && class != spec.LongRunning:
		return code.New(code.BadRequest, "class %d is not a class of jobs", job.GetClass())
	case job.GetTasks() == 0 || job.GetTasks() > c.opts.MaxTasks:
		return code.New(code.BadRequest, "%d tasks, 1 to %d are possible", job.GetTasks(), c.opts.MaxTasks)
	case len(job.GetPayload()) > c.opts.MaxPayloadBytes:
		return code.New(code.BodyTooLarge, "payload of %d bytes, at most %d", len(job.GetPayload()), c.opts.MaxPayloadBytes)
	case !need.NonNegative() || need.IsZero() || job.GetRunTimeMs() < 0:
		return code.New(code.BadResources, "job %s", jobID(job.GetId()))
	case deadline != 0 && deadline <= c.opts.UnixMSAtZero+c.now.Milliseconds():
		return code.New(code.DeadlinePast, "job %s", jobID(job.GetId()))
	}
	if dimension := c.neverRunnable(job); dimension != "" {
		return code.New(code.NeverRunnable, "%s: a task needs more than any worker and quota that it may use has", dimension)
	}
	return nil
}

// largestKnown returns the largest capacity of any worker in each dimension; it
// is zero if no worker is known.
func (c *Core) largestKnown() spec.Resources {
	out := c.largestWorker
	for _, info := range c.workerInfos {
		out = larger(out, info.Worker.Capacity)
	}
	for _, p := range c.peers {
		out = larger(out, p.Largest)
	}
	return out
}

func larger(a, b spec.Resources) spec.Resources {
	return a.Add(atLeastZero(b.Sub(a)))
}

func (c *Core) onQueryJob(e QueryJob) {
	if !c.deciding() {
		c.refuse(e.Request, code.New(code.NotOwner, "group %s", c.opts.Group))
		return
	}
	j := c.state().jobs[e.Job]
	if j == nil {
		c.refuse(e.Request, code.New(code.UnknownJob, "job %s", e.Job))
		return
	}
	c.reply(e.Request, j)
}

func (c *Core) onCancel(e Cancel) {
	if !c.deciding() {
		c.refuse(e.Request, code.New(code.NotOwner, "group %s", c.opts.Group))
		return
	}
	j := c.state().jobs[e.Job]
	switch {
	case j == nil:
		c.refuse(e.Request, code.New(code.UnknownJob, "job %s", e.Job))
	case j.movedTo != "" && !j.handOffDone:
		c.refuse(e.Request, code.New(code.OwnerUnknown, "job %s is being handed off", e.Job))
	case j.movedTo != "":
		c.reply(e.Request, j)
	case j.cancelled:
		c.owner.unconfirmedCancels = append(c.owner.unconfirmedCancels, unconfirmedCancel{job: e.Job, request: e.Request})
		c.confirmCancels()
	case j.ended:
		c.refuse(e.Request, code.New(code.JobAlreadyEnded, "job %s", e.Job))
	case c.owner.pendingCancels[e.Job] != nil:
		pending := c.owner.pendingCancels[e.Job]
		pending.requests = append(pending.requests, e.Request)
	default:
		c.writeCancel(e)
	}
}

func (c *Core) writeCancel(e Cancel) {
	c.owner.pendingCancels[e.Job] = &pendingCancel{requests: []Request{e.Request}}
	record := &recordv1.JobCancelled{Job: jobRef(e.Job)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobCancelled{JobCancelled: record}}
	c.write("cancelled", e.Actor, body, func(reason code.Code) {
		c.refuseCancels(e.Job, code.New(reason, "job %s", e.Job))
	})
}

// refuseCancels refuses all requests that wait for a cancellation that was not
// recorded.
func (c *Core) refuseCancels(id spec.JobID, err error) {
	pending := c.owner.pendingCancels[id]
	delete(c.owner.pendingCancels, id)
	if pending == nil {
		return
	}
	for _, request := range pending.requests {
		c.refuse(request, err)
	}
}

// onJobCancelled queues a cancelled job, whose tasks are processed in later Ticks.
// The record is without effect if the job had ended or was being handed off.
func (c *Core) onJobCancelled(id spec.JobID, changed change) {
	if !changed.valid {
		c.refuseCancels(id, c.cancelRefusal(id))
		return
	}
	j := changed.job
	c.owner.cancelQueue = append(c.owner.cancelQueue, j)
	if pending := c.owner.pendingCancels[id]; pending != nil {
		for _, request := range pending.requests {
			c.owner.unconfirmedCancels = append(c.owner.unconfirmedCancels, unconfirmedCancel{job: id, request: request})
		}
	}
	delete(c.owner.pendingCancels, id)
	c.emit(JobChanged{Job: id})
	c.confirmCancels()
}

func (c *Core) cancelRefusal(id spec.JobID) error {
	if j := c.state().jobs[id]; j != nil && j.movedTo != "" {
		return code.New(code.OwnerUnknown, "job %s is being handed off", id)
	}
	return code.New(code.JobAlreadyEnded, "job %s", id)
}

// confirmCancels replies to the recorded cancellations of jobs of which no task
// can start any more.
func (c *Core) confirmCancels() {
	if !c.deciding() {
		return
	}
	kept := c.owner.unconfirmedCancels[:0]
	for _, waiting := range c.owner.unconfirmedCancels {
		j := c.state().jobs[waiting.job]
		if j != nil && c.now <= j.startHorizon && !c.opts.mutations.noCancelHorizon {
			kept = append(kept, waiting)
			continue
		}
		if j == nil {
			c.refuse(waiting.request, code.New(code.UnknownJob, "job %s", waiting.job))
			continue
		}
		c.reply(waiting.request, j)
	}
	c.owner.unconfirmedCancels = kept
}

// processCancelledJobs processes up to MaxCancelledTasksPerTick tasks of cancelled
// jobs: waiting tasks are removed from the queue, running ones are stopped.
func (c *Core) processCancelledJobs() {
	remaining := c.opts.MaxCancelledTasksPerTick
	for remaining > 0 && len(c.owner.cancelQueue) > 0 {
		j := c.owner.cancelQueue[0]
		for ; remaining > 0 && j.nextCancelTask < len(j.tasks); j.nextCancelTask++ {
			c.cancelTask(&j.tasks[j.nextCancelTask])
			remaining--
		}
		if j.nextCancelTask < len(j.tasks) {
			return
		}
		c.owner.cancelQueue = c.owner.cancelQueue[1:]
		c.maybeEnd(j)
	}
}

func (c *Core) cancelTask(t *task) {
	switch {
	case t.active():
		c.ensureWorker(t.worker).batchDue = true
	case t.state == taskWaiting && t.attemptState == nil:
		c.decider.Dequeue(t.id())
	}
}

// refusePendingRequests refuses all pending submissions, cancellations and
// received jobs when the ownership is lost, since their outcome is unknown.
func (c *Core) refusePendingRequests() {
	for _, id := range sortedJobs(c.owner.pendingSubmits) {
		c.replyToSubmits(id, code.New(code.AcceptanceUnsure, "job %s", id))
	}
	for _, id := range sortedJobs(c.owner.pendingCancels) {
		c.refuseCancels(id, code.New(code.AcceptanceUnsure, "job %s", id))
	}
	for _, id := range sortedJobs(c.owner.pendingReceives) {
		c.replyToReceives(id, code.AcceptanceUnsure)
	}
	for _, waiting := range c.owner.unconfirmedCancels {
		c.refuse(waiting.request, code.New(code.AcceptanceUnsure, "job %s", waiting.job))
	}
	c.owner.unconfirmedCancels = nil
}
