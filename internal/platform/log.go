// Package platform defines the interfaces to the platform's services: the log
// service, the instance list, the workers and the targets. docs/design.md,
// section 1.5, lists the guarantees that are assumed of each.
package platform

import (
	"context"
	"strings"
	"time"

	"redwingvale/internal/spec"
)

// Stream names one append-only stream of the log service.
type Stream string

// The streams of the system. Each worker group has a stream of its own.
const (
	MembersStream Stream = "members"
	ConfigStream  Stream = "config"
)

// groupPrefix precedes the group's id in the name of its stream.
const groupPrefix = "group/"

// GroupStream returns the stream of a worker group.
func GroupStream(id spec.GroupID) Stream { return Stream(groupPrefix + string(id)) }

// GroupOf returns the worker group of a stream, or false for other streams.
func GroupOf(stream Stream) (spec.GroupID, bool) {
	id, found := strings.CutPrefix(string(stream), groupPrefix)
	return spec.GroupID(id), found
}

// LogRecord is one record returned by the log.
type LogRecord struct {
	Offset int64
	Data   []byte
}

// ReadResult is the response to a read. Next is the offset of the next read.
// AtTail states that no record existed at or after Next at the time of the read.
// First is the oldest offset that is still retained: if it is above the requested
// offset, the records between them have expired.
type ReadResult struct {
	Records []LogRecord
	First   int64
	Next    int64
	AtTail  bool
}

// Log is the platform's log service.
type Log interface {
	// Append atomically adds records to a stream in the given order. After an
	// error the records may still have been written, because the response may
	// have been lost.
	Append(ctx context.Context, stream Stream, records [][]byte) error
	// Read returns at most limit records, starting at the offset from. If there
	// is none, it waits up to wait for one to arrive.
	Read(ctx context.Context, stream Stream, from int64, limit int, wait time.Duration) (ReadResult, error)
	// Streams lists the names of the existing streams with a prefix.
	Streams(ctx context.Context, prefix string) ([]Stream, error)
}

// InstanceState is the state of an entry of the instance list.
type InstanceState string

// The states of the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindWorker InstanceKind = "worker"
)

// InstanceEntry is one entry of the platform's instance list. Stamp increases
// with each change of the entry; an entry with a smaller stamp is older.
type InstanceEntry struct {
	ID    string
	Kind  InstanceKind
	State InstanceState
	Stamp uint64
	// Worker is set for workers.
	Worker *spec.Worker
}

// InstanceList is the platform's list of instances. It lags behind the actual
// state.
type InstanceList interface {
	// List returns all entries that the platform currently lists.
	List(ctx context.Context) ([]InstanceEntry, error)
}
