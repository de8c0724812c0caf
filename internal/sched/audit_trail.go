package sched

import (
	"redwingvale/internal/ownership"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// operatorWord is who asked for a change, and why.
type operatorWord struct {
	actor  string
	reason string
}

// signMembers states the operator who asked for a leave or a forced removal
// in the record's envelope, from which the audit trail is read.
func (d *decision) signMembers(out ownership.AppendMembers, envelope *recordv1.Envelope) {
	word := d.wordFor(out.Record)
	if word == nil {
		return
	}
	envelope.Actor = word.actor
	envelope.Why = out.Why + ": " + word.reason
}

// wordFor returns the operator's word behind a record, or nil.
func (d *decision) wordFor(record *recordv1.MembersRecord) *operatorWord {
	if record.GetLeave() != nil {
		return d.sched.drainWord.Load()
	}
	remove := record.GetRemove()
	if remove == nil || !remove.GetForced() {
		return nil
	}
	if word, ok := d.removals[spec.InstanceID(remove.GetInstance())]; ok {
		return &word
	}
	return nil
}
