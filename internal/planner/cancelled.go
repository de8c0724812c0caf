package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// unknownCancellation is the cancellation of a job that the log does not hold. Its
// submission may still be recorded: an append may be carried out late, and a caller
// repeats a submission that got no response.
type unknownCancellation struct {
	id        jobs.ID
	requestID uint64
}

// cancelUnknown records the cancellation of an unknown job, which then applies to a
// later submission, and stops runs of the job that a predecessor has started. The
// reply follows when it is recorded.
func (c *Core) cancelUnknown(e CancelRequested) {
	c.journal.cancellations = append(c.journal.cancellations, unknownCancellation{e.ID, e.RequestID})
	for _, w := range c.sortedWorkers {
		for i := range w.orphans {
			if o := &w.orphans[i]; o.task.Task.Job == e.ID {
				c.stopUnexpected(w, &o.task, "job was cancelled")
			}
		}
	}
}

// cancelledUnknown reports whether a job that has not been submitted has been
// cancelled.
func (c *Core) cancelledUnknown(id jobs.ID) bool {
	if entry := c.stateMachine.Jobs[id]; entry != nil && entry.Cancelled {
		return true
	}
	pending := func(u unknownCancellation) bool { return u.id == id }
	return slices.ContainsFunc(c.journal.cancellations, pending) || slices.ContainsFunc(c.journal.inFlightCancellations, pending)
}

// appendCancellations adds the cancellations of unknown jobs to a write.
func (c *Core) appendCancellations(b *batch) {
	jnl := &c.journal
	for len(jnl.cancellations) > 0 {
		if !b.add(jobs.CancellationRecord(jnl.cancellations[0].id)) {
			return
		}
		jnl.inFlightCancellations = append(jnl.inFlightCancellations, jnl.cancellations[0])
		jnl.cancellations = jnl.cancellations[1:]
	}
}

// cancellationsRecorded replies to the cancellations of the last write.
func (c *Core) cancellationsRecorded() {
	jnl := &c.journal
	for _, u := range jnl.inFlightCancellations {
		c.emit(Reply{RequestID: u.requestID, Accepted: true, Known: c.stateMachine.SubmittedEntry(u.id) != nil})
		jnl.purgeQueue = append(jnl.purgeQueue, purgeEntry{u.id, c.now.MS})
	}
	jnl.inFlightCancellations = jnl.inFlightCancellations[:0]
}
