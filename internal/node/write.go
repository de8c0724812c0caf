package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// runLogWriter appends the leader's writes one at a time. Each append is retried
// with the same sequence number until its outcome is known.
func (n *Node) runLogWriter(t *term) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case w := <-t.writes.Receive():
			t.pendingSinceMS.Store(n.now().MS)
			if !n.appendWrite(t, w) {
				return
			}
			t.pendingSinceMS.Store(0)
			t.refusedSinceMS.Store(0)
		}
	}
}

// sequencesPerEpoch separates the sequence numbers of two epochs. The log
// remembers a writer's last responses by sequence number, also those of an
// earlier epoch: an append with a reused number would get the earlier response
// and not be written.
const sequencesPerEpoch = 1 << 32

// firstSequence returns the sequence number of an epoch's claim.
func firstSequence(epoch uint64) uint64 { return epoch * sequencesPerEpoch }

// appendWrite appends one write, or reports to the planner that the log rejects
// it. It returns false when the term is over.
func (n *Node) appendWrite(t *term, w planner.Write) bool {
	// outcomeUnknown is set once an attempt may have taken effect, firstSent is
	// when the first such attempt was sent.
	outcomeUnknown := false
	var firstSent time.Time
	for t.ctx.Err() == nil {
		start := time.Now()
		if !outcomeUnknown {
			firstSent = start
		}
		ctx, cancel := context.WithTimeout(t.ctx, n.appendTimer.limit())
		offset, err := n.deps.Log.Append(ctx, Append{
			Records: w.Records, Writer: &Writer{Epoch: t.epoch, Sequence: firstSequence(t.epoch) + t.appends + 1}, ExpectedEnd: -1,
		})
		cancel()
		switch {
		case err == nil && offset < t.lastAppendEnd:
			// The response is that of an older append: nothing was written.
			n.tele.Log.Error("append_answer_stale", zap.Uint64("seq", w.Seq), zap.Int64("offset", offset), zap.Int64("wrote_to", t.lastAppendEnd))
			n.post(t.ctx, dutyLog, func() {
				if n.term == t {
					n.resign("the log returned the response of an older append")
				}
			})
			return false
		case err == nil:
			n.appendTimer.answered(time.Since(firstSent))
			t.appends++
			t.lastAppendEnd = offset + int64(len(w.Records))
			n.stats.appendTime.RecordDuration(time.Since(start))
			n.stats.writes.Inc(1)
			n.stats.records.Inc(int64(len(w.Records)))
			return n.applyAppended(t, w, offset)
		case errors.Is(err, ErrFenced):
			n.log("fenced_by_log", zap.Uint64("epoch", t.epoch), zap.String("error", err.Error()))
			n.post(t.ctx, dutyLog, func() {
				if n.term == t {
					n.resign("fenced by the log")
				}
			})
			return false
		case errors.Is(err, ErrRejected):
			n.handleRejectedAppend(t, w, err, outcomeUnknown)
			return !outcomeUnknown
		}
		if errors.Is(err, ErrUnknown) && t.ctx.Err() == nil {
			outcomeUnknown = true
			n.appendTimer.notAnswered()
		}
		if errors.Is(err, ErrUnavailable) {
			t.refusedSinceMS.CompareAndSwap(0, n.now().MS)
		}
		n.stats.logErrors.Inc(1)
		n.tele.Log.Warn("append_failed", append(telemetry.ErrorFields(err), writeFields(w)...)...)
		pause(t.ctx, retryPause)
	}
	return false
}

// handleRejectedAppend reports to the planner that the log will never accept a
// write. If an earlier attempt may have taken effect, the sequence number must
// not be used for other records, so the term ends: the next leader reads what
// the log holds.
func (n *Node) handleRejectedAppend(t *term, w planner.Write, err error, outcomeUnknown bool) {
	n.stats.rejected.Inc(1)
	n.tele.Log.Error("append_rejected", append(telemetry.ErrorFields(err), writeFields(w)...)...)
	if !outcomeUnknown {
		n.postEvent(t, planner.WriteRejected{Seq: w.Seq})
		return
	}
	n.post(t.ctx, dutyLog, func() {
		if n.term == t {
			n.resign("the log rejected the retry of an append that may have taken effect")
		}
	})
}

// writeFields returns the log fields that describe a write.
func writeFields(w planner.Write) []zap.Field {
	total := 0
	var largest jobs.Record
	for _, r := range w.Records {
		total += r.EncodedBytes()
		if r.ContentBytes() > largest.ContentBytes() {
			largest = r
		}
	}
	return []zap.Field{
		zap.Uint64("seq", w.Seq), zap.Int("records", len(w.Records)), zap.Int("bytes", total),
		zap.String("largest_key", largest.Key), zap.Int("largest_bytes", largest.ContentBytes()),
	}
}

// applyAppended applies a confirmed write to the state machine. Records that
// others wrote before it are read and applied first, to keep the order of the
// log. It returns false when the term is over.
func (n *Node) applyAppended(t *term, w planner.Write, offset int64) bool {
	for t.ctx.Err() == nil {
		applied, err := runInLoop(t.ctx, n, dutyLog, func() bool {
			if n.appliedEnd < offset {
				return false
			}
			n.apply(Batch{From: offset, Records: w.Records})
			if n.term == t {
				// The log has accepted the write from this term's writer after it was
				// first sent.
				n.noteLogEvidence(t.pendingSinceMS.Load())
				n.step(planner.WriteDone{Seq: w.Seq})
			}
			return true
		})
		if err != nil {
			return false
		}
		if applied {
			return true
		}
		if _, err := n.catchUp(t.ctx); err != nil {
			n.tele.Log.Warn("catch_up_failed", telemetry.ErrorFields(err)...)
			if errors.Is(err, ErrExpired) {
				if err := n.loadLog(t.ctx); err != nil {
					n.tele.Log.Warn("load_failed", telemetry.ErrorFields(err)...)
				}
			}
			pause(t.ctx, retryPause)
		}
	}
	return false
}

// logAvailable reports whether the log serves the leader, that is, whether its
// writes succeed and its leadership is confirmed. The limit for refused writes
// and unconfirmed leadership is shorter than that for writes without a response,
// since a single response may be lost now and then.
func (n *Node) logAvailable(t *term) bool {
	now, pending := n.now().MS, t.pendingSinceMS.Load()
	for _, since := range []int64{t.refusedSinceMS.Load(), t.unconfirmedSinceMS.Load()} {
		if since > 0 && now-since >= milliseconds(refusedWriteLimit) {
			return false
		}
	}
	return pending == 0 || now-pending < milliseconds(unconfirmedWriteLimit)
}
