package sched

import (
	"redwingvale/internal/ownership"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// attribution names the operator who requested a change, and the reason.
type attribution struct {
	actor  string
	reason string
}

// attributeMembers names the operator who requested a leave or a forced removal
// in the record's envelope, from which the audit trail is read.
func (d *decisionLoop) attributeMembers(out ownership.AppendMembers, envelope *recordv1.Envelope) {
	origin := d.attributionFor(out.Record)
	if origin == nil {
		return
	}
	envelope.Actor = origin.actor
	envelope.Why = out.Why + ": " + origin.reason
}

// attributionFor returns the attribution of a record that an operator
// requested, or nil.
func (d *decisionLoop) attributionFor(record *recordv1.MembersRecord) *attribution {
	if record.GetLeave() != nil {
		return d.sched.drainAttribution.Load()
	}
	remove := record.GetRemove()
	if remove == nil || !remove.GetForced() {
		return nil
	}
	if origin, ok := d.removalAttributions[spec.InstanceID(remove.GetInstance())]; ok {
		return &origin
	}
	return nil
}
