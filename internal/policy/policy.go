// Package policy is the interface between the state of a worker group and the
// scheduling decisions about it. The group core owns the state; a Decider owns
// the queue of waiting tasks, the assumed placements and the learned models. A
// Decider is deterministic and does no I/O.
package policy

import (
	"time"

	"redwingvale/internal/spec"
)

// Task is the part of a waiting or running task that policy needs.
type Task struct {
	ID        spec.TaskID
	Attempt   spec.Attempt
	Service   spec.ServiceID
	Class     spec.Class
	Kind      string
	Resources spec.Resources
	RunTime   time.Duration
	// Deadline is on the owner's monotonic clock; zero means none.
	Deadline time.Duration
	// Submitted is when this owner first received the task.
	Submitted time.Duration
	// Progress is the finished share from 0 to 1 that checkpoints preserve.
	Progress float64
	// Moves counts how often the task was moved or evicted.
	Moves int
}

// Placement assigns a waiting task to a worker. The Decider already counts it as
// running there.
type Placement struct {
	Task   spec.TaskID
	Worker spec.WorkerID
	Why    string
}

// ActionKind is the kind of an Action.
type ActionKind string

// The actions in the order in which a Decider prefers them.
const (
	ActionThrottle   ActionKind = "throttle"
	ActionUnthrottle ActionKind = "unthrottle"
	ActionMove       ActionKind = "checkpoint_and_move"
	ActionEvict      ActionKind = "evict"
	ActionQuarantine ActionKind = "quarantine"
	ActionRelease    ActionKind = "release_quarantine"
)

// Action is a decision about a running task or, for quarantine, a worker.
type Action struct {
	Kind            ActionKind
	Task            spec.TaskID
	Worker          spec.WorkerID
	ThrottlePercent int
	// Why states the measurement that caused the action.
	Why string
}

// EndKind is how an attempt ended.
type EndKind string

// The ends of an attempt.
const (
	EndDone      EndKind = "done"
	EndFailed    EndKind = "failed"
	EndStopped   EndKind = "stopped"
	EndLost      EndKind = "lost"
	EndCancelled EndKind = "cancelled"
	// EndNotStarted undoes a placement whose attempt never started.
	EndNotStarted EndKind = "not_started"
)

// TaskUsage is a delayed measurement of one running task.
type TaskUsage struct {
	Task      spec.TaskID
	MilliCPU  int64
	MemoryMiB int64
	Progress  float64
}

// Report is a delayed measurement of one worker. MeasuredAt is on the owner's
// monotonic clock and precedes the arrival of the report.
type Report struct {
	Worker      spec.WorkerID
	MeasuredAt  time.Duration
	ServiceP99  time.Duration
	ServiceLoad float64
	Tasks       []TaskUsage
}

// Reason states why a task waits, was moved or was refused.
type Reason struct {
	// Dimension is a resource dimension or the name of the plug-in.
	Dimension string
	// Workers counts the workers to which the reason applies.
	Workers int
	Detail  string
}

// Service is the part of a service's document that policy needs.
type Service struct {
	Team spec.TeamID
	ID   spec.ServiceID
	// Quota is what the team may use without borrowing; zero means no limit.
	Quota spec.Resources
	// Ceiling is what the team may use with borrowing; zero means no limit.
	Ceiling spec.Resources
	// DataCentres are where new tasks may be placed; none means anywhere.
	DataCentres DataCentres
	// TailWeight and EvictionWeight weigh tail latency against evictions.
	TailWeight     float64
	EvictionWeight float64
	// TargetP99 is the target tail latency of the service, or 0 for none.
	TargetP99 time.Duration
	// MaxMovesPerDay bounds the moves of a long-running task; 0 selects the
	// default.
	MaxMovesPerDay int
}

// Decider decides about the workers and tasks of one group. Methods are
// called from one goroutine. now is the owner's monotonic time.
type Decider interface {
	// Configure replaces the services. It is called before the first task and
	// after each change of configuration.
	Configure(now time.Duration, services []Service)
	// SetWorker adds a worker or changes its capacity.
	SetWorker(now time.Duration, worker spec.Worker)
	// RemoveWorker stops placing on a worker. Its running tasks remain until
	// Ended is called for each.
	RemoveWorker(now time.Duration, id spec.WorkerID)
	// SetGranted sets the resources of a worker granted to urgent requests.
	SetGranted(now time.Duration, id spec.WorkerID, granted spec.Resources)
	// Enqueue adds a waiting task.
	Enqueue(now time.Duration, task Task)
	// Dequeue removes a waiting task, for example after a cancellation.
	Dequeue(id spec.TaskID)
	// Restore adds a task that already runs on a worker, after a takeover.
	Restore(now time.Duration, task Task, worker spec.WorkerID)
	// Schedule takes up to limit tasks from the queue and places them.
	Schedule(now time.Duration, limit int) []Placement
	// Ended frees what the task holds and learns from how it ended. Ran is
	// the run time of the attempt.
	Ended(now time.Duration, id spec.TaskID, end EndKind, ran time.Duration)
	// Observe passes a measurement to the Decider.
	Observe(now time.Duration, report Report)
	// Review returns actions against interference and unhealthy workers.
	Review(now time.Duration) []Action
	// Relieve returns actions that free the needed resources on a worker for
	// urgent requests.
	Relieve(now time.Duration, id spec.WorkerID, need spec.Resources) []Action
	// Explain returns why a task waits or was moved.
	Explain(id spec.TaskID) []Reason
	// Overdue lists waiting or running tasks that cannot meet their deadline.
	Overdue(now time.Duration) []spec.TaskID
}

// QuarantineRestorer is implemented by a Decider that can restore after a
// takeover the quarantines recorded in the log.
type QuarantineRestorer interface {
	// RestoreQuarantine is called for each quarantined worker after its
	// SetWorker.
	RestoreQuarantine(now time.Duration, id spec.WorkerID)
}
