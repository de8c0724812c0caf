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

// removePollPeriod is the period at which a removal checks the membership.
const removePollPeriod = 100 * time.Millisecond

// maxMemberIncarnations bounds the members whose incarnations are kept. It is
// well above the restarts of several days, and dropping a member only makes a
// repeated removal report it as unknown.
const maxMemberIncarnations = 4096

// recordMemberIncarnations stores the newest incarnation of each member, to
// distinguish a repeated removal from one that names an unknown incarnation.
func (d *decisionLoop) recordMemberIncarnations() {
	if len(d.memberIncarnations) > maxMemberIncarnations {
		clear(d.memberIncarnations)
	}
	for _, member := range d.ownership.Members() {
		d.memberIncarnations[member.GetInstance()] = member.GetIncarnation()
	}
}

// RemoveMember implements operator.Source. It returns when the member has been
// removed.
func (s *Sched) RemoveMember(ctx context.Context, req *operatorv1.RemoveMemberRequest) (*operatorv1.RemoveMemberResponse, error) {
	s.log.Info("remove_member_requested", zap.String("instance", req.GetInstance()), zap.String("actor", req.GetActor()), zap.String("reason", req.GetReason()))
	for ctx.Err() == nil {
		version, gone := uint64(0), false
		var refused error
		err := s.runInLoop(ctx, func(d *decisionLoop) {
			version = d.ownership.VotersVersion()
			gone, refused = d.removalStatus(req)
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

func (d *decisionLoop) forceRemove(now time.Duration, req *operatorv1.RemoveMemberRequest) {
	id := spec.InstanceID(req.GetInstance())
	d.removalAttributions[id] = attribution{actor: req.GetActor(), reason: req.GetReason()}
	d.stepOwnership(now, ownership.ForceRemove{Instance: id})
}

// removalStatus reports whether the member has been removed already, or why the
// removal is refused.
func (d *decisionLoop) removalStatus(req *operatorv1.RemoveMemberRequest) (gone bool, refused error) {
	d.recordMemberIncarnations()
	name := req.GetInstance()
	for _, member := range d.ownership.Members() {
		if member.GetInstance() == name {
			return false, checkRemoval(req, member.GetIncarnation())
		}
	}
	known, seen := d.memberIncarnations[name]
	if !seen || known != req.GetIncarnation() {
		return false, code.New(code.UnknownResource, "no member %s with incarnation %d is known", name, req.GetIncarnation())
	}
	return true, nil
}

// checkRemoval rejects the removal of a current member if the request names
// another incarnation, or does not confirm with forced that the member has
// failed.
func checkRemoval(req *operatorv1.RemoveMemberRequest, incarnation uint64) error {
	if incarnation != req.GetIncarnation() {
		return code.New(code.BadRequest, "%s is a member with incarnation %d, not %d", req.GetInstance(), incarnation, req.GetIncarnation())
	}
	if !req.GetForced() {
		return code.New(code.BadRequest, "%s is still a member; a dead member is removed by itself, or with -forced when no majority is left", req.GetInstance())
	}
	return nil
}
