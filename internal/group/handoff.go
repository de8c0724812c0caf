package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// pendingReceive is a JobReceived record that has not been read back.
type pendingReceive struct {
	hop      uint32
	requests []Request
}

// maybeHandOff records the hand-off of a job to another group if no worker here
// can run its tasks, or none of them ran for Options.HandOffAfter.
func (c *Core) maybeHandOff(j *job) {
	if !c.servicesKnown || !j.open() || j.handOffPending || j.endPending || j.active > 0 || j.pendingIntents > 0 {
		return
	}
	if j.hop >= c.opts.MaxHops || j.finished == len(j.tasks) || c.owner.pendingCancels[j.id] != nil {
		return
	}
	if c.fitsHere(j) && c.now-j.phaseSince < c.opts.HandOffAfter {
		return
	}
	to := c.handOffDestination(j)
	if to == "" {
		return
	}
	j.handOffPending = true
	record := &recordv1.JobHandOff{Job: jobRef(j.id), ToGroup: string(to), Hop: j.hop + 1}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobHandOff{JobHandOff: record}}
	c.write("cannot be placed here", "", body, func(code.Code) { j.handOffPending = false })
}

// fitsHere reports whether the group has a worker in an allowed data centre that
// could run a task of the job if it were empty.
func (c *Core) fitsHere(j *job) bool {
	for _, info := range c.workerInfos {
		if !info.Leaving && j.resources().Fits(info.Worker.Capacity) && c.allows(j.spec, info.Worker.DataCentre) {
			return true
		}
	}
	return false
}

// handOffDestination chooses the group that receives a job among the peers in an
// allowed data centre with a large enough worker. The job's hop selects the next
// one in the order of preference.
func (c *Core) handOffDestination(j *job) spec.GroupID {
	var fitting []spec.GroupID
	for _, p := range c.preferredPeers(j.spec) {
		if p.Group != c.opts.Group && j.resources().Fits(p.Largest) && c.allows(j.spec, p.DataCentre) {
			fitting = append(fitting, p.Group)
		}
	}
	if len(fitting) == 0 {
		return ""
	}
	return fitting[int(j.hop)%len(fitting)]
}

func (c *Core) onJobHandOff(changed change) {
	if !changed.valid {
		return
	}
	j := changed.job
	j.handOffPending = false
	j.phaseSince = c.now
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			c.decider.Dequeue(t.id())
		}
	}
	c.owner.closedJobs = append(c.owner.closedJobs, j)
	c.emit(JobChanged{Job: j.id})
	c.logEvent("job_handed_off", "job", j.id.String(), "to", string(j.movedTo), "hop", itoa(j.hop))
	c.sendHandOff(j)
}

// sendHandOff sends a moved job to its destination. It is called repeatedly until
// the destination has recorded the job.
func (c *Core) sendHandOff(j *job) {
	if !c.deciding() || j.handOffDone || j.handOffPending || c.now < j.nextResend {
		return
	}
	j.nextResend = c.now + c.opts.HandOffRetry
	received := &recordv1.JobReceived{
		Job:         j.spec,
		ContentHash: j.contentHash,
		FromGroup:   string(c.opts.Group),
		Hop:         j.hop,
	}
	for i := range j.tasks {
		if saved := j.tasks[i].snapshotState(); saved != nil {
			received.Tasks = append(received.Tasks, saved)
		}
	}
	c.emit(HandOff{Group: j.movedTo, Job: received})
}

func (c *Core) onHandOffAnswered(e HandOffAnswered) {
	if !e.Recorded || !c.deciding() {
		return
	}
	j := c.state().jobs[e.Job]
	if j == nil || j.movedTo == "" || j.handOffDone || j.handOffPending || j.hop != e.Hop {
		return
	}
	j.handOffPending = true
	record := &recordv1.JobHandOffDone{Job: jobRef(j.id), Hop: j.hop}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobHandOffDone{JobHandOffDone: record}}
	c.write("recorded by "+string(j.movedTo), "", body, func(code.Code) { j.handOffPending = false })
}

func (c *Core) onJobHandOffDone(changed change) {
	if changed.valid {
		changed.job.handOffPending = false
		changed.job.phaseSince = c.now
	}
}

// onReceiveJob records a job that another group hands off to this one.
func (c *Core) onReceiveJob(e ReceiveJob) {
	if !c.deciding() {
		c.emit(Reply{Request: e.Request, Code: code.NotOwner})
		return
	}
	id := jobID(e.Job.GetJob().GetId())
	known := c.state().jobs[id]
	if known != nil && known.hop >= e.Job.GetHop() {
		c.emit(Reply{Request: e.Request, Code: code.OK})
		return
	}
	if pending := c.owner.pendingReceives[id]; pending != nil {
		if pending.hop == e.Job.GetHop() {
			pending.requests = append(pending.requests, e.Request)
			return
		}
		c.emit(Reply{Request: e.Request, Code: code.OwnerUnknown})
		return
	}
	c.owner.pendingReceives[id] = &pendingReceive{hop: e.Job.GetHop(), requests: []Request{e.Request}}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobReceived{JobReceived: e.Job}}
	c.write("handed over by "+e.Job.GetFromGroup(), "", body, func(reason code.Code) {
		c.replyToReceives(id, reason)
	})
}

func (c *Core) onJobReceived(r *recordv1.JobReceived, changed change) {
	id := jobID(r.GetJob().GetId())
	if changed.valid {
		j := changed.job
		j.handOffPending = false
		j.endPending = false
		c.enqueueJob(j)
	}
	result := code.OK
	if j := c.state().jobs[id]; j == nil || j.hop < r.GetHop() {
		result = code.JobConflict
	}
	c.replyToReceives(id, result)
}

func (c *Core) replyToReceives(id spec.JobID, result code.Code) {
	pending := c.owner.pendingReceives[id]
	delete(c.owner.pendingReceives, id)
	if pending == nil {
		return
	}
	for _, request := range pending.requests {
		c.emit(Reply{Request: request, Code: result})
	}
}

// onForgetMovedJob allows the entry of a moved job to be forgotten. The event's
// hop is larger than the entry's if the job was handed off again since.
func (c *Core) onForgetMovedJob(e ForgetMovedJob) {
	if !c.deciding() {
		c.emit(Reply{Request: e.Request, Code: code.NotOwner})
		return
	}
	j := c.state().jobs[e.Job]
	if j == nil || j.movedTo == "" || j.hop > e.Hop {
		c.emit(Reply{Request: e.Request, Code: code.OK})
		return
	}
	j.endedElsewhere = true
	c.emit(Reply{Request: e.Request, Code: code.OwnerUnknown})
}

// onMovedJobForgotten allows an ended job, or the entry of a job that was handed
// off again, to be forgotten.
func (c *Core) onMovedJobForgotten(e MovedJobForgotten) {
	if !c.deciding() {
		return
	}
	if j := c.state().jobs[e.Job]; j != nil && j.hop == e.Hop {
		j.forgottenBySource = true
	}
}
