package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Effect is an output of Core.Step. Effects are carried out in their order.
type Effect interface{ effect() }

// Write adds a record to the group's stream through the journal, which fills
// in instance, incarnation, sequence and wall-clock time. The record counts
// when it comes back as RecordRead.
type Write struct {
	Token    Token
	Envelope *recordv1.Envelope
}

// Send sends a batch to a worker. The answer is WorkerAnswered or
// WorkerFailed with the same serial. At most one Send per worker is open.
type Send struct {
	Serial uint64
	Worker spec.Worker
	Batch  platform.CommandBatch
}

// Reply answers a request. When Forward is set, the caller repeats the
// request at that group. Grants is set for RenewGrants; a ReceiveJob is
// recorded when Code is OK.
type Reply struct {
	Request  Request
	Code     code.Code
	Response *schedv1.JobResponse
	Forward  spec.GroupID
	Grants   []*schedv1.Grant
}

// HandOff sends a job to the owner of another group. It is repeated until
// HandOffAnswered states that the job is recorded.
type HandOff struct {
	Group spec.GroupID
	Job   *recordv1.JobReceived
}

// SendForgetMovedJob tells the owner of the group from which a job came that the job
// has ended, as MovedEnded. It is repeated until MovedReleased.
type SendForgetMovedJob struct {
	Group spec.GroupID
	Job   spec.JobID
	Hop   uint32
}

// JobChanged states that a job's state has changed, for callers that wait.
type JobChanged struct{ Job spec.JobID }

// AbandonEpoch states that the core lost records while it owned the group and
// decides nothing more in this epoch. The group must be claimed anew.
type AbandonEpoch struct{ Epoch spec.Epoch }

// TaskOverdue states that a task can no longer meet its deadline. It is sent when
// that becomes known, and again after a takeover.
type TaskOverdue struct{ Task spec.TaskID }

// LogEvent is one line of the event log: a name and pairs of key and value.
type LogEvent struct {
	Name  string
	Pairs []string
}

func (Write) effect()              {}
func (Send) effect()               {}
func (Reply) effect()              {}
func (HandOff) effect()            {}
func (SendForgetMovedJob) effect() {}
func (JobChanged) effect()         {}
func (AbandonEpoch) effect()       {}
func (TaskOverdue) effect()        {}
func (LogEvent) effect()           {}
