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
	// TaskRefused states that a start command was refused and the task never ran.
	TaskRefused TaskState = "refused"
)

// CommandKind is the kind of a worker command.
type CommandKind string

// The kinds of worker commands.
const (
	CommandStart      CommandKind = "start"
	CommandRenew      CommandKind = "renew"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandThrottle   CommandKind = "throttle"
	CommandStop       CommandKind = "stop"
	CommandForget     CommandKind = "forget"
)

// Command is one command for one attempt of a task. LeaseEnd and StartBy are
// absolute times on the worker's own monotonic clock.
type Command struct {
	Kind    CommandKind
	Task    spec.TaskID
	Attempt spec.Attempt
	// LeaseEnd applies to start and renew. A renewal never shortens a lease.
	LeaseEnd time.Duration
	// StartBy applies to start: the worker refuses a start after this time.
	StartBy time.Duration
	// Resources, Class, JobKind, RunTime, Checkpoint and Payload apply to start.
	Resources  spec.Resources
	Class      spec.Class
	JobKind    string
	RunTime    time.Duration
	Checkpoint string
	Payload    []byte
	// ThrottlePercent applies to throttle; 100 means no limit.
	ThrottlePercent int
	// Grace applies to stop: it is the time allowed for a final checkpoint.
	Grace time.Duration
}

// CommandBatch is the set of commands that an owner sends to one worker in one
// call. A worker that has seen a larger epoch executes none of them and sets
// Fenced. An empty batch only requests a report.
type CommandBatch struct {
	Worker spec.WorkerID
	Epoch  spec.Epoch
	// Boot identifies the worker's boot to whose clock the commands' times refer.
	// A worker of another boot executes nothing of the batch and only reports.
	Boot     string
	Commands []Command
}

// TaskReport is a worker's report on one attempt of a task.
type TaskReport struct {
	Task    spec.TaskID
	Attempt spec.Attempt
	State   TaskState
	// LeaseEnd is the end of the current lease on the worker's clock.
	LeaseEnd time.Duration
	// Checkpoint names the newest checkpoint, or is empty.
	Checkpoint string
	// Progress is the completed fraction of the task, from 0 to 1.
	Progress float64
	// Ran states, in a final state, whether any part of the task has run.
	Ran    bool
	Detail string
	// MilliCPU and MemoryMiB are the usage at MeasuredAt on the worker's clock,
	// which lags behind the report.
	MilliCPU   int64
	MemoryMiB  int64
	MeasuredAt time.Duration
}

// WorkerReport is a worker's response to a command batch.
type WorkerReport struct {
	Worker spec.WorkerID
	// Boot changes when the worker restarts. Its clock then starts again and no
	// earlier task is still running.
	Boot string
	// Clock is the worker's monotonic clock at the time of the response.
	Clock time.Duration
	// Epoch is the largest epoch that the worker has seen.
	Epoch  spec.Epoch
	Fenced bool
	Tasks  []TaskReport
	// ServiceP99 is the tail latency of the latency-critical service on the
	// worker and ServiceLoad its requests per second. Both were measured at
	// MeasuredAt, which lags behind the report.
	ServiceP99  time.Duration
	ServiceLoad float64
	MeasuredAt  time.Duration
}

// Workers sends command batches to workers.
type Workers interface {
	// Do sends a batch to the worker at its control address. After an error the
	// commands may or may not have been executed.
	Do(ctx context.Context, worker spec.Worker, batch CommandBatch) (WorkerReport, error)
}
