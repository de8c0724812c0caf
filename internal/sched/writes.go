package sched

import (
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// write passes a record to the journal's writer.
func (d *decisionLoop) write(now time.Duration, envelope *recordv1.Envelope, pending pendingWrite, priority bool) {
	d.lastToken++
	d.pendingWrites[d.lastToken] = pending
	envelope.UnixMs = time.Now().UnixMilli()
	if envelope.Actor == "" {
		envelope.Actor = d.sched.config.Instance
	}
	d.stepWriter(now, journal.Write{
		Stream:         pending.stream,
		Envelope:       envelope,
		Token:          d.lastToken,
		Priority:       priority,
		SkipBatchDelay: pending.fromOwnership,
	})
}

// stepWriter runs the journal's writer and executes its effects.
func (d *decisionLoop) stepWriter(now time.Duration, e journal.Event) {
	for _, effect := range d.writer.Step(now, e) {
		switch out := effect.(type) {
		case journal.Append:
			d.sched.appender.Offer(out)
		case journal.Written:
			d.journalFull = false
			delete(d.pendingWrites, out.Token)
		case journal.Rejected:
			d.onRejected(now, out)
		}
	}
}

func (d *decisionLoop) onRejected(now time.Duration, e journal.Rejected) {
	pending, ok := d.pendingWrites[e.Token]
	if !ok {
		return
	}
	delete(d.pendingWrites, e.Token)
	d.journalFull = e.Code == code.JournalFull
	d.log("record_rejected", zap.String("stream", string(pending.stream)), zap.String("code", e.Code.String()))
	if pending.fromOwnership {
		if e.Code == code.AcceptanceUnsure {
			// The record may be in the log; reading the stream will show it.
			return
		}
		d.stepOwnership(now, ownership.AppendRejected{Group: pending.group, Release: pending.release, Epoch: pending.epoch})
		return
	}
	if g, ok := d.groups[pending.group]; ok {
		d.stepGroup(now, g, group.WriteRejected{Token: pending.token, Code: e.Code})
	}
}

// discard drops the records of a group that were not read back, because the
// group is not owned any more.
func (d *decisionLoop) discard(now time.Duration, stream platform.Stream) {
	d.stepWriter(now, journal.Discard{Stream: stream})
}
