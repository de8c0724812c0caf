package group

import (
	"redwingvale/internal/fence"
	"redwingvale/internal/spec"
)

// Fence returns the ownership as the group's stream states it, and whether
// the stream was read far enough to know it.
func (c *Core) Fence() (fence.Fence, bool) {
	return c.state().fence, c.follower.complete || !c.follower.started
}

// LastFenceResult returns the verdict on the last record that was read. A repeat
// counts as void.
func (c *Core) LastFenceResult() fence.Verdict { return c.lastFenceResult }

// Summary counts what a group holds.
type Summary struct {
	Jobs    int
	Waiting int
	Running int
}

// Summary counts the group's jobs and tasks.
func (c *Core) Summary() Summary {
	var out Summary
	for _, j := range c.state().jobs {
		out.Jobs++
		for _, t := range j.tasks {
			switch t.state {
			case taskWaiting:
				out.Waiting++
			case taskRunning:
				out.Running++
			}
		}
	}
	return out
}

// WorkerDetail is one worker as its owner sees it.
type WorkerDetail struct {
	Quarantined bool
	// Answering states that the worker has reported to this owner and that the
	// last exchange with it succeeded.
	Answering bool
	Capacity  spec.Resources
	// Reserved is held by tasks, Granted by entries for urgent requests.
	Reserved spec.Resources
	Granted  spec.Resources
	Tasks    []TaskDetail
}

// TaskDetail is one task with an open attempt.
type TaskDetail struct {
	Task     spec.TaskID
	State    string
	Attempt  spec.Attempt
	Moves    uint32
	Reserved spec.Resources
	// ThrottlePercent is the wanted processor share; 100 means no limit.
	ThrottlePercent int
}

// Worker describes a worker of the group, and reports false when this instance
// does not decide for the group or does not know the worker.
func (c *Core) Worker(id spec.WorkerID) (WorkerDetail, bool) {
	if !c.deciding() || c.owner.workers[id] == nil {
		return WorkerDetail{}, false
	}
	w := c.owner.workers[id]
	out := WorkerDetail{
		Quarantined: c.state().quarantined[id],
		Answering:   w.reachable && !w.lastBatchFailed,
		Capacity:    w.worker.Capacity,
		Reserved:    c.owner.ledger.Reserved(id),
		Granted:     c.owner.ledger.Granted(c.now, id),
	}
	for _, t := range w.sortedTasks() {
		out.Tasks = append(out.Tasks, TaskDetail{
			Task:            t.id(),
			State:           t.state.String(),
			Attempt:         t.attempt,
			Moves:           t.moves,
			Reserved:        t.job.resources(),
			ThrottlePercent: t.attemptState.wantedThrottle,
		})
	}
	return out, true
}
