package group

import (
	"time"

	"redwingvale/internal/code"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// forgetRequestInterval is the period at which SendForgetMovedJob is repeated.
const forgetRequestInterval = time.Minute

// maybeEnd records the end of a job once its last task has ended.
func (c *Core) maybeEnd(j *job) {
	if !c.deciding() || !j.mayEnd() {
		return
	}
	j.endPending = true
	record := &recordv1.JobEnded{Job: jobRef(j.id), Code: int32(j.result())}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobEnded{JobEnded: record}}
	c.write("last task ended", "", body, func(code.Code) { j.endPending = false })
}

func (j *job) mayEnd() bool {
	if j.ended || j.endPending || j.movedTo != "" || j.active > 0 || j.pendingIntents > 0 {
		return false
	}
	if j.cancelled {
		return j.nextCancelTask == len(j.tasks)
	}
	return j.finished == len(j.tasks)
}

// result returns the code of a job: the first code of its tasks that is not OK.
func (j *job) result() code.Code {
	if j.cancelled {
		return code.JobCancelled
	}
	for i := range j.tasks {
		if j.tasks[i].code != int32(code.OK) {
			return code.Code(j.tasks[i].code)
		}
	}
	return code.OK
}

func (c *Core) onJobEnded(changed change) {
	if !changed.valid {
		return
	}
	j := changed.job
	j.endPending = false
	j.phaseSince = c.now
	c.owner.closedJobs = append(c.owner.closedJobs, j)
	c.emit(JobChanged{Job: j.id})
	c.logEvent("job_ended", "job", j.id.String(), "code", code.Code(j.code).String())
}

// scanJobs periodically checks all jobs: it forgets old ones, retries rejected
// records and hands off jobs that cannot be placed here.
func (c *Core) scanJobs() {
	if c.now < c.owner.nextScan {
		return
	}
	c.owner.nextScan = c.now + scanInterval
	c.forgetExpiredJobs()
	c.state().eachJob(func(j *job) {
		if j.movedTo != "" {
			c.sendHandOff(j)
			return
		}
		c.maybeEnd(j)
		c.maybeHandOff(j)
	})
}

// forgetExpiredJobs forgets ended and moved jobs after their retention time.
func (c *Core) forgetExpiredJobs() {
	kept := c.owner.closedJobs[:0]
	for _, j := range c.owner.closedJobs {
		if c.state().jobs[j.id] != j || !(j.ended || j.movedTo != "") {
			continue
		}
		kept = append(kept, j)
		if !j.endPending && c.mayForget(j) {
			c.writeForgotten(j)
		}
	}
	c.owner.closedJobs = kept
}

// mayForget reports whether the job is no longer needed in this group. A job
// that came from another group is kept until that group has forgotten it, since
// that group might repeat the hand-off. The entry of a moved job is kept to
// forward callers.
func (c *Core) mayForget(j *job) bool {
	kept := c.now - j.phaseSince
	if kept >= c.opts.KeepMoved {
		return j.ended || j.handOffDone
	}
	if j.movedTo != "" && !j.endedElsewhere {
		return false
	}
	if j.movedTo == "" && kept < c.opts.KeepEnded {
		return false
	}
	if j.fromGroup == "" || j.forgottenBySource {
		return true
	}
	if c.now >= j.nextResend {
		j.nextResend = c.now + forgetRequestInterval
		c.emit(SendForgetMovedJob{Group: j.fromGroup, Job: j.id, Hop: j.hop})
	}
	return false
}

func (c *Core) writeForgotten(j *job) {
	j.endPending = true
	record := &recordv1.JobForgotten{Job: jobRef(j.id)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobForgotten{JobForgotten: record}}
	c.write("kept long enough", "", body, func(code.Code) { j.endPending = false })
}

// maybeWriteSnapshot starts a snapshot if one is due. Each part is written after
// the previous one has been read back.
func (c *Core) maybeWriteSnapshot() {
	if c.owner.snapshotParts != nil || c.now < c.owner.nextSnapshot {
		return
	}
	c.owner.snapshotParts = c.state().snapshot(c.opts.MaxPartBytes)
	c.writeSnapshotPart(0)
}

func (c *Core) writeSnapshotPart(n int) {
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Snapshot{Snapshot: c.owner.snapshotParts[n]}}
	c.write("republished ahead of the retention", "", body, func(code.Code) {
		c.owner.snapshotParts = nil
		c.owner.nextSnapshot = c.now + c.opts.SnapshotDelay
	})
}

// onSnapshotPart writes the next part, or schedules the next snapshot.
func (c *Core) onSnapshotPart(p *recordv1.GroupSnapshot) {
	if c.owner.snapshotParts == nil {
		return
	}
	next := int(p.GetPart()) + 1
	if next < len(c.owner.snapshotParts) {
		if c.deciding() {
			c.writeSnapshotPart(next)
			return
		}
		c.owner.snapshotParts = nil
		c.owner.nextSnapshot = c.now + c.opts.SnapshotDelay
		return
	}
	c.owner.snapshotParts = nil
	c.owner.nextSnapshot = c.nextSnapshotTime(c.now)
}

// firstSnapshotTime returns when a new owner writes its first snapshot: after
// SnapshotDelay, unless the age of the last snapshot is known.
func (c *Core) firstSnapshotTime() time.Duration {
	if !c.follower.snapshotAgeKnown {
		return c.now + c.opts.SnapshotDelay
	}
	return c.nextSnapshotTime(c.follower.lastSnapshotAt)
}

func (c *Core) nextSnapshotTime(last time.Duration) time.Duration {
	return last + time.Duration(float64(c.opts.Retention)*c.opts.SnapshotShare)
}
