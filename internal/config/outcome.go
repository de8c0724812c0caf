package config

// Outcome tells from the revision chain alone what became of a change, also
// when its record was read before or has expired. It returns false while the
// change could still be accepted, or when the chain no longer tells.
func (s *State) Outcome(key Key, applyID string, base uint64) (Verdict, bool) {
	v := Verdict{Key: key, ApplyID: applyID}
	current, known := s.services[key]
	if !known {
		return v, false
	}
	for _, a := range current.History {
		if a.ApplyID == applyID {
			v.Kind = AcceptedBefore
			v.Revision = a.Revision
			return v, true
		}
	}
	if _, replaced := successor(current.History, base); !replaced {
		return v, false
	}
	return s.wrongBase(v, current, base, current.Revision), true
}
