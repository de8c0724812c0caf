package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// addEarlyEnd keeps the end of a task whose job is not in the log. The caller
// may still repeat the submission: then a task that is done must not start
// again, and a failure counts. The end is recorded like any other, so that it
// can be acknowledged without waiting for the caller.
func (c *Core) addEarlyEnd(w *worker, end *EndedTask) {
	id := end.Task.Job
	c.emit(Decision{Event: "end_before_submission", Job: id, Task: end.Task.String(), Run: end.Run, Worker: w.info.ID, Reason: string(end.Kind)})
	early := jobs.EarlyEnd{
		Occurrence: end.Task.Occurrence, Step: end.Task.Step, Index: end.Task.Index,
		Run: end.Run, Done: end.Kind == EndDone,
	}
	if slices.Contains(c.earlyEnds[id], early) {
		return
	}
	if len(c.earlyEnds[id]) == 0 {
		c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{id, c.now.MS})
	}
	c.earlyEnds[id] = append(c.earlyEnds[id], early)
	if !slices.Contains(c.journal.dirtyEarlyEnds, id) {
		c.journal.dirtyEarlyEnds = append(c.journal.dirtyEarlyEnds, id)
	}
}

// isEarlyEnd reports whether an end has to be kept for a job that is not known
// yet.
func (c *Core) isEarlyEnd(end *EndedTask) bool {
	return !c.disabled.earlyEnds && (end.Kind == EndDone || end.Kind == EndFailed) && end.Run <= maxRun &&
		c.jobs[end.Task.Job] == nil && c.stateMachine.SubmittedEntry(end.Task.Job) == nil
}

// applyEarlyEnds moves the early ends of a job into its progress, whose record
// replaces theirs from now on.
func (c *Core) applyEarlyEnds(j *job) {
	ends := c.earlyEnds[j.id]
	if len(ends) == 0 {
		return
	}
	delete(c.earlyEnds, j.id)
	j.earlyEnds = len(ends)
	j.progress.AddEarlyEnds(j.id, j.spec, ends)
	j.started = true
	c.markDirty(j)
	c.replaceEarlyEnds(j)
}

// replaceEarlyEnds moves a job to the position of its early ends among the
// records to write, because a batch of acknowledgements may wait for them.
func (c *Core) replaceEarlyEnds(j *job) {
	jnl := &c.journal
	i := slices.Index(jnl.dirtyEarlyEnds, j.id)
	if i < 0 {
		return
	}
	jnl.dirtyEarlyEnds = slices.Delete(jnl.dirtyEarlyEnds, i, i+1)
	if i >= jnl.nextAcks.earlyEnds {
		return
	}
	jnl.nextAcks.earlyEnds--
	if i := slices.Index(jnl.dirty, j); i >= jnl.nextAcks.dirty {
		jnl.dirty = slices.Insert(slices.Delete(jnl.dirty, i, i+1), 0, j)
		jnl.nextAcks.dirty++
	}
}

// appendEarlyEnds adds the records of early ends to a write.
func (c *Core) appendEarlyEnds(b *batch) {
	jnl := &c.journal
	for len(jnl.dirtyEarlyEnds) > 0 {
		id := jnl.dirtyEarlyEnds[0]
		record, err := jobs.EarlyEndsRecord(id, c.earlyEnds[id])
		switch {
		case err != nil:
			c.emit(Decision{Event: "early_ends_not_encoded", Job: id, Reason: err.Error()})
		case !c.config.Log.Allows(record):
			c.notRecorded(record, "record exceeds the log's size limit")
		case !b.add(record):
			return
		}
		jnl.dirtyEarlyEnds = jnl.dirtyEarlyEnds[1:]
		jnl.nextAcks.earlyEnds = max(0, jnl.nextAcks.earlyEnds-1)
	}
}
