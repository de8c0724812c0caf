package code_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// Guards against a code without a row in the documentation, and against a row
// whose name, status, outcome or text differs from the code.
func TestDocumentationListsEveryCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/result-codes.md")
	c.Assert(err, qt.IsNil)
	for _, info := range code.All() {
		row := fmt.Sprintf("| %s | %s | %d | %s | %s |", info.Code, info.Name, info.Status, info.Outcome, info.Text)
		c.Check(string(page), qt.Contains, row)
	}
}

// Guards against losing the code of an error when a caller wraps it.
func TestCodeSurvivesWrapping(t *testing.T) {
	c := qt.New(t)
	err := errors.Wrap(code.New(code.QueueFull, "team %s", "desk"), "admit")
	c.Assert(code.Of(err), qt.Equals, code.QueueFull)
	c.Assert(code.Of(errors.New("other")), qt.Equals, code.Internal)
	c.Assert(code.Of(nil), qt.Equals, code.OK)
}
