package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// Settings describes this instance and holds the durations specified in section 5
// of docs/design.md.
type Settings struct {
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
	DataCentre  spec.DataCentre
	// SchedAddr and EntryAddr are the host:port of the peer interfaces.
	SchedAddr string
	EntryAddr string

	// OwnershipLease is how long a lease lasts after it was confirmed.
	OwnershipLease time.Duration
	// LogStaleness is how far a read that reaches the tail may lag behind the
	// log.
	LogStaleness time.Duration
	// ClockRatePPM is the maximum difference between two clock rates in parts
	// per million.
	ClockRatePPM int64
	// HeartbeatPeriod is the interval between heartbeats to a member.
	HeartbeatPeriod time.Duration
	// SuspectAfter is how long after its last message a member is suspected.
	SuspectAfter time.Duration
	// LogReadableFor is the maximum age of the last read of the members stream
	// that reached the tail for the log to count as readable.
	LogReadableFor time.Duration
	// LogUsableFor is the maximum age of that read for claims and changes of the
	// membership to be attempted.
	LogUsableFor time.Duration
	// ListLag is how long the instance list must show a voter as gone before
	// it counts as having agreed.
	ListLag time.Duration
	// RemoveAfter is how long a suspected member stays in the membership.
	RemoveAfter time.Duration
	// SettleTime is how long an instance that finds no voters waits for others
	// to join, how long a group may appear to have no owner before a member
	// reads its stream, and how long a released group stays reserved for its
	// next owner.
	SettleTime time.Duration
	// RetryAfter is the time after which an unanswered request to the journal,
	// or an attempt to move a group, is repeated.
	RetryAfter time.Duration
	// MoveTime is how long a member takes groups over from healthy owners after
	// it became active or received the last such group.
	MoveTime time.Duration
	// SnapshotPeriod is the interval between snapshots of the membership. It
	// must be at most half of the log's retention. Zero disables snapshots.
	SnapshotPeriod time.Duration
}

// DefaultSettings returns the settings with the durations of docs/design.md.
func DefaultSettings(id spec.InstanceID, incarnation spec.Incarnation, dc spec.DataCentre) Settings {
	return Settings{
		Instance:        id,
		Incarnation:     incarnation,
		DataCentre:      dc,
		OwnershipLease:  1200 * time.Millisecond,
		ClockRatePPM:    1000,
		HeartbeatPeriod: 250 * time.Millisecond,
		SuspectAfter:    time.Second,
		LogReadableFor:  1500 * time.Millisecond,
		LogUsableFor:    10 * time.Second,
		ListLag:         30 * time.Second,
		RemoveAfter:     2 * time.Second,
		SettleTime:      time.Second,
		RetryAfter:      5 * time.Second,
		MoveTime:        30 * time.Second,
		SnapshotPeriod:  time.Hour,
	}
}

// minusClockDrift returns the part of a granted duration that its holder may rely
// on, given that clock rates differ by up to ClockRatePPM.
func (s *Settings) minusClockDrift(d time.Duration) time.Duration {
	const million = 1_000_000
	return d - time.Duration(int64(d)/million*s.ClockRatePPM)
}
