package group

import (
	"time"

	"redwingvale/internal/spec"
)

// Status sums up a group for metrics, health and alarms.
type Status struct {
	// Epoch and Owner are what the log states.
	Epoch spec.Epoch
	Owner spec.InstanceID
	// Complete states that the state is known; Deciding that this instance
	// decides now.
	Complete bool
	Deciding bool
	// Offset is that of the last record applied.
	Offset int64
	// Jobs, Waiting, Active and Moved count jobs that are kept, tasks that
	// wait, tasks with an open attempt and jobs handed off to other groups.
	Jobs    int
	Waiting int
	Active  int
	Moved   int
	// PendingWrites counts records that are not read back, and CancelBacklog the
	// cancelled jobs whose tasks are still to be handled.
	PendingWrites int
	CancelBacklog int
	// Unreachable counts workers that do not answer this owner.
	Unreachable int
	Quarantined int
	// SnapshotAge is the age of the newest snapshot, or of the state when
	// there is none; SnapshotDated states that it is known.
	SnapshotAge      time.Duration
	SnapshotAgeKnown bool
}

// Status returns the present state in figures. Its cost grows with the jobs.
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
