package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Effect is an output of Core.Step. Effects must be executed in order.
type Effect interface{ effect() }

// Write appends a record to the group's stream through the journal, which fills
// in instance, incarnation, sequence and wall-clock time. The record takes
// effect when it is read back as RecordRead.
type Write struct {
	Token    Token
	Envelope *recordv1.Envelope
}

// Send sends a batch to a worker. Its result is WorkerAnswered or WorkerFailed
// with the same serial. At most one Send per worker is in flight.
type Send struct {
	Serial uint64
	Worker spec.Worker
	Batch  platform.CommandBatch
}

// Reply answers a request. If Forward is set, the caller repeats the request at
// that group. Grants is set for RenewGrants; a ReceiveJob has been recorded if
// Code is OK.
type Reply struct {
	Request  Request
	Code     code.Code
	Response *schedv1.JobResponse
	Forward  spec.GroupID
	Grants   []*schedv1.Grant
}

// HandOff sends a job to the owner of another group. It is repeated until
// HandOffAnswered reports that the job is recorded there.
type HandOff struct {
	Group spec.GroupID
	Job   *recordv1.JobReceived
}

// SendForgetMovedJob sends ForgetMovedJob to the owner of the group from which a
// job came. It is repeated until MovedJobForgotten.
type SendForgetMovedJob struct {
	Group spec.GroupID
	Job   spec.JobID
	Hop   uint32
}

// JobChanged notifies waiting callers that a job's state has changed.
type JobChanged struct{ Job spec.JobID }

// AbandonEpoch reports that records expired unread while this instance owned the
// group, and that the core makes no more decisions in this epoch. The group must
// be claimed again.
type AbandonEpoch struct{ Epoch spec.Epoch }

// TaskOverdue reports that a task can no longer meet its deadline. It is emitted
// when the decider first reports this, and again after a takeover.
type TaskOverdue struct{ Task spec.TaskID }

// LogEvent is one line of the event log: a name and key-value pairs.
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
