package planner

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
)

// occurrence holds the steps of one occurrence of a job. Those of a schedule are
// built when they are due and dropped when they have ended: a leader needs memory
// for what is due or running, not for the length of its schedules.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// unfinished is the number of steps with tasks that are not done.
	unfinished int
}

// steps returns the steps of the open occurrences.
func (j *job) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.open {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

func (j *job) findOpen(number int) (int, bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// occurrenceOf returns an occurrence of a job, or nil if it has ended. One that a
// worker reports before it is due here is built.
func (c *Core) occurrenceOf(j *job, number int) *occurrence {
	if i, ok := j.findOpen(number); ok {
		return j.open[i]
	}
	if j.state.Final() || j.progress.HasEnded(number) {
		return nil
	}
	o := c.buildOccurrence(j, number)
	for _, s := range o.steps {
		c.openStep(s)
	}
	return o
}

// buildOccurrence builds the steps and tasks of an occurrence that has not ended.
func (c *Core) buildOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number}
	for index := range j.spec.Steps {
		s := &step{job: j, occurrence: o, index: index, spec: &j.spec.Steps[index]}
		s.tasks = make([]task, s.spec.Count)
		for i := range s.tasks {
			t := &s.tasks[i]
			t.step, t.index, t.lastRun = s, i, j.baseRun
			ref := t.ref()
			t.done = j.progress.IsDone(j.spec, ref)
			t.checkpoint = j.progress.CheckpointOf(ref)
			t.unreconciled = j.inherited && !c.reconciled && !t.done
			if t.done {
				s.done++
			}
		}
		if s.done < len(s.tasks) {
			o.unfinished++
		}
		o.steps = append(o.steps, s)
		c.noteStep(s)
	}
	i, _ := j.findOpen(number)
	if len(j.open) > 0 {
		c.extraBytes += j.spec.OccurrenceFootprint()
	}
	j.open = slices.Insert(j.open, i, o)
	return o
}

// dropEnded releases an occurrence of a schedule once all of its tasks are done and
// none of its runs is left.
func (c *Core) dropEnded(o *occurrence) {
	j := o.job
	if j.spec.Repeat == 0 || o.unfinished > 0 {
		return
	}
	for _, s := range o.steps {
		if s.activeRuns > 0 {
			return
		}
	}
	i, ok := j.findOpen(o.number)
	if !ok || j.open[i] != o {
		return
	}
	for _, s := range o.steps {
		for k := range s.tasks {
			j.progress.LastRun = max(j.progress.LastRun, s.tasks[k].lastRun)
		}
	}
	j.open = slices.Delete(j.open, i, i+1)
	if len(j.open) > 0 {
		c.extraBytes -= j.spec.OccurrenceFootprint()
	}
}

// forget removes a job that needs no more decisions.
func (c *Core) forget(j *job) {
	delete(c.jobs, j.id)
	c.extraBytes -= int64(max(len(j.open)-1, 0)) * j.spec.OccurrenceFootprint()
	c.noteRecorded(j)
}

// scheduleQueue is a heap of jobs by the time at which their next occurrence is to
// be built.
type scheduleQueue []*job

func (q scheduleQueue) Len() int           { return len(q) }
func (q scheduleQueue) Less(i, k int) bool { return q[i].nextMS < q[k].nextMS }
func (q scheduleQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].queuedAt, q[k].queuedAt = i, k
}
func (q *scheduleQueue) Push(x any) {
	j := x.(*job)
	j.queuedAt = len(*q)
	*q = append(*q, j)
}
func (q *scheduleQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.queuedAt = -1
	return last
}

// schedule plans the building of a job's next occurrence at a Unix time.
func (q *scheduleQueue) schedule(j *job, atMS int64) {
	j.nextMS = atMS
	heap.Push(q, j)
}

// remove takes out a job that ends before its schedule does.
func (q *scheduleQueue) remove(j *job) {
	if j.spec.Repeat > 0 && j.queuedAt >= 0 {
		heap.Remove(q, j.queuedAt)
	}
}

// occurrenceRetryMS is how long an occurrence that is due waits for its turn when
// too many are open.
const occurrenceRetryMS = 100

// scheduleNext plans the building of a schedule's next occurrence.
func (c *Core) scheduleNext(j *job) {
	for {
		j.next = j.progress.Ended.NextMissing(j.next)
		if _, open := j.findOpen(j.next); !open {
			break
		}
		j.next++
	}
	if j.next < j.spec.Occurrences() {
		c.schedules.schedule(j, j.spec.DueMS(j.next))
	}
}

// openDue builds the occurrences that are due and queues their first steps.
func (c *Core) openDue() {
	for len(c.schedules) > 0 && c.schedules[0].nextMS <= c.now.UnixMS {
		j := heap.Pop(&c.schedules).(*job)
		if !c.mayOpenAnother(j) {
			c.schedules.schedule(j, c.now.UnixMS+occurrenceRetryMS)
			continue
		}
		if o := c.occurrenceOf(j, j.next); o != nil {
			c.recheckOccurrence(o)
		}
		if !j.state.Final() {
			c.scheduleNext(j)
		}
	}
}

// mayOpenAnother reports whether a schedule's next occurrence may be built although
// earlier ones have not ended: their progress has to fit into a record, and all of
// the tasks into memory. One occurrence of each job always may; a submission is
// refused if there is no memory for that.
func (c *Core) mayOpenAnother(j *job) bool {
	if len(j.open) == 0 {
		return true
	}
	return len(j.open) < c.config.Log.MaxPartial(j.spec) && c.Fits(j.spec.OccurrenceFootprint())
}

// releaseDue queues the steps of occurrences that were built early and are now due.
func (c *Core) releaseDue() {
	kept := c.scheduled[:0]
	for _, s := range c.scheduled {
		switch {
		case s.job.state.Final():
		case s.job.spec.DueMS(s.occurrence.number) > c.now.UnixMS:
			kept = append(kept, s)
		default:
			c.queueTasks(s)
		}
	}
	clear(c.scheduled[len(kept):])
	c.scheduled = kept
}
