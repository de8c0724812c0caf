package config

import (
	"bytes"

	"redwingvale/internal/code"
	"redwingvale/internal/document"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// VerdictKind is what became of an Apply record.
type VerdictKind string

// The verdicts. Only Accepted changes the configuration.
const (
	// AcceptedNow is the first valid successor of the current revision.
	AcceptedNow VerdictKind = "accepted"
	// AcceptedBefore is a further copy of a change that was accepted.
	AcceptedBefore VerdictKind = "accepted_before"
	// Lost names a base that another change had replaced already.
	Lost VerdictKind = "conflict"
	// Refused has an invalid document or an ambiguous account code, or is a
	// further copy of a change that was refused.
	Refused VerdictKind = "refused"
	// TooOld names a base so old that the history no longer tells whether
	// this change or another one replaced it.
	TooOld VerdictKind = "too_old"
)

// Verdict is the result of one Apply record. Revision is the revision that
// the change made, now or before. Winner is the change that replaced the same
// base, for Lost. Err carries the result code of every other verdict.
type Verdict struct {
	Kind     VerdictKind
	Key      Key
	ApplyID  string
	Revision uint64
	// Offset is where the change was accepted, for AcceptedNow, and where the
	// record stands, otherwise.
	Offset int64
	Winner Accepted
	Err    error
}

// Apply takes the Apply record at an offset. unixMS is the wall clock of its
// envelope and is kept for people only. Records must be given in log order.
func (s *State) Apply(offset int64, apply *recordv1.Apply, unixMS int64) Verdict {
	v := Verdict{Key: KeyOf(apply), ApplyID: apply.GetApplyId(), Offset: offset}
	if err := checkForm(apply); err != nil {
		return v.refused(err)
	}
	current := s.services[v.Key]
	if revision, ok := s.acceptedBefore(current, apply); ok {
		v.Kind = AcceptedBefore
		v.Revision = revision
		return v
	}
	if s.wasRefused(v.Key, v.ApplyID) {
		return v.refused(code.New(code.BadDocument, "an earlier copy of this change was refused"))
	}
	if base, now := apply.GetBaseRevision(), s.Revision(v.Key); base != now && !s.faults.ignoreBase {
		return s.wrongBase(v, current, base, now)
	}
	doc, err := parse(apply)
	if err != nil {
		return v.refused(err)
	}
	if err := s.checkPlace(v.Key, doc); err != nil {
		// The other services may change, and a later copy must not win after
		// this one was reported as refused.
		s.refuse(v.Key, v.ApplyID)
		return v.refused(err)
	}
	s.accept(&v, current, apply, doc, unixMS)
	return v
}

// KeyOf returns the service that a change is for.
func KeyOf(apply *recordv1.Apply) Key {
	return Key{spec.TeamID(apply.GetTeam()), spec.ServiceID(apply.GetService())}
}

func (v Verdict) refused(err error) Verdict {
	v.Kind = Refused
	v.Err = err
	return v
}

// acceptedBefore finds the change in the service's history.
func (s *State) acceptedBefore(current *Service, apply *recordv1.Apply) (uint64, bool) {
	if current == nil || s.faults.forgetApplyIDs {
		return 0, false
	}
	for _, a := range current.History {
		if a.ApplyID == apply.GetApplyId() {
			return a.Revision, true
		}
	}
	return 0, false
}

// wrongBase returns the verdict of a change whose base is not current.
func (s *State) wrongBase(v Verdict, current *Service, base, now uint64) Verdict {
	if base > now {
		// The base could still become current, and a later copy must not win
		// after this one was reported as refused.
		s.refuse(v.Key, v.ApplyID)
		return v.refused(code.New(code.ConfigConflict, "revision %d of %s does not exist; the current one is %d", base, v.Key, now))
	}
	winner, known := successor(current.History, base)
	if !known {
		v.Kind = TooOld
		v.Err = code.New(code.ConfigUnsure, "the base %d of %s is too old to tell what replaced it; the current revision is %d by %s", base, v.Key, now, current.Author)
		return v
	}
	v.Kind = Lost
	v.Winner = winner
	v.Err = code.New(code.ConfigConflict, "%s made revision %d of %s first", winner.Author, winner.Revision, v.Key)
	return v
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

func (s *State) accept(v *Verdict, current *Service, apply *recordv1.Apply, doc *document.Document, unixMS int64) {
	made := Accepted{Revision: s.Revision(v.Key) + 1, ApplyID: v.ApplyID, Author: apply.GetAuthor(), UnixMS: unixMS}
	var history []Accepted
	if current != nil {
		history = current.History
	}
	s.set(&Service{
		Key:      v.Key,
		Accepted: made,
		Offset:   v.Offset,
		Text:     bytes.Clone(apply.GetDocument()),
		Document: doc,
		History:  trimHistory(append(append([]Accepted(nil), history...), made)),
	})
	v.Kind = AcceptedNow
	v.Revision = made.Revision
}
