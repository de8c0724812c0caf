// Package alarm decides when a person has to act.
//
// One table of rules states for each cause which condition must hold for how
// long, how severe it is, what the person should do, and when the alarm
// clears. Conditions that end by themselves within that time raise nothing,
// and an alarm is raised once until it clears.
package alarm

import "time"

// Reading is the state that an instance observes at one time. Alarms about
// groups and jobs are raised by the instance that owns the group; the others by
// each instance. Absent values must be reported as healthy.
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

// VotersReading counts the voters and those from which this instance receives
// messages, itself included.
type VotersReading struct {
	Reachable int
	Voters    int
}

// GroupReading describes one worker group.
type GroupReading struct {
	ID string
	// Owned states whether the group has an owner in this instance's view.
	Owned       bool
	Quarantined int
	Workers     int
}

// JobReading describes a job with a problem, in a group that this instance
// owns.
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

// ClockReading compares the clock of a worker or member with that of this
// process.
type ClockReading struct {
	ID string
	// RatePPM is the difference of the rates in millionths, without sign, and
	// must be measured over at least a minute.
	RatePPM float64
}

// ConfigReading is the configuration in force on one active member.
type ConfigReading struct {
	Instance string
	// Behind is how long a newer configuration has been in force on this
	// instance.
	Behind time.Duration
	// Responding states that the member answers heartbeats.
	Responding bool
}

// JournalReading describes the journal's buffer.
type JournalReading struct {
	// Full states that the newest record was rejected because the buffer was
	// full.
	Full bool
}

// Settings are the values that conditions depend on.
type Settings struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ClockRatePPM is the bound of assumption A6.
	ClockRatePPM float64
}
