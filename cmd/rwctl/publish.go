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
	// readWait is how long one read waits for the own record.
	readWait = time.Second
	// repeatAfter is the time without a verdict after which the record is
	// appended again.
	repeatAfter = 5 * time.Second
	// appendTimeLimit bounds one append.
	appendTimeLimit = 5 * time.Second
)

// publish appends a change until its verdict is read back. A response to an
// append is never trusted; the same apply id makes repeats harmless. The error
// is ConfigUnsure when ctx ends first.
func (f *follower) publish(ctx context.Context, apply *recordv1.Apply, unixMS int64) (config.Outcome, error) {
	record, err := proto.Marshal(envelopeOf(apply, unixMS))
	if err != nil {
		return config.Outcome{}, err
	}
	for ctx.Err() == nil {
		f.appendAll(ctx, [][]byte{record})
		if verdict, known := f.awaitVerdict(ctx, apply); known {
			return verdict, nil
		}
	}
	return config.Outcome{}, code.New(code.ConfigUnsure,
		"no verdict was read back in time; run the same command again with -apply-id %s -base %d", apply.GetApplyId(), apply.GetBaseRevision())
}

// appendAll leaves the result out on purpose: only reading back counts.
func (f *follower) appendAll(ctx context.Context, records [][]byte) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeLimit)
	defer cancel()
	_ = f.log.Append(bounded, platform.ConfigStream, records)
}

// awaitVerdict reads until the verdict is known or a repeat is due.
func (f *follower) awaitVerdict(ctx context.Context, apply *recordv1.Apply) (config.Outcome, bool) {
	until := f.now() + repeatAfter
	for ctx.Err() == nil {
		effects, _, err := f.read(ctx, readWait)
		if verdict, known := f.verdict(apply, effects); known {
			return verdict, true
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

// verdict finds the verdict of a change in what was read.
func (f *follower) verdict(apply *recordv1.Apply, effects []config.Effect) (config.Outcome, bool) {
	for _, effect := range effects {
		decided, ok := effect.(config.ApplyDecided)
		if ok && decided.Outcome.ApplyID == apply.GetApplyId() {
			return decided.Outcome, true
		}
	}
	return f.outcome(apply)
}

// outcome finds the verdict in the revision chain, for a command that is run
// again with the same apply id.
func (f *follower) outcome(apply *recordv1.Apply) (config.Outcome, bool) {
	if !f.core.Complete() {
		return config.Outcome{}, false
	}
	verdict, known := f.core.State().Outcome(config.KeyOf(apply), apply.GetApplyId(), apply.GetBaseRevision())
	verdict.Offset = f.core.InForceOffset()
	return verdict, known
}

func envelopeOf(apply *recordv1.Apply, unixMS int64) *recordv1.Envelope {
	return &recordv1.Envelope{
		// The apply id makes the writer unique, so that every copy of the
		// record has the same writer and sequence.
		Instance:    "rwctl:" + apply.GetApplyId(),
		Incarnation: 1,
		Sequence:    1,
		UnixMs:      unixMS,
		Actor:       apply.GetAuthor(),
		Why:         apply.GetReason(),
		Body:        &recordv1.Envelope_Config{Config: &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: apply}}},
	}
}
