package sched

import (
	"time"

	"redwingvale/internal/alarm"
	"redwingvale/internal/config"
	"redwingvale/internal/group"
	"redwingvale/internal/ownership"
)

// ownGroup returns the followed group of an owner when that is this instance.
func (d *decision) ownGroup(owner ownership.Owner) *followedGroup {
	if string(owner.Owner) != d.sched.config.Instance {
		return nil
	}
	return d.groups[owner.Group]
}

// ownGroups returns the groups that this instance owns, by id.
func (d *decision) ownGroups() []*followedGroup {
	var out []*followedGroup
	for _, owner := range d.ownership.Owners() {
		if g := d.ownGroup(owner); g != nil {
			out = append(out, g)
		}
	}
	return out
}

func (d *decision) groupReading(owner ownership.Owner) alarm.GroupReading {
	out := alarm.GroupReading{ID: string(owner.Group), Owned: owner.Owner != ""}
	if g := d.ownGroup(owner); g != nil {
		out.Workers, out.Quarantined = g.core.WorkerCounts()
	}
	return out
}

// jobReadings lists the jobs of the own groups that are in trouble.
func (d *decision) jobReadings() []alarm.JobReading {
	var out []alarm.JobReading
	for _, g := range d.ownGroups() {
		for _, trouble := range g.core.JobProblems() {
			out = append(out, jobReading(d.sched.documents.Load(), trouble))
		}
	}
	return out
}

// jobReading describes one job. The parts of a job count as the job itself.
func jobReading(documents *documentIndex, trouble group.JobProblem) alarm.JobReading {
	whole := trouble.Job
	whole.Name = partName.ReplaceAllString(whole.Name, "")
	out := alarm.JobReading{
		ID:                 whole.String(),
		Kind:               trouble.Kind,
		CannotMeetDeadline: trouble.WillMissDeadline,
		NeverRunnable:      trouble.NeverRunnable,
		UnknownOutcome:     trouble.UnknownOutcome,
	}
	if documents == nil {
		return out
	}
	if doc := (*documents)[config.Key{Team: whole.Team, Service: trouble.Service}]; doc != nil {
		out.MustNotLose = doc.MustNotLose(trouble.Kind)
	}
	return out
}

// oldestSnapshot returns the age of the oldest of the newest snapshots that
// this instance must repeat, and whether one has a known age.
func (d *decision) oldestSnapshot(now time.Duration) (time.Duration, bool) {
	oldest, known := oldestOf(now, d.ownGroups())
	if age, dated := d.config.SnapshotAge(now); dated {
		return max(oldest, age), true
	}
	return oldest, known
}

func oldestOf(now time.Duration, groups []*followedGroup) (oldest time.Duration, known bool) {
	for _, g := range groups {
		if age, dated := g.core.SnapshotAge(now); dated {
			oldest = max(oldest, age)
			known = true
		}
	}
	return oldest, known
}

func (d *decision) journalReading() alarm.JournalReading {
	return alarm.JournalReading{Full: d.journalFull}
}
