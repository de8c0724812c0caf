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

// write hands a record to the journal.
func (d *decision) write(now time.Duration, envelope *recordv1.Envelope, pending pendingWrite, priority bool) {
	d.lastToken++
	d.tokens[d.lastToken] = pending
	envelope.UnixMs = time.Now().UnixMilli()
	if envelope.Actor == "" {
		envelope.Actor = d.sched.config.Instance
	}
	d.stepWriter(now, journal.Write{
		Stream:   pending.stream,
		Envelope: envelope,
		Token:    d.lastToken,
		Priority: priority,
		Urgent:   pending.claim,
	})
}

// stepWriter runs the journal's writer and carries out its effects.
func (d *decision) stepWriter(now time.Duration, e journal.Event) {
	for _, effect := range d.writer.Step(now, e) {
		switch out := effect.(type) {
		case journal.Append:
			d.sched.appender.Offer(out)
		case journal.Written:
			d.journalFull = false
			delete(d.tokens, out.Token)
		case journal.Rejected:
			d.onRejected(now, out)
		}
	}
}

func (d *decision) onRejected(now time.Duration, e journal.Rejected) {
	pending, ok := d.tokens[e.Token]
	if !ok {
		return
	}
	delete(d.tokens, e.Token)
	d.journalFull = e.Code == code.JournalFull
	d.log("record_rejected", zap.String("stream", string(pending.stream)), zap.String("code", e.Code.String()))
	if pending.claim {
		if e.Code == code.AcceptanceUnsure {
			// The record may stand in the log; the stream will tell.
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
func (d *decision) discard(now time.Duration, stream platform.Stream) {
	d.stepWriter(now, journal.Discard{Stream: stream})
}
