package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// noteEarlyEnd keeps the end of a task whose job the log does not hold. The
// caller may still bring the job back: a task that is done must not start
// again, and a failure counts. The end is recorded like any other, so that it
// can be acknowledged without waiting for the caller.
func (c *Core) noteEarlyEnd(w *worker, end *EndedTask) {
	id := end.Task.Job
	c.emit(Decision{Event: "end_before_submission", Job: id, Task: end.Task.String(), Run: end.Run, Worker: w.info.ID, Reason: string(end.Kind)})
	early := jobs.EarlyEnd{
		Occurrence: end.Task.Occurrence, Step: end.Task.Step, Index: end.Task.Index,
		Run: end.Run, Done: end.Kind == EndDone,
	}
	if slices.Contains(c.early[id], early) {
		return
	}
	if len(c.early[id]) == 0 {
		c.journal.final = append(c.journal.final, finalJob{id, c.now.MS})
	}
	c.early[id] = append(c.early[id], early)
	if !slices.Contains(c.journal.early, id) {
		c.journal.early = append(c.journal.early, id)
	}
}

// isEarly reports whether an end counts for a job that is not known yet.
func (c *Core) isEarly(end *EndedTask) bool {
	return !c.off.earlyEnds && (end.Kind == EndDone || end.Kind == EndFailed) &&
		c.jobs[end.Task.Job] == nil && c.book.Known(end.Task.Job) == nil
}

// takeEarlyEnds moves the early ends of a job into its progress, which is
// recorded from now on instead of them.
func (c *Core) takeEarlyEnds(j *job) {
	ends := c.early[j.id]
	if len(ends) == 0 {
		return
	}
	delete(c.early, j.id)
	j.progress.AddEarlyEnds(j.id, j.spec, ends)
	j.started = true
	c.markDirty(j)
	c.recordInstead(j)
}

// recordInstead lets a job take the place of its early ends among what is to be
// recorded: a batch of acknowledgements may wait for them.
func (c *Core) recordInstead(j *job) {
	n := &c.journal
	i := slices.Index(n.early, j.id)
	if i < 0 {
		return
	}
	n.early = slices.Delete(n.early, i, i+1)
	if i >= n.waiting.early {
		return
	}
	n.waiting.early--
	if i := slices.Index(n.dirty, j); i >= n.waiting.dirty {
		n.dirty = slices.Insert(slices.Delete(n.dirty, i, i+1), 0, j)
		n.waiting.dirty++
	}
}

// appendEarlyEnds adds the records of early ends to a write.
func (c *Core) appendEarlyEnds(b *batch) {
	n := &c.journal
	for len(n.early) > 0 {
		id := n.early[0]
		record, err := jobs.EarlyEndsRecord(id, c.early[id])
		switch {
		case err != nil:
			c.emit(Decision{Event: "early_ends_not_encoded", Job: id, Reason: err.Error()})
		case !c.config.Log.Allows(record):
			c.notRecorded(record, "larger than the log allows")
		case !b.add(record):
			return
		}
		n.early = n.early[1:]
		n.waiting.early = max(0, n.waiting.early-1)
	}
}
