package journal

import (
	"redwingvale/internal/code"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Event is an input of Writer.Step.
type Event interface{ isEvent() }

// Write asks for a record to be written. The Writer takes the envelope over
// and fills in instance, incarnation and sequence. Token names the record in
// the effects and must not be in use.
type Write struct {
	Stream   platform.Stream
	Envelope *recordv1.Envelope
	Token    uint64
	// Priority records may use the reserved part of the buffer.
	Priority bool
	// Urgent records, such as claims, do not wait for others to join a batch.
	Urgent bool
}

// AppendDone reports the end of an append. Err does not mean that nothing was
// written.
type AppendDone struct {
	Stream platform.Stream
	Number uint64
	Err    error
}

// RecordRead reports a record that was read from the stream, in log order.
// Void states that the fence found the record without effect.
type RecordRead struct {
	Stream   platform.Stream
	Offset   int64
	Envelope *recordv1.Envelope
	Void     bool
}

// Discard drops all records of a stream that were not read back, because the
// ownership of its group was lost: the stream shows another owner. It must
// precede the Write of a new claim. A right that merely ran out is no reason,
// and neither is a release, which is itself a record of the stream.
type Discard struct {
	Stream platform.Stream
}

// Tick lets time pass. A period of at most Settings.BatchTime is useful.
type Tick struct{}

func (Write) isEvent()      {}
func (AppendDone) isEvent() {}
func (RecordRead) isEvent() {}
func (Discard) isEvent()    {}
func (Tick) isEvent()       {}

// Effect is an output of Writer.Step.
type Effect interface{ isEffect() }

// Append asks for the records to be appended in order, all or none. Number
// is unique within the Writer.
type Append struct {
	Stream  platform.Stream
	Number  uint64
	Records [][]byte
}

// Written states that the record stands in the log and has effect.
type Written struct {
	Token  uint64
	Offset int64
}

// Rejected ends a record without success. code.JournalFull and
// code.OwnershipLost state that the record has no effect for any reader;
// code.AcceptanceUnsure states that it may have one.
type Rejected struct {
	Token uint64
	Code  code.Code
}

func (Append) isEffect()   {}
func (Written) isEffect()  {}
func (Rejected) isEffect() {}
