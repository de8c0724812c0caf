package document

import (
	"fmt"
	"sort"
	"strings"

	"redwingvale/internal/code"
)

// Problem is one fault of a document. Line counts from 1; 0 means that no
// line applies, for example for a missing key.
type Problem struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Value  string `json:"value"`
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	b.WriteString(p.Key)
	if p.Key != "" && p.Value != "" {
		b.WriteString(" = ")
	}
	b.WriteString(p.Value)
	if p.Key != "" || p.Value != "" {
		b.WriteString(": ")
	}
	b.WriteString(p.Fault)
	if p.Remedy != "" {
		b.WriteString("; " + p.Remedy)
	}
	return b.String()
}

// Problems are all faults of one document, in the order of their lines.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Coded returns the problems as one error with the code BadDocument.
func (ps Problems) Coded() error {
	return code.New(code.BadDocument, "%s", ps.Error())
}

// sorted orders the problems by line; those without a line come last.
func (ps Problems) sorted() Problems {
	sort.SliceStable(ps, func(i, j int) bool {
		if (ps[i].Line == 0) != (ps[j].Line == 0) {
			return ps[j].Line == 0
		}
		return ps[i].Line < ps[j].Line
	})
	return ps
}
