package group

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// pendingSubmit is a JobSubmitted record that is not read back.
type pendingSubmit struct {
	hash     uint64
	requests []Request
}

// pendingCancel is a JobCancelled record that is not read back.
type pendingCancel struct{ requests []Request }

// confirm is a cancellation on record. It is answered when no start that was
// sent before can take effect any more.
type confirm struct {
	job     spec.JobID
	request Request
}

// contentHash identifies what a caller submitted.
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
		c.answerKnown(e.Request, known, hash)
		return
	}
	if pending := c.owner.submits[id]; pending != nil {
		if pending.hash != hash {
			c.refuse(e.Request, code.New(code.JobConflict, "job %s", id))
			return
		}
		pending.requests = append(pending.requests, e.Request)
		return
	}
	job, err := c.accepted(e)
	if err != nil {
		c.refuse(e.Request, err)
		return
	}
	c.owner.submits[id] = &pendingSubmit{hash: hash, requests: []Request{e.Request}}
	record := &recordv1.JobSubmitted{Job: job, ContentHash: hash}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobSubmitted{JobSubmitted: record}}
	c.write("submitted", e.Actor, body, func(reason code.Code) {
		c.endSubmit(id, code.New(reason, "job %s", id))
	})
}

// answerKnown answers a repeated submission.
func (c *Core) answerKnown(request Request, known *job, hash uint64) {
	if known.hash != hash {
		c.refuse(request, code.New(code.JobConflict, "job %s", known.id))
		return
	}
	c.answer(request, known)
}

// endSubmit answers all who wait for a submission.
func (c *Core) endSubmit(id spec.JobID, err error) {
	pending := c.owner.submits[id]
	delete(c.owner.submits, id)
	if pending == nil {
		return
	}
	for _, request := range pending.requests {
		if err != nil {
			c.refuse(request, err)
			continue
		}
		c.answerKnown(request, c.state().jobs[id], pending.hash)
	}
}

func (c *Core) submittedBack(id spec.JobID, changed change) {
	if changed.valid {
		c.startJob(changed.job)
	}
	c.endSubmit(id, nil)
}

// startJob queues the tasks of a job that came in.
func (c *Core) startJob(j *job) {
	j.since = c.now
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			c.decider.Enqueue(c.now, c.policyTask(t))
		}
	}
	c.emit(Changed{Job: j.id})
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

// largestKnown is the largest capacity of any worker in each dimension; zero
// when no worker is known.
func (c *Core) largestKnown() spec.Resources {
	out := c.largest
	for _, info := range c.infos {
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

func (c *Core) onQuery(e QueryJob) {
	if !c.deciding() {
		c.refuse(e.Request, code.New(code.NotOwner, "group %s", c.opts.Group))
		return
	}
	j := c.state().jobs[e.Job]
	if j == nil {
		c.refuse(e.Request, code.New(code.UnknownJob, "job %s", e.Job))
		return
	}
	c.answer(e.Request, j)
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
	case j.movedTo != "" && !j.moveDone:
		c.refuse(e.Request, code.New(code.OwnerUnknown, "job %s is being handed off", e.Job))
	case j.movedTo != "":
		c.answer(e.Request, j)
	case j.cancelled:
		c.owner.confirms = append(c.owner.confirms, confirm{job: e.Job, request: e.Request})
		c.confirmCancels()
	case j.ended:
		c.refuse(e.Request, code.New(code.JobAlreadyEnded, "job %s", e.Job))
	case c.owner.cancels[e.Job] != nil:
		pending := c.owner.cancels[e.Job]
		pending.requests = append(pending.requests, e.Request)
	default:
		c.writeCancel(e)
	}
}

func (c *Core) writeCancel(e Cancel) {
	c.owner.cancels[e.Job] = &pendingCancel{requests: []Request{e.Request}}
	record := &recordv1.JobCancelled{Job: jobRef(e.Job)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobCancelled{JobCancelled: record}}
	c.write("cancelled", e.Actor, body, func(reason code.Code) {
		c.endCancel(e.Job, code.New(reason, "job %s", e.Job))
	})
}

// endCancel answers all who wait for a cancellation that was not recorded.
func (c *Core) endCancel(id spec.JobID, err error) {
	pending := c.owner.cancels[id]
	delete(c.owner.cancels, id)
	if pending == nil {
		return
	}
	for _, request := range pending.requests {
		c.refuse(request, err)
	}
}

// cancelledBack starts the lazy work of a cancellation. A record that changed
// nothing met a job that had ended or was being handed off.
func (c *Core) cancelledBack(id spec.JobID, changed change) {
	if !changed.valid {
		c.endCancel(id, c.cancelTooLate(id))
		return
	}
	j := changed.job
	c.owner.cancelWork = append(c.owner.cancelWork, j)
	if pending := c.owner.cancels[id]; pending != nil {
		for _, request := range pending.requests {
			c.owner.confirms = append(c.owner.confirms, confirm{job: id, request: request})
		}
	}
	delete(c.owner.cancels, id)
	c.emit(Changed{Job: id})
	c.confirmCancels()
}

func (c *Core) cancelTooLate(id spec.JobID) error {
	if j := c.state().jobs[id]; j != nil && j.movedTo != "" {
		return code.New(code.OwnerUnknown, "job %s is being handed off", id)
	}
	return code.New(code.JobAlreadyEnded, "job %s", id)
}

// confirmCancels answers cancellations after which no task can start.
func (c *Core) confirmCancels() {
	if !c.deciding() {
		return
	}
	kept := c.owner.confirms[:0]
	for _, waiting := range c.owner.confirms {
		j := c.state().jobs[waiting.job]
		if j != nil && c.now <= j.startHorizon && !c.opts.broken.noCancelHorizon {
			kept = append(kept, waiting)
			continue
		}
		if j == nil {
			c.refuse(waiting.request, code.New(code.UnknownJob, "job %s", waiting.job))
			continue
		}
		c.answer(waiting.request, j)
	}
	c.owner.confirms = kept
}

// workOffCancelled handles some tasks of cancelled jobs: those that wait leave
// the queue, those that run are stopped.
func (c *Core) workOffCancelled() {
	work := c.opts.MaxCancelWork
	for work > 0 && len(c.owner.cancelWork) > 0 {
		j := c.owner.cancelWork[0]
		for ; work > 0 && j.cancelNext < len(j.tasks); j.cancelNext++ {
			c.cancelTask(&j.tasks[j.cancelNext])
			work--
		}
		if j.cancelNext < len(j.tasks) {
			return
		}
		c.owner.cancelWork = c.owner.cancelWork[1:]
		c.maybeEnd(j)
	}
}

func (c *Core) cancelTask(t *task) {
	switch {
	case t.active():
		c.contact(t.worker).urgent = true
	case t.state == taskWaiting && t.live == nil:
		c.decider.Dequeue(t.id())
	}
}

// answerAllUnsure answers all who wait for a record of a lost ownership.
func (c *Core) answerAllUnsure() {
	for _, id := range sortedJobs(c.owner.submits) {
		c.endSubmit(id, code.New(code.AcceptanceUnsure, "job %s", id))
	}
	for _, id := range sortedJobs(c.owner.cancels) {
		c.endCancel(id, code.New(code.AcceptanceUnsure, "job %s", id))
	}
	for _, id := range sortedJobs(c.owner.receives) {
		c.endReceive(id, code.AcceptanceUnsure)
	}
	for _, waiting := range c.owner.confirms {
		c.refuse(waiting.request, code.New(code.AcceptanceUnsure, "job %s", waiting.job))
	}
	c.owner.confirms = nil
}
