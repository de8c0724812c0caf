package ownership

import (
	"time"

	"redwingvale/internal/fence"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// MembersRecord is one record of the members stream, in log order. The core
// removes duplicates itself, so records must not pass through a
// journal.DuplicateFilter first.
type MembersRecord struct {
	Offset   int64
	Envelope *recordv1.Envelope
}

// MembersRead follows the MembersRecord events of one read. SentAt is the
// monotonic time before the read was sent. Expired states that the log dropped
// records before they were read; such an event precedes the records.
type MembersRead struct {
	SentAt  time.Duration
	AtTail  bool
	Expired bool
}

// GroupFence is the latest valid ownership that the group's stream shows. It is
// sent after each record for which the fence returned Claimed or Released, and
// precedes the StreamRead of the same read.
type GroupFence struct {
	Group spec.GroupID
	Fence fence.Fence
}

// StreamRead follows each successful read of a group's stream. SentAt is the
// monotonic time before the read was sent. AtTail must stay false while records
// have expired and no snapshot has restored the fence.
type StreamRead struct {
	Group  spec.GroupID
	SentAt time.Duration
	AtTail bool
}

// HeartbeatReceived is a heartbeat from a member. Call identifies it in Respond.
type HeartbeatReceived struct {
	Call    uint64
	Request *schedv1.HeartbeatRequest
}

// HeartbeatAnswered is the response to a heartbeat. SentAt is copied from the
// SendHeartbeat effect.
type HeartbeatAnswered struct {
	To       spec.InstanceID
	SentAt   time.Duration
	Response *schedv1.HeartbeatResponse
}

// InstanceList is the content of the platform's instance list.
type InstanceList struct {
	Entries []platform.InstanceEntry
}

// ConfigRead is the offset up to which this instance has read the config
// stream. Heartbeats report it to the other members.
type ConfigRead struct {
	Offset int64
}

// Group is a worker group and its data centre.
type Group struct {
	ID         spec.GroupID
	DataCentre spec.DataCentre
}

// GroupsKnown replaces the set of groups that must have an owner.
type GroupsKnown struct {
	Groups []Group
}

// AppendRejected states that the journal rejected a claim (Release false) or
// the release of the given epoch, and that the record has no effect for any
// reader. A record with an unknown outcome must not be reported.
type AppendRejected struct {
	Group   spec.GroupID
	Release bool
	Epoch   spec.Epoch
}

// GroupAbandoned states that the group's core has lost records of the epoch
// that this instance owns and takes no further decisions in it. The lease ends,
// and the group is claimed again because its owner no longer lists it.
type GroupAbandoned struct {
	Group spec.GroupID
	Epoch spec.Epoch
}

// ForceRemove is an operator's confirmation that an instance has stopped or
// crashed.
type ForceRemove struct {
	Instance spec.InstanceID
}

// LeaveRequested starts a planned leave of this instance.
type LeaveRequested struct{}

// Tick triggers the time-dependent work. The period should be 50 ms or less.
type Tick struct{}

func (MembersRecord) isEvent()     {}
func (MembersRead) isEvent()       {}
func (GroupFence) isEvent()        {}
func (StreamRead) isEvent()        {}
func (HeartbeatReceived) isEvent() {}
func (HeartbeatAnswered) isEvent() {}
func (InstanceList) isEvent()      {}
func (ConfigRead) isEvent()        {}
func (GroupsKnown) isEvent()       {}
func (AppendRejected) isEvent()    {}
func (GroupAbandoned) isEvent()    {}
func (ForceRemove) isEvent()       {}
func (LeaveRequested) isEvent()    {}
func (Tick) isEvent()              {}
