package planner

import (
	"fmt"
	"slices"

	"redwingvale/internal/jobs"
)

// attemptLimit is how many failed runs of a task end its job.
type attemptLimit struct {
	// max is 0 where there is no bound.
	max int
	// confirmed is false while the configuration has not been read in this term:
	// then nothing final is decided, and no run starts that the bound may forbid.
	confirmed bool
}

// queueOf returns the queue of a job with the newest policy that is known: that
// of the configuration, or the one under which the job was accepted. A queue
// without any has no workers.
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

// attemptLimitOf returns the bound on the attempts of a job's tasks. The policy under
// which a job was accepted may have been replaced since, so it counts only for
// a queue that the configuration does not have any more.
func (c *Core) attemptLimitOf(j *job) attemptLimit {
	switch {
	case c.queues[j.spec.Queue] != nil:
		return attemptLimit{j.queue.MaxAttempts, true}
	case j.spec.Policy != nil && c.configured:
		return attemptLimit{j.queue.MaxAttempts, true}
	case j.spec.Policy != nil && c.disabled.lowestLimit:
		return attemptLimit{j.queue.MaxAttempts, false}
	default:
		// The lowest bound that a queue can have.
		return attemptLimit{1, c.disabled.confirmedLimit}
	}
}

// setQueues puts a version of the configuration in force. A queue that is gone
// keeps its last policy for the jobs that it still has. Failures that were
// counted under another bound are judged again.
func (c *Core) setQueues(queues []Queue) {
	c.configured = true
	for i := range queues {
		q := queues[i]
		c.queues[q.Name] = &q
	}
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		j.queue = c.queueOf(j.spec)
		deadline := c.deadline(j)
		for _, s := range j.steps {
			s.deadlineMS = deadline
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

// taskFailed counts a failure and gives the job up when the queue's attempts
// are used up.
func (c *Core) taskFailed(t *task, w *worker, number int) {
	if !slices.Contains(t.avoided, w) {
		t.avoided = append(t.avoided, w)
	}
	if t.step.spec.LongRunning {
		// Its attempts have no bound, so a list of them would only grow.
		return
	}
	t.step.job.progress.AddFailure(t.failureTask(), number)
	c.checkAttempts(t)
}

// failureTask is the task for which a failure counts.
func (t *task) failureTask() jobs.Task { return t.step.spec.Counted(t.ref()) }

// exhausted reports whether the task must not start again.
func (c *Core) exhausted(t *task) bool {
	j := t.step.job
	if t.step.spec.LongRunning || len(j.progress.Failures) == 0 || c.disabled.attemptLimit {
		return false
	}
	b := c.attemptLimitOf(j)
	return b.max > 0 && j.progress.FailuresOf(t.failureTask()) >= b.max
}

// checkAttempts ends the job if the task is exhausted under a bound that is certain.
func (c *Core) checkAttempts(t *task) {
	j := t.step.job
	if j.state.Final() || !c.exhausted(t) {
		return
	}
	ref, b := t.failureTask(), c.attemptLimitOf(j)
	failures := j.progress.FailuresOf(ref)
	if !b.confirmed {
		c.unqueueWithGang(t)
		c.emit(Decision{Event: "verdict_waits", Job: j.id, Task: ref.String(), Reason: fmt.Sprintf("configuration not read: failures=%d attempts=%d", failures, b.max)})
		return
	}
	c.endJob(j, jobs.Failed, fmt.Sprintf("a task has used up its attempts: task=%s failures=%d attempts=%d", ref, failures, b.max))
}

// unqueueWithGang takes a task, or its whole gang, out of what waits for a worker.
func (c *Core) unqueueWithGang(t *task) {
	if !t.step.spec.Gang {
		c.unqueue(t)
		return
	}
	for i := range t.step.tasks {
		c.unqueue(&t.step.tasks[i])
	}
}

// recheckAttempts looks at all failures of a job again: those that use up the attempts
// end it, the other tasks may start again.
func (c *Core) recheckAttempts(j *job) {
	if len(j.progress.Failures) == 0 {
		return
	}
	for _, s := range j.steps {
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
