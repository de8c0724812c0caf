package policybench

import (
	"flag"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	compareFlag = flag.Bool("compare", false, "run the full comparison and print the table")
	seedsFlag   = flag.Int("seeds", 20, "seeds of the full comparison")
	filesFlag   = flag.String("files", "*.toml", "pattern of the parameter files under testdata")
)

// parallelRuns bounds the processors that a comparison uses.
const parallelRuns = 4

// Prints the table of docs/policy.md. Reports the aims and fails for none of
// them: the bounded run below guards the aims.
func TestCompare(t *testing.T) {
	if !*compareFlag {
		t.Skip("needs -compare")
	}
	for _, p := range load(t, *filesFlag) {
		c := Compare(p, *seedsFlag, parallelRuns)
		t.Logf("%s", c.Table())
		for _, aim := range c.Aims() {
			t.Logf("%s", aim)
		}
	}
}

func load(t *testing.T, pattern string) []Params {
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	qt.Assert(t, err, qt.IsNil)
	var out []Params
	for _, file := range files {
		p, err := LoadParams(file)
		qt.Assert(t, err, qt.IsNil)
		out = append(out, p)
	}
	return out
}
