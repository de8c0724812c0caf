package document

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Parse parses and validates a document. It returns either the document or at
// least one problem. The result depends on data alone, so every reader of the
// log gets the same result.
func Parse(data []byte) (*Document, Problems) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{tooLarge(len(data))}
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, Problems{syntaxProblem(data, err)}
	}
	c := newChecker(indexLines(data))
	c.checkTable("", "", values)
	doc, err := decode(values)
	if err != nil {
		c.add("", "", "the document cannot be decoded: "+err.Error(), "compare it with docs/configuration.md")
		return nil, c.problems.sorted()
	}
	c.checkRules(doc)
	if len(c.problems) > 0 {
		return nil, c.problems.sorted()
	}
	return doc, nil
}

// decode converts validated values, with their defaults filled in, to a
// document.
func decode(values map[string]any) (*Document, error) {
	full, err := toml.Marshal(values)
	if err != nil {
		return nil, errors.Wrap(err, "marshal")
	}
	doc := &Document{}
	decoder := toml.NewDecoder(bytes.NewReader(full)).DisallowUnknownFields()
	if err := decoder.Decode(doc); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return doc, nil
}

func tooLarge(size int) Problem {
	return Problem{
		Fault:  "the document has " + formatNumber(float64(size)) + " bytes",
		Remedy: "the limit is " + formatNumber(MaxDocumentBytes) + " bytes; split it into several services",
	}
}

// syntaxProblem describes a TOML syntax error. The parser stops at the first
// one.
func syntaxProblem(data []byte, err error) Problem {
	p := Problem{
		Fault:  strings.TrimPrefix(err.Error(), "toml: "),
		Remedy: "correct the TOML syntax; faults after this line are found afterwards",
	}
	var failed *toml.DecodeError
	if !errors.As(err, &failed) {
		return p
	}
	row, _ := failed.Position()
	p.Line = row
	p.Key = strings.Join(failed.Key(), ".")
	lines := strings.Split(string(data), "\n")
	if row >= 1 && row <= len(lines) && p.Key == "" {
		p.Value = quoted(strings.TrimSpace(lines[row-1]))
	}
	return p
}
