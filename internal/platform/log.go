// Package platform holds the interfaces to what the platform gives: the log
// service, the instance list, the workers and the targets. docs/design.md,
// section 1.5, lists what each is assumed to guarantee.
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

// groupPrefix stands before the group's id in the name of its stream.
const groupPrefix = "group/"

// GroupStream returns the stream of a worker group.
func GroupStream(id spec.GroupID) Stream { return Stream(groupPrefix + string(id)) }

// GroupOf returns the worker group of a stream, and false for other streams.
func GroupOf(stream Stream) (spec.GroupID, bool) {
	id, found := strings.CutPrefix(string(stream), groupPrefix)
	return spec.GroupID(id), found
}

// LogRecord is one record as the log returns it.
type LogRecord struct {
	Offset int64
	Data   []byte
}

// ReadResult is the answer to a read. Next is the offset to read from next.
// AtTail states that no record existed at or after Next when the read was
// carried out. First is the oldest offset that is still kept: when it is
// above the requested one, the records between have expired.
type ReadResult struct {
	Records []LogRecord
	First   int64
	Next    int64
	AtTail  bool
}

// Log is the platform's log service.
type Log interface {
	// Append adds records to a stream in their order, all or none. An error
	// does not mean that nothing was written: the answer may have been lost.
	Append(ctx context.Context, stream Stream, records [][]byte) error
	// Read returns at most limit records from the offset on. When there is
	// none it waits up to wait for one to arrive.
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

// InstanceKind states what runs on an instance.
type InstanceKind string

// The kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindWorker InstanceKind = "worker"
)

// InstanceEntry is one entry of the platform's instance list. Stamp grows
// with each change of the entry; an entry with a smaller stamp is older.
type InstanceEntry struct {
	ID    string
	Kind  InstanceKind
	State InstanceState
	Stamp uint64
	// Worker is set for workers.
	Worker *spec.Worker
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// List returns all entries that the platform shows now.
	List(ctx context.Context) ([]InstanceEntry, error)
}
