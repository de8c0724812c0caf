package config

import (
	"bytes"

	"redwingvale/internal/code"
	"redwingvale/internal/document"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// OutcomeKind classifies the result of an Apply record.
type OutcomeKind string

// The kinds of outcomes. Only AcceptedNow changes the configuration.
const (
	// AcceptedNow applies to the first valid successor of the current revision.
	AcceptedNow OutcomeKind = "accepted"
	// AlreadyAccepted applies to a duplicate of a change that was accepted.
	AlreadyAccepted OutcomeKind = "accepted_before"
	// Conflict applies to a change whose base another change has replaced.
	Conflict OutcomeKind = "conflict"
	// Refused applies to a change with an invalid document or an ambiguous
	// account code, and to a duplicate of a change that was refused.
	Refused OutcomeKind = "refused"
	// BaseTooOld applies to a change whose base is so old that the history no
	// longer shows whether this change or another one replaced it.
	BaseTooOld OutcomeKind = "too_old"
)

// Outcome is the result of one Apply record. Revision is the revision that
// the change made, for AcceptedNow and AlreadyAccepted. Winner is the change
// that replaced the same base, for Conflict. Err carries the result code of
// every kind except AcceptedNow and AlreadyAccepted.
type Outcome struct {
	Kind     OutcomeKind
	Key      Key
	ApplyID  string
	Revision uint64
	// Offset is the offset of the record; State.Outcome does not set it.
	Offset int64
	Winner Accepted
	Err    error
}

// Apply processes the Apply record at an offset. unixMS is the wall clock of
// its envelope and is kept for display only. Records must be given in log
// order.
func (s *State) Apply(offset int64, apply *recordv1.Apply, unixMS int64) Outcome {
	outcome := Outcome{Key: KeyOf(apply), ApplyID: apply.GetApplyId(), Offset: offset}
	if err := checkFields(apply); err != nil {
		return outcome.refused(err)
	}
	current := s.services[outcome.Key]
	if revision, ok := s.acceptedBefore(current, apply); ok {
		outcome.Kind = AlreadyAccepted
		outcome.Revision = revision
		return outcome
	}
	if s.wasRefused(outcome.Key, outcome.ApplyID) {
		return outcome.refused(code.New(code.BadDocument, "an earlier copy of this change was refused"))
	}
	if base, now := apply.GetBaseRevision(), s.Revision(outcome.Key); base != now && !s.mutations.ignoreBase {
		return s.baseMismatch(outcome, current, base, now)
	}
	doc, err := parseDocument(apply)
	if err != nil {
		return outcome.refused(err)
	}
	if err := s.checkOtherServices(outcome.Key, doc); err != nil {
		// The other services may change, and a later duplicate must not be
		// accepted after this record was reported as refused.
		s.recordRefusal(outcome.Key, outcome.ApplyID)
		return outcome.refused(err)
	}
	s.accept(&outcome, current, apply, doc, unixMS)
	return outcome
}

// KeyOf returns the service that a change is for.
func KeyOf(apply *recordv1.Apply) Key {
	return Key{spec.TeamID(apply.GetTeam()), spec.ServiceID(apply.GetService())}
}

func (o Outcome) refused(err error) Outcome {
	o.Kind = Refused
	o.Err = err
	return o
}

// acceptedBefore returns the revision that the change has already made,
// according to the service's history.
func (s *State) acceptedBefore(current *Service, apply *recordv1.Apply) (uint64, bool) {
	if current == nil || s.mutations.forgetApplyIDs {
		return 0, false
	}
	for _, a := range current.History {
		if a.ApplyID == apply.GetApplyId() {
			return a.Revision, true
		}
	}
	return 0, false
}

// baseMismatch returns the outcome of a change whose base is not the current
// revision.
func (s *State) baseMismatch(outcome Outcome, current *Service, base, now uint64) Outcome {
	if base > now {
		// The base could still become current, and a later duplicate must not
		// be accepted after this record was reported as refused.
		s.recordRefusal(outcome.Key, outcome.ApplyID)
		return outcome.refused(code.New(code.ConfigConflict, "revision %d of %s does not exist; the current one is %d", base, outcome.Key, now))
	}
	winner, known := successor(current.History, base)
	if !known {
		outcome.Kind = BaseTooOld
		outcome.Err = code.New(code.ConfigUnsure, "the base %d of %s is too old to tell what replaced it; the current revision is %d by %s", base, outcome.Key, now, current.Author)
		return outcome
	}
	outcome.Kind = Conflict
	outcome.Winner = winner
	outcome.Err = code.New(code.ConfigConflict, "%s made revision %d of %s first", winner.Author, winner.Revision, outcome.Key)
	return outcome
}

// successor returns the change that replaced the revision base.
func successor(history []Accepted, base uint64) (Accepted, bool) {
	for _, a := range history {
		if a.Revision == base+1 {
			return a, true
		}
	}
	return Accepted{}, false
}

func (s *State) accept(outcome *Outcome, current *Service, apply *recordv1.Apply, doc *document.Document, unixMS int64) {
	made := Accepted{Revision: s.Revision(outcome.Key) + 1, ApplyID: outcome.ApplyID, Author: apply.GetAuthor(), UnixMS: unixMS}
	var history []Accepted
	if current != nil {
		history = current.History
	}
	s.set(&Service{
		Key:      outcome.Key,
		Accepted: made,
		Offset:   outcome.Offset,
		Text:     bytes.Clone(apply.GetDocument()),
		Document: doc,
		History:  trimHistory(append(append([]Accepted(nil), history...), made)),
	})
	outcome.Kind = AcceptedNow
	outcome.Revision = made.Revision
}
