package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// regressions are seeds that once failed, each with its cause.
var regressions = map[uint64]string{}

// build returns the rwnode binary of this tree.
func build(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("the soak runs real processes; it is not part of a short run")
	}
	binary := filepath.Join(t.TempDir(), "rwnode")
	out, err := exec.Command("go", "build", "-o", binary, "redwingvale/cmd/rwnode").CombinedOutput()
	qt.New(t).Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func options(t *testing.T, seed uint64) Options {
	return Options{
		Seed: seed, Binary: build(t), Dir: t.TempDir(), Instances: 4, Workers: 8,
		Faults: 8 * time.Second, Calm: time.Minute, JobsPerS: 6, Series: 3, KillAll: true,
	}
}

// Guards the promises against faults from outside real processes: what was
// accepted ends, nothing runs twice, out of order or unasked, a refusal is
// true, and no state is wrong.
func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		c := qt.New(t)
		result, err := Run(context.Background(), options(t, seed))
		c.Assert(err, qt.IsNil)
		t.Log(result)
		c.Assert(result.Broken, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, regressions[seed]))
		c.Assert(result.Completed > 0 && result.Starts > result.Completed, qt.IsTrue)
	}
}

// Guards against a soak that would not notice: with a store that forgets what
// it has acknowledged, accepted jobs are lost when the leader is killed.
func TestSoakNoticesLostRecords(t *testing.T) {
	o := options(t, 7)
	o.ForgetWrites, o.Calm, o.Series = true, 10*time.Second, 4
	result, err := Run(context.Background(), o)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(len(result.Broken) > 0, qt.IsTrue)
}
