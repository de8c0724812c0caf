package journal

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// Writer buffers, batches and retries the records of all streams that one
// instance writes. It performs no I/O: Step returns the effects to execute.
// It is not safe for concurrent use.
type Writer struct {
	settings Settings
	streams  map[platform.Stream]*outbox
	// sortedOutboxes holds the outboxes sorted by stream name.
	sortedOutboxes   []*outbox
	pendingTokens    map[uint64]struct{}
	buffered         int
	bucket           tokenBucket
	lastAppendNumber uint64
	effects          []Effect
	switches         switches
}

// switches disables single mechanisms, for tests that show that the mechanism
// is needed.
type switches struct {
	countAppendAsWritten bool
	sendWithoutReadBack  bool
	skipVoid             bool
}

// unknownOffset is the offset of a record that was not read back. It is
// reported only with switches.countAppendAsWritten.
const unknownOffset = -1

// NewWriter returns a writer with empty buffers and a full token bucket.
func NewWriter(settings Settings) *Writer {
	return &Writer{
		settings:      settings,
		streams:       make(map[platform.Stream]*outbox),
		pendingTokens: make(map[uint64]struct{}),
		bucket:        newTokenBucket(settings.AppendsPerSecond, settings.AppendBurst),
	}
}

// Step processes one event and returns the effects to execute, in order. now
// is the monotonic time since the start of the process; it must not decrease.
func (w *Writer) Step(now time.Duration, event Event) []Effect {
	w.effects = nil
	touched := w.apply(now, event)
	w.flush(now)
	w.checkInvariants(touched)
	return w.effects
}

// Buffered returns the encoded size of the records that were not read back.
func (w *Writer) Buffered() int { return w.buffered }

// Pending returns the number of records of a stream that were not read back.
func (w *Writer) Pending(stream platform.Stream) int {
	box, ok := w.streams[stream]
	if !ok {
		return 0
	}
	return len(box.queue) + len(box.batch)
}

// apply processes an event and returns the outbox that it changed, or nil.
func (w *Writer) apply(now time.Duration, event Event) *outbox {
	switch e := event.(type) {
	case Write:
		return w.write(now, e)
	case AppendDone:
		return w.appendDone(now, e)
	case RecordRead:
		return w.recordRead(e)
	case Discard:
		return w.discard(e)
	}
	return nil
}

func (w *Writer) write(now time.Duration, e Write) *outbox {
	_, used := w.pendingTokens[e.Token]
	invariant.Check(!used, invariant.InternalConsistency, "token %d is in use", e.Token)
	box := w.outbox(e.Stream)
	e.Envelope.Instance = string(w.settings.Instance)
	e.Envelope.Incarnation = uint64(w.settings.Incarnation)
	e.Envelope.Sequence = box.sequence + 1
	data, err := proto.Marshal(e.Envelope)
	if err != nil {
		w.emit(Rejected{Token: e.Token, Code: code.Internal})
		return box
	}
	if w.buffered+len(data) > w.bufferLimit(e.Priority) {
		w.emit(Rejected{Token: e.Token, Code: code.JournalFull})
		return box
	}
	box.sequence++
	box.queue = append(box.queue, bufferedRecord{sequence: box.sequence, token: e.Token, data: data, queuedAt: now})
	box.queuedBytes += len(data)
	box.skipBatchDelay = box.skipBatchDelay || e.SkipBatchDelay
	w.buffered += len(data)
	w.pendingTokens[e.Token] = struct{}{}
	return box
}

func (w *Writer) bufferLimit(priority bool) int {
	if priority {
		return w.settings.MaxBufferBytes
	}
	return w.settings.MaxBufferBytes - w.settings.ReservedBytes
}

func (w *Writer) appendDone(now time.Duration, e AppendDone) *outbox {
	box := w.outbox(e.Stream)
	if len(box.batch) == 0 || e.Number != box.appendNumber {
		return nil
	}
	if e.Err != nil {
		box.retryAt = min(box.retryAt, now+w.backoff(box, w.settings.RetryMin))
		return box
	}
	if w.switches.countAppendAsWritten {
		for len(box.batch) > 0 {
			w.endWritten(box.pop(), unknownOffset)
		}
	}
	return box
}

// recordRead completes records of the batch that were read back. The reader has
// skipped those with a lower sequence than the one read, so it is unknown
// whether they have an effect.
func (w *Writer) recordRead(e RecordRead) *outbox {
	if !w.isOwnRecord(e) {
		return nil
	}
	box := w.outbox(e.Stream)
	sequence := e.Envelope.GetSequence()
	invariant.Check(sequence <= box.sequence, invariant.InternalConsistency,
		"stream %s: read sequence %d of this incarnation, which has assigned %d", e.Stream, sequence, box.sequence)
	for len(box.batch) > 0 && box.batch[0].sequence < sequence {
		w.endRejected(box.pop(), code.AcceptanceUnsure)
	}
	if len(box.batch) == 0 || box.batch[0].sequence != sequence {
		return box
	}
	invariant.Check(e.Offset > box.lastOffset || box.lastOffset == 0, invariant.InternalConsistency,
		"stream %s: read-back at offset %d after %d", e.Stream, e.Offset, box.lastOffset)
	box.lastOffset = e.Offset
	if e.Void && !w.switches.skipVoid {
		w.endRejected(box.pop(), code.OwnershipLost)
		return box
	}
	w.endWritten(box.pop(), e.Offset)
	return box
}

func (w *Writer) isOwnRecord(e RecordRead) bool {
	sameInstance := spec.InstanceID(e.Envelope.GetInstance()) == w.settings.Instance
	return sameInstance && spec.Incarnation(e.Envelope.GetIncarnation()) == w.settings.Incarnation
}

// discard drops the queue and the batch, so that the batch is not appended
// again. An append that is still in flight may reach the log later, so the
// records of the batch are rejected with AcceptanceUnsure.
func (w *Writer) discard(e Discard) *outbox {
	box := w.outbox(e.Stream)
	for len(box.batch) > 0 {
		w.endRejected(box.pop(), code.AcceptanceUnsure)
	}
	for i := range box.queue {
		w.endRejected(box.queue[i], code.OwnershipLost)
	}
	box.queue = nil
	box.queuedBytes = 0
	box.skipBatchDelay = false
	return box
}

func (w *Writer) endWritten(r bufferedRecord, offset int64) {
	w.removePending(r)
	w.emit(Written{Token: r.token, Offset: offset})
}

func (w *Writer) endRejected(r bufferedRecord, c code.Code) {
	w.removePending(r)
	w.emit(Rejected{Token: r.token, Code: c})
}

func (w *Writer) removePending(r bufferedRecord) {
	_, used := w.pendingTokens[r.token]
	invariant.Check(used, invariant.NotRunIsTrue, "token %d ended twice", r.token)
	delete(w.pendingTokens, r.token)
	w.buffered -= len(r.data)
}

func (w *Writer) emit(effect Effect) { w.effects = append(w.effects, effect) }

func (w *Writer) outbox(stream platform.Stream) *outbox {
	box, ok := w.streams[stream]
	if ok {
		return box
	}
	box = &outbox{stream: stream}
	w.streams[stream] = box
	index := sort.Search(len(w.sortedOutboxes), func(i int) bool { return w.sortedOutboxes[i].stream > stream })
	w.sortedOutboxes = append(w.sortedOutboxes, nil)
	copy(w.sortedOutboxes[index+1:], w.sortedOutboxes[index:])
	w.sortedOutboxes[index] = box
	return box
}

func (w *Writer) checkInvariants(touched *outbox) {
	invariant.Check(w.buffered >= 0 && w.buffered <= w.settings.MaxBufferBytes,
		invariant.InternalConsistency, "%d bytes are buffered, the limit is %d", w.buffered, w.settings.MaxBufferBytes)
	if touched != nil {
		touched.checkInvariants()
	}
}
