package main

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/config"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

const (
	// readWait is how long one read waits for the appended record.
	readWait = time.Second
	// appendRetryInterval is the time without an outcome after which the record
	// is appended again.
	appendRetryInterval = 5 * time.Second
	// appendTimeLimit bounds one append.
	appendTimeLimit = 5 * time.Second
)

// publish appends a change until its outcome is read back. The response to an
// append is ignored; the apply id makes retries idempotent. The error is
// ConfigUnsure when ctx ends first.
func (f *follower) publish(ctx context.Context, apply *recordv1.Apply, unixMS int64) (config.Outcome, error) {
	record, err := proto.Marshal(envelopeOf(apply, unixMS))
	if err != nil {
		return config.Outcome{}, err
	}
	for ctx.Err() == nil {
		f.appendAll(ctx, [][]byte{record})
		if outcome, known := f.awaitOutcome(ctx, apply); known {
			return outcome, nil
		}
	}
	return config.Outcome{}, code.New(code.ConfigUnsure,
		"no verdict was read back in time; run the same command again with -apply-id %s -base %d", apply.GetApplyId(), apply.GetBaseRevision())
}

// appendAll appends records and ignores the result: only what is read back from
// the log counts.
func (f *follower) appendAll(ctx context.Context, records [][]byte) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeLimit)
	defer cancel()
	_ = f.log.Append(bounded, platform.ConfigStream, records)
}

// awaitOutcome reads until the outcome is known or a retry is due.
func (f *follower) awaitOutcome(ctx context.Context, apply *recordv1.Apply) (config.Outcome, bool) {
	until := f.now() + appendRetryInterval
	for ctx.Err() == nil {
		effects, _, err := f.read(ctx, readWait)
		if outcome, known := f.findOutcome(apply, effects); known {
			return outcome, true
		}
		if f.now() >= until {
			break
		}
		if err != nil {
			f.pause(ctx, retryPause)
		}
	}
	return config.Outcome{}, false
}

// findOutcome finds the outcome of a change in the effects of a read or, failing
// that, in the revision chain.
func (f *follower) findOutcome(apply *recordv1.Apply, effects []config.Effect) (config.Outcome, bool) {
	for _, effect := range effects {
		decided, ok := effect.(config.ApplyDecided)
		if ok && decided.Outcome.ApplyID == apply.GetApplyId() {
			return decided.Outcome, true
		}
	}
	return f.recordedOutcome(apply)
}

// recordedOutcome finds the outcome in the revision chain, for a command that is
// run again with the same apply id.
func (f *follower) recordedOutcome(apply *recordv1.Apply) (config.Outcome, bool) {
	if !f.core.Whole() {
		return config.Outcome{}, false
	}
	outcome, known := f.core.State().Outcome(config.KeyOf(apply), apply.GetApplyId(), apply.GetBaseRevision())
	outcome.Offset = f.core.InForceOffset()
	return outcome, known
}

func envelopeOf(apply *recordv1.Apply, unixMS int64) *recordv1.Envelope {
	return &recordv1.Envelope{
		// The apply id makes the writer unique, and every duplicate of the
		// record has the same writer and sequence number.
		Instance:    "rwctl:" + apply.GetApplyId(),
		Incarnation: 1,
		Sequence:    1,
		UnixMs:      unixMS,
		Actor:       apply.GetAuthor(),
		Why:         apply.GetReason(),
		Body:        &recordv1.Envelope_Config{Config: &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: apply}}},
	}
}
