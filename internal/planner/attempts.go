package planner

import (
	"fmt"
	"slices"

	"redwingvale/internal/jobs"
)

// attemptLimit is the number of failed runs of a task that fails its job.
type attemptLimit struct {
	// max is 0 if there is no limit.
	max int
	// confirmed is false while the configuration has not been read in this
	// term. Until then no job fails because of the limit, and no run starts
	// that the limit may forbid.
	confirmed bool
}

// queueOf returns the queue of a job with the newest known policy: that of the
// configuration, else the one under which the job was accepted. A queue without
// a policy has no workers.
func (c *Core) queueOf(spec *jobs.Job) *Queue {
	if q := c.queues[spec.Queue]; q != nil {
		return q
	}
	q := &Queue{Name: spec.Queue}
	if spec.Policy != nil {
		q.Policy = *spec.Policy
	}
	return q
}

// attemptLimitOf returns the attempt limit of a job's tasks. The policy under
// which the job was accepted may have been replaced since, so it counts only if
// the configuration no longer has the queue.
func (c *Core) attemptLimitOf(j *job) attemptLimit {
	switch {
	case c.queues[j.spec.Queue] != nil:
		return attemptLimit{j.queue.MaxAttempts, true}
	case j.spec.Policy != nil && c.configured:
		return attemptLimit{j.queue.MaxAttempts, true}
	case j.spec.Policy != nil && c.disabled.lowestLimit:
		return attemptLimit{j.queue.MaxAttempts, false}
	default:
		// The lowest limit that a queue can have.
		return attemptLimit{1, c.disabled.confirmedLimit}
	}
}

// setQueues applies a version of the configuration. A queue that it no longer
// has keeps its last policy for its remaining jobs. Failures that were counted
// under another limit are checked again.
func (c *Core) setQueues(queues []Queue) {
	c.configured = true
	c.setOverloadQueues(queues)
	for i := range queues {
		q := queues[i]
		c.queues[q.Name] = &q
	}
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		j.queue = c.queueOf(j.spec)
		deadline := c.deadline(j)
		j.progressVersion++
		for s := range j.steps() {
			s.deadlineMS = deadline
			if s.released {
				c.noteDeadlines(s)
			}
		}
		if !c.disabled.recheckFailures {
			c.recheckAttempts(j)
		}
	}
	c.placementDue = true
}

// jobIDs returns the jobs in a fixed order.
func (c *Core) jobIDs() []jobs.ID {
	ids := make([]jobs.ID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// taskFailed counts a failure and fails the job if the task has used up its
// attempts.
func (c *Core) taskFailed(t *task, w *worker, number int) {
	t.avoid(w)
	if t.step.spec.LongRunning {
		// Attempts of long-running tasks are unlimited, so a list of their
		// failures would grow without bound.
		return
	}
	t.step.job.progress.AddFailure(t.failureTask(), number)
	c.checkAttempts(t)
}

// failureTask returns the task under which a failure is counted.
func (t *task) failureTask() jobs.Task { return t.step.spec.FailureTask(t.ref()) }

// exhausted reports whether the task must not start again.
func (c *Core) exhausted(t *task) bool {
	j := t.step.job
	if t.step.spec.LongRunning || len(j.progress.Failures) == 0 || c.disabled.attemptLimit {
		return false
	}
	limit := c.attemptLimitOf(j)
	return limit.max > 0 && j.progress.FailuresOf(t.failureTask()) >= limit.max
}

// failuresKnown reports whether the leader knows all failed runs of a task that
// count towards its attempt limit. A run that it has adopted says nothing about
// the earlier ones: until every worker has reported, one may list a failure that
// is not in the log, and a start could be one too many. Of a task that a closed worker
// may still run nothing is known before that worker is settled.
func (c *Core) failuresKnown(t *task) bool {
	j := t.step.job
	if c.heldBack(t) {
		return false
	}
	if c.reconciled || !j.inherited || t.step.spec.LongRunning || c.disabled.awaitFailures {
		return true
	}
	return c.attemptLimitOf(j).max == 0
}

// checkAttempts fails the job if the task is exhausted under a confirmed limit.
func (c *Core) checkAttempts(t *task) {
	j := t.step.job
	if j.state.Final() || !c.exhausted(t) {
		return
	}
	ref, limit := t.failureTask(), c.attemptLimitOf(j)
	failures := j.progress.FailuresOf(ref)
	if !limit.confirmed {
		c.unqueueWithGang(t)
		c.emit(Decision{Event: "verdict_waits", Job: j.id, Task: ref.String(), Reason: fmt.Sprintf("configuration not read: failures=%d attempts=%d", failures, limit.max)})
		return
	}
	c.endJob(j, jobs.Failed, fmt.Sprintf("a task has used up its attempts: task=%s failures=%d attempts=%d", ref, failures, limit.max))
}

// unqueueWithGang removes a task, or its whole gang, from those that wait for a
// worker.
func (c *Core) unqueueWithGang(t *task) {
	if !t.step.spec.Gang {
		c.unqueue(t)
		return
	}
	for i := range t.step.tasks {
		c.unqueue(&t.step.tasks[i])
	}
}

// recheckAttempts checks all failures of a job again: the job fails if they use
// up the attempts of a task, otherwise its tasks may start again.
func (c *Core) recheckAttempts(j *job) {
	for _, o := range slices.Clone(j.open) {
		c.recheckOccurrence(o)
	}
}

// recheckOccurrence does the same for one occurrence.
func (c *Core) recheckOccurrence(o *occurrence) {
	j := o.job
	if len(j.progress.Failures) == 0 {
		return
	}
	for _, s := range o.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done || j.progress.FailuresOf(t.failureTask()) == 0 {
				continue
			}
			c.checkAttempts(t)
			if !j.state.Final() && len(t.runs) == 0 {
				c.requeue(t)
			}
		}
	}
}
