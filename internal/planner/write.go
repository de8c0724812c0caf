package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// batch collects the records of one write within the limits of the log.
type batch struct {
	limits  jobs.Limits
	records []jobs.Record
	bytes   int
}

// add adds all of the given records, or none of them if they exceed the limits.
// Records that the log allows individually always fit into an empty batch.
func (b *batch) add(records ...jobs.Record) bool {
	size := 0
	for _, r := range records {
		size += r.EncodedBytes()
	}
	full := len(b.records)+len(records) > maxRecordsPerWrite || b.limits.Request > 0 && b.bytes+size > b.limits.Request
	if full && len(b.records) > 0 {
		return false
	}
	b.records = append(b.records, records...)
	b.bytes += size
	return true
}

// startWrite starts a write; WriteDone or WriteRejected follows.
func (c *Core) startWrite(records []jobs.Record) {
	jnl := &c.journal
	jnl.seq++
	jnl.outstanding = true
	jnl.lastWriteMS = c.now.MS
	jnl.inFlight, jnl.remaining = records, nil
	c.emit(Write{Seq: jnl.seq, Records: records})
}

// writeRejected splits a rejected write into halves and writes them again,
// until each record that the log rejects is alone in its write. That record is
// dropped and the others are recorded, so that one record delays no other.
func (c *Core) writeRejected(seq uint64) {
	jnl := &c.journal
	if !jnl.outstanding || seq != jnl.seq {
		return
	}
	if len(jnl.inFlight) == 1 {
		c.dropRejected(jnl.inFlight[0])
		c.writeDone(seq)
		return
	}
	half := len(jnl.inFlight) / 2
	first, rest := jnl.inFlight[:half], slices.Concat(jnl.inFlight[half:], jnl.remaining)
	c.startWrite(first)
	jnl.remaining = rest
}

// dropRejected handles a record that the log will never accept.
func (c *Core) dropRejected(r jobs.Record) {
	c.notRecorded(r, "rejected by the log")
	if id := jobs.SubmissionID(r); id != "" {
		if j := c.jobs[id]; j != nil && c.stateMachine.SubmittedEntry(id) == nil {
			c.rejectSubmission(j)
		}
		return
	}
	j := c.jobs[jobs.ProgressID(r)]
	switch {
	case j == nil:
	case !j.state.Final():
		c.endJob(j, jobs.Failed, "the log rejects its progress record")
	case !j.endOnly:
		j.endOnly = true
		c.markDirty(j)
	default:
		// Not even the final state of the job can be recorded.
		c.refuseCancellations(j)
	}
}

// rejectSubmission refuses a submission that is not recorded and stops the
// tasks that were started for it.
func (c *Core) rejectSubmission(j *job) {
	c.endJob(j, jobs.Cancelled, "the log rejects the submission")
	for _, requestID := range j.submitRequests {
		c.emit(Reply{RequestID: requestID, Rejected: true, Started: j.startSent || j.started})
	}
	c.refuseCancellations(j)
	c.removeDirty(j)
	jnl := &c.journal
	jnl.inFlightJobs = slices.DeleteFunc(jnl.inFlightJobs, func(other *job) bool { return other == j })
	// A progress record may follow its submission in the same write.
	jnl.remaining = slices.DeleteFunc(jnl.remaining, func(r jobs.Record) bool { return jobs.ProgressID(r) == j.id })
	c.forget(j)
}

func (c *Core) refuseCancellations(j *job) {
	for _, requestID := range j.cancelRequests {
		c.emit(Reply{RequestID: requestID, Rejected: true})
	}
	j.cancelRequests = nil
}

// notRecorded reports a record that is left out of the log.
func (c *Core) notRecorded(r jobs.Record, reason string) {
	c.emit(NotRecorded{Key: r.Key, Bytes: r.ContentBytes(), Reason: reason})
}

// shortenedProgress returns a smaller record of a job's progress if the log
// does not accept all of it. Without the checkpoints, tasks start from the
// beginning under the next leader. If the failures do not fit either, the job
// fails, and its final state needs none of them.
func (c *Core) shortenedProgress(j *job) (jobs.Record, error) {
	if !j.shortened {
		j.shortened = true
		c.emit(Decision{Event: "progress_shortened", Job: j.id, Reason: "the log does not accept the full record"})
	}
	short := *j.progress
	short.Checkpoints = nil
	record, err := jobs.ProgressRecord(j.id, &short)
	if err != nil || !j.endOnly && c.config.Log.Allows(record) {
		return record, err
	}
	if !j.state.Final() {
		c.endJob(j, jobs.Failed, "the failures of its tasks do not fit into a record")
	}
	short = *j.progress
	short.Checkpoints, short.Failures = nil, nil
	return jobs.ProgressRecord(j.id, &short)
}
