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
// drops repeats itself, so records must not pass a journal.Filter before.
type MembersRecord struct {
	Offset   int64
	Envelope *recordv1.Envelope
}

// MembersRead follows the MembersRecord events of one read. SentAt is the
// monotonic time before the read was sent. Expired states that records were
// dropped by the log before they were read; it precedes the records.
type MembersRead struct {
	SentAt  time.Duration
	AtTail  bool
	Expired bool
}

// GroupFence is the latest valid ownership that the group's stream shows. It
// precedes the StreamRead of the read that showed it, and follows each record
// with the verdict fence.Claimed or fence.Released.
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

// HeartbeatReceived is a heartbeat of a member. Call names it in Respond.
type HeartbeatReceived struct {
	Call    uint64
	Request *schedv1.HeartbeatRequest
}

// HeartbeatAnswered is the response to a heartbeat. SentAt is that of the
// SendHeartbeat effect.
type HeartbeatAnswered struct {
	To       spec.InstanceID
	SentAt   time.Duration
	Response *schedv1.HeartbeatResponse
}

// InstanceList is what the platform's instance list shows.
type InstanceList struct {
	Entries []platform.InstanceEntry
}

// ConfigRead is the offset up to which this instance has read the config
// stream. Heartbeats report it to the others.
type ConfigRead struct {
	Offset int64
}

// Group names a worker group and its data centre.
type Group struct {
	ID         spec.GroupID
	DataCentre spec.DataCentre
}

// GroupsKnown replaces the set of groups that must have an owner.
type GroupsKnown struct {
	Groups []Group
}

// AppendRejected states that the journal gave up a claim (Release false) or
// the release of the given epoch, and that the record has no effect for any
// reader. A record whose outcome is unsure must not be reported.
type AppendRejected struct {
	Group   spec.GroupID
	Release bool
	Epoch   spec.Epoch
}

// GroupAbandoned states that the group's core has lost records of the epoch
// that this instance owns and decides nothing more in it. The right ends, and
// the group is claimed anew because its owner does not act as owner.
type GroupAbandoned struct {
	Group spec.GroupID
	Epoch spec.Epoch
}

// ForceRemove is an operator's confirmation that an instance is dead.
type ForceRemove struct {
	Instance spec.InstanceID
}

// LeaveRequested starts a planned leave.
type LeaveRequested struct{}

// Tick lets time pass. The period should be 50 ms or less.
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
