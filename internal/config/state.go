// Package config derives the configuration in force from the config stream.
//
// Each service has a chain of revisions. An Apply record names the revision
// that it replaces; the first valid one in log order is accepted. Every reader
// gets the same outcome, because it depends on the log alone. Snapshots repeat
// the current revisions before their records expire and never revert a service
// to an older revision.
package config

import (
	"sort"

	"redwingvale/internal/document"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Bounds of the state. The outcomes depend on them, so all readers must use the
// same values.
const (
	// MaxServices bounds the number of services in a region.
	MaxServices = 4096
	// HistoryLength is the number of accepted changes kept per service. With
	// ten changes a day, duplicates are detected for three days.
	HistoryLength = 32
	// MaxRefused bounds the refused changes that are kept.
	MaxRefused = 256
	// MaxReasonBytes bounds the reason of a change.
	MaxReasonBytes = 1024
)

// Key names one service.
type Key struct {
	Team    spec.TeamID
	Service spec.ServiceID
}

// String returns team/service.
func (k Key) String() string { return string(k.Team) + "/" + string(k.Service) }

func (k Key) before(other Key) bool {
	if k.Team != other.Team {
		return k.Team < other.Team
	}
	return k.Service < other.Service
}

// Accepted is one accepted change. UnixMS is the author's wall clock.
type Accepted struct {
	Revision uint64
	ApplyID  string
	Author   string
	UnixMS   int64
}

// Service is the current revision of one service.
type Service struct {
	Key
	Accepted
	// Offset is the offset of the record that made the revision.
	Offset int64
	// Text is the document as it was applied.
	Text []byte
	// Document is nil when this version of the program cannot parse Text.
	Document *document.Document
	// History holds the newest accepted changes, oldest first, this one last.
	History []Accepted
}

type refusedChange struct {
	key     Key
	applyID string
}

// mutations disables single checks, so that tests can show that the random runs
// detect a missing check.
type mutations struct {
	ignoreBase     bool
	forgetApplyIDs bool
	trustSnapshots bool
}

// State is the configuration according to the log up to some offset. It is not
// safe for concurrent use.
type State struct {
	services map[Key]*Service
	// order lists the keys in ascending order.
	order []Key
	// refused holds changes whose duplicates must be refused too, oldest first.
	refused   []refusedChange
	directory *document.Directory
	mutations mutations
}

// NewState returns the configuration of an empty log.
func NewState() *State {
	return &State{services: make(map[Key]*Service)}
}

// Get returns the current revision of a service.
func (s *State) Get(key Key) (Service, bool) {
	service, known := s.services[key]
	if !known {
		return Service{}, false
	}
	return *service, true
}

// Revision returns the current revision of a service, or 0 for none.
func (s *State) Revision(key Key) uint64 {
	service, known := s.services[key]
	if !known {
		return 0
	}
	return service.Revision
}

// Services returns all services whose document this version of the program can
// parse, ordered by key.
func (s *State) Services() []Service {
	out := make([]Service, 0, len(s.order))
	for _, key := range s.order {
		if s.services[key].Document != nil {
			out = append(out, *s.services[key])
		}
	}
	return out
}

// Len returns the number of services.
func (s *State) Len() int { return len(s.order) }

// Resolve returns the team that a caller's name or account code stands for.
// The error is code.UnknownTeam or code.AmbiguousAlias.
func (s *State) Resolve(name string) (spec.TeamID, error) {
	if s.directory == nil {
		s.directory = document.NewDirectory(s.documents())
	}
	return s.directory.Resolve(name)
}

func (s *State) documents() []*document.Document {
	out := make([]*document.Document, 0, len(s.order))
	for _, service := range s.Services() {
		out = append(out, service.Document)
	}
	return out
}

// set makes a revision current. Only set changes services.
func (s *State) set(next *Service) {
	invariant.Check(next.Revision > s.Revision(next.Key), invariant.ConfigNeverReverts,
		"service %s would go from revision %d to %d", next.Key, s.Revision(next.Key), next.Revision)
	if _, known := s.services[next.Key]; !known {
		at := sort.Search(len(s.order), func(i int) bool { return next.Key.before(s.order[i]) })
		s.order = append(s.order, Key{})
		copy(s.order[at+1:], s.order[at:])
		s.order[at] = next.Key
	}
	s.services[next.Key] = next
	s.directory = nil
}

// recordRefusal records a change whose later duplicates must be refused too.
func (s *State) recordRefusal(key Key, applyID string) {
	s.refused = append(s.refused, refusedChange{key, applyID})
	if len(s.refused) > MaxRefused {
		s.refused = s.refused[1:]
	}
}

func (s *State) wasRefused(key Key, applyID string) bool {
	if s.mutations.forgetApplyIDs {
		return false
	}
	for _, r := range s.refused {
		if r.key == key && r.applyID == applyID {
			return true
		}
	}
	return false
}

func trimHistory(history []Accepted) []Accepted {
	if len(history) > HistoryLength {
		return history[len(history)-HistoryLength:]
	}
	return history
}
