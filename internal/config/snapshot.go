package config

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/document"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// MaxPartBytes is the default bound of the encoded services in one snapshot
// record. With the refused changes and the envelope the record fits into one
// append of 256 KiB.
const MaxPartBytes = 192 << 10

// Revisions returns the current revisions as records, ordered by key.
func (s *State) Revisions() []*recordv1.ServiceRevision {
	out := make([]*recordv1.ServiceRevision, 0, len(s.order))
	for _, key := range s.order {
		out = append(out, toRevision(s.services[key]))
	}
	return out
}

// Snapshot returns the state through an offset as records of at most about
// partBytes each. A single service larger than that has a record of its own.
// 0 means MaxPartBytes.
func (s *State) Snapshot(through int64, partBytes int) []*recordv1.ConfigRecord {
	if partBytes <= 0 {
		partBytes = MaxPartBytes
	}
	parts := []*recordv1.ConfigSnapshot{{ThroughOffset: through, Refused: s.refusedRecords()}}
	size := 0
	for _, revision := range s.Revisions() {
		revisionSize := proto.Size(revision)
		if size > 0 && size+revisionSize > partBytes {
			parts = append(parts, &recordv1.ConfigSnapshot{ThroughOffset: through})
			size = 0
		}
		last := parts[len(parts)-1]
		last.Services = append(last.Services, revision)
		size += revisionSize
	}
	out := make([]*recordv1.ConfigRecord, 0, len(parts))
	for i, part := range parts {
		part.Part = uint32(i)
		part.Parts = uint32(len(parts))
		out = append(out, &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Snapshot{Snapshot: part}})
	}
	return out
}

func (s *State) refusedRecords() []*recordv1.RefusedApply {
	out := make([]*recordv1.RefusedApply, 0, len(s.refused))
	for _, r := range s.refused {
		out = append(out, &recordv1.RefusedApply{Team: string(r.key.Team), Service: string(r.key.Service), ApplyId: r.applyID})
	}
	return out
}

// merge replaces the services that are newer in a snapshot and returns their
// keys. The refused changes are replaced by those of the snapshot.
func (s *State) merge(parts []*recordv1.ConfigSnapshot) []Key {
	var changed []Key
	s.refused = nil
	for _, part := range parts {
		for _, r := range part.GetRefused() {
			s.recordRefusal(Key{spec.TeamID(r.GetTeam()), spec.ServiceID(r.GetService())}, r.GetApplyId())
		}
		for _, revision := range part.GetServices() {
			service := FromRevision(revision)
			if !s.isNewer(service) {
				continue
			}
			s.set(service)
			changed = append(changed, service.Key)
		}
	}
	return changed
}

// isNewer reports whether a service of a snapshot is newer than the known one.
func (s *State) isNewer(service *Service) bool {
	known := s.Revision(service.Key)
	if s.mutations.trustSnapshots {
		return service.Revision != known
	}
	return service.Revision > known
}

// findDivergence returns a service for which a snapshot contradicts this state,
// which includes all records before the snapshot.
func (s *State) findDivergence(part *recordv1.ConfigSnapshot) (Key, bool) {
	for _, revision := range part.GetServices() {
		key := Key{spec.TeamID(revision.GetTeam()), spec.ServiceID(revision.GetService())}
		own, known := s.services[key]
		if !known || revision.GetRevision() > own.Revision {
			return key, true
		}
		if revision.GetRevision() == own.Revision && revision.GetApplyId() != own.ApplyID {
			return key, true
		}
	}
	return Key{}, false
}

func toRevision(service *Service) *recordv1.ServiceRevision {
	out := &recordv1.ServiceRevision{
		Team:     string(service.Team),
		Service:  string(service.Service),
		Revision: service.Revision,
		Document: service.Text,
		ApplyId:  service.ApplyID,
		Author:   service.Author,
		UnixMs:   service.UnixMS,
		Offset:   service.Offset,
	}
	for _, a := range service.History {
		out.History = append(out.History, &recordv1.AcceptedApply{
			Revision: a.Revision, ApplyId: a.ApplyID, Author: a.Author, UnixMs: a.UnixMS,
		})
	}
	return out
}

// FromRevision converts a revision from a snapshot or a view. Its Document is
// nil when this version of the program cannot parse the text.
func FromRevision(revision *recordv1.ServiceRevision) *Service {
	doc, problems := document.Parse(revision.GetDocument())
	if len(problems) > 0 {
		doc = nil
	}
	out := &Service{
		Key: Key{spec.TeamID(revision.GetTeam()), spec.ServiceID(revision.GetService())},
		Accepted: Accepted{
			Revision: revision.GetRevision(),
			ApplyID:  revision.GetApplyId(),
			Author:   revision.GetAuthor(),
			UnixMS:   revision.GetUnixMs(),
		},
		Offset:   revision.GetOffset(),
		Text:     bytes.Clone(revision.GetDocument()),
		Document: doc,
	}
	for _, a := range revision.GetHistory() {
		out.History = append(out.History, Accepted{
			Revision: a.GetRevision(), ApplyID: a.GetApplyId(), Author: a.GetAuthor(), UnixMS: a.GetUnixMs(),
		})
	}
	return out
}
