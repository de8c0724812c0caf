package journal

import (
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
)

// bufferedRecord is one encoded record that was not read back yet.
type bufferedRecord struct {
	sequence uint64
	token    uint64
	data     []byte
	queuedAt time.Duration
}

// outbox holds the unconfirmed records of one stream: queue holds those that
// were not sent yet, batch those that were appended but not read back.
type outbox struct {
	stream      platform.Stream
	sequence    uint64
	queue       []bufferedRecord
	queuedBytes int
	// skipBatchDelay states that the queue holds a record to be sent without
	// the batching delay.
	skipBatchDelay bool
	batch          []bufferedRecord
	// appendNumber is the number of the newest append of the batch.
	appendNumber uint64
	attempt      int
	retryAt      time.Duration
	// lastOffset is the largest offset at which a record was read back.
	lastOffset int64
}

// readySince returns the time at which the outbox became ready for an append.
// ok is false when it is not ready.
func (o *outbox) readySince(now time.Duration, s *Settings) (since time.Duration, ok bool) {
	if len(o.batch) > 0 {
		return o.retryAt, now >= o.retryAt
	}
	if len(o.queue) == 0 {
		return 0, false
	}
	oldest := o.queue[0].queuedAt
	if o.skipBatchDelay || o.queuedBytes >= s.MaxBatchBytes {
		return oldest, true
	}
	return oldest + s.MaxBatchDelay, now >= oldest+s.MaxBatchDelay
}

// fillBatch moves records of at most maxBytes from the queue to the batch; a
// single larger record is moved alone.
func (o *outbox) fillBatch(maxBytes int) {
	bytes := 0
	count := 0
	for count < len(o.queue) {
		size := len(o.queue[count].data)
		if count > 0 && bytes+size > maxBytes {
			break
		}
		bytes += size
		count++
	}
	o.batch = append(o.batch, o.queue[:count]...)
	o.queue = append([]bufferedRecord(nil), o.queue[count:]...)
	o.queuedBytes -= bytes
	o.attempt = 0
	o.skipBatchDelay = o.skipBatchDelay && len(o.queue) > 0
}

// batchData returns the encoded records of the batch in order.
func (o *outbox) batchData() [][]byte {
	out := make([][]byte, len(o.batch))
	for i := range o.batch {
		out[i] = o.batch[i].data
	}
	return out
}

// pop removes and returns the oldest record of the batch.
func (o *outbox) pop() bufferedRecord {
	first := o.batch[0]
	o.batch = o.batch[1:]
	return first
}

// checkInvariants asserts that the sequences of the records ascend strictly
// and that none is above the last sequence that was assigned.
func (o *outbox) checkInvariants() {
	last := uint64(0)
	for _, list := range [][]bufferedRecord{o.batch, o.queue} {
		for i := range list {
			invariant.Check(list[i].sequence > last, invariant.InternalConsistency,
				"stream %s: sequence %d after %d", o.stream, list[i].sequence, last)
			last = list[i].sequence
		}
	}
	invariant.Check(last <= o.sequence, invariant.InternalConsistency,
		"stream %s: sequence %d was never assigned", o.stream, last)
}
