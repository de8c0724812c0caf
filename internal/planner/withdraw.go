package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// A submission whose caller's time is nearly over, and of which nothing has been sent
// or started, is withdrawn: its caller gets a refusal that is true.

// pauseStartsMS is the age of the outstanding write from which on no task starts of a
// submission that is not recorded, so that it can still be withdrawn. A normal write
// takes some 15 ms.
const pauseStartsMS = 300

// noteWait takes the time into account that the caller of a request for an unrecorded
// job still waits; 0 if the job must not be withdrawn. The shortest time counts,
// because all requests get the same answer.
func (c *Core) noteWait(j *job, waitMS int64) {
	switch {
	case waitMS <= 0:
		j.withdrawMS = 0
	case len(j.submitRequests) == 0:
		j.withdrawMS = c.now.MS + waitMS
	case j.withdrawMS > 0:
		j.withdrawMS = min(j.withdrawMS, c.now.MS+waitMS)
	}
}

// withdrawDue withdraws the submissions whose time is over. Those that another
// instance has recorded are answered instead.
func (c *Core) withdrawDue() {
	jnl := &c.journal
	jnl.submissions = slices.DeleteFunc(jnl.submissions, func(j *job) bool {
		switch {
		case j.withdrawMS == 0 || c.now.MS < j.withdrawMS:
			return false
		case c.stateMachine.SubmittedEntry(j.id) != nil:
			c.jobRecorded(j)
			return true
		case !c.untouched(j) && !c.disabled.withdrawUntouched:
			return false
		}
		c.withdraw(j)
		return true
	})
}

// untouched reports whether nothing has been done for a job that waits for its write:
// no start of it was sent, and no run or end of it is known or may come to light.
func (c *Core) untouched(j *job) bool {
	if j.recorded || j.state != jobs.Queued || j.startSent || j.started || j.orphans > 0 || j.earlyEnds > 0 ||
		len(j.cancelRequests) > 0 || !c.reconciled {
		return false
	}
	return !j.hasRuns()
}

// withdraw removes a submission that waits for its write and refuses its requests.
// The caller of withdraw removes it from the journal's submissions.
func (c *Core) withdraw(j *job) {
	j.state = jobs.Cancelled
	c.schedules.remove(j)
	c.endTasks(j, "submission withdrawn")
	for _, requestID := range j.submitRequests {
		c.emit(Reply{RequestID: requestID, Withdrawn: true})
	}
	c.emit(Decision{Event: "submission_withdrawn", Job: j.id, AgeMS: c.now.MS - j.arrivedMS, Details: []Detail{
		{Name: "write_age_ms", Number: c.now.MS - c.journal.lastWriteMS}, {Name: "requests", Number: int64(len(j.submitRequests))},
	}})
	j.submitRequests = nil
	c.removeDirty(j)
	c.forget(j)
}

// removeDirty removes a job from those whose progress is to be recorded.
func (c *Core) removeDirty(j *job) {
	jnl := &c.journal
	if i := slices.Index(jnl.dirty, j); i >= 0 {
		jnl.dirty = slices.Delete(jnl.dirty, i, i+1)
		if i < jnl.nextAcks.dirty {
			jnl.nextAcks.dirty--
		}
	}
}

// startsPaused reports whether no task of a job starts now, because its submission
// waits for a log that is slow or does not respond, and may have to be withdrawn.
func (c *Core) startsPaused(j *job) bool {
	return !j.recorded && j.withdrawMS > 0 && c.journal.outstanding && c.now.MS-c.journal.lastWriteMS >= pauseStartsMS && c.untouched(j)
}

// UnsentRequests returns the requests that wait for submissions of which nothing has
// been sent or started. If the term ends now, nothing of them ever will be.
func (c *Core) UnsentRequests() []uint64 {
	var out []uint64
	for _, j := range c.journal.submissions {
		if c.untouched(j) {
			out = append(out, j.submitRequests...)
		}
	}
	return out
}
