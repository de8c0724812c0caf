package journal

import (
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
)

// entry is one encoded record that was not read back yet.
type entry struct {
	sequence uint64
	token    uint64
	data     []byte
	at       time.Duration
}

// outbox holds the records of one stream: those that wait in queue, and those
// in batch that were handed to an append and not read back.
type outbox struct {
	stream      platform.Stream
	sequence    uint64
	queue       []entry
	queuedBytes int
	batch       []entry
	// number is that of the newest append of the batch.
	number  uint64
	attempt int
	retryAt time.Duration
	// offset is the largest offset that was read.
	offset int64
}

// readySince returns when the outbox became ready for an append. ok is false
// while it must wait.
func (o *outbox) readySince(now time.Duration, s *Settings) (since time.Duration, ok bool) {
	if len(o.batch) > 0 {
		return o.retryAt, now >= o.retryAt
	}
	if len(o.queue) == 0 {
		return 0, false
	}
	oldest := o.queue[0].at
	if o.queuedBytes >= s.MaxBatchBytes {
		return oldest, true
	}
	return oldest + s.BatchTime, now >= oldest+s.BatchTime
}

// fill moves records from the queue to the empty batch.
func (o *outbox) fill(maxBytes int) {
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
	o.queue = append([]entry(nil), o.queue[count:]...)
	o.queuedBytes -= bytes
	o.attempt = 0
}

// records returns the encoded batch in order.
func (o *outbox) records() [][]byte {
	out := make([][]byte, len(o.batch))
	for i := range o.batch {
		out[i] = o.batch[i].data
	}
	return out
}

// pop removes and returns the oldest record of the batch.
func (o *outbox) pop() entry {
	first := o.batch[0]
	o.batch = o.batch[1:]
	return first
}

// check asserts that the records stand in strictly ascending sequence and
// that none is above the last sequence that was assigned.
func (o *outbox) check() {
	last := uint64(0)
	for _, list := range [][]entry{o.batch, o.queue} {
		for i := range list {
			invariant.Check(list[i].sequence > last, invariant.InternalConsistency,
				"stream %s: sequence %d after %d", o.stream, list[i].sequence, last)
			last = list[i].sequence
		}
	}
	invariant.Check(last <= o.sequence, invariant.InternalConsistency,
		"stream %s: sequence %d was never assigned", o.stream, last)
}
