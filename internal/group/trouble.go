package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Trouble is a job for which a person may have to act.
type Trouble struct {
	Job     spec.JobID
	Service spec.ServiceID
	Kind    string
	// Late states that the decider sees no way to meet the deadline.
	Late bool
	// NeverRunnable is the failing dimension when no worker and no quota can
	// ever hold one waiting task, or empty.
	NeverRunnable string
	// UnknownOutcome states that a task was lost that must not be repeated.
	UnknownOutcome bool
}

// Troubles lists the jobs in trouble in log order. It is empty while this
// instance does not own the group. Its cost grows with the jobs.
func (c *Core) Troubles() []Trouble {
	if c.owner == nil {
		return nil
	}
	late := make(map[spec.JobID]bool)
	for id := range c.owner.overdue {
		late[id.Job] = true
	}
	var out []Trouble
	c.state().eachJob(func(j *job) {
		t := c.trouble(j)
		t.Late = late[j.id] && j.open()
		if t.Late || t.NeverRunnable != "" || t.UnknownOutcome {
			out = append(out, t)
		}
	})
	return out
}

func (c *Core) trouble(j *job) Trouble {
	out := Trouble{
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

// Health counts the workers of the group that the platform lists, and those
// of them that the log states to be in quarantine.
func (c *Core) Health() (workers, quarantined int) {
	for _, info := range c.infos {
		if c.state().quarantined[info.Worker.ID] {
			quarantined++
		}
	}
	return len(c.infos), quarantined
}

// SnapshotAge returns the age of the group's newest snapshot, or of its first
// record when there is none, and whether it is known.
func (c *Core) SnapshotAge(now time.Duration) (time.Duration, bool) {
	return now - c.follow.lastSnapshot, c.follow.dated
}
