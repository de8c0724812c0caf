package ownership

import (
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Effect is an output of Core.Step.
type Effect interface{ isEffect() }

// AppendMembers requests a record in the members stream.
type AppendMembers struct {
	Record *recordv1.MembersRecord
	Why    string
}

// AppendClaim requests a claim in the group's stream.
type AppendClaim struct {
	Group    spec.GroupID
	Replaces spec.Epoch
	Why      string
}

// WithdrawClaim requests that the journal discard a claim that was not read back,
// because its reason no longer holds. The claim may still take effect.
type WithdrawClaim struct {
	Group spec.GroupID
}

// AppendRelease requests a release record for the given epoch. A preceding Lease
// effect has ended the lease.
type AppendRelease struct {
	Group spec.GroupID
	Epoch spec.Epoch
	Next  spec.InstanceID
	Why   string
}

// SendHeartbeat requests a heartbeat to Addr (host:port).
type SendHeartbeat struct {
	To      spec.InstanceID
	Addr    string
	SentAt  time.Duration
	Request *schedv1.HeartbeatRequest
}

// Respond is the response to the HeartbeatReceived with the same Call.
type Respond struct {
	Call     uint64
	Response *schedv1.HeartbeatResponse
}

// Follow requests that the group's stream be read from its start, with an empty
// filter and fence. Reads for an earlier Follow must not be delivered after it.
type Follow struct {
	Group spec.GroupID
}

// Unfollow stops reading the group's stream.
type Unfollow struct {
	Group spec.GroupID
}

// Lease states until when, on the process's monotonic clock, this instance may
// take decisions about the group in the epoch. Until is zero when the lease has
// ended; the holder must also compare Until with the clock itself.
type Lease struct {
	Group spec.GroupID
	Epoch spec.Epoch
	Until time.Duration
}

// OwnersChanged states that the result of Members or Owners may have changed.
type OwnersChanged struct{}

// LeaveDone states that a planned leave is complete: the instance owns no groups
// and is no longer a member.
type LeaveDone struct{}

// AlarmKind identifies a condition that may require an operator.
type AlarmKind string

// Alarm kinds of the ownership core.
const (
	// AlarmVotersLost states that no majority of the voters responds or is
	// proven gone. An operator has to confirm failed members with
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
func (Lease) isEffect()         {}
func (OwnersChanged) isEffect() {}
func (LeaveDone) isEffect()     {}
func (Alarm) isEffect()         {}
