package config

// Outcome derives the outcome of a change from the revision chain alone, also
// when its record was read before or has expired. It returns false while the
// change could still be accepted, or when the chain no longer shows it.
func (s *State) Outcome(key Key, applyID string, base uint64) (Outcome, bool) {
	v := Outcome{Key: key, ApplyID: applyID}
	current, known := s.services[key]
	if !known {
		return v, false
	}
	for _, a := range current.History {
		if a.ApplyID == applyID {
			v.Kind = AlreadyAccepted
			v.Revision = a.Revision
			return v, true
		}
	}
	if _, replaced := successor(current.History, base); !replaced {
		return v, false
	}
	return s.baseMismatch(v, current, base, current.Revision), true
}
