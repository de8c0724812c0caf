package group

import (
	"time"

	"redwingvale/internal/spec"
)

// Status summarizes a group for metrics, health checks and alarms.
type Status struct {
	// Epoch and Owner are those of the last claim in the log.
	Epoch spec.Epoch
	Owner spec.InstanceID
	// Complete is set if the state is complete, Deciding if this instance may
	// decide now.
	Complete bool
	Deciding bool
	// Offset is the offset of the last record applied.
	Offset int64
	// Jobs is the number of jobs that have not been forgotten, Waiting that of
	// waiting tasks, Active that of tasks with an open attempt, and Moved that
	// of jobs handed off to other groups.
	Jobs    int
	Waiting int
	Active  int
	Moved   int
	// PendingWrites counts the records that have not been read back, and
	// CancelBacklog the cancelled jobs with tasks that are not yet processed.
	PendingWrites int
	CancelBacklog int
	// Unreachable counts workers that have not reported to this owner or no
	// longer respond.
	Unreachable int
	Quarantined int
	// SnapshotAge is the age of the newest snapshot, or of the state if there is
	// none; SnapshotAgeKnown is set if the age is known.
	SnapshotAge      time.Duration
	SnapshotAgeKnown bool
}

// Status returns a summary of the current state. Its cost grows with the number
// of jobs.
func (c *Core) Status(now time.Duration) Status {
	s := c.state()
	out := Status{
		Epoch:            s.fence.Epoch,
		Owner:            s.fence.Owner,
		Complete:         c.follower.complete,
		Deciding:         c.deciding() && now < c.ownershipLease.Until,
		Offset:           s.appliedOffset,
		Jobs:             len(s.jobs),
		Quarantined:      len(s.quarantined),
		SnapshotAge:      now - c.follower.lastSnapshotAt,
		SnapshotAgeKnown: c.follower.snapshotAgeKnown,
	}
	s.eachJob(func(j *job) {
		out.Active += j.active
		switch {
		case j.movedTo != "":
			out.Moved++
		case j.open():
			out.Waiting += len(j.tasks) - j.active - j.finished
		}
	})
	if c.owner == nil {
		return out
	}
	out.PendingWrites = len(c.owner.pendingWrites)
	out.CancelBacklog = len(c.owner.cancelQueue)
	for _, id := range c.owner.workerOrder {
		if !c.owner.workers[id].reachable {
			out.Unreachable++
		}
	}
	return out
}
