package journal

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ready is an outbox that may send, and since when.
type ready struct {
	box   *outbox
	since time.Duration
}

// flush sends the batches that are due, those that wait longest first, as far
// as the token bucket allows.
func (w *Writer) flush(now time.Duration) {
	due := w.due(now)
	for _, r := range due {
		if !w.bucket.take(now) {
			return
		}
		w.send(now, r.box)
	}
}

func (w *Writer) due(now time.Duration) []ready {
	var due []ready
	for _, box := range w.order {
		since, ok := box.readySince(now, &w.settings)
		if !ok && w.faults.sendWithoutReadBack && len(box.queue) > 0 {
			since, ok = now, true
		}
		if ok {
			due = append(due, ready{box: box, since: since})
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].since < due[j].since })
	return due
}

func (w *Writer) send(now time.Duration, box *outbox) {
	unread := len(box.batch)
	if unread == 0 || (w.faults.sendWithoutReadBack && len(box.queue) > 0) {
		box.fill(w.settings.MaxBatchBytes)
	}
	records := box.records()
	if len(records) > unread {
		records = records[unread:]
	}
	w.appends++
	box.number = w.appends
	box.retryAt = now + w.backoff(box, w.settings.ReadBackLimit)
	box.attempt++
	w.emit(Append{Stream: box.stream, Number: box.number, Records: records})
}

// backoff returns base, doubled for each attempt up to RetryMax, and up to a
// quarter more, so that the instances do not append again all at once. The
// extra part is a hash, because a core uses no random source.
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
