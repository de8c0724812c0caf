package group

import (
	"time"

	"redwingvale/internal/code"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// releaseEvery is the period at which ReleaseMoved is repeated.
const releaseEvery = time.Minute

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
		return j.cancelNext == len(j.tasks)
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

func (c *Core) jobEndedBack(changed change) {
	if !changed.valid {
		return
	}
	j := changed.job
	j.endPending = false
	j.since = c.now
	c.owner.ended = append(c.owner.ended, j)
	c.emit(Changed{Job: j.id})
	c.note("job_ended", "job", j.id.String(), "code", code.Code(j.code).String())
}

// scan looks over the jobs once in a while: it forgets old ones, repeats
// refused records, and hands off jobs that wait in vain.
func (c *Core) scan() {
	if c.now < c.owner.nextScan {
		return
	}
	c.owner.nextScan = c.now + scanEvery
	c.forgetOld()
	c.state().eachJob(func(j *job) {
		if j.movedTo != "" {
			c.offerHandOff(j)
			return
		}
		c.maybeEnd(j)
		c.maybeHandOff(j)
	})
}

// forgetOld drops ended and moved jobs after their keeping time.
func (c *Core) forgetOld() {
	kept := c.owner.ended[:0]
	for _, j := range c.owner.ended {
		if c.state().jobs[j.id] != j || !(j.ended || j.movedTo != "") {
			continue
		}
		kept = append(kept, j)
		if !j.endPending && c.mayForget(j) {
			c.writeForgotten(j)
		}
	}
	c.owner.ended = kept
}

// mayForget reports whether nobody needs the job here any more. A job that
// came from another group is kept until that group has forgotten it, since it
// might hand it over again; the entry of a moved job leads callers to it.
func (c *Core) mayForget(j *job) bool {
	kept := c.now - j.since
	if kept >= c.opts.KeepMoved {
		return j.ended || j.moveDone
	}
	if j.movedTo != "" && !j.endedElsewhere {
		return false
	}
	if j.movedTo == "" && kept < c.opts.KeepEnded {
		return false
	}
	if j.from == "" || j.released {
		return true
	}
	if c.now >= j.nextOffer {
		j.nextOffer = c.now + releaseEvery
		c.emit(ReleaseMoved{Group: j.from, Job: j.id, Hop: j.hop})
	}
	return false
}

func (c *Core) writeForgotten(j *job) {
	j.endPending = true
	record := &recordv1.JobForgotten{Job: jobRef(j.id)}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobForgotten{JobForgotten: record}}
	c.write("kept long enough", "", body, func(code.Code) { j.endPending = false })
}

// snapshotDue writes a snapshot when the last one has become old, one part
// after the other.
func (c *Core) snapshotDue() {
	if c.owner.snapshotParts != nil || c.now < c.owner.nextSnapshot {
		return
	}
	c.owner.snapshotParts = c.state().snapshot(c.opts.MaxPartBytes)
	c.writePart(0)
}

func (c *Core) writePart(n int) {
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Snapshot{Snapshot: c.owner.snapshotParts[n]}}
	c.write("republished ahead of the retention", "", body, func(code.Code) {
		c.owner.snapshotParts = nil
		c.owner.nextSnapshot = c.now + c.opts.SnapshotDelay
	})
}

// snapshotBack goes on with the next part, or plans the next snapshot.
func (c *Core) snapshotBack(p *recordv1.GroupSnapshot) {
	if c.owner.snapshotParts == nil {
		return
	}
	next := int(p.GetPart()) + 1
	if next < len(c.owner.snapshotParts) {
		if c.deciding() {
			c.writePart(next)
			return
		}
		c.owner.snapshotParts = nil
		c.owner.nextSnapshot = c.now + c.opts.SnapshotDelay
		return
	}
	c.owner.snapshotParts = nil
	c.owner.nextSnapshot = c.snapshotAfter(c.now)
}

// firstSnapshot is when a new owner writes a snapshot: soon, unless it has
// followed the stream since the last one was written.
func (c *Core) firstSnapshot() time.Duration {
	if !c.follow.dated {
		return c.now + c.opts.SnapshotDelay
	}
	return c.snapshotAfter(c.follow.lastSnapshot)
}

func (c *Core) snapshotAfter(last time.Duration) time.Duration {
	return last + time.Duration(float64(c.opts.Retention)*c.opts.SnapshotShare)
}
