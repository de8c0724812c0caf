package sched

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// incarnationReadLimit is the number of records read at a time.
const incarnationReadLimit = 1024

// NextIncarnation returns a number above every earlier incarnation of the
// instance. It is above those in the members stream, because wall clocks may be
// wrong, and above the wall clock in milliseconds, which is the only source
// while the log cannot be read.
func NextIncarnation(ctx context.Context, log platform.Log, id spec.InstanceID) spec.Incarnation {
	last := uint64(time.Now().UnixMilli())
	next := int64(0)
	for {
		result, err := log.Read(ctx, platform.MembersStream, next, incarnationReadLimit, 0)
		if err != nil {
			break
		}
		for _, record := range result.Records {
			last = max(last, incarnationIn(record.Data, id))
		}
		next = result.Next
		if result.AtTail {
			break
		}
	}
	return spec.Incarnation(last + 1)
}

// incarnationIn returns the largest incarnation of the instance that a record
// names, or 0.
func incarnationIn(data []byte, id spec.InstanceID) uint64 {
	envelope := &recordv1.Envelope{}
	if proto.Unmarshal(data, envelope) != nil {
		return 0
	}
	last := uint64(0)
	if envelope.GetInstance() == string(id) {
		last = envelope.GetIncarnation()
	}
	for _, member := range envelope.GetMembers().GetSnapshot().GetMembers() {
		if member.GetInstance() == string(id) {
			last = max(last, member.GetIncarnation())
		}
	}
	return last
}
