package sched

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/config"
	"redwingvale/internal/delay"
	"redwingvale/internal/fence"
	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Limits of the reads of the config stream.
const (
	configReadLimit = 256
	configReadWait  = time.Second
	configCallLimit = 3 * time.Second
	configRetryWait = 200 * time.Millisecond
)

// onStreamRead handles a read of the members stream or of a group's stream.
func (d *decisionLoop) onStreamRead(now time.Duration, batch journal.Batch) {
	if batch.Err != nil {
		return
	}
	if batch.Skipped > 0 {
		d.log("records_undecodable", zap.String("stream", string(batch.Stream)), zap.Int("count", batch.Skipped))
	}
	if batch.Stream == platform.MembersStream {
		d.onMembersRead(now, batch)
		return
	}
	d.onGroupRead(now, batch)
}

func (d *decisionLoop) onMembersRead(now time.Duration, batch journal.Batch) {
	if batch.AtTail {
		d.lastLogTail = batch.SentAt
	}
	if batch.Expired {
		d.stepOwnership(now, ownership.MembersRead{SentAt: batch.SentAt, Expired: true})
	}
	for _, record := range batch.Records {
		d.stepOwnership(now, ownership.MembersRecord{Offset: record.Offset, Envelope: record.Envelope})
		d.stepWriter(now, journal.RecordRead{Stream: batch.Stream, Offset: record.Offset, Envelope: record.Envelope})
	}
	d.stepOwnership(now, ownership.MembersRead{SentAt: batch.SentAt, AtTail: batch.AtTail})
}

func (d *decisionLoop) onGroupRead(now time.Duration, batch journal.Batch) {
	g := d.groupOfStream(batch.Stream)
	if g == nil {
		return
	}
	if batch.Expired {
		d.stepGroup(now, g, group.RecordsExpired{})
	}
	for _, record := range batch.Records {
		d.stepGroup(now, g, group.RecordRead{Offset: record.Offset, Envelope: record.Envelope, Fresh: g.atTail})
		void := g.core.LastFenceResult() == fence.Void
		if !void && record.Envelope.GetGroup().GetWorkerVerdict() != nil {
			g.recordQuarantine(record.Envelope)
		}
		d.stepWriter(now, journal.RecordRead{
			Stream:   batch.Stream,
			Offset:   record.Offset,
			Envelope: record.Envelope,
			Void:     void,
		})
	}
	g.atTail = batch.AtTail
	if currentFence, known := g.core.Fence(); known {
		d.stepOwnership(now, ownership.GroupFence{Group: g.id, Fence: currentFence})
		d.stepOwnership(now, ownership.StreamRead{Group: g.id, SentAt: batch.SentAt, AtTail: batch.AtTail})
	}
}

// readConfig follows the config stream until ctx ends.
func (s *Sched) readConfig(ctx context.Context) error {
	next := int64(0)
	for ctx.Err() == nil {
		sent := s.now()
		call, cancel := context.WithTimeout(ctx, configCallLimit)
		result, err := s.deps.Log.Read(call, platform.ConfigStream, next, configReadLimit, configReadWait)
		cancel()
		if err != nil {
			_ = delay.Wait(ctx, configRetryWait)
			continue
		}
		next = result.Next
		s.deliver(ctx, configRead{result: result, sent: sent})
	}
	return nil
}

func (d *decisionLoop) onConfigRead(now time.Duration, e configRead) {
	d.stepConfig(now, config.ReadEvent{Result: e.result, Sent: e.sent})
	for _, record := range e.result.Records {
		envelope := &recordv1.Envelope{}
		if proto.Unmarshal(record.Data, envelope) != nil {
			continue
		}
		d.stepWriter(now, journal.RecordRead{
			Stream:   platform.ConfigStream,
			Offset:   record.Offset,
			Envelope: envelope,
		})
	}
	if e.result.AtTail && d.config.Complete() && !d.configLoaded {
		d.configLoaded = true
		d.log("config_known", zap.Int64("offset", d.config.InForceOffset()))
		d.onConfigChanged(now)
	}
}
