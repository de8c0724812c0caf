package document

import (
	"sort"
	"strings"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Directory maps the names that callers use to teams. A name is a team's own
// name or an account code of one of its documents.
type Directory struct {
	// declarations lists, for each name, the teams that declare it and where
	// they do so.
	declarations map[string][]declaration
}

type declaration struct {
	team   spec.TeamID
	source string
}

// NewDirectory builds the directory of all documents. It does not retain them.
func NewDirectory(docs []*Document) *Directory {
	d := &Directory{declarations: make(map[string][]declaration)}
	for _, doc := range docs {
		d.add(doc.Team, declaration{doc.TeamID(), "the name of team " + doc.Team})
		for _, account := range doc.AccountCodes {
			d.add(account, declaration{doc.TeamID(), "an account code in " + doc.Team + "/" + doc.Service})
		}
	}
	for name := range d.declarations {
		list := d.declarations[name]
		sort.Slice(list, func(i, j int) bool { return list[i].source < list[j].source })
	}
	return d
}

func (d *Directory) add(name string, c declaration) {
	for _, known := range d.declarations[name] {
		if known == c {
			return
		}
	}
	d.declarations[name] = append(d.declarations[name], c)
}

// Resolve returns the team that a name refers to. The error is UnknownTeam,
// or AmbiguousAlias with the documents that make the name ambiguous.
func (d *Directory) Resolve(name string) (spec.TeamID, error) {
	list := d.declarations[name]
	if len(list) == 0 {
		return "", code.New(code.UnknownTeam, "%.40q", name)
	}
	if ambiguous(list) {
		return "", code.New(code.AmbiguousAlias, "%s", describeDeclarations(name, list))
	}
	return list[0].team, nil
}

// Ambiguous returns one description for each name that refers to several
// teams, ordered by name.
func (d *Directory) Ambiguous() []string {
	var out []string
	for name, list := range d.declarations {
		if ambiguous(list) {
			out = append(out, describeDeclarations(name, list))
		}
	}
	sort.Strings(out)
	return out
}

func ambiguous(list []declaration) bool {
	for _, c := range list {
		if c.team != list[0].team {
			return true
		}
	}
	return false
}

func describeDeclarations(name string, list []declaration) string {
	sources := make([]string, 0, len(list))
	for _, c := range list {
		sources = append(sources, c.source)
	}
	return name + " is " + strings.Join(sources, " and ")
}
