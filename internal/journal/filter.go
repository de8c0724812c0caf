// Package journal writes records to the log and states when they count: a
// record counts when it was read back, never when the append answered.
package journal

import (
	"sort"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Filter drops repeats within one stream. A writer appends a batch again when
// it has not read it back, so one record can stand in the log several times.
type Filter struct {
	last map[writer]uint64
	// acceptAll switches the filter off, for the test that proves its need.
	acceptAll bool
}

type writer struct {
	instance    spec.InstanceID
	incarnation spec.Incarnation
}

// NewFilter returns a filter that has seen nothing.
func NewFilter() *Filter {
	return &Filter{last: make(map[writer]uint64)}
}

// Accept reports whether env is new and, if so, remembers its sequence.
func (f *Filter) Accept(env *recordv1.Envelope) bool {
	key := writer{
		instance:    spec.InstanceID(env.GetInstance()),
		incarnation: spec.Incarnation(env.GetIncarnation()),
	}
	if env.GetSequence() <= f.last[key] && !f.acceptAll {
		return false
	}
	f.last[key] = env.GetSequence()
	return true
}

// State returns what the filter remembers, for a snapshot, in a fixed order.
func (f *Filter) State() []*recordv1.WriterState {
	out := make([]*recordv1.WriterState, 0, len(f.last))
	for key, sequence := range f.last {
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

// Restore replaces what the filter remembers with a snapshot's state.
func (f *Filter) Restore(state []*recordv1.WriterState) {
	f.last = make(map[writer]uint64, len(state))
	for _, s := range state {
		key := writer{
			instance:    spec.InstanceID(s.GetInstance()),
			incarnation: spec.Incarnation(s.GetIncarnation()),
		}
		f.last[key] = s.GetSequence()
	}
}
