package sched

import (
	"time"

	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// event is an input of the decision loop.
type event interface{ isEvent() }

// streamRead is the result of one read of a stream.
type streamRead struct{ batch journal.Batch }

// appendDone is the end of an append.
type appendDone struct{ done journal.AppendDone }

// heartbeatReceived is a peer's heartbeat that waits for a response.
type heartbeatReceived struct {
	request  *schedv1.HeartbeatRequest
	response chan<- *schedv1.HeartbeatResponse
}

// heartbeatAnswered is the response of a peer.
type heartbeatAnswered struct {
	to       spec.InstanceID
	sentAt   time.Duration
	response *schedv1.HeartbeatResponse
}

// groupEvent is an event for the core of one group. request is set when a
// handler waits for a reply.
type groupEvent struct {
	group   spec.GroupID
	request group.Request
	event   group.Event
}

// loopCall runs a function in the decision loop, which owns all state.
type loopCall struct{ run func(*decisionLoop) }

// leaveRequested starts the planned stop.
type leaveRequested struct{}

// ticked is the periodic tick.
type ticked struct{}

func (streamRead) isEvent()        {}
func (appendDone) isEvent()        {}
func (heartbeatReceived) isEvent() {}
func (heartbeatAnswered) isEvent() {}
func (groupEvent) isEvent()        {}
func (loopCall) isEvent()          {}
func (leaveRequested) isEvent()    {}
func (ticked) isEvent()            {}
func (workerCalled) isEvent()      {}
func (instancesListed) isEvent()   {}

// configRead is the result of one read of the config stream.
type configRead struct {
	result platform.ReadResult
	sent   time.Duration
}

func (configRead) isEvent() {}
