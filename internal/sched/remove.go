package sched

import (
	"context"
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/code"
	"redwingvale/internal/delay"
	"redwingvale/internal/ownership"
	"redwingvale/internal/spec"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// removePollPeriod is how often a removal is looked for in the membership.
const removePollPeriod = 100 * time.Millisecond

// maxKnownMembers bounds the members whose incarnations are remembered. It is
// well above the restarts of several days, and a forgotten member only makes
// a repeated removal report that nothing is known of it.
const maxKnownMembers = 4096

// noteMembers remembers the newest incarnation of each member, so that a
// repeated removal is told from one that names an unknown incarnation.
func (d *decision) noteMembers() {
	if len(d.knownMembers) > maxKnownMembers {
		clear(d.knownMembers)
	}
	for _, member := range d.ownership.Members() {
		d.knownMembers[member.GetInstance()] = member.GetIncarnation()
	}
}

// RemoveMember implements operator.Source. It returns when the member is gone.
func (s *Sched) RemoveMember(ctx context.Context, req *operatorv1.RemoveMemberRequest) (*operatorv1.RemoveMemberResponse, error) {
	s.log.Info("remove_member_requested", zap.String("instance", req.GetInstance()), zap.String("actor", req.GetActor()), zap.String("reason", req.GetReason()))
	for ctx.Err() == nil {
		version, gone := uint64(0), false
		var refused error
		err := s.inDecision(ctx, func(d *decision) {
			version = d.ownership.VotersVersion()
			gone, refused = d.removal(req)
			if !gone && refused == nil {
				d.forceRemove(s.now(), req)
			}
		})
		switch {
		case err != nil:
			return nil, err
		case refused != nil:
			return nil, refused
		case gone:
			return &operatorv1.RemoveMemberResponse{VotersVersion: version}, nil
		}
		_ = delay.Wait(ctx, removePollPeriod)
	}
	return nil, code.New(code.AcceptanceUnsure, "the removal was not read back in time")
}

func (d *decision) forceRemove(now time.Duration, req *operatorv1.RemoveMemberRequest) {
	id := spec.InstanceID(req.GetInstance())
	d.removals[id] = operatorWord{actor: req.GetActor(), reason: req.GetReason()}
	d.stepOwnership(now, ownership.ForceRemove{Instance: id})
}

// removal reports whether the member is gone already, or why the removal is
// refused.
func (d *decision) removal(req *operatorv1.RemoveMemberRequest) (gone bool, refused error) {
	d.noteMembers()
	name := req.GetInstance()
	for _, member := range d.ownership.Members() {
		if member.GetInstance() == name {
			return false, checkRemoval(req, member.GetIncarnation())
		}
	}
	known, seen := d.knownMembers[name]
	if !seen || known != req.GetIncarnation() {
		return false, code.New(code.UnknownResource, "no member %s with incarnation %d is known", name, req.GetIncarnation())
	}
	return true, nil
}

// checkRemoval refuses the removal of a present member whose incarnation is
// another, or that is not confirmed to be dead.
func checkRemoval(req *operatorv1.RemoveMemberRequest, incarnation uint64) error {
	if incarnation != req.GetIncarnation() {
		return code.New(code.BadRequest, "%s is a member with incarnation %d, not %d", req.GetInstance(), incarnation, req.GetIncarnation())
	}
	if !req.GetForced() {
		return code.New(code.BadRequest, "%s is still a member; a dead member is removed by itself, or with -forced when no majority is left", req.GetInstance())
	}
	return nil
}
