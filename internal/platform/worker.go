package platform

import (
	"context"
	"time"

	"redwingvale/internal/spec"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// The states that a worker reports. Stopped, Done and Failed are final and
// are reported until the owner sends a Forget command.
const (
	TaskRunning TaskState = "running"
	TaskStopped TaskState = "stopped"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskRefused states that a start command was refused and never ran.
	TaskRefused TaskState = "refused"
)

// CommandKind is the kind of a worker command.
type CommandKind string

// The commands that a worker understands.
const (
	CommandStart      CommandKind = "start"
	CommandRenew      CommandKind = "renew"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandStop       CommandKind = "stop"
	CommandForget     CommandKind = "forget"
)

// Command is one command about one attempt of a task. LeaseEnd and StartBy
// are absolute readings of the worker's own monotonic clock.
type Command struct {
	Kind    CommandKind
	Task    spec.TaskID
	Attempt spec.Attempt
	// LeaseEnd applies to start and renew. A renewal never shortens a lease.
	LeaseEnd time.Duration
	// StartBy applies to start: the worker refuses a start after it.
	StartBy time.Duration
	// Resources, Class, Kind, RunTime, Checkpoint and Payload apply to start.
	Resources  spec.Resources
	Class      spec.Class
	JobKind    string
	RunTime    time.Duration
	Checkpoint string
	Payload    []byte
	// ThrottlePercent applies to throttle: 100 means no limit.
	ThrottlePercent int
	// Grace applies to stop: the time for a last checkpoint.
	Grace time.Duration
}

// CommandBatch is what an owner sends to one worker at a time. A worker that
// has seen a larger epoch carries out nothing of it and sets Fenced. An empty
// batch asks for a report.
type CommandBatch struct {
	Worker spec.WorkerID
	Epoch  spec.Epoch
	// Boot is the boot for whose clock the commands' times are meant. A worker
	// of another boot carries out nothing of the batch and only reports.
	Boot     string
	Commands []Command
}

// TaskReport is what a worker says about one attempt of a task.
type TaskReport struct {
	Task    spec.TaskID
	Attempt spec.Attempt
	State   TaskState
	// LeaseEnd is the current lease end on the worker's clock.
	LeaseEnd time.Duration
	// Checkpoint names the newest checkpoint, or is empty.
	Checkpoint string
	// Progress is the finished share of the task, 0 to 1.
	Progress float64
	// Ran states for a final state whether any of the task has run.
	Ran    bool
	Detail string
	// Usage was measured at MeasuredAt on the worker's clock and lags.
	MilliCPU   int64
	MemoryMiB  int64
	MeasuredAt time.Duration
}

// WorkerReport is a worker's answer to a command batch.
type WorkerReport struct {
	Worker spec.WorkerID
	// Boot changes when the worker restarts; its clock then starts anew and
	// no earlier task runs any longer.
	Boot string
	// Clock is the worker's monotonic clock when the answer was made.
	Clock time.Duration
	// Epoch is the largest epoch that the worker has seen.
	Epoch  spec.Epoch
	Fenced bool
	Tasks  []TaskReport
	// ServiceP99 is the lagging tail latency of the latency-critical service
	// on the worker, and ServiceLoad its requests per second.
	ServiceP99  time.Duration
	ServiceLoad float64
	MeasuredAt  time.Duration
}

// Workers carries command batches to workers.
type Workers interface {
	// Do sends a batch to the worker at its control address. After an error
	// the commands may or may not have been carried out.
	Do(ctx context.Context, worker spec.Worker, batch CommandBatch) (WorkerReport, error)
}
