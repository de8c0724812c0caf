// Package node runs the planner on a platform that provides a log, a directory
// of workers and an interface to call the workers. Every instance accepts jobs
// and follows the log; one of them, the leader, schedules the jobs.
package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// Errors of the log. All but ErrUnknown mean that nothing was written.
var (
	// ErrUnknown: no response; the append may take effect, even later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable: the log did not execute the call.
	ErrUnavailable = errors.New("log unavailable")
	// ErrRejected: the log will never accept the append as it is.
	ErrRejected = errors.New("append rejected")
	// ErrFenced: a writer with a higher epoch has written.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrOffsetMismatch: the log does not end at the expected offset.
	ErrOffsetMismatch = errors.New("log does not end at the expected offset")
	// ErrExpired: the records at the offset are no longer kept.
	ErrExpired = errors.New("records expired")
)

// Writer identifies a fenced writer of the log. Appends with a lower epoch than
// one that has written are rejected; an append with a repeated sequence number
// gets the response of the first one.
type Writer struct {
	Epoch    uint64
	Sequence uint64
}

// Append is one atomic append.
type Append struct {
	Records []jobs.Record
	// Writer is nil for an append that is not fenced.
	Writer *Writer
	// ExpectedEnd, if not negative, is the offset at which the log must end.
	ExpectedEnd int64
}

// Batch is a sequence of consecutive records of the log.
type Batch struct {
	From    int64
	Records []jobs.Record
	// End is the end of the log when it was read.
	End int64
}

// Log is the log that every instance follows. It retains the newest record of
// each key permanently and all records for a limited time.
type Log interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns the records from an offset on, or ErrExpired if they are no
	// longer kept.
	Read(ctx context.Context, from int64) (Batch, error)
	// ReadLatest returns the newest record of each key and an offset from which
	// Read continues.
	ReadLatest(ctx context.Context) (Batch, error)
	// ReadPrefix returns the newest record of each key that begins with the
	// prefix.
	ReadPrefix(ctx context.Context, prefix string) ([]jobs.Record, error)
}

// QueueRoute is a queue and the host and path prefix at which callers reach it.
type QueueRoute struct {
	planner.Queue
	Host   string
	Prefix string
}

// Manifest is one version of the operators' configuration.
type Manifest struct {
	Version int64
	Queues  []QueueRoute
}

// Change is what a read of the operators' records has returned.
type Change struct {
	// Manifest is the newest version of the configuration, or nil if the records
	// hold none.
	Manifest *Manifest
	// Begun and Ended are the data centres whose evacuation the records request or
	// withdraw. None is in both.
	Begun, Ended []string
	// Complete is set if the read covered the newest record of each key: an
	// evacuation that is not in Begun has been withdrawn.
	Complete bool
	// Invalid describes the malformed records of evacuations.
	Invalid []InvalidRecord
}

// InvalidRecord is a malformed record of the operators.
type InvalidRecord struct{ Key, Reason string }

// ManifestSource provides the operators' records: the configuration and the
// evacuations. A change that is returned with an error is valid, but the same
// records are read again.
type ManifestSource interface {
	// Manifest returns the current state and the offset to pass to AwaitChange.
	Manifest(ctx context.Context) (Change, int64, error)
	// AwaitChange waits for a change after the offset, at most for the given
	// time. It returns the change and the next offset.
	AwaitChange(ctx context.Context, from int64, wait time.Duration) (Change, int64, error)
}

// Directory lists the workers.
type Directory interface {
	// Workers returns all workers and the offset to pass to Changes.
	Workers(ctx context.Context) ([]planner.WorkerInfo, int64, error)
	// Changes returns the current workers and the next offset, given the offset
	// of the last call.
	Changes(ctx context.Context, from int64) ([]planner.WorkerInfo, int64, error)
}

// Workers sends commands to workers.
type Workers interface {
	Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome)
	Start(ctx context.Context, s planner.Start) planner.Outcome
	Stop(ctx context.Context, s planner.Stop) planner.Outcome
	Pace(ctx context.Context, p planner.Pace) planner.Outcome
}

// Adviser returns which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, a planner.Advise) planner.AdviceDone
}

// Deps are the platform's services that an instance uses.
type Deps struct {
	Log       Log
	Manifests ManifestSource
	Directory Directory
	Workers   Workers
	Adviser   Adviser
}
