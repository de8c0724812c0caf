package journal

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readyOutbox is an outbox that may send, and the time since which it may.
type readyOutbox struct {
	box   *outbox
	since time.Duration
}

// flush sends the batches that are due, in the order in which they became
// ready, until the token bucket is empty.
func (w *Writer) flush(now time.Duration) {
	due := w.due(now)
	for _, r := range due {
		if !w.bucket.take(now) {
			return
		}
		w.send(now, r.box)
	}
}

func (w *Writer) due(now time.Duration) []readyOutbox {
	var due []readyOutbox
	for _, box := range w.sortedOutboxes {
		since, ok := box.readySince(now, &w.settings)
		if !ok && w.switches.sendWithoutReadBack && len(box.queue) > 0 {
			since, ok = now, true
		}
		if ok {
			due = append(due, readyOutbox{box: box, since: since})
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].since < due[j].since })
	return due
}

func (w *Writer) send(now time.Duration, box *outbox) {
	unread := len(box.batch)
	if unread == 0 || (w.switches.sendWithoutReadBack && len(box.queue) > 0) {
		box.fillBatch(w.settings.MaxBatchBytes)
	}
	records := box.batchData()
	if len(records) > unread {
		records = records[unread:]
	}
	w.lastAppendNumber++
	box.appendNumber = w.lastAppendNumber
	box.retryAt = now + w.backoff(box, w.settings.ReadBackTimeout)
	box.attempt++
	w.emit(Append{Stream: box.stream, Number: box.appendNumber, Records: records})
}

// backoff returns base, doubled for each attempt up to RetryMax, plus a jitter
// of up to a quarter, so that the instances do not retry at the same time. The
// jitter is a hash, because the Writer must be deterministic.
func (w *Writer) backoff(box *outbox, base time.Duration) time.Duration {
	wait := base
	for i := 0; i < box.attempt && wait < w.settings.RetryMax; i++ {
		wait *= 2
	}
	wait = min(wait, max(w.settings.RetryMax, base))
	const parts = 1024
	share := w.jitter(box) % parts
	return wait + wait/4*time.Duration(share)/parts
}

func (w *Writer) jitter(box *outbox) uint64 {
	key := make([]byte, 0, 64)
	key = append(key, w.settings.Instance...)
	key = append(key, box.stream...)
	key = binary.LittleEndian.AppendUint64(key, box.sequence)
	key = binary.LittleEndian.AppendUint64(key, uint64(box.attempt))
	return xxhash.Sum64(key)
}
