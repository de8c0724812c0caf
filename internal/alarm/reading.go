// Package alarm decides when a person has to act.
//
// One table of rules states for each cause which condition must hold for how
// long, how severe it is, what the person should do, and when the alarm
// clears. Conditions that end by themselves within that time raise nothing,
// and an alarm is raised once until it clears.
package alarm

import "time"

// Reading is what an instance knows at one moment. Alarms about groups and
// jobs are raised by the instance that owns the group; the others by each
// instance. Absent values must be reported as healthy.
type Reading struct {
	Log      LogReading
	Voters   VotersReading
	Groups   []GroupReading
	Jobs     []JobReading
	Clocks   []ClockReading
	Config   []ConfigReading
	Journal  JournalReading
	Settings Settings
}

// LogReading describes the log service as this instance sees it.
type LogReading struct {
	Reachable bool
	// SnapshotAge is the age of the oldest of the newest snapshots that this
	// instance must repeat: of the configuration and of its own groups.
	SnapshotAge time.Duration
}

// VotersReading counts the voters and those that this instance hears from,
// itself included.
type VotersReading struct {
	Reachable int
	Voters    int
}

// GroupReading describes one worker group.
type GroupReading struct {
	ID string
	// Owned states whether some member decides for the group, as far as this
	// instance knows.
	Owned       bool
	Quarantined int
	Workers     int
}

// JobReading describes a job of an own group that is in trouble.
type JobReading struct {
	// ID is team/name.
	ID   string
	Kind string
	// CannotMeetDeadline states that no placement meets the deadline.
	CannotMeetDeadline bool
	// NeverRunnable is the failing dimension when no worker and no quota can
	// ever hold one task, or empty.
	NeverRunnable string
	// UnknownOutcome states that a task that must not be repeated was lost.
	UnknownOutcome bool
	// MustNotLose is set when the service's document lists the kind.
	MustNotLose bool
}

// ClockReading compares the clock of a worker or member with the own one.
type ClockReading struct {
	ID string
	// RatePPM is the difference of the rates in millionths, without sign, and
	// must be measured over at least a minute.
	RatePPM float64
}

// ConfigReading is the configuration in force on one active member.
type ConfigReading struct {
	Instance string
	// Behind is how long a newer configuration has been in force here.
	Behind time.Duration
	// Heard states that the member answers heartbeats.
	Heard bool
}

// JournalReading describes the journal's buffer.
type JournalReading struct {
	// Full states that the newest record was rejected for lack of room.
	Full bool
}

// Settings are the values that conditions depend on.
type Settings struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ClockRatePPM is the bound of assumption A6.
	ClockRatePPM float64
}
