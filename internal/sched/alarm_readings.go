package sched

import (
	"time"

	"redwingvale/internal/alarm"
	"redwingvale/internal/config"
	"redwingvale/internal/group"
	"redwingvale/internal/ownership"
)

// ownGroup returns the followed group of owner if owner is this instance, else
// nil.
func (d *decisionLoop) ownGroup(owner ownership.Owner) *followedGroup {
	if string(owner.Owner) != d.sched.config.Instance {
		return nil
	}
	return d.groups[owner.Group]
}

// ownGroups returns the groups that this instance owns, by id.
func (d *decisionLoop) ownGroups() []*followedGroup {
	var out []*followedGroup
	for _, owner := range d.ownership.Owners() {
		if g := d.ownGroup(owner); g != nil {
			out = append(out, g)
		}
	}
	return out
}

func (d *decisionLoop) groupReading(owner ownership.Owner) alarm.GroupReading {
	out := alarm.GroupReading{ID: string(owner.Group), Owned: owner.Owner != ""}
	if g := d.ownGroup(owner); g != nil {
		out.Workers, out.Quarantined = g.core.WorkerCounts()
	}
	return out
}

// jobReadings lists the jobs with problems in the groups that this instance
// owns.
func (d *decisionLoop) jobReadings() []alarm.JobReading {
	var out []alarm.JobReading
	for _, g := range d.ownGroups() {
		for _, problem := range g.core.JobProblems() {
			out = append(out, jobReading(d.sched.documents.Load(), problem))
		}
	}
	return out
}

// jobReading describes one job. The parts of a job count as the job itself.
func jobReading(documents *documentIndex, problem group.JobProblem) alarm.JobReading {
	job := problem.Job
	job.Name = partName.ReplaceAllString(job.Name, "")
	out := alarm.JobReading{
		ID:                 job.String(),
		Kind:               problem.Kind,
		CannotMeetDeadline: problem.WillMissDeadline,
		NeverRunnable:      problem.NeverRunnable,
		UnknownOutcome:     problem.UnknownOutcome,
	}
	if documents == nil {
		return out
	}
	if doc := (*documents)[config.Key{Team: job.Team, Service: problem.Service}]; doc != nil {
		out.MustNotLose = doc.MustNotLose(problem.Kind)
	}
	return out
}

// oldestSnapshot returns the age of the oldest among the latest snapshots that
// this instance must repeat, and whether any age is known.
func (d *decisionLoop) oldestSnapshot(now time.Duration) (time.Duration, bool) {
	oldest, known := oldestSnapshotOf(now, d.ownGroups())
	if age, dated := d.config.SnapshotAge(now); dated {
		return max(oldest, age), true
	}
	return oldest, known
}

func oldestSnapshotOf(now time.Duration, groups []*followedGroup) (oldest time.Duration, known bool) {
	for _, g := range groups {
		if age, dated := g.core.SnapshotAge(now); dated {
			oldest = max(oldest, age)
			known = true
		}
	}
	return oldest, known
}

func (d *decisionLoop) journalReading() alarm.JournalReading {
	return alarm.JournalReading{Full: d.journalFull}
}
