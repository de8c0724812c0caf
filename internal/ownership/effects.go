package ownership

import (
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Effect is an output of Core.Step.
type Effect interface{ isEffect() }

// AppendMembers asks for a record in the members stream.
type AppendMembers struct {
	Record *recordv1.MembersRecord
	Why    string
}

// AppendClaim asks for a claim in the group's stream.
type AppendClaim struct {
	Group    spec.GroupID
	Replaces spec.Epoch
	Why      string
}

// WithdrawClaim asks the journal to discard a claim that was not read back,
// because its reason has gone. The claim may still take effect.
type WithdrawClaim struct {
	Group spec.GroupID
}

// AppendRelease asks for a release record of the given epoch. The right has
// ended by a Right effect before.
type AppendRelease struct {
	Group spec.GroupID
	Epoch spec.Epoch
	Next  spec.InstanceID
	Why   string
}

// SendHeartbeat asks for a heartbeat to be sent to Addr (host:port).
type SendHeartbeat struct {
	To      spec.InstanceID
	Addr    string
	SentAt  time.Duration
	Request *schedv1.HeartbeatRequest
}

// Respond answers the heartbeat with the same Call.
type Respond struct {
	Call     uint64
	Response *schedv1.HeartbeatResponse
}

// Follow asks for the group's stream to be read from its start, with an empty
// filter and fence. Reads of an earlier Follow must not be delivered after it.
type Follow struct {
	Group spec.GroupID
}

// Unfollow ends reading the group's stream.
type Unfollow struct {
	Group spec.GroupID
}

// Right states until when, on the process's monotonic clock, this instance
// may decide about the group in the epoch. Until is zero when the right was
// lost; the user of the right also compares Until with the clock itself.
type Right struct {
	Group spec.GroupID
	Epoch spec.Epoch
	Until time.Duration
}

// OwnersChanged states that Members or Owners would return something new.
type OwnersChanged struct{}

// LeaveDone ends a planned leave: the instance owns nothing and has left.
type LeaveDone struct{}

// AlarmKind names a condition that may need a person.
type AlarmKind string

// The alarms of this core.
const (
	// AlarmVotersLost states that no majority of the voters can be heard from
	// or proven gone: a person has to confirm dead members with
	// rwctl members remove.
	AlarmVotersLost AlarmKind = "voters_lost"
	// AlarmMembersExpired states that records of the members stream have
	// expired and no snapshot was found.
	AlarmMembersExpired AlarmKind = "members_expired"
)

// Alarm raises (Active) or clears an alarm.
type Alarm struct {
	Kind   AlarmKind
	Active bool
	Detail string
}

func (AppendMembers) isEffect() {}
func (AppendClaim) isEffect()   {}
func (WithdrawClaim) isEffect() {}
func (AppendRelease) isEffect() {}
func (SendHeartbeat) isEffect() {}
func (Respond) isEffect()       {}
func (Follow) isEffect()        {}
func (Unfollow) isEffect()      {}
func (Right) isEffect()         {}
func (OwnersChanged) isEffect() {}
func (LeaveDone) isEffect()     {}
func (Alarm) isEffect()         {}
