package config

// Outcome derives the outcome of a change from the revision chain alone, also
// when its record was read before or has expired. It returns false while the
// change could still be accepted, or when the chain no longer shows it.
func (s *State) Outcome(key Key, applyID string, base uint64) (Outcome, bool) {
	outcome := Outcome{Key: key, ApplyID: applyID}
	current, known := s.services[key]
	if !known {
		return outcome, false
	}
	for _, a := range current.History {
		if a.ApplyID == applyID {
			outcome.Kind = AlreadyAccepted
			outcome.Revision = a.Revision
			return outcome, true
		}
	}
	if _, replaced := successor(current.History, base); !replaced {
		return outcome, false
	}
	return s.baseMismatch(outcome, current, base, current.Revision), true
}
