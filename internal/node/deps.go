// Package node runs the planner on a platform that gives a log, a directory
// of workers and the workers' own calls. Every instance takes in jobs and
// follows the log; one of them, the leader, plans.
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
	// ErrUnknown: no answer; the append may take effect, also later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable: the log did not carry the call out.
	ErrUnavailable = errors.New("log unavailable")
	// ErrRejected: the log does not take the append as it is, now or later.
	ErrRejected = errors.New("append rejected")
	// ErrFenced: a higher epoch has written.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrMoved: the log does not end at the stated offset.
	ErrMoved = errors.New("log has moved on")
	// ErrExpired: the records at the offset are no longer kept.
	ErrExpired = errors.New("records expired")
)

// Writer identifies a fenced writer of the log. Appends with an epoch lower
// than one that has written are rejected; a repeated sequence number gets the
// answer of the first append.
type Writer struct {
	Epoch    uint64
	Sequence uint64
}

// Append is one atomic append.
type Append struct {
	Records []jobs.Record
	// Writer is nil for an append that is not fenced.
	Writer *Writer
	// At, if not negative, is where the log has to end.
	At int64
}

// Batch is a run of records of the log.
type Batch struct {
	From    int64
	Records []jobs.Record
	// End is the end of the log when it was read.
	End int64
}

// Log is the log that every instance follows. It keeps the newest record of
// each key for good and all records for a limited time.
type Log interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns the records from an offset on, or ErrExpired.
	Read(ctx context.Context, from int64) (Batch, error)
	// Newest returns the newest record of each key and an offset from which
	// Read continues.
	Newest(ctx context.Context) (Batch, error)
}

// QueueRoute is a queue and where callers reach it.
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

// Operators gives the operators' configuration.
type Operators interface {
	// Manifest returns the newest version, or nil if there is none, and the
	// offset to wait from.
	Manifest(ctx context.Context) (*Manifest, int64, error)
	// Await returns once something newer than the offset exists, or the wait
	// is over, with the newest version or nil.
	Await(ctx context.Context, from int64, wait time.Duration) (*Manifest, int64, error)
}

// Directory lists the workers.
type Directory interface {
	// Workers returns all workers and the offset to follow from.
	Workers(ctx context.Context) ([]planner.WorkerInfo, int64, error)
	// Changes returns the workers as they are now, given the offset of the
	// last call.
	Changes(ctx context.Context, from int64) ([]planner.WorkerInfo, int64, error)
}

// Workers carries orders to workers.
type Workers interface {
	Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome)
	Start(ctx context.Context, s planner.Start) planner.Outcome
	Stop(ctx context.Context, s planner.Stop) planner.Outcome
	Pace(ctx context.Context, p planner.Pace) planner.Outcome
}

// Adviser says which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, a planner.Advise) planner.AdviceDone
}

// Deps are the platform's parts.
type Deps struct {
	Log       Log
	Operators Operators
	Directory Directory
	Workers   Workers
	Adviser   Adviser
}
