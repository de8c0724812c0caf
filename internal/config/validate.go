package config

import (
	"redwingvale/internal/code"
	"redwingvale/internal/document"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// checkFields checks the ids and the length of the reason.
func checkFields(apply *recordv1.Apply) error {
	ids := []struct{ name, value string }{
		{"team", apply.GetTeam()},
		{"service", apply.GetService()},
		{"apply id", apply.GetApplyId()},
		{"author", apply.GetAuthor()},
	}
	for _, id := range ids {
		if !spec.ValidID(id.value) {
			return code.New(code.BadID, "the %s %.40q is not an id", id.name, id.value)
		}
	}
	if len(apply.GetReason()) > MaxReasonBytes {
		return code.New(code.BadRequest, "the reason has more than %d bytes", MaxReasonBytes)
	}
	return nil
}

// parseDocument returns the document of a change. The result does not depend on
// the state.
func parseDocument(apply *recordv1.Apply) (*document.Document, error) {
	doc, problems := document.Parse(apply.GetDocument())
	if len(problems) > 0 {
		return nil, problems.Coded()
	}
	key := KeyOf(apply)
	if doc.TeamID() != key.Team || doc.ServiceID() != key.Service {
		return nil, code.New(code.BadDocument, "the document is for %s/%s, the change is for %s", doc.Team, doc.Service, key)
	}
	return doc, nil
}

// checkOtherServices checks a document against the other services.
func (s *State) checkOtherServices(key Key, doc *document.Document) error {
	if _, known := s.services[key]; !known && len(s.order) >= MaxServices {
		return code.New(code.BadDocument, "there are already %d services, the largest number allowed", MaxServices)
	}
	return s.CheckNames(doc)
}

// CheckNames returns an error for a document that would make a name ambiguous:
// a team name or account code that another team already uses. This prevents a
// change from making a code that is in use ambiguous for its team.
func (s *State) CheckNames(doc *document.Document) error {
	for _, key := range s.order {
		other := s.services[key].Document
		if other == nil || key.Team == doc.TeamID() {
			continue
		}
		if name, shared := sharedName(doc, other); shared {
			return code.New(code.AmbiguousAlias, "%s is already used by team %s in its service %s; it must be removed there first", name, other.Team, other.Service)
		}
	}
	return nil
}

// sharedName returns the first team name or account code that both documents
// use.
func sharedName(doc, other *document.Document) (string, bool) {
	for _, account := range doc.AccountCodes {
		if usesName(other, account) {
			return account, true
		}
	}
	return doc.Team, usesName(other, doc.Team)
}

func usesName(doc *document.Document, name string) bool {
	if doc.Team == name {
		return true
	}
	for _, account := range doc.AccountCodes {
		if account == name {
			return true
		}
	}
	return false
}
