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

// add adds records that belong together, or none of them. Records that the log
// allows one by one always fit into an empty batch.
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

// startWrite starts a write; WriteDone or WriteRejected answers it.
func (c *Core) startWrite(records []jobs.Record) {
	n := &c.journal
	n.seq++
	n.outstanding = true
	n.lastMS = c.now.MS
	n.inFlight, n.remaining = records, nil
	c.emit(Write{Seq: n.seq, Records: records})
}

// writeRejected writes a rejected write again in halves, until the records that
// the log rejects stand alone. Those are given up and the rest is recorded, so
// that one record holds up no other.
func (c *Core) writeRejected(seq uint64) {
	n := &c.journal
	if !n.outstanding || seq != n.seq {
		return
	}
	if len(n.inFlight) == 1 {
		c.dropRejected(n.inFlight[0])
		c.writeDone(seq)
		return
	}
	half := len(n.inFlight) / 2
	first, rest := n.inFlight[:half], slices.Concat(n.inFlight[half:], n.remaining)
	c.startWrite(first)
	n.remaining = rest
}

// dropRejected gives up a record that the log never takes.
func (c *Core) dropRejected(r jobs.Record) {
	c.notRecorded(r, "rejected by the log")
	if id := jobs.Submitted(r); id != "" {
		if j := c.jobs[id]; j != nil && c.stateMachine.Known(id) == nil {
			c.rejectSubmission(j)
		}
		return
	}
	j := c.jobs[jobs.Progressed(r)]
	switch {
	case j == nil:
	case !j.state.Final():
		c.endJob(j, jobs.Failed, "the log rejects the record of its progress")
	case !j.endOnly:
		j.endOnly = true
		c.markDirty(j)
	default:
		// Not even the end of the job can be recorded.
		c.refuseCancellers(j)
	}
}

// rejectSubmission refuses a submission that is not recorded and stops what has been
// started of it.
func (c *Core) rejectSubmission(j *job) {
	c.endJob(j, jobs.Cancelled, "the log rejects the submission")
	for _, ticket := range j.submitters {
		c.emit(Reply{Ticket: ticket, Rejected: true, Started: j.started})
	}
	c.refuseCancellers(j)
	n := &c.journal
	if i := slices.Index(n.dirty, j); i >= 0 {
		n.dirty = slices.Delete(n.dirty, i, i+1)
		if i < n.nextAcks.dirty {
			n.nextAcks.dirty--
		}
	}
	n.inFlightJobs = slices.DeleteFunc(n.inFlightJobs, func(other *job) bool { return other == j })
	// A progress follows its submission in the same write.
	n.remaining = slices.DeleteFunc(n.remaining, func(r jobs.Record) bool { return jobs.Progressed(r) == j.id })
	delete(c.jobs, j.id)
}

func (c *Core) refuseCancellers(j *job) {
	for _, ticket := range j.cancellers {
		c.emit(Reply{Ticket: ticket, Rejected: true})
	}
	j.cancellers = nil
}

// notRecorded reports a record that is left out of the log.
func (c *Core) notRecorded(r jobs.Record, reason string) {
	c.emit(NotRecorded{Key: r.Key, Bytes: r.ContentBytes(), Reason: reason})
}

// shortenedProgress returns the record of a progress that the log does not take
// as a whole. Without its checkpoints a task starts from the beginning under
// the next leader; a job whose failures do not fit either ends as failed, and
// its end needs none of them.
func (c *Core) shortenedProgress(j *job) (jobs.Record, error) {
	if !j.shortened {
		j.shortened = true
		c.emit(Decision{Event: "progress_shortened", Job: j.id, Reason: "the log does not take all of it"})
	}
	short := *j.progress
	short.Checkpoints = nil
	record, err := jobs.ProgressRecord(j.id, &short)
	if err != nil || !j.endOnly && c.config.Log.Allows(record) {
		return record, err
	}
	if !j.state.Final() {
		c.endJob(j, jobs.Failed, "its failures do not fit into a record")
	}
	short = *j.progress
	short.Checkpoints, short.Failures = nil, nil
	return jobs.ProgressRecord(j.id, &short)
}
