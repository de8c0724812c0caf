package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// Settings describes this instance and holds the times of section 5 of the
// design page.
type Settings struct {
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
	DataCentre  spec.DataCentre
	// SchedAddr and EntryAddr are the host:port of the peer interfaces.
	SchedAddr string
	EntryAddr string

	// OwnershipLease is how long a right lasts after it was confirmed.
	OwnershipLease time.Duration
	// LogStaleness is how far a read that reaches the tail may lag behind.
	LogStaleness time.Duration
	// ClockRatePPM bounds the difference of two clock rates in parts per
	// million.
	ClockRatePPM int64
	// HeartbeatPeriod is the time between two heartbeats to a member.
	HeartbeatPeriod time.Duration
	// SuspectAfter is how long a member may be silent before it is suspected.
	SuspectAfter time.Duration
	// LogReadableFor is how old the last read of the members stream that
	// reached the tail may be while the log counts as readable.
	LogReadableFor time.Duration
	// LogUsableFor is how old that read may be while claims and changes of the
	// membership are still worth an attempt.
	LogUsableFor time.Duration
	// ListLag is how long the instance list must show a voter as gone before
	// it counts as having agreed.
	ListLag time.Duration
	// RemoveAfter is how long a suspected member stays in the membership.
	RemoveAfter time.Duration
	// SettleTime is how long an instance that finds no voters waits for
	// others to join, and how long a group may seem to have no owner before
	// a member looks into its stream.
	SettleTime time.Duration
	// RetryAfter is when an unanswered request to the journal, or an attempt
	// to move a group, is made again.
	RetryAfter time.Duration
	// MoveTime is how long after it became active, or after the last group
	// that it got, a member takes groups over from healthy owners.
	MoveTime time.Duration
	// SnapshotPeriod is the time between two snapshots of the membership. It
	// must be at most half of the log's retention. Zero means none.
	SnapshotPeriod time.Duration
}

// DefaultSettings returns the times of the design page.
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

// held returns how long the holder of a duration may count on it.
func (s *Settings) held(d time.Duration) time.Duration {
	const million = 1_000_000
	return d - time.Duration(int64(d)/million*s.ClockRatePPM)
}
