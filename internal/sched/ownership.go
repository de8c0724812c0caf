package sched

import (
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/group"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// stepOwnership runs the ownership core and executes its effects.
func (d *decisionLoop) stepOwnership(now time.Duration, e ownership.Event) {
	for _, effect := range d.ownership.Step(now, e) {
		d.executeOwnershipEffect(now, effect)
	}
}

func (d *decisionLoop) executeOwnershipEffect(now time.Duration, effect ownership.Effect) {
	switch out := effect.(type) {
	case ownership.AppendMembers:
		d.writeMembers(now, out)
	case ownership.AppendClaim:
		d.writeClaim(now, out)
	case ownership.WithdrawClaim:
		d.discard(now, platform.GroupStream(out.Group))
	case ownership.AppendRelease:
		d.writeRelease(now, out)
	case ownership.SendHeartbeat:
		d.sched.heartbeats.send(d.ctx, out)
	case ownership.Respond:
		d.respond(out)
	case ownership.Follow:
		d.follow(now, out.Group)
	case ownership.Unfollow:
		d.unfollow(now, out.Group)
	case ownership.Lease:
		d.onOwnershipLease(now, out)
	case ownership.OwnersChanged:
		d.onOwnersChanged(now)
	case ownership.LeaveDone:
		d.sched.completeLeave()
	case ownership.Alarm:
		d.log("ownership_condition", zap.String("kind", string(out.Kind)), zap.Bool("active", out.Active), zap.String("detail", out.Detail))
	}
}

func (d *decisionLoop) writeMembers(now time.Duration, out ownership.AppendMembers) {
	envelope := &recordv1.Envelope{
		Why:  out.Why,
		Body: &recordv1.Envelope_Members{Members: out.Record},
	}
	d.attributeMembers(out, envelope)
	d.write(now, envelope, pendingWrite{stream: platform.MembersStream}, true)
}

func (d *decisionLoop) writeClaim(now time.Duration, out ownership.AppendClaim) {
	claim := &recordv1.Claim{
		Owner:            d.sched.config.Instance,
		OwnerIncarnation: uint64(d.sched.incarnation),
		ReplacesEpoch:    uint64(out.Replaces),
		DataCentre:       d.sched.config.DataCentre,
	}
	record := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Claim{Claim: claim}}
	d.writeOwnership(now, out.Group, out.Replaces, out.Why, record)
}

func (d *decisionLoop) writeRelease(now time.Duration, out ownership.AppendRelease) {
	release := &recordv1.Release{NextOwner: string(out.Next)}
	record := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Release{Release: release}}
	d.writeOwnership(now, out.Group, out.Epoch, out.Why, record)
}

func (d *decisionLoop) writeOwnership(now time.Duration, id spec.GroupID, epoch spec.Epoch, why string, record *recordv1.GroupRecord) {
	envelope := &recordv1.Envelope{
		Epoch: uint64(epoch),
		Why:   why,
		Body:  &recordv1.Envelope_Group{Group: record},
	}
	d.write(now, envelope, pendingWrite{
		stream:        platform.GroupStream(id),
		group:         id,
		fromOwnership: true,
		release:       record.GetRelease() != nil,
		epoch:         epoch,
	}, true)
	d.log("ownership_record", zap.String("group", string(id)), zap.Uint64("epoch", uint64(epoch)), zap.String("why", why))
}

func (d *decisionLoop) respond(out ownership.Respond) {
	waiting, ok := d.heartbeatWaiters[out.Call]
	if !ok {
		return
	}
	waiting <- out.Response
}

// onOwnershipLease passes a change of the ownership lease to the group's core.
func (d *decisionLoop) onOwnershipLease(now time.Duration, out ownership.Lease) {
	g, ok := d.groups[out.Group]
	if !ok {
		return
	}
	gained := g.lease.Until <= now && out.Until > now
	lost := g.lease.Until > 0 && out.Until == 0
	g.lease = out
	if gained {
		d.log("right_gained", zap.String("group", string(g.id)), zap.Uint64("epoch", uint64(out.Epoch)))
	}
	d.stepGroup(now, g, group.OwnershipLeaseChanged{Epoch: out.Epoch, Until: out.Until})
	if lost {
		d.log("right_lost", zap.String("group", string(g.id)), zap.Uint64("epoch", uint64(out.Epoch)))
	}
}

// onOwnersChanged updates the state that depends on members and owners.
func (d *decisionLoop) onOwnersChanged(now time.Duration) {
	d.recordMemberIncarnations()
	entries := d.activeMembers()
	for _, g := range d.sortedGroups() {
		d.stepGroup(now, g, group.SetEntries{Entries: entries})
	}
	d.publishView()
}

// activeMembers returns the voters in the order of the members stream. Each of
// them runs an entry process.
func (d *decisionLoop) activeMembers() []spec.InstanceID {
	var entries []spec.InstanceID
	for _, member := range d.ownership.Members() {
		if member.GetActive() {
			entries = append(entries, spec.InstanceID(member.GetInstance()))
		}
	}
	return entries
}
