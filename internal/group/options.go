package group

import (
	"time"

	"redwingvale/internal/grant"
	"redwingvale/internal/spec"
)

// Options configures a Core. Durations are measured on the owner's clock.
type Options struct {
	Group       spec.GroupID
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
	// UnixMSAtZero is the wall-clock time in milliseconds at monotonic zero.
	// It is used only to convert a job's wall-clock deadline to a monotonic one.
	UnixMSAtZero int64
	// FirstOffset is the offset of the first record of every stream.
	FirstOffset int64
	// TickEvery is the period of Tick events.
	TickEvery time.Duration
	// OwnershipLease bounds how long the ownership lease lasts after it was
	// confirmed.
	OwnershipLease time.Duration
	// TaskLease is how long a task's lease extends past the end of the
	// ownership lease.
	TaskLease time.Duration
	// ClockRatePPM bounds the difference between the rates of two clocks, in
	// parts per million.
	ClockRatePPM int64
	// PollEvery is the period at which each worker is polled for a report.
	PollEvery time.Duration
	// ReviewEvery is the period of the policy's review of running tasks.
	ReviewEvery time.Duration
	// StopGrace is the time that a task has for a last checkpoint when it is
	// stopped.
	StopGrace time.Duration
	// MaxPendingIntents bounds the intents that have not been read back.
	MaxPendingIntents int
	// MaxCancelledTasksPerTick bounds the tasks of cancelled jobs that are
	// processed in one Tick.
	MaxCancelledTasksPerTick int
	// HandOffAfter is how long a job waits without a running task before it is
	// handed off; MaxHops bounds how often that happens.
	HandOffAfter time.Duration
	MaxHops      uint32
	// HandOffRetry is the period at which a HandOff is repeated.
	HandOffRetry time.Duration
	// KeepEnded is how long ended jobs are kept. KeepMoved bounds how long the
	// entry of a moved job, and an ended job that came from another group, are
	// kept if the groups cannot agree to forget it.
	KeepEnded time.Duration
	KeepMoved time.Duration
	// Retention is the log's retention; a snapshot is written when
	// SnapshotShare of it has passed.
	Retention     time.Duration
	SnapshotShare float64
	// SnapshotDelay is the time from a takeover to a snapshot if the age of the
	// last one is unknown, and the delay of a retry after a rejected part.
	SnapshotDelay time.Duration
	// MaxPartBytes bounds the size of one part of a snapshot.
	MaxPartBytes int
	// MaxTasks and MaxPayloadBytes bound a job.
	MaxTasks        uint32
	MaxPayloadBytes int
	// MaxFailures is the number of failed attempts after which a task has
	// failed.
	MaxFailures uint32
	Grants      grant.Options

	// mutations switches off mechanisms, one at a time, in tests only.
	mutations mutations
}

// mutations selects a mechanism that a test switches off to show that its checks
// detect the resulting fault.
type mutations struct {
	startBeforeReadBack bool
	leaseFromReceipt    bool
	reuseAttempt        bool
	noLatestStart       bool
	noLeaseWait         bool
	noWorkerFence       bool
	noRecordFence       bool
	noCancelHorizon     bool
	noBoot              bool
	noAdoptedLease      bool
	noTakeOverReserve   bool
}

// DefaultOptions returns the options of the design page, without the group,
// instance and incarnation.
func DefaultOptions() Options {
	return Options{
		TickEvery:                50 * time.Millisecond,
		OwnershipLease:           1200 * time.Millisecond,
		TaskLease:                20 * time.Second,
		ClockRatePPM:             1000,
		PollEvery:                time.Second,
		ReviewEvery:              time.Second,
		StopGrace:                2 * time.Second,
		MaxPendingIntents:        512,
		MaxCancelledTasksPerTick: 256,
		HandOffAfter:             30 * time.Second,
		MaxHops:                  4,
		HandOffRetry:             time.Second,
		KeepEnded:                time.Hour,
		KeepMoved:                400 * 24 * time.Hour,
		Retention:                24 * time.Hour,
		SnapshotShare:            0.5,
		SnapshotDelay:            30 * time.Second,
		MaxPartBytes:             256 << 10,
		MaxTasks:                 100_000,
		MaxPayloadBytes:          64 << 10,
		MaxFailures:              3,
		Grants:                   grant.DefaultOptions(),
	}
}
