package group

import (
	"time"

	"redwingvale/internal/code"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// forgetRequestInterval is the period at which ReleaseMoved is repeated.
const forgetRequestInterval = time.Minute

// maybeEnd records the end of a job whose last task has ended.
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

// result is the code of a job: the first code of a task that is not a success.
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

// scanJobs looks over the jobs once in a while: it forgets old ones, repeats
// refused records, and hands off jobs that wait in vain.
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

// forgetExpiredJobs drops ended and moved jobs after their keeping time.
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

// mayForget reports whether nobody needs the job here any more. A job that
// came from another group is kept until that group has forgotten it, since it
// might hand it over again; the entry of a moved job leads callers to it.
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

// maybeWriteSnapshot writes a snapshot when the last one has become old, one part
// after the other.
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

// onSnapshotPart goes on with the next part, or plans the next snapshot.
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

// firstSnapshotTime is when a new owner writes a snapshot: soon, unless it has
// followed the stream since the last one was written.
func (c *Core) firstSnapshotTime() time.Duration {
	if !c.follower.snapshotAgeKnown {
		return c.now + c.opts.SnapshotDelay
	}
	return c.nextSnapshotTime(c.follower.lastSnapshotAt)
}

func (c *Core) nextSnapshotTime(last time.Duration) time.Duration {
	return last + time.Duration(float64(c.opts.Retention)*c.opts.SnapshotShare)
}
