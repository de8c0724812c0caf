package document

import (
	"sort"
	"strings"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Directory resolves the names that callers use to teams: a team's own name,
// or an account code of one of its documents.
type Directory struct {
	// claims lists, for each name, the teams that it may stand for, with the
	// service that declares it.
	claims map[string][]claim
}

type claim struct {
	team   spec.TeamID
	source string
}

// NewDirectory builds the directory over all documents. It does not keep them.
func NewDirectory(docs []*Document) *Directory {
	d := &Directory{claims: make(map[string][]claim)}
	for _, doc := range docs {
		d.add(doc.Team, claim{doc.TeamID(), "the name of team " + doc.Team})
		for _, account := range doc.AccountCodes {
			d.add(account, claim{doc.TeamID(), "an account code in " + doc.Team + "/" + doc.Service})
		}
	}
	for name := range d.claims {
		list := d.claims[name]
		sort.Slice(list, func(i, j int) bool { return list[i].source < list[j].source })
	}
	return d
}

func (d *Directory) add(name string, c claim) {
	for _, known := range d.claims[name] {
		if known == c {
			return
		}
	}
	d.claims[name] = append(d.claims[name], c)
}

// Resolve returns the team that a name stands for. The error is UnknownTeam,
// or AmbiguousAlias with the documents that make the name ambiguous.
func (d *Directory) Resolve(name string) (spec.TeamID, error) {
	list := d.claims[name]
	if len(list) == 0 {
		return "", code.New(code.UnknownTeam, "%.40q", name)
	}
	if ambiguous(list) {
		return "", code.New(code.AmbiguousAlias, "%s", describe(name, list))
	}
	return list[0].team, nil
}

// Ambiguous returns one reason for each name that stands for several teams,
// ordered by name.
func (d *Directory) Ambiguous() []string {
	var out []string
	for name, list := range d.claims {
		if ambiguous(list) {
			out = append(out, describe(name, list))
		}
	}
	sort.Strings(out)
	return out
}

func ambiguous(list []claim) bool {
	for _, c := range list {
		if c.team != list[0].team {
			return true
		}
	}
	return false
}

func describe(name string, list []claim) string {
	sources := make([]string, 0, len(list))
	for _, c := range list {
		sources = append(sources, c.source)
	}
	return name + " is " + strings.Join(sources, " and ")
}
