package journal

import (
	"redwingvale/internal/code"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Event is an input of Writer.Step.
type Event interface{ isEvent() }

// Write adds a record to the stream's buffer. The Writer takes ownership of
// the envelope and fills in instance, incarnation and sequence. Token
// identifies the record in the effects and must not be in use.
type Write struct {
	Stream   platform.Stream
	Envelope *recordv1.Envelope
	Token    uint64
	// Priority records may use the reserved part of the buffer.
	Priority bool
	// SkipBatchDelay is set for records, such as claims, that are sent without
	// the batching delay.
	SkipBatchDelay bool
}

// AppendDone reports the end of an append. After an error the records may
// still have been written.
type AppendDone struct {
	Stream platform.Stream
	Number uint64
	Err    error
}

// RecordRead reports a record that was read from the stream, in log order.
// Void states that the fence rejected the record, so it has no effect.
type RecordRead struct {
	Stream   platform.Stream
	Offset   int64
	Envelope *recordv1.Envelope
	Void     bool
}

// Discard drops all records of a stream that were not read back, because the
// stream shows that another instance owns its group. It must precede the Write
// of a new claim. It must not be sent for an expired ownership lease, or for a
// release, which is itself a record of the stream.
type Discard struct {
	Stream platform.Stream
}

// Tick advances the time. Its period should be at most
// Settings.MaxBatchDelay.
type Tick struct{}

func (Write) isEvent()      {}
func (AppendDone) isEvent() {}
func (RecordRead) isEvent() {}
func (Discard) isEvent()    {}
func (Tick) isEvent()       {}

// Effect is an output of Writer.Step.
type Effect interface{ isEffect() }

// Append requests that the records are appended in order and atomically.
// Number is unique within the Writer.
type Append struct {
	Stream  platform.Stream
	Number  uint64
	Records [][]byte
}

// Written states that the record is in the log and has an effect.
type Written struct {
	Token  uint64
	Offset int64
}

// Rejected states that the record was not confirmed as written. With
// code.JournalFull and code.OwnershipLost it has no effect for any reader; with
// code.AcceptanceUnsure it may have one.
type Rejected struct {
	Token uint64
	Code  code.Code
}

func (Append) isEffect()   {}
func (Written) isEffect()  {}
func (Rejected) isEffect() {}
