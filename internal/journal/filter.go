// Package journal writes records to the log and reads them. A record counts
// as written once it has been read back; the response to the append is not
// sufficient.
package journal

import (
	"sort"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// DuplicateFilter drops duplicate records within one stream. A writer appends a
// batch again when it has not read it back in time, so the log can contain a
// record several times.
type DuplicateFilter struct {
	lastSequence map[writerID]uint64
	// acceptAll disables the filter, for the test that shows that it is needed.
	acceptAll bool
}

type writerID struct {
	instance    spec.InstanceID
	incarnation spec.Incarnation
}

// NewDuplicateFilter returns a filter that has accepted no record yet.
func NewDuplicateFilter() *DuplicateFilter {
	return &DuplicateFilter{lastSequence: make(map[writerID]uint64)}
}

// Accept reports whether env is new and, if so, stores its sequence.
func (f *DuplicateFilter) Accept(env *recordv1.Envelope) bool {
	key := writerID{
		instance:    spec.InstanceID(env.GetInstance()),
		incarnation: spec.Incarnation(env.GetIncarnation()),
	}
	if env.GetSequence() <= f.lastSequence[key] && !f.acceptAll {
		return false
	}
	f.lastSequence[key] = env.GetSequence()
	return true
}

// State returns the last sequence of each writer, for a snapshot, ordered by
// instance and incarnation.
func (f *DuplicateFilter) State() []*recordv1.WriterState {
	out := make([]*recordv1.WriterState, 0, len(f.lastSequence))
	for key, sequence := range f.lastSequence {
		out = append(out, &recordv1.WriterState{
			Instance:    string(key.instance),
			Incarnation: uint64(key.incarnation),
			Sequence:    sequence,
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].GetInstance() != out[j].GetInstance() {
			return out[i].GetInstance() < out[j].GetInstance()
		}
		return out[i].GetIncarnation() < out[j].GetIncarnation()
	})
	return out
}

// Restore replaces the filter's state with that of a snapshot.
func (f *DuplicateFilter) Restore(state []*recordv1.WriterState) {
	f.lastSequence = make(map[writerID]uint64, len(state))
	for _, s := range state {
		key := writerID{
			instance:    spec.InstanceID(s.GetInstance()),
			incarnation: spec.Incarnation(s.GetIncarnation()),
		}
		f.lastSequence[key] = s.GetSequence()
	}
}
