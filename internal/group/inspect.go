package group

import (
	"redwingvale/internal/fence"
	"redwingvale/internal/spec"
)

// Fence returns the ownership recorded in the group's stream, and whether enough
// of the stream has been read to know it.
func (c *Core) Fence() (fence.Fence, bool) {
	return c.state().fence, c.follower.complete || !c.follower.started
}

// LastFenceResult returns the fence's result for the last record that was read.
// A repeated record counts as void.
func (c *Core) LastFenceResult() fence.Verdict { return c.lastFenceResult }

// Summary holds the number of jobs and tasks of a group.
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

// WorkerDetail describes one worker as known to the owner of its group.
type WorkerDetail struct {
	Quarantined bool
	// Answering is set if the worker has reported to this owner and the last
	// batch to it got a response.
	Answering bool
	Capacity  spec.Resources
	// Reserved is reserved for tasks, Granted is granted to entries for urgent
	// requests.
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

// Worker describes a worker of the group. It returns false if this instance does
// not decide for the group or the worker is unknown.
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
		Granted:     c.owner.ledger.UrgentDemand(c.now, id),
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
