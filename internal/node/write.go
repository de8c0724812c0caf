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

// write is the leader's journal duty: one append after the other, each
// repeated under its sequence number until its outcome is known.
func (n *Node) write(t *term) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case w := <-t.writes.Out():
			t.pendingMS.Store(n.now().MS)
			if !n.writeOne(t, w) {
				return
			}
			t.pendingMS.Store(0)
			t.refusedMS.Store(0)
		}
	}
}

// sequencesPerEpoch separates the sequence numbers of two epochs. The log
// repeats a writer's last answers by sequence number, also those of an earlier
// epoch: a number that comes again would be answered without being written.
const sequencesPerEpoch = 1 << 32

// firstSequence is the sequence number of an epoch's claim.
func firstSequence(epoch uint64) uint64 { return epoch * sequencesPerEpoch }

// writeOne records one write or tells the planner that the log rejects it;
// false means that the term is over.
func (n *Node) writeOne(t *term, w planner.Write) bool {
	limit := firstAppendTimeout
	// unsure is set once an attempt may have been carried out.
	unsure := false
	for t.ctx.Err() == nil {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, limit)
		offset, err := n.deps.Log.Append(ctx, Append{
			Records: w.Records, Writer: &Writer{Epoch: t.epoch, Sequence: firstSequence(t.epoch) + t.appends + 1}, At: -1,
		})
		cancel()
		limit = appendTimeout
		switch {
		case err == nil && offset < t.wroteTo:
			// The log has answered with an older append: nothing was written.
			n.tele.Log.Error("append_answer_stale", zap.Uint64("seq", w.Seq), zap.Int64("offset", offset), zap.Int64("wrote_to", t.wroteTo))
			n.post(t.ctx, func() {
				if n.term == t {
					n.resign("the log answered with an older append")
				}
			})
			return false
		case err == nil:
			t.appends++
			t.wroteTo = offset + int64(len(w.Records))
			n.stats.append.RecordDuration(time.Since(begun))
			n.stats.writes.Inc(1)
			n.stats.records.Inc(int64(len(w.Records)))
			return n.recorded(t, w, offset)
		case errors.Is(err, ErrFenced):
			n.log("fenced_by_log", zap.Uint64("epoch", t.epoch), zap.String("error", err.Error()))
			n.post(t.ctx, func() {
				if n.term == t {
					n.resign("fenced by the log")
				}
			})
			return false
		case errors.Is(err, ErrRejected):
			n.appendRejected(t, w, err, unsure)
			return !unsure
		}
		unsure = unsure || errors.Is(err, ErrUnknown)
		if errors.Is(err, ErrUnavailable) {
			t.refusedMS.CompareAndSwap(0, n.now().MS)
		}
		n.stats.logErrors.Inc(1)
		n.tele.Log.Warn("append_failed", append(telemetry.ErrorFields(err), writeFields(w)...)...)
		pause(t.ctx, retryPause)
	}
	return false
}

// appendRejected tells the planner that the log never takes a write. If an
// earlier attempt may have been carried out, its sequence number must not be
// used for other records: the next leader reads what the log holds.
func (n *Node) appendRejected(t *term, w planner.Write, err error, unsure bool) {
	n.stats.rejected.Inc(1)
	n.tele.Log.Error("append_rejected", append(telemetry.ErrorFields(err), writeFields(w)...)...)
	if !unsure {
		n.event(t, planner.WriteRejected{Seq: w.Seq})
		return
	}
	n.post(t.ctx, func() {
		if n.term == t {
			n.resign("the log rejects an append that it may have carried out")
		}
	})
}

// writeFields describes a write in a log line.
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

// recorded takes a confirmed write into the book. Records that others wrote
// before it are read first, so that the book follows the order of the log.
func (n *Node) recorded(t *term, w planner.Write, offset int64) bool {
	for t.ctx.Err() == nil {
		done, err := ask(t.ctx, n, func() bool {
			if n.end < offset {
				return false
			}
			n.apply(Batch{From: offset, Records: w.Records})
			if n.term == t {
				n.step(planner.WriteDone{Seq: w.Seq})
			}
			return true
		})
		if err != nil {
			return false
		}
		if done {
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

// logAvailable reports whether the log serves the leader: its writes get
// through, and a doubt about its leadership is settled. Refusals and doubts are
// told sooner than silence: an answer may also be lost now and then.
func (n *Node) logAvailable(t *term) bool {
	now, pending := n.now().MS, t.pendingMS.Load()
	for _, since := range []int64{t.refusedMS.Load(), t.doubtMS.Load()} {
		if since > 0 && now-since >= milliseconds(logRefused) {
			return false
		}
	}
	return pending == 0 || now-pending < milliseconds(logSilence)
}
