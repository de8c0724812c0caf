package sched

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/ownership"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// heardOffset is the configuration that a member reported to be in force.
type heardOffset struct {
	offset int64
	at     time.Duration
}

// noteOffset keeps what a heartbeat or its response says about a member's
// configuration.
func (d *decision) noteOffset(now time.Duration, instance string, offset int64) {
	d.offsets[instance] = heardOffset{offset: offset, at: now}
}

// stampHeartbeat adds this instance's configuration offset to a heartbeat. The
// request is copied, because all peers share one and an earlier one may be on
// its way.
func (d *decision) stampHeartbeat(out ownership.SendHeartbeat) ownership.SendHeartbeat {
	out.Request = proto.CloneOf(out.Request)
	out.Request.ConfigOffset = d.config.InForceOffset()
	return out
}

func (d *decision) stampResponse(out *schedv1.HeartbeatResponse) {
	out.ConfigOffset = d.config.InForceOffset()
}
