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

// Writer is the pure core for all streams that one instance writes. It is
// not safe for concurrent use.
type Writer struct {
	settings Settings
	streams  map[platform.Stream]*outbox
	// order holds the outboxes sorted by stream name.
	order    []*outbox
	live     map[uint64]struct{}
	buffered int
	bucket   bucket
	appends  uint64
	effects  []Effect
	faults   faults
}

// faults switches single mechanisms off, for tests that prove that the
// mechanism is needed.
type faults struct {
	countAppendAsWritten bool
	sendWithoutReadBack  bool
	ignoreVoid           bool
}

// NewWriter returns a writer with empty buffers and a full token bucket.
func NewWriter(settings Settings) *Writer {
	return &Writer{
		settings: settings,
		streams:  make(map[platform.Stream]*outbox),
		live:     make(map[uint64]struct{}),
		bucket:   newBucket(settings.AppendsPerSecond, settings.AppendBurst),
	}
}

// Step takes one event in and returns what is to be done, in order. now is
// the monotonic time since the start of the process and never decreases.
func (w *Writer) Step(now time.Duration, event Event) []Effect {
	w.effects = nil
	touched := w.apply(now, event)
	w.flush(now)
	w.check(touched)
	return w.effects
}

// Buffered returns the encoded bytes that wait to be read back.
func (w *Writer) Buffered() int { return w.buffered }

// Pending returns the number of records of a stream that wait to be read back.
func (w *Writer) Pending(stream platform.Stream) int {
	box, ok := w.streams[stream]
	if !ok {
		return 0
	}
	return len(box.queue) + len(box.batch)
}

// apply returns the outbox that the event changed, or nil.
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
	_, used := w.live[e.Token]
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
	if w.buffered+len(data) > w.room(e.Priority) {
		w.emit(Rejected{Token: e.Token, Code: code.JournalFull})
		return box
	}
	box.sequence++
	box.queue = append(box.queue, entry{sequence: box.sequence, token: e.Token, data: data, at: now})
	box.queuedBytes += len(data)
	w.buffered += len(data)
	w.live[e.Token] = struct{}{}
	return box
}

func (w *Writer) room(priority bool) int {
	if priority {
		return w.settings.MaxBufferBytes
	}
	return w.settings.MaxBufferBytes - w.settings.ReservedBytes
}

func (w *Writer) appendDone(now time.Duration, e AppendDone) *outbox {
	box := w.outbox(e.Stream)
	if len(box.batch) == 0 || e.Number != box.number {
		return nil
	}
	if e.Err != nil {
		box.retryAt = min(box.retryAt, now+w.backoff(box, w.settings.RetryMin))
		return box
	}
	if w.faults.countAppendAsWritten {
		for len(box.batch) > 0 {
			w.written(box.pop(), 0)
		}
	}
	return box
}

// recordRead ends the records that the log has shown. Records of the batch
// below the one that was read were skipped by the reader, so their verdict is
// not known.
func (w *Writer) recordRead(e RecordRead) *outbox {
	if !w.wroteIt(e) {
		return nil
	}
	box := w.outbox(e.Stream)
	sequence := e.Envelope.GetSequence()
	invariant.Check(sequence <= box.sequence, invariant.InternalConsistency,
		"stream %s: read sequence %d of this incarnation, which has assigned %d", e.Stream, sequence, box.sequence)
	for len(box.batch) > 0 && box.batch[0].sequence < sequence {
		w.rejected(box.pop(), code.AcceptanceUnsure)
	}
	if len(box.batch) == 0 || box.batch[0].sequence != sequence {
		return box
	}
	invariant.Check(e.Offset > box.offset || box.offset == 0, invariant.InternalConsistency,
		"stream %s: read-back at offset %d after %d", e.Stream, e.Offset, box.offset)
	box.offset = e.Offset
	if e.Void && !w.faults.ignoreVoid {
		w.rejected(box.pop(), code.OwnershipLost)
		return box
	}
	w.written(box.pop(), e.Offset)
	return box
}

func (w *Writer) wroteIt(e RecordRead) bool {
	sameInstance := spec.InstanceID(e.Envelope.GetInstance()) == w.settings.Instance
	return sameInstance && spec.Incarnation(e.Envelope.GetIncarnation()) == w.settings.Incarnation
}

// discard also forgets the batch, so that it is not appended again. A copy
// that is still under way may arrive later, hence the unsure code.
func (w *Writer) discard(e Discard) *outbox {
	box := w.outbox(e.Stream)
	for len(box.batch) > 0 {
		w.rejected(box.pop(), code.AcceptanceUnsure)
	}
	for i := range box.queue {
		w.rejected(box.queue[i], code.OwnershipLost)
	}
	box.queue = nil
	box.queuedBytes = 0
	return box
}

func (w *Writer) written(e entry, offset int64) {
	w.end(e)
	w.emit(Written{Token: e.token, Offset: offset})
}

func (w *Writer) rejected(e entry, c code.Code) {
	w.end(e)
	w.emit(Rejected{Token: e.token, Code: c})
}

func (w *Writer) end(e entry) {
	_, used := w.live[e.token]
	invariant.Check(used, invariant.TrueRefusal, "token %d ended twice", e.token)
	delete(w.live, e.token)
	w.buffered -= len(e.data)
}

func (w *Writer) emit(effect Effect) { w.effects = append(w.effects, effect) }

func (w *Writer) outbox(stream platform.Stream) *outbox {
	box, ok := w.streams[stream]
	if ok {
		return box
	}
	box = &outbox{stream: stream}
	w.streams[stream] = box
	at := sort.Search(len(w.order), func(i int) bool { return w.order[i].stream > stream })
	w.order = append(w.order, nil)
	copy(w.order[at+1:], w.order[at:])
	w.order[at] = box
	return box
}

func (w *Writer) check(touched *outbox) {
	invariant.Check(w.buffered >= 0 && w.buffered <= w.settings.MaxBufferBytes,
		invariant.InternalConsistency, "%d bytes are buffered, the limit is %d", w.buffered, w.settings.MaxBufferBytes)
	if touched != nil {
		touched.check()
	}
}
