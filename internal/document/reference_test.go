package document_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/document"
)

// row returns the table row of a key in docs/configuration.md.
func row(f document.Field) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", f.Key, f.Type, orDash(f.Unit), given(f), bounds(f), f.Text)
}

func given(f document.Field) string {
	switch {
	case f.Required:
		return "required"
	case f.Default == nil:
		return "-"
	default:
		return fmt.Sprintf("`%#v`", f.Default)
	}
}

func bounds(f document.Field) string {
	switch {
	case len(f.OneOf) > 0:
		return "`" + strings.Join(f.OneOf, "`, `") + "`"
	case f.Max > 0:
		return fmt.Sprintf("%v to %v", int64(f.Min), int64(f.Max))
	default:
		return orDash(string(f.Form))
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// TestReferenceMatchesCode guards against a key, default or bound that is
// missing in the reference, and against a row for a key that no longer exists.
func TestReferenceMatchesCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/configuration.md")
	c.Assert(err, qt.IsNil)
	var want []string
	for _, f := range document.Fields() {
		want = append(want, row(f))
	}
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	c.Assert(got, qt.DeepEquals, want)
}

// TestExamplesAreValid guards against example documents that are invalid, alone
// or together.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../../examples/documents/*/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.HasLen, 6)
	var docs []*document.Document
	for _, path := range paths {
		text, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		doc, problems := document.Parse(text)
		c.Assert(problems, qt.HasLen, 0, qt.Commentf("%s", path))
		docs = append(docs, doc)
	}
	directory := document.NewDirectory(docs)
	c.Assert(directory.Ambiguous(), qt.HasLen, 0)
	for _, account := range []string{"SNK-2207", "KRT-0418", "HCR-1130"} {
		team, err := directory.Resolve(account)
		c.Assert(err, qt.IsNil)
		c.Assert(string(team), qt.Equals, "kagoshima-billing")
	}
}
