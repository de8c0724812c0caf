package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// JobProblem describes a job that may need an operator's intervention.
type JobProblem struct {
	Job     spec.JobID
	Service spec.ServiceID
	Kind    string
	// WillMissDeadline is set if the decider reports a task of the job that can
	// no longer meet its deadline.
	WillMissDeadline bool
	// NeverRunnable is the dimension in which one task exceeds every worker or
	// its quota, or empty.
	NeverRunnable string
	// UnknownOutcome is set if a task was lost that must not be repeated.
	UnknownOutcome bool
}

// JobProblems lists the jobs with a problem in log order. It is empty while this
// instance does not own the group. Its cost grows with the number of jobs.
func (c *Core) JobProblems() []JobProblem {
	if c.owner == nil {
		return nil
	}
	late := make(map[spec.JobID]bool)
	for id := range c.owner.overdue {
		late[id.Job] = true
	}
	var out []JobProblem
	c.state().eachJob(func(j *job) {
		t := c.jobProblem(j)
		t.WillMissDeadline = late[j.id] && j.open()
		if t.WillMissDeadline || t.NeverRunnable != "" || t.UnknownOutcome {
			out = append(out, t)
		}
	})
	return out
}

func (c *Core) jobProblem(j *job) JobProblem {
	out := JobProblem{
		Job:            j.id,
		Service:        spec.ServiceID(j.spec.GetService()),
		Kind:           j.spec.GetKind(),
		UnknownOutcome: j.outcomeUnknown(),
	}
	if j.open() && j.active+j.finished < len(j.tasks) {
		out.NeverRunnable = c.neverRunnable(j.spec)
	}
	return out
}

// outcomeUnknown reports whether the outcome of a task of the job is unknown.
func (j *job) outcomeUnknown() bool {
	if j.finished == 0 || j.movedTo != "" || j.ended && j.code == int32(code.OK) {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].code == int32(code.JobOutcomeUnknown) {
			return true
		}
	}
	return false
}

// WorkerCounts counts the workers of the group that the platform lists, and those
// of them that are quarantined according to the log.
func (c *Core) WorkerCounts() (workers, quarantined int) {
	for _, info := range c.workerInfos {
		if c.state().quarantined[info.Worker.ID] {
			quarantined++
		}
	}
	return len(c.workerInfos), quarantined
}

// SnapshotAge returns the age of the group's newest snapshot, or of its first
// record if there is none, and whether that age is known.
func (c *Core) SnapshotAge(now time.Duration) (time.Duration, bool) {
	return now - c.follower.lastSnapshotAt, c.follower.snapshotAgeKnown
}
